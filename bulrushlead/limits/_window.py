"""Rate limit over a sliding window."""

import math
from collections import deque

import attrs

from bulrushlead.clock import Clock

NEARLY_USED_PERCENT = 80
"""Use, in percent of the limit, from which a larger limit is requested."""

BUCKETS_PER_WINDOW = 100
"""Number of buckets per window; it bounds the memory that a window uses."""


@attrs.define
class _Bucket:
    first_ms: float
    last_ms: float
    amount: int


class RateWindow:
    """Limits the amount consumed within any window of ``window_ms``.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    limit_per_s : int
        Maximum amount consumed in any window, whatever the length of the window.
    window_ms : float, default=1000.0
        Length of the half-open window: an amount consumed at ``t`` leaves the
        window at ``t + window_ms``.

    Notes
    -----
    The window is a sliding log in buckets. Amounts consumed within a hundredth
    of the window share a bucket, and the whole bucket leaves the window with its last
    amount. The sum is therefore never below the true one, an amount leaves at most
    a hundredth of the window late, and the memory is bounded.
    """

    def __init__(self, clock: Clock, limit_per_s: int, window_ms: float = 1_000.0):
        self.clock = clock
        self.limit_per_s = limit_per_s
        self.window_ms = window_ms
        self._buckets: deque[_Bucket] = deque()
        self._total = 0

    def try_take(self, amount: int = 1) -> bool:
        """Consume ``amount`` if the limit allows it.

        Returns
        -------
        bool
            Whether it was consumed.
        """
        if self.used() + amount > self.limit_per_s:
            return False
        self.record(amount)
        return True

    def record(self, amount: int) -> None:
        """Record an amount that was already consumed, even above the limit."""
        if amount <= 0:
            return
        now_ms = self.clock.now_ms()
        last = self._buckets[-1] if self._buckets else None
        if last and now_ms - last.first_ms < self.window_ms / BUCKETS_PER_WINDOW:
            last.last_ms = now_ms
            last.amount += amount
        else:
            self._buckets.append(_Bucket(now_ms, now_ms, amount))
        self._total += amount

    def used(self) -> int:
        """Return the amount in the window that ends now."""
        horizon_ms = self.clock.now_ms() - self.window_ms
        while self._buckets and self._buckets[0].last_ms <= horizon_ms:
            self._total -= self._buckets.popleft().amount
        return self._total

    def wanted(self) -> int:
        """Return the limit to request for the current use.

        Returns
        -------
        int
            The amount used. From ``NEARLY_USED_PERCENT`` of the limit, twice the
            limit or twice the amount used, whichever is larger, so that the limit
            grows in steps until it covers the demand.
        """
        return wanted_limit(self.used(), self.limit_per_s)

    def retry_after_ms(self, amount: int = 1) -> float:
        """Return the time until ``amount`` fits if nothing else is consumed.

        Returns
        -------
        float
            Milliseconds; infinity if the limit is below ``amount``.
        """
        excess = self.used() + amount - self.limit_per_s
        if excess <= 0:
            return 0.0
        if amount > self.limit_per_s:
            return math.inf
        for bucket in self._buckets:
            excess -= bucket.amount
            if excess <= 0:
                return bucket.last_ms + self.window_ms - self.clock.now_ms()
        return self.window_ms

    def set_limit(self, limit_per_s: int) -> None:
        """Change the limit; amounts already consumed still count."""
        self.limit_per_s = limit_per_s


def wanted_limit(used: int, limit: int) -> int:
    """Return the limit to request for a use; see ``RateWindow.wanted``."""
    if used and used * 100 >= limit * NEARLY_USED_PERCENT:
        return max(used, limit) * 2
    return used
