"""Selects a backend server for each request, or refuses the request.

The package does no I/O: its inputs are a clock, requests, the outcomes of attempts and
the fleet view.
"""

from bulrushlead.dispatch._budget import RetryBudget
from bulrushlead.dispatch._dispatcher import Dispatcher
from bulrushlead.dispatch._notices import ServerNotices, parse_pause_ms
from bulrushlead.dispatch._ranking import Ranking
from bulrushlead.dispatch._server import Outcome, ServerStats
from bulrushlead.dispatch._server_limits import ServerLimits, parse_limit_per_s
from bulrushlead.dispatch._settings import DispatchSettings
from bulrushlead.dispatch._warmup import WarmupLimiter
from bulrushlead.dispatch._work import Placement, Refusal, Work

__all__ = [
    "DispatchSettings",
    "Dispatcher",
    "Outcome",
    "Placement",
    "Ranking",
    "Refusal",
    "RetryBudget",
    "ServerLimits",
    "ServerNotices",
    "ServerStats",
    "WarmupLimiter",
    "Work",
    "parse_limit_per_s",
    "parse_pause_ms",
]
