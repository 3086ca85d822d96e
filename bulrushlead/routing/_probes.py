"""Schedule of probe requests to an ejected server or zone."""

from bulrushlead.routing._settings import RouterSettings

START_TOLERANCE_MS = 1.0
"""Tolerance for a start time that is computed from the end and the latency."""


class ProbeSchedule:
    """Admits one probe at a time, with exponential backoff after failures.

    Parameters
    ----------
    settings : RouterSettings
        Intervals and the number of successful probes needed.
    now_ms : float
        Time of the ejection.
    max_interval_ms : float
        Longest interval between two probes.
    """

    def __init__(self, settings: RouterSettings, now_ms: float, max_interval_ms: float):
        self.settings = settings
        self.max_interval_ms = max_interval_ms
        self.interval_ms = settings.probe_interval_ms
        self.due_ms = now_ms + self.interval_ms
        self.started_ms = 0.0
        self.blocked_until_ms = 0.0
        self.n_successes = 0
        self.total_latency_ms = 0.0

    def is_due(self, now_ms: float, retryable: bool, in_budget: bool) -> bool:
        """Return whether a request may serve as a probe now.

        Parameters
        ----------
        now_ms : float
            The current time.
        retryable : bool
            Whether the request may be retried if the probe fails.
        in_budget : bool
            Whether ``requests_per_probe`` decisions were made since the last probe.
        """
        if now_ms < self.blocked_until_ms:
            return False
        delay_ms = 0.0 if in_budget else self.settings.max_probe_interval_ms
        if not retryable:
            delay_ms += self.interval_ms * self.settings.unsafe_probe_delay_factor
        return now_ms >= self.due_ms + delay_ms

    def begin(self, now_ms: float) -> None:
        """Record that a probe was sent.

        A probe whose end is never recorded blocks the next one only for
        ``max_probe_interval_ms``.
        """
        self.started_ms = now_ms
        self.blocked_until_ms = now_ms + self.settings.max_probe_interval_ms

    def is_result(self, started_ms: float, now_ms: float) -> bool:
        """Return whether a request that started at ``started_ms`` is the probe.

        Requests that were in flight at the ejection do not count as probes.
        """
        running = now_ms < self.blocked_until_ms
        return running and started_ms >= self.started_ms - START_TOLERANCE_MS

    def abandon(self) -> None:
        """Record that the probe ended without a result."""
        self.blocked_until_ms = 0.0

    def end(self, succeeded: bool, latency_ms: float, now_ms: float) -> bool:
        """Record the result of a probe.

        Returns
        -------
        bool
            Whether the ejection ends.
        """
        self.blocked_until_ms = 0.0
        if not succeeded:
            self.n_successes = 0
            self.total_latency_ms = 0.0
            self.interval_ms = min(2.0 * self.interval_ms, self.max_interval_ms)
            self.due_ms = now_ms + self.interval_ms
            return False
        self.n_successes += 1
        self.total_latency_ms += latency_ms
        self.interval_ms = self.settings.probe_interval_ms
        # Successful probes follow each other at once, to shorten the recovery.
        self.due_ms = now_ms
        return self.n_successes >= self.settings.probe_successes

    @property
    def mean_latency_ms(self) -> float | None:
        """Mean latency of the successful probes in ms, or None without any."""
        if not self.n_successes:
            return None
        return self.total_latency_ms / self.n_successes
