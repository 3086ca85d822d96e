"""The gateway: accepts callers' requests and forwards them to backend servers."""

from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._forwarding import RequestForwarder
from bulrushlead.gateway._program import Gateway
from bulrushlead.gateway._settings import GatewaySettings

__all__ = ["Dialect", "Gateway", "GatewaySettings", "RequestForwarder"]
