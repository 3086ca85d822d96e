"""Connections to backend servers, watched for what an attempt may have sent."""

import asyncio
from contextvars import ContextVar

import aiohttp
import attrs

from bulrushlead.clock import Clock

MAX_STALE_CONNECTIONS = 16


@attrs.define
class AttemptTrace:
    """How far an attempt has come.

    Parameters
    ----------
    clock : Clock
        Source of time.
    deadline_ms : float
        After this nothing may be sent, on ``clock``.
    may_have_sent : bool
        Whether a byte of the request can have left this process.
    transport : asyncio.Transport or None
        The connection, while it belongs to this attempt.
    """

    clock: Clock
    deadline_ms: float
    may_have_sent: bool = False
    transport: asyncio.Transport | None = None

    def is_late(self) -> bool:
        """Return whether the deadline has passed."""
        return self.clock.now_ms() >= self.deadline_ms

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
        TimeoutError
            If the deadline has passed.
        """
        for _ in range(MAX_STALE_CONNECTIONS):
            connection = await super().connect(req, traces, timeout)
            trace = current_attempt.get()
            # A process that stood still must not send what others gave up.
            if trace.is_late():
                connection.close()
                raise TimeoutError("the deadline passed while connecting")
            if not connection.protocol.should_close:
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
