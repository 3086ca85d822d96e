"""Calls between processes: typed CBOR messages over WebSocket connections."""

from bulrushlead.wire._client import LinkFactory, MessageClient, PeerLink
from bulrushlead.wire._codec import (
    MAX_MESSAGE_BYTES,
    MessageCodec,
    codec,
    message,
)
from bulrushlead.wire._frame import PackedPayload
from bulrushlead.wire._messages import ErrorReply
from bulrushlead.wire._meter import ByteMeter
from bulrushlead.wire._server import MessageServer
from bulrushlead.wire._tls import client_context, server_context

__all__ = [
    "MAX_MESSAGE_BYTES",
    "ByteMeter",
    "ErrorReply",
    "LinkFactory",
    "MessageClient",
    "MessageCodec",
    "MessageServer",
    "PackedPayload",
    "PeerLink",
    "client_context",
    "codec",
    "message",
    "server_context",
]
