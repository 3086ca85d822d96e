"""Estimates how many slots an entry host needs in a region."""

import math

from bulrushlead.clock import Clock

DEMAND_HALF_LIFE_MS = 5_000.0
MIN_DEMAND = 0.5  # A smaller peak counts as no demand.


class DemandEstimate:
    """Peak number of concurrent requests, with exponential decay.

    Slots that a host no longer demands are granted to other hosts within a
    second and are missing in its next burst. The decaying peak keeps them
    demanded for a few seconds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    half_life_ms : float, default=5000.0
        Half-life of the peak, in milliseconds.
    """

    def __init__(self, clock: Clock, half_life_ms: float = DEMAND_HALF_LIFE_MS):
        self.clock = clock
        self.half_life_ms = half_life_ms
        self._peak = 0.0
        self._peak_at_ms = clock.now_ms()

    def observe(self, n_requests: int) -> None:
        """Record the number of requests that run or wait now."""
        if n_requests >= self._decayed_peak():
            self._peak = float(n_requests)
            self._peak_at_ms = self.clock.now_ms()

    def slots_needed(self) -> int:
        """Return the number of slots to demand."""
        peak = self._decayed_peak()
        return math.ceil(peak) if peak >= MIN_DEMAND else 0

    def _decayed_peak(self) -> float:
        age_ms = self.clock.now_ms() - self._peak_at_ms
        return self._peak * 0.5 ** (age_ms / self.half_life_ms)
