"""Coordinator: replicates operators' commands and publishes the fleet to hosts."""

from bulrushlead.coordinator._messages import (
    AnnounceBatch,
    OrderRequest,
    PlanReply,
    PlanRequest,
    StatusReply,
)
from bulrushlead.coordinator._program import Coordinator
from bulrushlead.coordinator._settings import CoordinatorSettings
from bulrushlead.coordinator._state import (
    AcceptPlan,
    EndEvacuation,
    OrderState,
    RecordDeparture,
    StartEvacuation,
)

__all__ = [
    "AcceptPlan",
    "AnnounceBatch",
    "Coordinator",
    "CoordinatorSettings",
    "EndEvacuation",
    "OrderRequest",
    "OrderState",
    "PlanReply",
    "PlanRequest",
    "RecordDeparture",
    "StartEvacuation",
    "StatusReply",
]
