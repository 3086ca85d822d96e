"""Keeps the repeats of all hosts together below a share of the requests."""

from collections import deque

from bulrushlead.clock import Clock

RATIO_SHARE = 0.85  # of the shared ratio; windows of others begin at other times
SLACK_SHARE = 0.8  # of the shared slack; hosts that just joined count themselves too


class RetryBudget:
    """Answers the pattern of a failing tenth: repeats must not become a storm.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed in a window beyond that, over all hosts.
    window_ms : float
        Length of the window.

    Attributes
    ----------
    host_count : int
        Hosts that share the slack.
    """

    def __init__(self, clock: Clock, ratio: float, slack: float, window_ms: float):
        self.clock = clock
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.host_count = 1
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._append(self._requests, service)

    def allows(self, service: str) -> bool:
        """Return whether one more repeat fits."""
        requests = self._count(self._requests, service)
        repeats = self._count(self._repeats, service)
        allowed = requests * self.ratio * RATIO_SHARE
        allowed += self.slack * SLACK_SHARE / max(1, self.host_count)
        return repeats + 1 <= allowed

    def note_repeat(self, service: str) -> None:
        """Count a repeat that was sent."""
        self._append(self._repeats, service)

    def _append(self, table: dict[str, deque[float]], service: str) -> None:
        times = table.setdefault(service, deque())
        times.append(self.clock.now_ms())
        self._trim(times)

    def _count(self, table: dict[str, deque[float]], service: str) -> int:
        times = table.get(service)
        if times is None:
            return 0
        self._trim(times)
        return len(times)

    def _trim(self, times: deque[float]) -> None:
        oldest_ms = self.clock.now_ms() - self.window_ms
        while times and times[0] < oldest_ms:
            times.popleft()
