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
    placeholder_server,
    slot_capacity,
    slot_share,
)
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._targets import Claimant, SlotTargets

DEFAULT_MAX_DURATION_MS = 30_000
"""Maximum request duration assumed for a service that declares none."""


class SlotDivision:
    """Computes and grants the shares of the slots of every backend server.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of the protocol.

    Notes
    -----
    Slots are counted by the name of the server across its restarts, because a
    host that is not yet informed of a restart still sends to the old address.
    Connections need no separate accounting: each slot includes an equal part
    of the server's connections, so the bound on slots also bounds connections.
    """

    def __init__(self, settings: LeaseSettings):
        self.settings = settings
        self._entries: dict[str, ServerEntry] = {}
        self._groups: dict[SlotGroup, list[ServerEntry]] = {}
        self._durations_ms: Mapping[str, int] = {}
        self._targets: dict[SlotGroup, dict[HolderId, int]] = {}
        self._shortfalls: dict[SlotGroup, int] = {}
        self._recovery_start_ms: float | None = None

    def start_term(self, now_ms: float, no_prior_grants: bool) -> None:
        """Clear all shares; see ``LeaseTable.start_term``."""
        self._recovery_start_ms = None if no_prior_grants else now_ms
        entries = [entry for entry in self._entries.values() if entry.announced]
        self._entries = {}
        for entry in entries:
            self._create_entry(entry.server, now_ms)
        self._group_servers()

    def set_servers(
        self,
        servers: Sequence[BackendServer],
        durations_ms: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Replace the set of backend servers.

        A draining or missing server has no capacity. Its held slots stay counted
        until they are released, in case the server announces itself again.
        """
        self._durations_ms = durations_ms
        current = {server.name: server for server in servers}
        for name, entry in self._entries.items():
            if name not in current and entry.announced:
                entry.server = attrs.evolve(entry.server, draining=True)
                entry.pool.set_capacity(0)
        for server in servers:
            entry = self._entries.get(server.name)
            if entry is None:
                self._create_entry(server, now_ms)
            else:
                entry.server = server
                entry.announced = True
                entry.pool.set_capacity(slot_capacity(server), server.slots)
        self._remove_unused(current)
        self._group_servers()

    def restore(
        self, record: HolderRecord, held: Sequence[HeldSlots], now_ms: float
    ) -> None:
        """Count the slots that a holder received from an earlier leader."""
        for item in held:
            pool = self._ensure_entry(item.server, now_ms).pool
            retained = pool.restore(record.holder, item.count, item.in_use, now_ms)
            record.slots[item.server] = UsableSlots(retained, item.in_use)

    def report(
        self, record: HolderRecord, held: Sequence[HeldSlots], now_ms: float
    ) -> None:
        """Replace the recorded slots of a holder with its report."""
        reported = {item.server: item for item in held}
        previous = set(record.slots)
        if record.grant is not None:
            previous.update(share.server for share in record.grant.slots)
        record.slots = {}
        for name in previous - reported.keys():
            self._ensure_entry(name, now_ms).pool.report(record.holder, 0, 0)
        for name, item in reported.items():
            pool = self._ensure_entry(name, now_ms).pool
            retained = pool.report(record.holder, item.count, item.in_use)
            record.slots[name] = UsableSlots(retained, item.in_use)

    def release(self, record: HolderRecord) -> None:
        """Release the slots of an expired holder once its requests must have ended."""
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
        """Return the maximum request duration of all services, at least the default."""
        return max([DEFAULT_MAX_DURATION_MS, *self._durations_ms.values()])

    def rebalance(self, live: Sequence[HolderRecord], now_ms: float) -> None:
        """Compute the target shares of all live holders."""
        self._targets = {}
        held = self._held_by_group(live)
        for service in sorted({group.service for group in self._groups}):
            self._set_targets(service, live)
        self._shortfalls = {
            group: self._compute_shortfall(group, held.get(group, {}), now_ms)
            for group in self._groups
        }

    def grant(self, record: HolderRecord, now_ms: float) -> tuple[SlotShare, ...]:
        """Grant and count the shares of one holder."""
        counts = {
            name: self._retained_count(self._ensure_entry(name, now_ms), usable, now_ms)
            for name, usable in record.slots.items()
        }
        for group, entries in self._groups.items():
            target = self._targets.get(group, {}).get(record.holder, 0)
            self._adjust_to_target(target, record, group, entries, counts, now_ms)
        for name, count in counts.items():
            self._entries[name].pool.raise_to(record.holder, count)
        return tuple(
            slot_share(self._entries[name].server, count)
            for name, count in counts.items()
            if count > 0
        )

    def pool(self, name: str) -> SharePool | None:
        """Return the pool of one backend server, or None."""
        entry = self._entries.get(name)
        return entry.pool if entry is not None else None

    def bound_of(self, holder: HolderId) -> int:
        """Return the upper bound of the slots that a holder may use in total."""
        return sum(entry.pool.bound(holder) for entry in self._entries.values())

    def _retained_count(
        self, entry: ServerEntry, usable: UsableSlots, now_ms: float
    ) -> int:
        """Return how many of a holder's slots fit within the capacity."""
        if not entry.announced:
            return usable.count if now_ms < self._recovery_end_ms(entry.server) else 0
        # Units that are not reported yet do not reduce the reported shares.
        excess = max(0, -entry.pool.free(now_ms) - entry.pool.unreported(now_ms))
        return max(0, usable.count - excess)

    def _adjust_to_target(
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
            self._add_slots(target - held, record, entries, counts, now_ms)
        elif held > target and (self._shortfalls.get(group, 0) > 0 or record.leaving):
            _remove_slots(held - target, record, entries, counts)

    def _add_slots(
        self,
        amount: int,
        record: HolderRecord,
        entries: Sequence[ServerEntry],
        counts: dict[str, int],
        now_ms: float,
    ) -> None:
        """Add free slots of the servers of which the holder has the fewest slots."""
        free = {}
        for entry in entries:
            name = entry.server.name
            unused = entry.pool.bound(record.holder) - counts.get(name, 0)
            available = entry.pool.free(now_ms) + unused
            if available > 0:
                free[name] = available
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
        claimants = [self._build_claimant(service, record) for record in live]
        targets = SlotTargets(capacities, claimants).compute()
        for region, group in groups.items():
            self._targets[group] = targets[region]

    def _compute_shortfall(
        self, group: SlotGroup, held: Mapping[HolderId, int], now_ms: float
    ) -> int:
        """Return the slots that holders must release to reach the targets."""
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

    def _build_claimant(self, service: str, record: HolderRecord) -> Claimant:
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
        return self._durations_ms.get(service, DEFAULT_MAX_DURATION_MS)

    def _ensure_entry(self, name: str, now_ms: float) -> ServerEntry:
        entry = self._entries.get(name)
        return entry or self._create_entry(placeholder_server(name), now_ms, False)

    def _create_entry(
        self, server: BackendServer, now_ms: float, announced: bool = True
    ) -> ServerEntry:
        pool = SharePool()
        pool.set_capacity(slot_capacity(server), server.slots)
        entry = self._entries[server.name] = ServerEntry(server, pool, announced)
        end_ms = self._recovery_end_ms(server)
        if now_ms < end_ms:
            pool.start_recovery(end_ms)
        return entry

    def _recovery_end_ms(self, server: BackendServer) -> float:
        if self._recovery_start_ms is None:
            return float("-inf")
        return self._recovery_start_ms + self.settings.with_margin(
            self.settings.lease_ms + self._max_duration_ms(server.service)
        )

    def _remove_unused(self, current: Mapping[str, BackendServer]) -> None:
        for name, entry in list(self._entries.items()):
            if name not in current and entry.pool.is_empty():
                del self._entries[name]

    def _group_servers(self) -> None:
        self._groups = {}
        for entry in self._entries.values():
            if not entry.server.draining:
                group = SlotGroup(entry.server.service, entry.server.region)
                self._groups.setdefault(group, []).append(entry)


def _remove_slots(
    amount: int,
    record: HolderRecord,
    entries: Sequence[ServerEntry],
    counts: dict[str, int],
) -> None:
    """Remove idle slots first, from the servers with the most slots held."""
    names = [entry.server.name for entry in entries if counts.get(entry.server.name)]
    for _ in range(amount):
        name = max(
            names, key=lambda n: (_idle_count(record, n, counts[n]), counts[n], n)
        )
        counts[name] -= 1
        if counts[name] == 0:
            names.remove(name)


def _idle_count(record: HolderRecord, name: str, count: int) -> int:
    usable = record.slots.get(name)
    return count - (usable.in_use if usable is not None else 0)
