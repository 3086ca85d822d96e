"""The promise for servers that name a limit, checked from what they received."""

import collections

WINDOW_MS = 4_000.0
OVERSHOOT = 1.5
SLACK = 5
# From a host's first answer with a limit until its requests count.
NOTICE_MS = 500.0


class LimitObserver:
    """Records what one server named and received.

    All times are milliseconds of the observer's clock.
    """

    def __init__(self):
        self.changes = []  # time and limit; None from a withdrawal on
        self.arrivals = []  # time and host
        self._told_ms = {}

    def name_limit(self, now_ms, limit_per_s):
        """Record that the server's answers name a limit from now on, or none."""
        self.changes.append((now_ms, limit_per_s))

    def record_told(self, now_ms, host_id):
        """Record that a host has received an answer with a limit."""
        self._told_ms.setdefault(host_id, now_ms)

    def record_arrival(self, now_ms, host_id):
        """Record a request, whether the server accepts it or not."""
        self.arrivals.append((now_ms, host_id))

    def worst_excess(self, contact_ms=0.0):
        """Return the most requests beyond the allowed ones in any window.

        Negative if every window stayed below. Counted are requests from hosts that
        were told; windows end from ``contact_ms`` after the first limit on.
        """
        if not self.changes:
            return -float(SLACK)
        worst = -float(SLACK)
        window = collections.deque()
        for now_ms, host_id in self.arrivals:
            told_ms = self._told_ms.get(host_id)
            if told_ms is None or now_ms < told_ms + NOTICE_MS:
                continue
            window.append(now_ms)
            while window[0] < now_ms - WINDOW_MS:
                window.popleft()
            allowed = self._allowed(now_ms)
            if allowed is not None and now_ms >= self.changes[0][0] + contact_ms:
                worst = max(worst, len(window) - allowed)
        return worst

    def _allowed(self, now_ms):
        """Return the requests allowed in the window that ends now.

        None if some of it had no limit.
        """
        start_ms = now_ms - WINDOW_MS
        times = [when_ms for when_ms, _ in self.changes[1:]] + [float("inf")]
        total = 0.0
        for (from_ms, limit_per_s), until_ms in zip(self.changes, times, strict=True):
            length_ms = min(until_ms, now_ms) - max(from_ms, start_ms)
            if length_ms <= 0:
                continue
            if limit_per_s is None:
                return None
            total += limit_per_s * length_ms / 1_000.0
        # Before the first limit nothing counts, so that the first one holds for the
        # whole window.
        total += self.changes[0][1] * max(0.0, self.changes[0][0] - start_ms) / 1_000.0
        return OVERSHOOT * total + SLACK
