"""Division of the slots of backend servers among entry hosts."""

from collections.abc import Mapping, Sequence

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.leases._messages import HeldSlots, SlotShare
from bulrushlead.leases._pool import HolderId, SharePool
from bulrushlead.leases._record import HolderRecord, UsableSlots
from bulrushlead.leases._servers import (
    ServerEntry,
    SlotGroup,
    slot_capacity,
    slot_share,
    unknown_server,
)
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._targets import Claimant, SlotTargets

DEFAULT_MAX_DURATION_MS = 30_000
"""Longest request duration assumed for a service that declares none."""


class SlotDivision:
    """Shares of the slots of every backend server.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of the protocol.

    Notes
    -----
    Holdings are counted by the name of the server, over its restarts: a host
    that has not heard of a restart still sends to the address that it knows.
    Connections need no accounting of their own: each slot carries an equal part
    of the server's connections, so their sum is bounded with the slots.
    """

    def __init__(self, settings: LeaseSettings):
        self.settings = settings
        self._entries: dict[str, ServerEntry] = {}
        self._groups: dict[SlotGroup, list[ServerEntry]] = {}
        self._durations: Mapping[str, int] = {}
        self._targets: dict[SlotGroup, dict[HolderId, int]] = {}
        self._wanted: dict[SlotGroup, int] = {}
        self._take_over_start_ms: float | None = None

    def start_term(self, now_ms: float, known: bool) -> None:
        """Forget every share; see ``LeaseTable.start_term``."""
        self._take_over_start_ms = None if known else now_ms
        entries = [entry for entry in self._entries.values() if entry.announced]
        self._entries = {}
        for entry in entries:
            self._open_entry(entry.server, now_ms)
        self._group_servers()

    def set_servers(
        self,
        servers: Sequence[BackendServer],
        durations: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Replace the set of backend servers.

        A draining or missing server has no capacity; what is held of it stays
        counted until it is returned, in case the server comes back.
        """
        self._durations = durations
        named = {server.name: server for server in servers}
        for name, entry in self._entries.items():
            if name not in named and entry.announced:
                entry.server = attrs.evolve(entry.server, draining=True)
                entry.pool.set_capacity(0)
        for server in servers:
            entry = self._entries.get(server.name)
            if entry is None:
                self._open_entry(server, now_ms)
            else:
                entry.server = server
                entry.announced = True
                entry.pool.set_capacity(slot_capacity(server), server.slots)
        self._forget_unused(named)
        self._group_servers()

    def adopt(
        self, record: HolderRecord, held: Sequence[HeldSlots], now_ms: float
    ) -> None:
        """Take over what a holder had from an earlier leader."""
        for item in held:
            pool = self._entry(item.server, now_ms).pool
            kept = pool.adopt(record.holder, item.count, item.in_use, now_ms)
            record.slots[item.server] = UsableSlots(kept, item.in_use)

    def report(
        self, record: HolderRecord, held: Sequence[HeldSlots], now_ms: float
    ) -> None:
        """Replace what a holder had by its own report."""
        reported = {item.server: item for item in held}
        previous = set(record.slots)
        if record.grant is not None:
            previous.update(share.server for share in record.grant.slots)
        record.slots = {}
        for name in previous - reported.keys():
            self._entry(name, now_ms).pool.report(record.holder, 0, 0)
        for name, item in reported.items():
            pool = self._entry(name, now_ms).pool
            kept = pool.report(record.holder, item.count, item.in_use)
            record.slots[name] = UsableSlots(kept, item.in_use)

    def release(self, record: HolderRecord) -> None:
        """Count the slots of a silent holder until its work must have ended."""
        names = set(record.slots)
        if record.grant is not None:
            names.update(share.server for share in record.grant.slots)
        for name in names:
            entry = self._entries.get(name)
            if entry is not None:
                duration_ms = self._max_duration_ms(entry.server.service)
                until_ms = record.lease_end_ms + self.settings.with_margin(duration_ms)
                entry.pool.lower_to(record.holder, 0, until_ms)

    def longest_duration_ms(self) -> float:
        """Return the longest request duration of all services."""
        return max([DEFAULT_MAX_DURATION_MS, *self._durations.values()])

    def rebalance(self, live: Sequence[HolderRecord], now_ms: float) -> None:
        """Compute the target shares of all live holders."""
        self._targets = {}
        held = self._held_by_group(live)
        for service in sorted({group.service for group in self._groups}):
            self._set_targets(service, live)
        self._wanted = {
            group: self._count_wanted(group, held.get(group, {}), now_ms)
            for group in self._groups
        }

    def grant(self, record: HolderRecord, now_ms: float) -> tuple[SlotShare, ...]:
        """Return the shares of one holder, and count them."""
        counts = {
            name: self._allowed(self._entry(name, now_ms), usable, now_ms)
            for name, usable in record.slots.items()
        }
        for group, entries in self._groups.items():
            target = self._targets.get(group, {}).get(record.holder, 0)
            self._move_towards(target, record, group, entries, counts, now_ms)
        for name, count in counts.items():
            self._entries[name].pool.raise_to(record.holder, count)
        return tuple(
            slot_share(self._entries[name].server, count)
            for name, count in counts.items()
            if count > 0
        )

    def pool(self, name: str) -> SharePool | None:
        """Return the accounting of one backend server."""
        entry = self._entries.get(name)
        return entry.pool if entry is not None else None

    def bound_of(self, holder: HolderId) -> int:
        """Return the most slots that a holder may be using in all."""
        return sum(entry.pool.bound(holder) for entry in self._entries.values())

    def _allowed(self, entry: ServerEntry, usable: UsableSlots, now_ms: float) -> int:
        """Return how much of a holder's count stays under the capacity."""
        if not entry.announced:
            return usable.count if now_ms < self._take_over_end_ms(entry.server) else 0
        excess = max(0, -entry.pool.free(now_ms) - entry.pool.unknown(now_ms))
        return max(0, usable.count - excess)

    def _move_towards(
        self,
        target: int,
        record: HolderRecord,
        group: SlotGroup,
        entries: Sequence[ServerEntry],
        counts: dict[str, int],
        now_ms: float,
    ) -> None:
        held = sum(counts.get(entry.server.name, 0) for entry in entries)
        if held < target:
            self._raise(target - held, record, entries, counts, now_ms)
        elif held > target and (self._wanted.get(group, 0) > 0 or record.leaving):
            _lower(held - target, record, entries, counts)

    def _raise(
        self,
        amount: int,
        record: HolderRecord,
        entries: Sequence[ServerEntry],
        counts: dict[str, int],
        now_ms: float,
    ) -> None:
        free = {}
        for entry in entries:
            name = entry.server.name
            unused = entry.pool.bound(record.holder) - counts.get(name, 0)
            spare = entry.pool.free(now_ms) + unused
            if spare > 0:
                free[name] = spare
        for _ in range(amount):
            if not free:
                return
            name = min(free, key=lambda n: (counts.get(n, 0), -free[n], n))
            counts[name] = counts.get(name, 0) + 1
            free[name] -= 1
            if free[name] == 0:
                del free[name]

    def _set_targets(self, service: str, live: Sequence[HolderRecord]) -> None:
        groups = {g.region: g for g in self._groups if g.service == service}
        capacities = {
            region: sum(slot_capacity(entry.server) for entry in self._groups[group])
            for region, group in groups.items()
        }
        claimants = [self._claimant(service, record) for record in live]
        targets = SlotTargets(capacities, claimants).compute()
        for region, group in groups.items():
            self._targets[group] = targets[region]

    def _count_wanted(
        self, group: SlotGroup, held: Mapping[HolderId, int], now_ms: float
    ) -> int:
        """Return the slots that must be called back to reach the targets."""
        missing = sum(
            max(0, target - held.get(holder, 0))
            for holder, target in self._targets[group].items()
        )
        free = sum(max(0, entry.pool.free(now_ms)) for entry in self._groups[group])
        return max(0, missing - free)

    def _held_by_group(
        self, live: Sequence[HolderRecord]
    ) -> dict[SlotGroup, dict[HolderId, int]]:
        held: dict[SlotGroup, dict[HolderId, int]] = {}
        for record in live:
            for name, usable in record.slots.items():
                entry = self._entries.get(name)
                if entry is not None and usable.count:
                    group = SlotGroup(entry.server.service, entry.server.region)
                    counts = held.setdefault(group, {})
                    counts[record.holder] = counts.get(record.holder, 0) + usable.count
        return held

    def _claimant(self, service: str, record: HolderRecord) -> Claimant:
        needs: dict[str, int] = {}
        for name, usable in record.slots.items():
            entry = self._entries.get(name)
            if entry is not None and entry.server.service == service and usable.in_use:
                region = entry.server.region
                needs[region] = needs.get(region, 0) + usable.in_use
        for demand in record.demands:
            if demand.service == service:
                needs[demand.region] = needs.get(demand.region, 0) + demand.waiting
        return Claimant(record.holder, record.region, needs)

    def _max_duration_ms(self, service: str) -> float:
        return self._durations.get(service, DEFAULT_MAX_DURATION_MS)

    def _entry(self, name: str, now_ms: float) -> ServerEntry:
        entry = self._entries.get(name)
        return entry or self._open_entry(unknown_server(name), now_ms, False)

    def _open_entry(
        self, server: BackendServer, now_ms: float, announced: bool = True
    ) -> ServerEntry:
        pool = SharePool()
        pool.set_capacity(slot_capacity(server), server.slots)
        entry = self._entries[server.name] = ServerEntry(server, pool, announced)
        end_ms = self._take_over_end_ms(server)
        if now_ms < end_ms:
            pool.begin_take_over(end_ms)
        return entry

    def _take_over_end_ms(self, server: BackendServer) -> float:
        if self._take_over_start_ms is None:
            return float("-inf")
        return self._take_over_start_ms + self.settings.with_margin(
            self.settings.lease_ms + self._max_duration_ms(server.service)
        )

    def _forget_unused(self, named: Mapping[str, BackendServer]) -> None:
        for name, entry in list(self._entries.items()):
            if name not in named and entry.pool.is_empty():
                del self._entries[name]

    def _group_servers(self) -> None:
        self._groups = {}
        for entry in self._entries.values():
            if not entry.server.draining:
                group = SlotGroup(entry.server.service, entry.server.region)
                self._groups.setdefault(group, []).append(entry)


def _lower(
    amount: int,
    record: HolderRecord,
    entries: Sequence[ServerEntry],
    counts: dict[str, int],
) -> None:
    """Take idle slots first, from the servers of which most are held."""
    names = [entry.server.name for entry in entries if counts.get(entry.server.name)]
    for _ in range(amount):
        name = max(names, key=lambda n: (_idle(record, n, counts[n]), counts[n], n))
        counts[name] -= 1
        if counts[name] == 0:
            names.remove(name)


def _idle(record: HolderRecord, name: str, count: int) -> int:
    usable = record.slots.get(name)
    return count - (usable.in_use if usable is not None else 0)
