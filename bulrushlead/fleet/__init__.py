"""Registry and views of the backend servers and hosts of the fleet."""

from bulrushlead.fleet._messages import (
    Announcement,
    FleetUpdate,
    HostRecord,
    HostReport,
    LimitNotice,
    ServerRecord,
    ServerState,
    SyncPosition,
    SyncRequest,
    owner_group,
)
from bulrushlead.fleet._registry import FleetRegistry
from bulrushlead.fleet._session import LeaderSession
from bulrushlead.fleet._view import FleetServer, FleetView

__all__ = [
    "Announcement",
    "FleetRegistry",
    "FleetServer",
    "FleetUpdate",
    "FleetView",
    "HostRecord",
    "HostReport",
    "LeaderSession",
    "LimitNotice",
    "ServerRecord",
    "ServerState",
    "SyncPosition",
    "SyncRequest",
    "owner_group",
]
