"""Running estimates of a backend server's latency."""

import math


class LatencyEstimate:
    """Running moments and a decaying peak of observed latencies.

    Parameters
    ----------
    sample_weight : float
        Weight of the newest sample in the moments, 0 to 1.
    peak_decay_ms : float
        Time in which the excess of a peak over the mean falls to 1/e.
    """

    def __init__(self, sample_weight: float, peak_decay_ms: float):
        self.sample_weight = sample_weight
        self.peak_decay_ms = peak_decay_ms
        self.n_samples = 0
        self.mean_ms = 0.0
        self.variance_ms2 = 0.0
        self._peak_ms = 0.0
        self._peak_at_ms = 0.0

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Take in one observed latency.

        Parameters
        ----------
        latency_ms : float
            The latency.
        now_ms : float
            When it was observed.
        """
        self._peak_ms = max(self.peak_ms(now_ms), latency_ms)
        self._peak_at_ms = now_ms
        self.n_samples += 1
        # The first samples weigh equally; after that the weight is constant.
        weight = max(self.sample_weight, 1.0 / self.n_samples)
        difference = latency_ms - self.mean_ms
        self.mean_ms += weight * difference
        self.variance_ms2 = (1.0 - weight) * (
            self.variance_ms2 + weight * difference * difference
        )

    def peak_ms(self, now_ms: float) -> float:
        """Return the peak, decayed towards the mean."""
        excess_ms = self._peak_ms - self.mean_ms
        if excess_ms <= 0:
            return self.mean_ms
        age_ms = now_ms - self._peak_at_ms
        return self.mean_ms + excess_ms * math.exp(-age_ms / self.peak_decay_ms)
