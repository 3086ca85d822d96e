"""Running estimates of a backend server's latency."""

import math


class LatencyEstimate:
    """Running moments of observed latencies.

    Parameters
    ----------
    sample_weight : float
        Weight of the newest sample in the moments, 0 to 1.
    decay_ms : float
        Time without samples after which the difference between the mean and the
        baseline has decayed to 1/e.
    """

    def __init__(self, sample_weight: float, decay_ms: float):
        self.sample_weight = sample_weight
        self.decay_ms = decay_ms
        self.n_samples = 0
        self.mean_ms = 0.0
        self.variance_ms2 = 0.0
        self._added_ms = 0.0

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Update the moments with one observed latency.

        Parameters
        ----------
        latency_ms : float
            Observed latency.
        now_ms : float
            Time of the observation.
        """
        self._added_ms = now_ms
        self.n_samples += 1
        # The first samples have equal weights; later the weight is constant.
        weight = max(self.sample_weight, 1.0 / self.n_samples)
        difference = latency_ms - self.mean_ms
        self.mean_ms += weight * difference
        self.variance_ms2 = (1.0 - weight) * (
            self.variance_ms2 + weight * difference * difference
        )

    def decayed_mean_ms(self, now_ms: float, baseline_ms: float) -> float:
        """Return the mean, which decays to a baseline while no samples arrive.

        Without the decay, a server that gets no requests because it was slow
        would never be measured again after it has become fast.

        Parameters
        ----------
        now_ms : float
            The current time.
        baseline_ms : float
            Expected latency of a server without samples.
        """
        if not self.n_samples:
            return baseline_ms
        age_ms = now_ms - self._added_ms
        weight = math.exp(-age_ms / self.decay_ms)
        return baseline_ms + weight * (self.mean_ms - baseline_ms)
