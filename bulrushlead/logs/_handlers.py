"""Log handlers: readable lines for a terminal, or one JSON object per line."""

import json
from enum import Enum
from typing import TextIO

import logbook

from bulrushlead.logs._rate_limit import LineRateLimiter

MAX_LINES_PER_S = 400  # per event and process; a busy host answers about 300 requests/s


class LogFormat(Enum):
    """Format of the log lines."""

    HUMAN = "human"
    JSON = "json"


class _RateLimitedHandler(logbook.StreamHandler):
    """Suppresses the lines of an event that exceed its rate limit."""

    def __init__(self, stream: TextIO, level: str, rate_limiter: LineRateLimiter):
        super().__init__(stream, level=level)
        self.rate_limiter = rate_limiter

    def emit(self, record: logbook.LogRecord) -> None:
        suppressed = self.rate_limiter.admit(record.extra["event"] or 0)
        if suppressed is None:
            return
        if suppressed:
            record.extra["fields"]["suppressed"] = suppressed
        super().emit(record)


def build_handler(
    log_format: LogFormat,
    stream: TextIO,
    level: str = "INFO",
    max_lines_per_s: int | None = None,
):
    """Return a handler that writes events to a stream.

    Parameters
    ----------
    log_format : LogFormat
        Format of each line.
    stream : TextIO
        Stream that the lines are written to.
    level : str, default="INFO"
        Lowest level that is written.
    max_lines_per_s : int, optional
        Lines of one event that are written per second; the next line of the event
        reports how many were suppressed. None writes every line.

    Returns
    -------
    logbook.StreamHandler
        Handler to push with ``push_application()``.
    """
    if max_lines_per_s is None:
        handler = logbook.StreamHandler(stream, level=level)
    else:
        handler = _RateLimitedHandler(stream, level, LineRateLimiter(max_lines_per_s))
    formatter = _format_json if log_format is LogFormat.JSON else _format_human
    handler.formatter = formatter
    return handler


def _format_human(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = record.extra["fields"] or {}
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    number = record.extra["event"] or 0
    return (
        f"{record.time:%H:%M:%S.%f} {record.level_name:<7} {number} "
        f"{record.message} [{record.channel}] {text}"
    )


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "event": record.extra["event"] or 0,
        "name": record.message,
        "slice": record.channel,  # log readers expect the channel under this key
    }
    line.update(record.extra["fields"] or {})
    return json.dumps(line, default=str)
