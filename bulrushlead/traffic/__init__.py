"""Traffic plans: routes by host and path, services, organisations, limits."""

from bulrushlead.traffic._organisation import Organisation, key_digest
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
    "Organisation",
    "PlanLimits",
    "Route",
    "RouteTable",
    "ServicePolicy",
    "ServiceShare",
    "TrafficPlan",
    "WeightedSplit",
    "check_plan",
    "key_digest",
]
