"""Logger that writes one line per numbered event."""

import logbook

from bulrushlead.logs._events import EVENTS, Event


class EventLogger:
    """Writes numbered events with their fields.

    Parameters
    ----------
    channel : str
        Name written with every line, usually that of the logging package.
    """

    def __init__(self, channel: str):
        self.channel = channel
        self._logger = logbook.Logger(channel)

    def write(self, event: Event, **fields: object) -> None:
        """Write one event.

        Parameters
        ----------
        event : Event
            Number of the event; its level comes from the catalogue.
        **fields : object
            Details of the event. The name of a quantity ends in its unit, for
            example ``age_ms``.
        """
        level = logbook.lookup_level(EVENTS[event].level)
        if level < self._logger.level:
            return
        self._logger.log(
            level, event.name, extra={"event": event.value, "fields": fields}
        )
