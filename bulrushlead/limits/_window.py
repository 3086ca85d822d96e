"""A limit over every sliding window of one second."""

import math
from collections import deque

import attrs

from bulrushlead.clock import Clock

NEARLY_USED_PERCENT = 80
"""Part of the limit from which on a larger one is wanted."""

BUCKETS_PER_WINDOW = 100
"""Number of buckets that bound the memory of one window."""


@attrs.define
class _Bucket:
    first_ms: float
    last_ms: float
    amount: int


class RateWindow:
    """Bounds the amount taken within any window of ``window_ms``.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    limit_per_s : int
        Most that may be taken in any window.
    window_ms : float, default=1000.0
        Length of the window, half-open: what was taken at ``t`` leaves the
        window at ``t + window_ms``.

    Notes
    -----
    Sliding log in buckets: amounts taken shortly after one another share a
    bucket, and the whole bucket leaves the window with its last amount. The sum
    is therefore never below the true one, at most one hundredth of the window
    late, and the memory is bounded.
    """

    def __init__(self, clock: Clock, limit_per_s: int, window_ms: float = 1_000.0):
        self.clock = clock
        self.limit_per_s = limit_per_s
        self.window_ms = window_ms
        self._buckets: deque[_Bucket] = deque()
        self._total = 0

    def try_take(self, amount: int = 1) -> bool:
        """Take ``amount`` if the limit allows it.

        Returns
        -------
        bool
            Whether it was taken.
        """
        if self.used() + amount > self.limit_per_s:
            return False
        self.record(amount)
        return True

    def record(self, amount: int) -> None:
        """Count an amount that is already spent, even above the limit."""
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
        """Return the limit that would suit the present use.

        Returns
        -------
        int
            The amount used, or twice the limit if it is nearly used up, so that
            a share grows step by step to what is really sent.
        """
        return wanted_limit(self.used(), self.limit_per_s)

    def retry_after_ms(self, amount: int = 1) -> float:
        """Return the time until ``amount`` can be taken if nobody else does.

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
        """Change the limit; what was taken stays counted."""
        self.limit_per_s = limit_per_s


def wanted_limit(used: int, limit: int) -> int:
    """Return the limit that would suit a use; see ``RateWindow.wanted``."""
    if used and used * 100 >= limit * NEARLY_USED_PERCENT:
        return max(used, limit) * 2
    return used
