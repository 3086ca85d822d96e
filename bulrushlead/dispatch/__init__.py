"""Decides which backend server gets a request, and which request is refused.

Needs no network: it is driven by a clock, arrivals, outcomes and the fleet's state.
"""

from bulrushlead.dispatch._budget import RetryBudget
from bulrushlead.dispatch._dispatcher import Dispatcher
from bulrushlead.dispatch._ranking import Ranking
from bulrushlead.dispatch._server import Outcome, ServerStats
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
    "ServerStats",
    "WarmupLimiter",
    "Work",
]
