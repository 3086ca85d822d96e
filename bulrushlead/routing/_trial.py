"""Schedule of trial requests to a distrusted server or zone."""

from bulrushlead.routing._settings import RouterSettings

START_TOLERANCE_MS = 1.0


class Trial:
    """Admits one trial request at a time, less often after failures.

    Parameters
    ----------
    settings : RouterSettings
        Intervals and the number of good trials needed.
    now_ms : float
        When trust was lost.
    longest_ms : float
        Longest time between two trials.
    """

    def __init__(self, settings: RouterSettings, now_ms: float, longest_ms: float):
        self.settings = settings
        self.longest_ms = longest_ms
        self.interval_ms = settings.trial_interval_ms
        self.next_ms = now_ms + self.interval_ms
        self.started_ms = 0.0
        self.running_until_ms = 0.0
        self.n_successes = 0
        self.total_latency_ms = 0.0

    def is_due(self, now_ms: float, repeatable: bool, in_budget: bool) -> bool:
        """Return whether a request may serve as a trial now.

        Parameters
        ----------
        now_ms : float
            The current time.
        repeatable : bool
            Whether the request may be repeated if the trial fails.
        in_budget : bool
            Whether trials are a small enough share of all requests.
        """
        if now_ms < self.running_until_ms:
            return False
        delay_ms = 0.0 if in_budget else self.settings.max_trial_interval_ms
        if not repeatable:
            delay_ms += self.interval_ms * self.settings.unsafe_trial_delay_factor
        return now_ms >= self.next_ms + delay_ms

    def begin(self, now_ms: float) -> None:
        """Note that a trial request was sent.

        A trial whose end is never told blocks the next one only for the
        longest interval.
        """
        self.started_ms = now_ms
        self.running_until_ms = now_ms + self.settings.max_trial_interval_ms

    def is_result(self, started_ms: float, now_ms: float) -> bool:
        """Return whether a request that started then is the running trial.

        Requests that were in flight when trust was lost tell nothing new.
        """
        running = now_ms < self.running_until_ms
        return running and started_ms >= self.started_ms - START_TOLERANCE_MS

    def abandon(self) -> None:
        """Note that the trial ended before it showed anything."""
        self.running_until_ms = 0.0

    def end(self, good: bool, latency_ms: float, now_ms: float) -> bool:
        """Take in the result of a trial.

        Returns
        -------
        bool
            Whether trust returns.
        """
        self.running_until_ms = 0.0
        if not good:
            self.n_successes = 0
            self.total_latency_ms = 0.0
            self.interval_ms = min(2.0 * self.interval_ms, self.longest_ms)
            self.next_ms = now_ms + self.interval_ms
            return False
        self.n_successes += 1
        self.total_latency_ms += latency_ms
        self.interval_ms = self.settings.trial_interval_ms
        # Good trials follow each other at once, so that recovery is short.
        self.next_ms = now_ms
        return self.n_successes >= self.settings.trial_successes

    @property
    def mean_latency_ms(self) -> float | None:
        """Mean latency of the good trials, or None without any."""
        if not self.n_successes:
            return None
        return self.total_latency_ms / self.n_successes
