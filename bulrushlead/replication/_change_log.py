"""Writes events about a lasting state without repeating them on each occurrence."""

import math

import attrs

from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger

MIN_GAP_MS = 500
REPEAT_MS = 5_000
MAX_SUBJECTS = 64


@attrs.define
class _Written:
    outcome: object
    written_ms: float = -math.inf


class ChangeLog:
    """Writes an event when the outcome for a subject changes, and now and then.

    An unchanged outcome is written every ``REPEAT_MS``, a changed one at most every
    ``MIN_GAP_MS``. The oldest of more than ``MAX_SUBJECTS`` subjects is forgotten.

    Parameters
    ----------
    log : EventLogger
        Where to write.
    clock : Clock
        Source of time.
    """

    def __init__(self, log: EventLogger, clock: Clock):
        self.log = log
        self.clock = clock
        self._written: dict[str, _Written] = {}

    def write(
        self, event: Event, subject: str, outcome: object, **fields: object
    ) -> None:
        """Write an event unless its outcome was written recently.

        Parameters
        ----------
        event : Event
            Number of the event.
        subject : str
            What the outcome is about, such as a replica.
        outcome : object
            What is compared with the last outcome for the subject.
        **fields : object
            Details of the event; see ``EventLogger``.
        """
        now_ms = self.clock.now_ms()
        last = self._written.pop(subject, _Written(None))
        self._written[subject] = last
        if len(self._written) > MAX_SUBJECTS:
            del self._written[next(iter(self._written))]
        gap_ms = REPEAT_MS if outcome == last.outcome else MIN_GAP_MS
        if now_ms - last.written_ms >= gap_ms:
            last.outcome, last.written_ms = outcome, now_ms
            self.log.write(event, **fields)

    def forget(self, subject: str) -> None:
        """Forget a subject, so that its next outcome is written at once."""
        self._written.pop(subject, None)
