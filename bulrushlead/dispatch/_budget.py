"""Limits the retries of all hosts together to a share of the requests."""

from collections import deque

from bulrushlead.clock import Clock

# Share of the fleet-wide ratio that a host uses. The hosts' windows start at different
# times, so all hosts together can exceed the ratio within one window.
RATIO_SHARE = 0.85
# Share of the fleet-wide slack that the hosts divide among themselves. A host that has
# just joined uses its part before the others reduce theirs.
SLACK_SHARE = 0.8


class RetryBudget:
    """Retry budget of one host, per service, over a sliding window.

    It limits the extra load from retries when some servers fail.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in a window beyond the ratio, over all hosts.
    window_ms : float
        Length of the window, in milliseconds.

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
        self._started_ms = clock.now_ms()
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._append(self._requests, service)

    def withdraw_request(self, service: str) -> None:
        """Withdraw the newest request: another host sends its attempts."""
        times = self._requests.get(service)
        if times:
            times.pop()

    def request_rate_per_s(self, service: str) -> float:
        """Return this host's requests per second, as the mean over the window."""
        age_ms = min(self.window_ms, self.clock.now_ms() - self._started_ms)
        return self._count(self._requests, service) * 1_000.0 / max(1_000.0, age_ms)

    def allows(self, service: str) -> bool:
        """Return whether the budget allows one more retry."""
        requests = self._count(self._requests, service)
        retries = self._count(self._retries, service)
        allowed = requests * self.ratio * RATIO_SHARE
        allowed += self.slack * SLACK_SHARE / max(1, self.host_count)
        return retries + 1 <= allowed

    def record_retry(self, service: str) -> None:
        """Count a retry that was sent."""
        self._append(self._retries, service)

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
