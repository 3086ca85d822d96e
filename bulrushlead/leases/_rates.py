"""Division of rate limits among entry hosts."""

from collections.abc import Sequence

from bulrushlead.leases._messages import Demand, LimitKey, RateLimit, RateShare
from bulrushlead.leases._pool import HolderId, SharePool
from bulrushlead.leases._record import HolderRecord
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._targets import divide_evenly, divide_max_min

FLOOR_DIVISOR = 4
"""A quarter of each limit is reserved for the floors of the declared hosts."""


class RateDivision:
    """Computes and grants the shares of every rate limit.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of the protocol.

    Notes
    -----
    One quarter of a limit is divided evenly among the declared entry hosts,
    live or not, so that the floor of a host that rejoins is not granted to
    another. The remainder is divided by max-min fairness over the demands of the
    live hosts, and any surplus is divided evenly among them. All amounts are
    integers and the shares of one limit never sum to more than the limit.
    """

    def __init__(self, settings: LeaseSettings):
        self.settings = settings
        self._pools: dict[LimitKey, SharePool] = {}
        self._limits: dict[LimitKey, int] = {}
        self._hosts: frozenset[str] = frozenset()
        self._targets: dict[LimitKey, dict[HolderId, int]] = {}
        self._recovery_end_ms = 0.0

    def start_term(self, now_ms: float, no_prior_grants: bool) -> None:
        """Clear all shares; see ``LeaseTable.start_term``."""
        wait_ms = self.settings.with_margin(
            self.settings.lease_ms + self.settings.rate_window_ms
        )
        self._recovery_end_ms = now_ms if no_prior_grants else now_ms + wait_ms
        self._pools = {}
        for key in self._limits:
            self._create_pool(key, now_ms)

    def set_limits(self, limits: Sequence[RateLimit], now_ms: float) -> None:
        """Replace the limits; a lower one takes effect once holders confirm it."""
        self._limits = {limit.key: limit.amount_per_s for limit in limits}
        for key, pool in list(self._pools.items()):
            pool.set_capacity(self._limits.get(key, 0))
            if key not in self._limits and pool.is_empty():
                del self._pools[key]
        for key in self._limits:
            if key not in self._pools:
                self._create_pool(key, now_ms)

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the declared entry hosts."""
        self._hosts = frozenset(names)

    def restore(
        self, record: HolderRecord, shares: Sequence[RateShare], now_ms: float
    ) -> None:
        """Count the shares that a holder received from an earlier leader."""
        for share in shares:
            pool = self._pools.get(share.key)
            if pool is None:
                pool = self._create_pool(share.key, now_ms)
            retained = pool.restore(record.holder, share.amount_per_s, 0, now_ms)
            record.rates[share.key] = retained

    def confirm(self, record: HolderRecord, acked_sequence: int, now_ms: float) -> None:
        """Count the shares of the last grant if acknowledged, else the earlier ones."""
        if record.grant is not None and acked_sequence == record.grant.sequence:
            record.rates = record.pending_rates
        record.pending_rates = {}
        self._lower_to_confirmed(record, now_ms)

    def release(self, record: HolderRecord) -> None:
        """Release the shares of a holder whose lease has expired."""
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
        """Grant and count the shares of one holder."""
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
        """Return the pool of one limit, or None."""
        return self._pools.get(key)

    def _create_pool(self, key: LimitKey, now_ms: float) -> SharePool:
        pool = self._pools[key] = SharePool(self._limits.get(key, 0))
        if now_ms < self._recovery_end_ms:
            pool.start_recovery(self._recovery_end_ms)
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
        floor = limit // FLOOR_DIVISOR // len(self._hosts)
        remainder = limit - floor * len(self._hosts)
        needs = [max(0, _wanted_rate(key, record) - floor) for record in live]
        granted = divide_max_min(needs, remainder)
        surplus = divide_evenly(remainder - sum(granted), len(live))
        return {
            record.holder: floor + amount + extra
            for record, amount, extra in zip(live, granted, surplus, strict=True)
        }


def _wanted_rate(key: LimitKey, record: HolderRecord) -> int:
    """Return the demand for a limit, at least 1 while requests wait for a slot."""
    wanted = record.rate_demands.get(key, 0)
    if wanted == 0 and any(_applies_to(key, demand) for demand in record.demands):
        return 1
    return wanted


def _applies_to(key: LimitKey, demand: Demand) -> bool:
    return demand.region == key.to_region and key.service in ("", demand.service)
