"""Division of rate limits among entry hosts."""

from collections.abc import Sequence

from bulrushlead.leases._messages import Demand, LimitKey, RateLimit, RateShare
from bulrushlead.leases._pool import HolderId, SharePool
from bulrushlead.leases._record import HolderRecord
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._targets import divide_evenly, fill_by_need

FLOOR_FRACTION = 4
"""One part in this many of each limit is reserved as floors."""


class RateDivision:
    """Shares of every rate limit.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of the protocol.

    Notes
    -----
    One quarter of a limit is divided evenly among the declared entry hosts,
    live or not, so that a host that returns finds its floor unlent. The rest
    meets the demands of the live hosts in max-min fairness, and what is left
    is divided evenly among them. All amounts are integers and the shares of
    one limit never sum to more than the limit.
    """

    def __init__(self, settings: LeaseSettings):
        self.settings = settings
        self._pools: dict[LimitKey, SharePool] = {}
        self._limits: dict[LimitKey, int] = {}
        self._hosts: frozenset[str] = frozenset()
        self._targets: dict[LimitKey, dict[HolderId, int]] = {}
        self._take_over_end_ms = 0.0

    def start_term(self, now_ms: float, known: bool) -> None:
        """Forget every share; see ``LeaseTable.start_term``."""
        wait_ms = self.settings.with_margin(
            self.settings.lease_ms + self.settings.rate_window_ms
        )
        self._take_over_end_ms = now_ms if known else now_ms + wait_ms
        self._pools = {}
        for key in self._limits:
            self._open_pool(key, now_ms)

    def set_limits(self, limits: Sequence[RateLimit], now_ms: float) -> None:
        """Replace the limits; lowered ones bind once holders confirmed it."""
        self._limits = {limit.key: limit.amount_per_s for limit in limits}
        for key, pool in list(self._pools.items()):
            pool.set_capacity(self._limits.get(key, 0))
            if key not in self._limits and pool.is_empty():
                del self._pools[key]
        for key in self._limits:
            if key not in self._pools:
                self._open_pool(key, now_ms)

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the declared entry hosts."""
        self._hosts = frozenset(names)

    def adopt(
        self, record: HolderRecord, shares: Sequence[RateShare], now_ms: float
    ) -> None:
        """Take over the shares that a holder had from an earlier leader."""
        for share in shares:
            pool = self._pools.get(share.key)
            if pool is None:
                pool = self._open_pool(share.key, now_ms)
            kept = pool.adopt(record.holder, share.amount_per_s, 0, now_ms)
            record.rates[share.key] = kept

    def confirm(self, record: HolderRecord, acked_sequence: int, now_ms: float) -> None:
        """Count what the holder uses now, by the grant that it acknowledges."""
        if record.grant is not None and acked_sequence == record.grant.sequence:
            record.rates = record.pending_rates
        record.pending_rates = {}
        self._lower_to_confirmed(record, now_ms)

    def release(self, record: HolderRecord) -> None:
        """Count the shares of a holder whose lease has ended as unused."""
        record.rates = {}
        record.pending_rates = {}
        self._lower_to_confirmed(record, record.lease_end_ms)

    def rebalance(self, live: Sequence[HolderRecord]) -> None:
        """Compute the target shares of all live holders."""
        declared = [
            record
            for record in live
            if record.holder.host in self._hosts and not record.leaving
        ]
        self._targets = {
            key: self._divide(key, limit, declared)
            for key, limit in self._limits.items()
        }

    def grant(self, record: HolderRecord, now_ms: float) -> tuple[RateShare, ...]:
        """Return the shares of one holder, and count them."""
        shares = []
        for key in self._limits:
            pool = self._pools[key]
            target = self._targets.get(key, {}).get(record.holder, 0)
            amount = min(target, pool.grantable(record.holder, now_ms))
            pool.raise_to(record.holder, amount)
            if amount > 0:
                shares.append(RateShare(key, amount))
        record.pending_rates = {share.key: share.amount_per_s for share in shares}
        return tuple(shares)

    def pool(self, key: LimitKey) -> SharePool | None:
        """Return the accounting of one limit."""
        return self._pools.get(key)

    def _open_pool(self, key: LimitKey, now_ms: float) -> SharePool:
        pool = self._pools[key] = SharePool(self._limits.get(key, 0))
        if now_ms < self._take_over_end_ms:
            pool.begin_take_over(self._take_over_end_ms)
        return pool

    def _lower_to_confirmed(self, record: HolderRecord, since_ms: float) -> None:
        until_ms = since_ms + self.settings.with_margin(self.settings.rate_window_ms)
        for key, pool in list(self._pools.items()):
            pool.lower_to(record.holder, record.rates.get(key, 0), until_ms)
            if key not in self._limits and pool.is_empty():
                del self._pools[key]

    def _divide(
        self, key: LimitKey, limit: int, live: Sequence[HolderRecord]
    ) -> dict[HolderId, int]:
        if not live:
            return {}
        floor = limit // FLOOR_FRACTION // len(self._hosts)
        rest = limit - floor * len(self._hosts)
        needs = [max(0, _wanted(key, record) - floor) for record in live]
        lent = fill_by_need(needs, rest)
        spare = divide_evenly(rest - sum(lent), len(live))
        return {
            record.holder: floor + amount + extra
            for record, amount, extra in zip(live, lent, spare, strict=True)
        }


def _wanted(key: LimitKey, record: HolderRecord) -> int:
    wanted = record.rate_demands.get(key, 0)
    if wanted == 0 and any(_concerns(key, demand) for demand in record.demands):
        return 1
    return wanted


def _concerns(key: LimitKey, demand: Demand) -> bool:
    return demand.region == key.to_region and key.service in ("", demand.service)
