"""Connections to backend servers, watched for what an attempt may have sent."""

import asyncio
from contextvars import ContextVar

import aiohttp
import attrs

MAX_STALE_CONNECTIONS = 16


@attrs.define
class AttemptTrace:
    """How far an attempt has come.

    Parameters
    ----------
    may_have_sent : bool
        Whether a byte of the request can have left this process.
    transport : asyncio.Transport or None
        The connection, while it belongs to this attempt.
    """

    may_have_sent: bool = False
    transport: asyncio.Transport | None = None

    def abort(self) -> None:
        """Close the connection without sending what is still buffered.

        aiohttp closes a transport only after its buffer has been sent: a server
        that reads late would still receive the whole request and run it.
        """
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


current_attempt: ContextVar[AttemptTrace] = ContextVar("current_attempt")


class ConnectionBrokenError(Exception):
    """A connection broke; never resent by the client library."""


class AttemptConnector(aiohttp.TCPConnector):
    """Pool of connections that marks the point where sending can begin.

    An idle connection on which bytes have arrived is closed, because aiohttp
    would take them for the answer to the next request.

    Parameters are those of `aiohttp.TCPConnector`.
    """

    async def connect(self, req, traces, timeout):
        """Return a connection that holds no unread bytes.

        Raises
        ------
        aiohttp.ClientConnectionError
            If the server keeps sending before it is asked.
        """
        for _ in range(MAX_STALE_CONNECTIONS):
            connection = await super().connect(req, traces, timeout)
            if not connection.protocol.should_close:
                trace = current_attempt.get()
                trace.transport = connection.transport
                trace.may_have_sent = True
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError(
            f"{MAX_STALE_CONNECTIONS} connections held bytes that nobody asked for"
        )


async def forbid_resending(request, handler):
    """Client middleware that turns off aiohttp's own resending.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE a second time when a
    connection breaks; it decides so by the class of the error.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error) or type(error).__name__) from error
