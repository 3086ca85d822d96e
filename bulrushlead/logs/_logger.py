"""Logger that writes one line per numbered event."""

import logbook

from bulrushlead.logs._events import EVENTS, Event


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
        """Write one event.

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
        self._logger.log(
            level, event.name, extra={"event": event.value, "fields": fields}
        )
