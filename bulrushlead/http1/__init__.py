"""HTTP/1.1 connections to callers and backend servers, parsed by ``httptools``."""

from bulrushlead.http1._client import ClientConnection
from bulrushlead.http1._faults import ExchangeError, ExchangeFault
from bulrushlead.http1._http_server import HttpServer
from bulrushlead.http1._limits import RequestLimits
from bulrushlead.http1._messages import (
    Answer,
    BodyDigest,
    HeaderList,
    Request,
    find_header,
    forwardable_headers,
    render_answer,
    render_request,
)
from bulrushlead.http1._pool import CONNECT_TIMEOUT_MS, ConnectionPool
from bulrushlead.http1._server import ServerConnection

__all__ = [
    "CONNECT_TIMEOUT_MS",
    "Answer",
    "BodyDigest",
    "ClientConnection",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeFault",
    "HeaderList",
    "HttpServer",
    "Request",
    "RequestLimits",
    "ServerConnection",
    "find_header",
    "forwardable_headers",
    "render_answer",
    "render_request",
]
