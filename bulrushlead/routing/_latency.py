"""Running estimates of a backend server's latency."""

import math


class LatencyEstimate:
    """Running moments of observed latencies.

    Parameters
    ----------
    sample_weight : float
        Weight of the newest sample in the moments, 0 to 1.
    fade_ms : float
        Time without samples in which the mean's distance from the baseline
        falls to 1/e.
    """

    def __init__(self, sample_weight: float, fade_ms: float):
        self.sample_weight = sample_weight
        self.fade_ms = fade_ms
        self.n_samples = 0
        self.mean_ms = 0.0
        self.variance_ms2 = 0.0
        self._added_at_ms = 0.0

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Take in one observed latency.

        Parameters
        ----------
        latency_ms : float
            The latency.
        now_ms : float
            When it was observed.
        """
        self._added_at_ms = now_ms
        self.n_samples += 1
        # The first samples weigh equally; after that the weight is constant.
        weight = max(self.sample_weight, 1.0 / self.n_samples)
        difference = latency_ms - self.mean_ms
        self.mean_ms += weight * difference
        self.variance_ms2 = (1.0 - weight) * (
            self.variance_ms2 + weight * difference * difference
        )

    def faded_mean_ms(self, now_ms: float, baseline_ms: float) -> float:
        """Return the mean, drawn to a baseline while no samples arrive.

        A server that gets no requests because it was slow would otherwise
        never show that it has become quick.

        Parameters
        ----------
        now_ms : float
            The current time.
        baseline_ms : float
            What to expect of a server of which nothing is known.
        """
        if not self.n_samples:
            return baseline_ms
        age_ms = now_ms - self._added_at_ms
        weight = math.exp(-age_ms / self.fade_ms)
        return baseline_ms + weight * (self.mean_ms - baseline_ms)
