"""Leases of server slots and rate limits: the grantor and the holder."""

from bulrushlead.leases._holder import LeaseHolder, SlotToken
from bulrushlead.leases._messages import (
    Demand,
    HeldSlots,
    LeaseGrant,
    LeaseRequest,
    LimitKey,
    LimitKind,
    RateLimit,
    RateShare,
    SlotShare,
)
from bulrushlead.leases._pool import HolderId, SharePool
from bulrushlead.leases._record import HolderView
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._table import LeaseTable

__all__ = [
    "Demand",
    "HeldSlots",
    "HolderId",
    "HolderView",
    "LeaseGrant",
    "LeaseHolder",
    "LeaseRequest",
    "LeaseSettings",
    "LeaseTable",
    "LimitKey",
    "LimitKind",
    "RateLimit",
    "RateShare",
    "SharePool",
    "SlotShare",
    "SlotToken",
]
