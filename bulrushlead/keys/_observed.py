"""Times at which this host first saw attempts of other hosts in progress."""

MAX_OBSERVED_ATTEMPTS = 4_096


class ObservedAttempts:
    """Times of first observation of the latest `MAX_OBSERVED_ATTEMPTS` attempts."""

    def __init__(self):
        self._first_seen_ms: dict[str, float] = {}

    def first_seen_ms(self, attempt_id: str, now_ms: float) -> float:
        """Return when the attempt was first seen in progress.

        The first call for an attempt records ``now_ms``.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.
        now_ms : float
            Current time, in milliseconds.
        """
        if attempt_id not in self._first_seen_ms:
            if len(self._first_seen_ms) >= MAX_OBSERVED_ATTEMPTS:
                del self._first_seen_ms[next(iter(self._first_seen_ms))]
            self._first_seen_ms[attempt_id] = now_ms
        return self._first_seen_ms[attempt_id]
