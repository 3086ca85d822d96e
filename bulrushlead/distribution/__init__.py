"""Distribution of configurations, leases and backend servers to entry hosts."""

from bulrushlead.distribution._leader_client import LeaderClient
from bulrushlead.distribution._limits import build_limits
from bulrushlead.distribution._messages import (
    ConfigurationUpdate,
    HostView,
    ItemKey,
    ReportedLoad,
    SyncReply,
    SyncRequest,
)
from bulrushlead.distribution._publisher import Publisher
from bulrushlead.distribution._registry import BackendRegistry
from bulrushlead.distribution._session import LeaderCaller, Session, SessionListener
from bulrushlead.distribution._table import TableChanges, VersionedTable
from bulrushlead.distribution._update import apply_update, build_update, item_key

__all__ = [
    "BackendRegistry",
    "ConfigurationUpdate",
    "HostView",
    "ItemKey",
    "LeaderCaller",
    "LeaderClient",
    "Publisher",
    "ReportedLoad",
    "Session",
    "SessionListener",
    "SyncReply",
    "SyncRequest",
    "TableChanges",
    "VersionedTable",
    "apply_update",
    "build_limits",
    "build_update",
    "item_key",
]
