"""Passes requests on to another host while this one reaches no backend server."""

from bulrushlead.relay._carriers import CarrierTable
from bulrushlead.relay._client import RelayClient, RelayReply
from bulrushlead.relay._connectivity import Connectivity
from bulrushlead.relay._messages import RelayOrder, RelayVerdict
from bulrushlead.relay._prober import ServerProber
from bulrushlead.relay._service import RelayService

__all__ = [
    "CarrierTable",
    "Connectivity",
    "RelayClient",
    "RelayOrder",
    "RelayReply",
    "RelayService",
    "RelayVerdict",
    "ServerProber",
]
