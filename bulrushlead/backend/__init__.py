"""Backend server announcements and a sample backend server."""

from bulrushlead.backend._announcer import Announcer
from bulrushlead.backend._execution import (
    ClosePoint,
    Execution,
    ExecutionEnd,
    ServerFaults,
)
from bulrushlead.backend._headers import (
    ANNOUNCE_PATH,
    ATTEMPT_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    RAN_HEADER,
    TIMEOUT_MS_HEADER,
)
from bulrushlead.backend._model import Announcement, BackendServer
from bulrushlead.backend._sample import SampleServer, SampleServerSettings

__all__ = [
    "ANNOUNCE_PATH",
    "ATTEMPT_ID_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "RAN_HEADER",
    "TIMEOUT_MS_HEADER",
    "Announcement",
    "Announcer",
    "BackendServer",
    "ClosePoint",
    "Execution",
    "ExecutionEnd",
    "SampleServer",
    "SampleServerSettings",
    "ServerFaults",
]
