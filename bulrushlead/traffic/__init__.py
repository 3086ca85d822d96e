"""Traffic plans: routes by host and path, services, limits of requests."""

from bulrushlead.traffic._plan import (
    PlanLimits,
    Route,
    ServicePolicy,
    ServiceShare,
    TrafficPlan,
)
from bulrushlead.traffic._split import WeightedSplit
from bulrushlead.traffic._table import RouteTable
from bulrushlead.traffic._validation import check_plan

__all__ = [
    "PlanLimits",
    "Route",
    "RouteTable",
    "ServicePolicy",
    "ServiceShare",
    "TrafficPlan",
    "WeightedSplit",
    "check_plan",
]
