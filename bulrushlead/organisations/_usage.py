"""Counts of an organisation's requests on one host."""

import math

from bulrushlead.clock import decayed

BINS = 10  # a count leaves the window at most a tenth of it late
USUAL_HALF_LIFE_MS = 20_000  # spans many requests of a usual organisation
RECENT_HALF_LIFE_MS = 400  # about one report interval
MIN_AGE_MS = 1_000  # a rate is not derived from a shorter time


class UsageCounter:
    """Requests of one organisation that this host received.

    Parameters
    ----------
    window_ms : float
        Length of the window in which admitted requests are counted, in milliseconds.
    started_ms : float
        Time from which on requests would have been counted, in milliseconds.

    Attributes
    ----------
    offered, admitted : int
        Requests since the start; those given back are not among the admitted ones.
    """

    def __init__(self, window_ms: float, started_ms: float):
        self.offered = 0
        self.admitted = 0
        self._bin_ms = window_ms / BINS
        self._bins: dict[int, int] = {}
        self._usual_per_ms = self._recent_per_ms = 0.0
        self._started_ms = self._rate_ms = started_ms

    def record_offered(self, now_ms: float) -> None:
        """Count a request, whether it is admitted or not."""
        self.offered += 1
        age_ms = now_ms - self._rate_ms
        self._usual_per_ms = decayed(self._usual_per_ms, age_ms, USUAL_HALF_LIFE_MS)
        self._usual_per_ms += math.log(2) / USUAL_HALF_LIFE_MS
        self._recent_per_ms = (
            self.recent_per_ms(now_ms) + math.log(2) / RECENT_HALF_LIFE_MS
        )
        self._rate_ms = now_ms

    def record_admitted(self, now_ms: float, count: int = 1) -> None:
        """Count an admitted request, or -1 if it is given back."""
        self.admitted += count
        number = int(now_ms // self._bin_ms)
        self._bins[number] = self._bins.get(number, 0) + count
        for old in [n for n in self._bins if n < number - BINS]:
            del self._bins[old]

    def admitted_in_window(self, now_ms: float) -> int:
        """Return the requests admitted in the last window."""
        return sum(self.history(now_ms))

    def history(self, now_ms: float) -> tuple[int, ...]:
        """Return the requests admitted in each bin of the last window, newest first."""
        newest = int(now_ms // self._bin_ms)
        return tuple(
            max(0, self._bins.get(number, 0))
            for number in range(newest, newest - BINS - 1, -1)
        )

    def usual_per_ms(self, now_ms: float) -> float:
        """Return the requests per millisecond over many seconds."""
        rate_per_ms = decayed(
            self._usual_per_ms, now_ms - self._rate_ms, USUAL_HALF_LIFE_MS
        )
        # A counter that is younger than the average has seen only a part of it.
        age_ms = max(MIN_AGE_MS, now_ms - self._started_ms)
        return rate_per_ms / (1.0 - decayed(1.0, age_ms, USUAL_HALF_LIFE_MS))

    def recent_per_ms(self, now_ms: float) -> float:
        """Return the requests per millisecond within about a second."""
        return decayed(self._recent_per_ms, now_ms - self._rate_ms, RECENT_HALF_LIFE_MS)
