"""Rate limit for the log lines of each event."""

import time

WINDOW_S = 1.0


class LineRateLimiter:
    """Limits the lines of each event per window of one second.

    Without it, a burst of one event, such as refused requests, would flood the log.

    Parameters
    ----------
    lines_per_s : int
        Lines of one event that are written per second.
    """

    def __init__(self, lines_per_s: int):
        self.lines_per_s = lines_per_s
        self._window_start_s = 0.0
        self._counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}

    def admit(self, event: int) -> int | None:
        """Count a line of an event and return whether it may be written.

        Parameters
        ----------
        event : int
            Number of the event.

        Returns
        -------
        int or None
            Lines of the event suppressed since the last written one, or None if
            this line must be suppressed as well.
        """
        now_s = time.monotonic()
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._counts.clear()
        count = self._counts.get(event, 0)
        if count >= self.lines_per_s:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._counts[event] = count + 1
        return self._suppressed.pop(event, 0)
