"""Log handlers: readable lines for a terminal, or one JSON object a line."""

import json
from enum import Enum
from typing import TextIO

import logbook


class LogFormat(Enum):
    """How log lines are written."""

    HUMAN = "human"
    JSON = "json"


def build_handler(log_format: LogFormat, stream: TextIO, level: str = "INFO"):
    """Return a handler that writes events to a stream.

    Parameters
    ----------
    log_format : LogFormat
        Form of each line.
    stream : TextIO
        Where lines go.
    level : str, default="INFO"
        Lowest level that is written.

    Returns
    -------
    logbook.StreamHandler
        Handler to push with ``push_application()``.
    """
    handler = logbook.StreamHandler(stream, level=level)
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
        "slice": record.channel,
    }
    line.update(record.extra["fields"] or {})
    return json.dumps(line, default=str)
