"""Accounting of one divisible limit: who may still be using how much of it."""

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
        Identifier of this run.
    """

    host: str
    incarnation: str


@attrs.define
class Lingering:
    """An amount that a holder may still be using until a known time.

    Parameters
    ----------
    amount : int
        The amount.
    until_ms : float
        Time on the leader's clock after which it is surely unused.
    """

    amount: int
    until_ms: float


@attrs.define
class Holding:
    """Upper bound of what one holder may be using.

    Parameters
    ----------
    amount : int
        Share that the holder has or may be about to apply.
    lingering : list of Lingering
        Earlier, larger shares that may still have an effect.
    committed : int
        Most that was granted since the capacity was last lowered and may be in
        use.
    generation : int
        Lowering of the capacity that ``committed`` refers to.
    """

    amount: int = 0
    lingering: list[Lingering] = attrs.field(factory=list)
    committed: int = 0
    generation: int = -1

    def bound(self) -> int:
        """Return the most that the holder may be using."""
        return max([self.amount, *(item.amount for item in self.lingering)])

    def add_lingering(self, amount: int, until_ms: float) -> None:
        """Keep ``amount`` counted until ``until_ms``."""
        self.lingering = [
            item
            for item in self.lingering
            if item.amount > amount or item.until_ms > until_ms
        ]
        self.lingering.append(Lingering(amount, until_ms))

    def purge(self, now_ms: float) -> None:
        """Drop the lingering amounts whose time has passed."""
        self.lingering = [
            item
            for item in self.lingering
            if item.until_ms > now_ms and item.amount > self.amount
        ]


class SharePool:
    """A limit divided among holders, without ever counting a unit twice.

    Parameters
    ----------
    capacity : int
        Units that may be in use at the same time.

    Notes
    -----
    The sum of the bounds of all holders plus the unknown amount exceeds the
    capacity only after the capacity was lowered; ``free`` is then negative and
    no share is raised until holders have confirmed lower ones. Shares that are
    granted after the lowering fit the new capacity by themselves, so it binds
    once every holder has been granted a share or has lost its lease.

    During a take-over from another leader, what no holder has reported yet
    counts as held by holders that are unknown.
    """

    def __init__(self, capacity: int = 0):
        self.capacity = capacity
        self._full = capacity
        self._holdings: dict[HolderId, Holding] = {}
        self._total = 0
        self._due: list[tuple[float, HolderId]] = []
        self._generation = 0
        self._committed = 0
        self._adopted = 0
        self._take_over_end_ms = float("-inf")

    def set_capacity(self, capacity: int, full: int | None = None) -> None:
        """Change the limit.

        Parameters
        ----------
        capacity : int
            Units that may be granted.
        full : int, optional
            Units that an earlier leader may have granted, if more.
        """
        if capacity < self.capacity:
            self._generation += 1
            self._committed = 0
        self.capacity = capacity
        self._full = capacity if full is None else full

    def begin_take_over(self, end_ms: float) -> None:
        """Count the whole capacity as held by holders that have not reported.

        Parameters
        ----------
        end_ms : float
            Time after which holders that never reported use nothing any more.
        """
        self._adopted = 0
        self._take_over_end_ms = end_ms

    def adopt(self, holder: HolderId, usable: int, in_use: int, now_ms: float) -> int:
        """Take over what a holder had from an earlier leader.

        Returns
        -------
        int
            Units that the holder may go on using; 0 after the take-over, since
            its lease has ended then.
        """
        kept = usable if now_ms < self._take_over_end_ms else 0
        amount = max(kept, in_use)
        self._adopted += amount
        self._replace(holder, Holding(amount))
        return kept

    def bound(self, holder: HolderId) -> int:
        """Return the most that a holder may be using."""
        holding = self._holdings.get(holder)
        return holding.bound() if holding else 0

    def amount(self, holder: HolderId) -> int:
        """Return the share that a holder has, without what only lingers."""
        holding = self._holdings.get(holder)
        return holding.amount if holding else 0

    def report(self, holder: HolderId, usable: int, in_use: int) -> int:
        """Replace the bound of a holder by its own exact report.

        Returns
        -------
        int
            Units that the holder may go on using, never above its old bound.
        """
        kept = min(usable, self.bound(holder))
        self._replace(holder, Holding(max(kept, in_use)))
        return kept

    def grantable(self, holder: HolderId, now_ms: float) -> int:
        """Return the largest share that a holder may be granted."""
        free = max(0, self.free(now_ms))
        others = self._committed - self._committed_by(holder)
        return max(0, min(self.bound(holder) + free, self.capacity - others))

    def raise_to(self, holder: HolderId, amount: int) -> None:
        """Count a share that the holder is about to apply."""
        holding = self._holdings.get(holder, Holding())
        changed = attrs.evolve(
            holding,
            amount=max(holding.amount, amount),
            committed=max(self._committed_by(holder), amount),
            generation=self._generation,
        )
        self._replace(holder, changed)

    def lower_to(self, holder: HolderId, amount: int, until_ms: float) -> None:
        """Lower a share whose old amount has an effect until ``until_ms``."""
        holding = self._holdings.get(holder)
        if holding is None:
            return
        changed = attrs.evolve(
            holding,
            amount=min(holding.amount, amount),
            lingering=list(holding.lingering),
            committed=min(holding.committed, amount),
        )
        if holding.amount > amount:
            changed.add_lingering(holding.amount, until_ms)
            heapq.heappush(self._due, (until_ms, holder))
        self._replace(holder, changed)

    def free(self, now_ms: float) -> int:
        """Return the units that nobody can be using; negative if too many are."""
        self.purge(now_ms)
        return self.capacity - self._total - self.unknown(now_ms)

    def unknown(self, now_ms: float) -> int:
        """Return the units that unreported holders may be using."""
        if now_ms >= self._take_over_end_ms:
            return 0
        return max(0, self._full - self._adopted)

    def purge(self, now_ms: float) -> None:
        """Drop what has surely ended."""
        while self._due and self._due[0][0] <= now_ms:
            _, holder = heapq.heappop(self._due)
            holding = self._holdings.get(holder)
            if holding is not None:
                changed = attrs.evolve(holding, lingering=list(holding.lingering))
                changed.purge(now_ms)
                self._replace(holder, changed)

    def is_empty(self) -> bool:
        """Return whether no known holder can be using any unit."""
        return self._total == 0

    def holders(self) -> tuple[HolderId, ...]:
        """Return everybody who may be using a unit."""
        return tuple(self._holdings)

    def _committed_by(self, holder: HolderId) -> int:
        holding = self._holdings.get(holder)
        if holding is None or holding.generation != self._generation:
            return 0
        return holding.committed

    def _replace(self, holder: HolderId, holding: Holding) -> None:
        self._total += holding.bound() - self.bound(holder)
        self._committed -= self._committed_by(holder)
        if holding.bound() > 0:
            self._holdings[holder] = holding
            self._committed += self._committed_by(holder)
        else:
            self._holdings.pop(holder, None)
