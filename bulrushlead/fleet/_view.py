"""What a host knows of the fleet, as the leader tells it."""

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
class KnownServer:
    """A record with the time at which it was received.

    Parameters
    ----------
    record : ServerRecord
        What the leader said.
    cold_until_ms : float
        When the server is warm, in milliseconds of the own clock.
    received_ms : float
        When the record arrived.
    """

    record: ServerRecord
    cold_until_ms: float
    received_ms: float


class FleetView:
    """Servers, hosts, evacuations and the plan, as of the last update.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    servers : dict of str to KnownServer
        Servers by identity, also leaving ones.
    position : SyncPosition
        How much is known.
    updated_ms : float or None
        When the last update arrived.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.servers: dict[str, KnownServer] = {}
        self.hosts: tuple[HostRecord, ...] = ()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.plan = None
        self.position = SyncPosition()
        self.control_addresses: tuple[str, ...] = ()
        self.pressures: dict[str, float] = {}
        self.updated_ms: float | None = None
        self._term = 0

    def apply(self, update: FleetUpdate) -> bool:
        """Take an update.

        Returns
        -------
        bool
            False if it comes from a leader of an earlier term and was dropped.
        """
        if update.term < self._term:
            return False
        self._term = update.term
        now_ms = self.clock.now_ms()
        if update.is_full:
            told = {record.server_id for record in update.servers}
            for server_id in self.servers.keys() - told:
                self._forget(server_id)
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
        self._apply_pressures(update)
        plan_version = -1 if self.plan is None else self.plan.version
        self.position = attrs.evolve(update.position, plan_version=plan_version)
        self.updated_ms = now_ms
        return True

    def recall(self, records: Iterable[ServerRecord]) -> None:
        """Begin with servers that were known before a restart."""
        now_ms = self.clock.now_ms()
        for record in records:
            self._apply_record(record, now_ms)

    def age_ms(self) -> float:
        """Return the time since the last update, infinite without one."""
        if self.updated_ms is None:
            return float("inf")
        return self.clock.now_ms() - self.updated_ms

    def records(self) -> list[ServerRecord]:
        """Return every record, with the cold time that is left now."""
        now_ms = self.clock.now_ms()
        return [
            attrs.evolve(
                known.record, cold_left_ms=max(0.0, known.cold_until_ms - now_ms)
            )
            for known in self.servers.values()
        ]

    def _apply_plan(self, plan) -> None:
        # A plan never goes back, whoever tells it.
        if self.plan is None or plan.version > self.plan.version:
            self.plan = plan

    def _apply_pressures(self, update: FleetUpdate) -> None:
        if update.position.epoch != self.position.epoch:
            self.pressures.clear()
        self.pressures.update(update.pressures)
        for server_id, pressure in update.pressures.items():
            if not pressure:
                del self.pressures[server_id]

    def _forget(self, server_id: str) -> None:
        self.servers.pop(server_id, None)
        self.pressures.pop(server_id, None)

    def _apply_record(self, record: ServerRecord, now_ms: float) -> None:
        known = self.servers.get(record.server_id)
        if known is not None and known.record.born_ms > record.born_ms:
            return
        if record.state is ServerState.GONE:
            self._forget(record.server_id)
            return
        cold_until_ms = now_ms + record.cold_left_ms if record.cold_left_ms else 0.0
        self.servers[record.server_id] = KnownServer(record, cold_until_ms, now_ms)
