"""gRPC calls of operators and the replicated configuration state."""

from bulrushlead.operators._backend import OperatorBackend
from bulrushlead.operators._client import OperatorClient, new_request_id
from bulrushlead.operators._credentials import Credentials
from bulrushlead.operators._messages import (
    AcceptedConfiguration,
    ApplyDeclaration,
    ApplyReply,
    ClusterStatus,
    ConfigurationSnapshot,
    HistoryEntry,
    HostStatus,
    ProposedChange,
    RememberedChange,
)
from bulrushlead.operators._refusals import RefusedError
from bulrushlead.operators._server import OperatorServer
from bulrushlead.operators._state import ConfigurationState

__all__ = [
    "AcceptedConfiguration",
    "ApplyDeclaration",
    "ApplyReply",
    "ClusterStatus",
    "ConfigurationSnapshot",
    "ConfigurationState",
    "Credentials",
    "HistoryEntry",
    "HostStatus",
    "OperatorBackend",
    "OperatorClient",
    "OperatorServer",
    "ProposedChange",
    "RefusedError",
    "RememberedChange",
    "new_request_id",
]
