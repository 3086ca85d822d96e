"""Target shares: floors, then demand, then an even division of the remainder."""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from bulrushlead.leases._pool import HolderId


@attrs.frozen
class Claimant:
    """Demand of one live entry host for one service.

    Parameters
    ----------
    holder : HolderId
        Identifies the host and its run.
    region : str
        Region of the host.
    needs : mapping of str to int
        Slots required in each region, for running and waiting requests.
    """

    holder: HolderId
    region: str
    needs: Mapping[str, int]


def divide_evenly(amount: int, count: int) -> list[int]:
    """Return ``count`` integers that differ by at most 1 and sum to ``amount``."""
    share, remainder = divmod(amount, count)
    return [share + (index < remainder) for index in range(count)]


def divide_max_min(needs: Sequence[int], available: int) -> list[int]:
    """Return the max-min fair division of ``available`` units.

    Parameters
    ----------
    needs : sequence of int
        Units required by each claimant.
    available : int
        Units to divide.

    Returns
    -------
    list of int
        Units for each claimant, at most its need; the sum is at most
        ``available``.
    """
    allocated = [0] * len(needs)
    unmet = [index for index, need in enumerate(needs) if need > 0]
    while unmet and available > 0:
        shares = divide_evenly(available, len(unmet))
        for index, share in zip(unmet, shares, strict=True):
            step = min(share, needs[index] - allocated[index])
            allocated[index] += step
            available -= step
        unmet = [index for index in unmet if allocated[index] < needs[index]]
    return allocated


class SlotTargets:
    """Computes target slots of one service, by region and entry host.

    Parameters
    ----------
    capacities : mapping of str to int
        Slots of the service in each region.
    claimants : iterable of Claimant
        All live entry hosts.

    Notes
    -----
    A host's floor is one slot in its own region, or in the region with the most
    remaining slots if its own has none left. Hosts with demand are served first, so
    that the floors of idle hosts are reclaimed when slots are scarce.
    """

    def __init__(self, capacities: Mapping[str, int], claimants: Iterable[Claimant]):
        self.capacities = capacities
        self.claimants = claimants
        self._remaining = dict(capacities)
        self._targets: dict[str, dict[HolderId, int]] = {r: {} for r in capacities}

    def compute(self) -> dict[str, dict[HolderId, int]]:
        """Return the target of each host, by region."""
        ordered = sorted(self.claimants, key=_allocation_order)
        self._allocate_floors(ordered)
        for region in self.capacities:
            self._allocate_needs(region, ordered)
            self._allocate_remainder(region, ordered)
        return self._targets

    def _allocate_floors(self, ordered: Sequence[Claimant]) -> None:
        for claimant in ordered:
            region = claimant.region
            if self._remaining.get(region, 0) < 1:
                region = max(
                    self._remaining, key=lambda r: (self._remaining[r], r), default=""
                )
            if self._remaining.get(region, 0) < 1:
                return
            self._add(region, claimant.holder, 1)

    def _allocate_needs(self, region: str, ordered: Sequence[Claimant]) -> None:
        targets = self._targets[region]
        needs = [
            max(0, claimant.needs.get(region, 0) - targets.get(claimant.holder, 0))
            for claimant in ordered
        ]
        allocated = divide_max_min(needs, self._remaining[region])
        for claimant, amount in zip(ordered, allocated, strict=True):
            self._add(region, claimant.holder, amount)

    def _allocate_remainder(self, region: str, ordered: Sequence[Claimant]) -> None:
        # A region without a live host divides its remainder among the hosts that
        # have a target in it.
        local = [claimant.holder for claimant in ordered if claimant.region == region]
        holders = sorted(local or self._targets[region], key=_holder_order)
        if holders:
            for holder, amount in zip(
                holders,
                divide_evenly(self._remaining[region], len(holders)),
                strict=True,
            ):
                self._add(region, holder, amount)

    def _add(self, region: str, holder: HolderId, amount: int) -> None:
        if amount:
            targets = self._targets[region]
            targets[holder] = targets.get(holder, 0) + amount
            self._remaining[region] -= amount


def _allocation_order(claimant: Claimant) -> tuple[bool, str, str]:
    return (not any(claimant.needs.values()), *_holder_order(claimant.holder))


def _holder_order(holder: HolderId) -> tuple[str, str]:
    return (holder.host, holder.incarnation)
