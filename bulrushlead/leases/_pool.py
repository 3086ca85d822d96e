"""Accounting of one divisible limit: upper bounds of what each holder may use."""

import heapq

import attrs


@attrs.frozen(order=True, cache_hash=True)
class HolderId:
    """One run of an entry host.

    Parameters
    ----------
    host : str
        Name of the entry host.
    incarnation : str
        Identifier of this run of the process.
    """

    host: str
    incarnation: str


@attrs.define
class ExpiringAmount:
    """An amount that a holder may use until it expires.

    Parameters
    ----------
    amount : int
        Number of units.
    until_ms : float
        Time on the leader's clock after which the holder can't be using them.
    """

    amount: int
    until_ms: float


@attrs.define
class Holding:
    """Upper bound of what one holder may be using.

    Parameters
    ----------
    amount : int
        Current share, applied by the holder or sent to it in a grant.
    expiring : list of ExpiringAmount
        Earlier, larger shares that the holder may still be using.
    committed : int
        Largest share granted since the last reduction of the capacity that may be
        in use.
    generation : int
        Number of the capacity reduction that ``committed`` refers to.
    """

    amount: int = 0
    expiring: list[ExpiringAmount] = attrs.field(factory=list)
    committed: int = 0
    generation: int = -1

    def bound(self) -> int:
        """Return the upper bound of what the holder may be using."""
        return max([self.amount, *(item.amount for item in self.expiring)])

    def add_expiring(self, amount: int, until_ms: float) -> None:
        """Count ``amount`` as possibly in use until ``until_ms``."""
        self.expiring = [
            item
            for item in self.expiring
            if item.amount > amount or item.until_ms > until_ms
        ]
        self.expiring.append(ExpiringAmount(amount, until_ms))

    def purge(self, now_ms: float) -> None:
        """Remove the amounts that have expired or are covered by ``amount``."""
        self.expiring = [
            item
            for item in self.expiring
            if item.until_ms > now_ms and item.amount > self.amount
        ]


class SharePool:
    """Divides a limit among holders so that no two can use a unit at the same time.

    Parameters
    ----------
    capacity : int
        Units that may be in use at the same time.

    Notes
    -----
    The sum of the bounds of all holders plus the unreported amount exceeds the
    capacity only after the capacity was reduced. ``free`` is then negative and
    no share is raised until holders have confirmed smaller ones. The shares
    granted after the reduction sum to at most the new capacity, so the new
    capacity is in effect once every holder has applied a new grant or its lease
    has expired.

    During the recovery period after a change of leader, units that no holder has
    reported yet count as held by holders that are still to report.
    """

    def __init__(self, capacity: int = 0):
        self.capacity = capacity
        self._prior_capacity = capacity
        self._holdings: dict[HolderId, Holding] = {}
        self._total_bound = 0
        self._expirations: list[tuple[float, HolderId]] = []
        self._generation = 0
        self._committed = 0
        self._restored = 0
        self._recovery_end_ms = float("-inf")

    def set_capacity(self, capacity: int, prior_capacity: int | None = None) -> None:
        """Set the capacity.

        Parameters
        ----------
        capacity : int
            Units that may be granted.
        prior_capacity : int, optional
            Units that an earlier leader may have granted; ``capacity`` if omitted.
        """
        if capacity < self.capacity:
            self._generation += 1
            self._committed = 0
        self.capacity = capacity
        self._prior_capacity = capacity if prior_capacity is None else prior_capacity

    def start_recovery(self, end_ms: float) -> None:
        """Count the prior capacity as held by holders that have not reported.

        Parameters
        ----------
        end_ms : float
            Time after which a holder that has not reported can use no unit.
        """
        self._restored = 0
        self._recovery_end_ms = end_ms

    def restore(self, holder: HolderId, usable: int, in_use: int, now_ms: float) -> int:
        """Count the share that a holder received from an earlier leader.

        Returns
        -------
        int
            Units that the holder may continue to use; 0 after the recovery period,
            since its lease has expired by then.
        """
        retained = usable if now_ms < self._recovery_end_ms else 0
        amount = max(retained, in_use)
        self._restored += amount
        self._replace(holder, Holding(amount))
        return retained

    def bound(self, holder: HolderId) -> int:
        """Return the upper bound of what a holder may be using."""
        holding = self._holdings.get(holder)
        return holding.bound() if holding else 0

    def amount(self, holder: HolderId) -> int:
        """Return the current share of a holder, without its expiring amounts."""
        holding = self._holdings.get(holder)
        return holding.amount if holding else 0

    def report(self, holder: HolderId, usable: int, in_use: int) -> int:
        """Replace the bound of a holder with what it reports.

        Returns
        -------
        int
            Units that the holder may continue to use, at most its previous bound.
        """
        retained = min(usable, self.bound(holder))
        self._replace(holder, Holding(max(retained, in_use)))
        return retained

    def grantable(self, holder: HolderId, now_ms: float) -> int:
        """Return the largest share that a holder may be granted."""
        free = max(0, self.free(now_ms))
        others = self._committed - self._committed_by(holder)
        return max(0, min(self.bound(holder) + free, self.capacity - others))

    def raise_to(self, holder: HolderId, amount: int) -> None:
        """Count a share that is being granted to the holder."""
        holding = self._holdings.get(holder, Holding())
        changed = attrs.evolve(
            holding,
            amount=max(holding.amount, amount),
            committed=max(self._committed_by(holder), amount),
            generation=self._generation,
        )
        self._replace(holder, changed)

    def lower_to(self, holder: HolderId, amount: int, until_ms: float) -> None:
        """Reduce a share whose previous amount may be in use until ``until_ms``."""
        holding = self._holdings.get(holder)
        if holding is None:
            return
        changed = attrs.evolve(
            holding,
            amount=min(holding.amount, amount),
            expiring=list(holding.expiring),
            committed=min(holding.committed, amount),
        )
        if holding.amount > amount:
            changed.add_expiring(holding.amount, until_ms)
            heapq.heappush(self._expirations, (until_ms, holder))
        self._replace(holder, changed)

    def free(self, now_ms: float) -> int:
        """Return the units that no holder can be using; negative if over capacity."""
        self.purge(now_ms)
        return self.capacity - self._total_bound - self.unreported(now_ms)

    def unreported(self, now_ms: float) -> int:
        """Return the units that holders which have not reported may be using."""
        if now_ms >= self._recovery_end_ms:
            return 0
        return max(0, self._prior_capacity - self._restored)

    def purge(self, now_ms: float) -> None:
        """Remove the amounts that expired by ``now_ms``."""
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, holder = heapq.heappop(self._expirations)
            holding = self._holdings.get(holder)
            if holding is not None:
                changed = attrs.evolve(holding, expiring=list(holding.expiring))
                changed.purge(now_ms)
                self._replace(holder, changed)

    def is_empty(self) -> bool:
        """Return whether no holder that has reported can be using any unit."""
        return self._total_bound == 0

    def holders(self) -> tuple[HolderId, ...]:
        """Return the holders that may be using a unit."""
        return tuple(self._holdings)

    def _committed_by(self, holder: HolderId) -> int:
        holding = self._holdings.get(holder)
        if holding is None or holding.generation != self._generation:
            return 0
        return holding.committed

    def _replace(self, holder: HolderId, holding: Holding) -> None:
        self._total_bound += holding.bound() - self.bound(holder)
        self._committed -= self._committed_by(holder)
        if holding.bound() > 0:
            self._holdings[holder] = holding
            self._committed += self._committed_by(holder)
        else:
            self._holdings.pop(holder, None)
