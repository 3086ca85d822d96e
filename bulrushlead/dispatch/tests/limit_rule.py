"""The promise for servers that name a limit, checked from what they received."""

import collections

WINDOW_MS = 4_000.0
OVERSHOOT = 1.5
SLACK = 5
# From a host's first answer with a limit until its requests count.
NOTICE_MS = 500.0


class LimitObserver:
    """Records what one server named and received.

    All times are milliseconds of one clock. Only requests from hosts that were told
    count.

    Attributes
    ----------
    arrivals : list of float
        Times of all requests, whether they count or not.
    worst_excess : float
        Most counted requests beyond the allowed ones in any window so far; negative
        if every window stayed below.
    """

    def __init__(self):
        self.arrivals = []
        self.worst_excess = -float(SLACK)
        self._changes = []  # time and limit; None from a withdrawal on
        self._told_ms = {}
        self._window = collections.deque()

    def name_limit(self, now_ms, limit_per_s):
        """Record that the server's answers name a limit from now on, or none."""
        if self._changes or limit_per_s is not None:
            self._changes.append((now_ms, limit_per_s))

    def record_told(self, now_ms, host_id):
        """Record that a host has received an answer with a limit."""
        self._told_ms.setdefault(host_id, now_ms)

    def record_arrival(self, now_ms, host_id):
        """Record a request and return the excess of the window that ends with it."""
        self.arrivals.append(now_ms)
        told_ms = self._told_ms.get(host_id)
        if told_ms is None or now_ms < told_ms + NOTICE_MS:
            return -float(SLACK)
        self._window.append(now_ms)
        while self._window[0] < now_ms - WINDOW_MS:
            self._window.popleft()
        allowed = self._allowed(now_ms)
        if allowed is None:
            return -float(SLACK)
        excess = len(self._window) - allowed
        self.worst_excess = max(self.worst_excess, excess)
        return excess

    def _allowed(self, now_ms):
        """Return the requests allowed in the window that ends now.

        None if some of it had no limit.
        """
        start_ms = now_ms - WINDOW_MS
        first_ms, first_per_s = self._changes[0]
        # Before the first limit nothing counts, so that the first one holds for the
        # whole window.
        total = first_per_s * max(0.0, first_ms - start_ms)
        ends_ms = [when_ms for when_ms, _ in self._changes[1:]] + [now_ms]
        for (from_ms, limit_per_s), end_ms in zip(self._changes, ends_ms, strict=True):
            length_ms = end_ms - max(from_ms, start_ms)
            if length_ms <= 0:
                continue
            if limit_per_s is None:
                return None
            total += limit_per_s * length_ms
        return OVERSHOOT * total / 1_000.0 + SLACK
