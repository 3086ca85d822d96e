"""Since when this host has seen attempts of other hosts in progress."""

MAX_OBSERVED_ATTEMPTS = 4_096


class ObservedAttempts:
    """First sightings of attempts, the latest `MAX_OBSERVED_ATTEMPTS` of them."""

    def __init__(self):
        self._first_seen_ms: dict[str, float] = {}

    def first_seen_ms(self, attempt_id: str, now_ms: float) -> float:
        """Return when the attempt was first seen in progress.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.
        now_ms : float
            Time of this sighting, in milliseconds.
        """
        if attempt_id not in self._first_seen_ms:
            if len(self._first_seen_ms) >= MAX_OBSERVED_ATTEMPTS:
                del self._first_seen_ms[next(iter(self._first_seen_ms))]
            self._first_seen_ms[attempt_id] = now_ms
        return self._first_seen_ms[attempt_id]
