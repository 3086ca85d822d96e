"""How many slots a host needs in a region, remembered for some seconds."""

import math

from bulrushlead.clock import Clock

HALF_LIFE_MS = 5_000.0
LEAST_NEED = 0.5


class DemandEstimate:
    """Peak of the requests that run or wait at the same time, fading slowly.

    Slots that a host reports as unneeded are lent to others within a second and
    are missed by the next burst; the memory keeps them for a few seconds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    half_life_ms : float, default=5000.0
        Time in which an old peak falls to a half.
    """

    def __init__(self, clock: Clock, half_life_ms: float = HALF_LIFE_MS):
        self.clock = clock
        self.half_life_ms = half_life_ms
        self._peak = 0.0
        self._peak_at_ms = clock.now_ms()

    def observe(self, wanted: int) -> None:
        """Note how many requests run or wait now."""
        if wanted >= self._faded():
            self._peak = float(wanted)
            self._peak_at_ms = self.clock.now_ms()

    def needed(self) -> int:
        """Return how many slots the host should have."""
        faded = self._faded()
        return math.ceil(faded) if faded >= LEAST_NEED else 0

    def _faded(self) -> float:
        age_ms = self.clock.now_ms() - self._peak_at_ms
        return self._peak * 0.5 ** (age_ms / self.half_life_ms)
