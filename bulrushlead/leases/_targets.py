"""Target shares: floors first, then demand, then an even division of the rest."""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from bulrushlead.leases._pool import HolderId


@attrs.frozen
class Claimant:
    """What one live entry host wants of one service.

    Parameters
    ----------
    holder : HolderId
        The host.
    region : str
        Region of the host.
    needs : mapping of str to int
        Slots wanted in each region: in use and waiting.
    """

    holder: HolderId
    region: str
    needs: Mapping[str, int]


def divide_evenly(amount: int, count: int) -> list[int]:
    """Return ``count`` integers that differ by at most 1 and sum to ``amount``."""
    share, rest = divmod(amount, count)
    return [share + (index < rest) for index in range(count)]


def fill_by_need(needs: Sequence[int], available: int) -> list[int]:
    """Return the max-min fair division of ``available`` units.

    Parameters
    ----------
    needs : sequence of int
        Units wanted by each.
    available : int
        Units to divide.

    Returns
    -------
    list of int
        Units for each, never above its need; the sum is at most ``available``.
    """
    given = [0] * len(needs)
    unmet = [index for index, need in enumerate(needs) if need > 0]
    while unmet and available > 0:
        shares = divide_evenly(available, len(unmet))
        for index, share in zip(unmet, shares, strict=True):
            step = min(share, needs[index] - given[index])
            given[index] += step
            available -= step
        unmet = [index for index in unmet if given[index] < needs[index]]
    return given


class SlotTargets:
    """Target numbers of slots of one service, by region and entry host.

    Parameters
    ----------
    capacities : mapping of str to int
        Slots of the service in each region.
    claimants : iterable of Claimant
        All live entry hosts.

    Notes
    -----
    A host's floor of one slot lies in its own region while that region has
    slots left, else in the region with the most left. Hosts with demand come
    first, so that an idle host's floor is called back when slots are too few.
    """

    def __init__(self, capacities: Mapping[str, int], claimants: Iterable[Claimant]):
        self.capacities = capacities
        self.claimants = claimants
        self._left = dict(capacities)
        self._targets: dict[str, dict[HolderId, int]] = {r: {} for r in capacities}

    def compute(self) -> dict[str, dict[HolderId, int]]:
        """Return the target of each host in each region."""
        ordered = sorted(self.claimants, key=_precedence)
        self._give_floors(ordered)
        for region in self.capacities:
            self._give_needs(region, ordered)
            self._give_rest(region, ordered)
        return self._targets

    def _give_floors(self, ordered: Sequence[Claimant]) -> None:
        for claimant in ordered:
            home = claimant.region
            if self._left.get(home, 0) < 1:
                home = max(self._left, key=lambda r: (self._left[r], r), default="")
            if self._left.get(home, 0) < 1:
                return
            self._add(home, claimant.holder, 1)

    def _give_needs(self, region: str, ordered: Sequence[Claimant]) -> None:
        targets = self._targets[region]
        needs = [
            max(0, claimant.needs.get(region, 0) - targets.get(claimant.holder, 0))
            for claimant in ordered
        ]
        given = fill_by_need(needs, self._left[region])
        for claimant, amount in zip(ordered, given, strict=True):
            self._add(region, claimant.holder, amount)

    def _give_rest(self, region: str, ordered: Sequence[Claimant]) -> None:
        local = [claimant.holder for claimant in ordered if claimant.region == region]
        holders = sorted(local or self._targets[region], key=_name)
        if holders:
            for holder, amount in zip(
                holders, divide_evenly(self._left[region], len(holders)), strict=True
            ):
                self._add(region, holder, amount)

    def _add(self, region: str, holder: HolderId, amount: int) -> None:
        if amount:
            targets = self._targets[region]
            targets[holder] = targets.get(holder, 0) + amount
            self._left[region] -= amount


def _precedence(claimant: Claimant) -> tuple[bool, str, str]:
    return (not any(claimant.needs.values()), *_name(claimant.holder))


def _name(holder: HolderId) -> tuple[str, str]:
    return (holder.host, holder.incarnation)
