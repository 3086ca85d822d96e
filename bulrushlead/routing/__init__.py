"""Routing: choice of region, availability zone and backend server."""

from bulrushlead.routing._model import (
    AttemptOutcome,
    Candidate,
    EjectionReason,
    RouteDecision,
    RouteReason,
    RouteRequest,
    ServerStatus,
)
from bulrushlead.routing._policies import (
    DeadlineProbability,
    LatencyAware,
    LeastReportedLoad,
    Policy,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
)
from bulrushlead.routing._router import Router
from bulrushlead.routing._settings import RouterSettings

__all__ = [
    "AttemptOutcome",
    "Candidate",
    "DeadlineProbability",
    "EjectionReason",
    "LatencyAware",
    "LeastReportedLoad",
    "Policy",
    "PowerOfTwoChoices",
    "RandomChoice",
    "RoundRobin",
    "RouteDecision",
    "RouteReason",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "ServerStatus",
]
