"""View of the fleet that a host receives from the leader."""

from collections.abc import Iterable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import (
    FleetUpdate,
    HostRecord,
    ServerRecord,
    ServerState,
    SyncPosition,
)


@attrs.define(eq=False)
class FleetServer:
    """Server record with the time at which it was received.

    Parameters
    ----------
    record : ServerRecord
        Record as the leader sent it.
    cold_until_ms : float
        Time when the server has warmed up, in milliseconds of the clock of this
        host; 0 if it was warm already.
    received_ms : float
        Time when the record was received, in milliseconds of the same clock.
    """

    record: ServerRecord
    cold_until_ms: float
    received_ms: float

    def record_at(self, now_ms: float) -> ServerRecord:
        """Return the record with its ages and remaining times at a time."""
        limit = self.record.limit
        if limit is not None:
            limit = attrs.evolve(limit, age_ms=limit.age_ms + now_ms - self.received_ms)
        cold_left_ms = max(0.0, self.cold_until_ms - now_ms)
        return attrs.evolve(self.record, cold_left_ms=cold_left_ms, limit=limit)


class FleetView:
    """Servers, hosts, evacuations and the plan, as of the last update.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    servers : dict of str to FleetServer
        Servers by identity, including draining ones.
    position : SyncPosition
        Revisions that have been received.
    fleet_loads : dict of str to float
        Fleet-wide load by server, as a multiple of its slots; only servers above the
        published minimum.
    owners : dict of str to dict of int to str
        Server that owns an object, by group (``owner_group``) and digest of the key.
    owner_since_ms : dict of str to dict of int to float
        Time when this host learned of an owner, in milliseconds of its clock; owners
        that it learned with its first update are left out.
    updated_ms : float or None
        Time when the last update was applied, in milliseconds.
    confirmed_ms : float
        Time before the question that the last update answers, in milliseconds.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.servers: dict[str, FleetServer] = {}
        self.hosts: tuple[HostRecord, ...] = ()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.plan = None
        self.position = SyncPosition()
        self.control_addresses: tuple[str, ...] = ()
        self.fleet_loads: dict[str, float] = {}
        self.owners: dict[str, dict[int, str]] = {}
        self.owner_since_ms: dict[str, dict[int, float]] = {}
        self.updated_ms: float | None = None
        self.confirmed_ms = float("-inf")
        self._term = 0

    def apply(self, update: FleetUpdate) -> bool:
        """Apply an update from a leader.

        Returns
        -------
        bool
            False if the update is from an earlier term and was dropped.
        """
        if update.term < self._term:
            return False
        self._term = update.term
        now_ms = self.clock.now_ms()
        if update.is_full:
            listed = {record.server_id for record in update.servers}
            for server_id in self.servers.keys() - listed:
                self._remove(server_id)
        for record in update.servers:
            self._apply_record(record, now_ms)
        if update.plan is not None:
            self._apply_plan(update.plan)
        if update.position.order_index >= self.position.order_index:
            self.evacuated_zones = frozenset(update.evacuated_zones)
        if update.hosts is not None:
            self.hosts = update.hosts
        if update.control_addresses:
            self.control_addresses = update.control_addresses
        self._apply_loads(update)
        self._apply_owners(update)
        plan_version = -1 if self.plan is None else self.plan.version
        self.position = attrs.evolve(update.position, plan_version=plan_version)
        self.updated_ms = now_ms
        return True

    def restore(self, records: Iterable[ServerRecord]) -> None:
        """Load server records that were saved before a restart."""
        now_ms = self.clock.now_ms()
        for record in records:
            self._apply_record(record, now_ms)

    def age_ms(self) -> float:
        """Return the milliseconds since the last update; infinite before the first."""
        if self.updated_ms is None:
            return float("inf")
        return self.clock.now_ms() - self.updated_ms

    def records(self) -> list[ServerRecord]:
        """Return all server records with their present ages and remaining times."""
        now_ms = self.clock.now_ms()
        return [server.record_at(now_ms) for server in self.servers.values()]

    def _apply_plan(self, plan) -> None:
        # The version of the plan never decreases, whichever leader sends it.
        if self.plan is None or plan.version > self.plan.version:
            self.plan = plan

    def _apply_loads(self, update: FleetUpdate) -> None:
        if update.position.epoch != self.position.epoch:
            self.fleet_loads.clear()
        self.fleet_loads.update(update.pressures)
        for server_id, load in update.pressures.items():
            if not load:
                del self.fleet_loads[server_id]

    def _apply_owners(self, update: FleetUpdate) -> None:
        if update.is_full:
            # Owners outlive a change of the leader, which may not know them, since
            # objects are cached there. Those of removed servers are of no use.
            for group, objects in self.owners.items():
                self.owners[group] = {
                    digest: owner
                    for digest, owner in objects.items()
                    if owner in self.servers
                }
                since_ms = self.owner_since_ms.get(group, {})
                for digest in since_ms.keys() - self.owners[group].keys():
                    del since_ms[digest]
        for group, changes in update.owners.items():
            objects = self.owners.setdefault(group, {})
            since_ms = self.owner_since_ms.setdefault(group, {})
            for digest, owner in changes.items():
                if not owner:
                    objects.pop(digest, None)
                    since_ms.pop(digest, None)
                elif objects.get(digest) != owner:
                    objects[digest] = owner
                    if self.updated_ms is not None:
                        since_ms[digest] = self.clock.now_ms()

    def _remove(self, server_id: str) -> None:
        self.servers.pop(server_id, None)
        self.fleet_loads.pop(server_id, None)

    def _apply_record(self, record: ServerRecord, now_ms: float) -> None:
        server = self.servers.get(record.server_id)
        if server is not None and server.record.born_ms > record.born_ms:
            return
        if record.state is ServerState.GONE:
            self._remove(record.server_id)
            return
        cold_until_ms = now_ms + record.cold_left_ms if record.cold_left_ms else 0.0
        self.servers[record.server_id] = FleetServer(record, cold_until_ms, now_ms)
