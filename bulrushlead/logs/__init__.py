"""Numbered log events and their handlers."""

from bulrushlead.logs._buffer import BufferedStream
from bulrushlead.logs._events import EVENTS, Event, EventInfo, render_catalogue
from bulrushlead.logs._handlers import MAX_LINES_PER_S, LogFormat, build_handler
from bulrushlead.logs._logger import EventLogger
from bulrushlead.logs._rate_limit import LineRateLimiter

__all__ = [
    "EVENTS",
    "MAX_LINES_PER_S",
    "BufferedStream",
    "Event",
    "EventInfo",
    "EventLogger",
    "LineRateLimiter",
    "LogFormat",
    "build_handler",
    "render_catalogue",
]
