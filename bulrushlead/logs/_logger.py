"""Logger that writes one line per numbered event."""

import logbook

from bulrushlead.logs._ceiling import LineCeiling
from bulrushlead.logs._events import EVENTS, Event

MAX_LINES_PER_S = 400  # of one event in a process; a busy host answers about 300/s
_ceiling = LineCeiling(MAX_LINES_PER_S)


class EventLogger:
    """Writes numbered events with their fields.

    Parameters
    ----------
    slice_name : str
        Name of the slice that logs, shown as the channel.
    """

    def __init__(self, slice_name: str):
        self.slice_name = slice_name
        self._logger = logbook.Logger(slice_name)

    def write(self, event: Event, **fields: object) -> None:
        """Write one event, unless too many of its kind were written this second.

        The next line of the kind says how many were left out.

        Parameters
        ----------
        event : Event
            Number of the event; its level comes from the catalogue.
        **fields : object
            Values that explain the event; units are part of the names.
        """
        level = logbook.lookup_level(EVENTS[event].level)
        if level < self._logger.level:
            return
        suppressed = _ceiling.admit(event)
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        self._logger.log(
            level, event.name, extra={"event": event.value, "fields": fields}
        )
