"""Keeps a storm of one event from drowning the log."""

import time

WINDOW_S = 1.0


class LineCeiling:
    """Counts lines by event and second.

    Parameters
    ----------
    lines_per_s : int
        Lines of one event that are written in a second.
    """

    def __init__(self, lines_per_s: int):
        self.lines_per_s = lines_per_s
        self._begun_s = 0.0
        self._counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}

    def admit(self, event: int) -> int | None:
        """Return how many lines were left out before this one, or None to leave it.

        Parameters
        ----------
        event : int
            Number of the event.
        """
        now_s = time.monotonic()
        if now_s - self._begun_s >= WINDOW_S:
            self._begun_s = now_s
            self._counts.clear()
        count = self._counts.get(event, 0)
        if count >= self.lines_per_s:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._counts[event] = count + 1
        return self._suppressed.pop(event, 0)
