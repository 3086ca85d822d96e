"""Connections to backend servers that record whether an attempt may have sent."""

import asyncio
from contextvars import ContextVar

import aiohttp
import attrs

from bulrushlead.clock import Clock

MAX_DISCARDED_CONNECTIONS = 16  # connections with unread bytes, per attempt


@attrs.define
class AttemptState:
    """Progress of an attempt.

    Parameters
    ----------
    clock : Clock
        Source of time.
    deadline_ms : float
        Time on ``clock`` after which nothing may be sent, in milliseconds.
    may_have_sent : bool
        Whether any byte of the request can have left this process.
    transport : asyncio.Transport or None
        The connection, while this attempt uses it.
    """

    clock: Clock
    deadline_ms: float
    may_have_sent: bool = False
    transport: asyncio.Transport | None = None

    def is_past_deadline(self) -> bool:
        """Return whether the deadline has passed."""
        return self.clock.now_ms() >= self.deadline_ms

    def abort(self) -> None:
        """Close the connection without sending what is still buffered.

        aiohttp closes a transport only after sending its buffer: a server that
        reads late would still receive the whole request and run it.
        """
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


current_attempt: ContextVar[AttemptState] = ContextVar("current_attempt")


class ConnectionBrokenError(Exception):
    """A connection broke; aiohttp does not retry on this error class."""


class AttemptConnector(aiohttp.TCPConnector):
    """Connection pool that records when an attempt can begin to send.

    An idle connection on which bytes have arrived is closed, because aiohttp
    would read them as the answer to the next request.

    Parameters are those of `aiohttp.TCPConnector`.
    """

    async def connect(self, req, traces, timeout):
        """Return a connection without unread bytes.

        Raises
        ------
        aiohttp.ClientConnectionError
            If every connection has unread bytes: the server sends unsolicited
            data.
        TimeoutError
            If the deadline has passed.
        """
        for _ in range(MAX_DISCARDED_CONNECTIONS):
            connection = await super().connect(req, traces, timeout)
            attempt = current_attempt.get()
            # After a pause of this process, the deadline may have passed although
            # its timer has not fired yet: the caller no longer waits.
            if attempt.is_past_deadline():
                connection.close()
                raise TimeoutError("the deadline passed while connecting")
            if not connection.protocol.should_close:
                attempt.transport = connection.transport
                attempt.may_have_sent = True
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError(
            f"{MAX_DISCARDED_CONNECTIONS} connections held bytes that nobody asked for"
        )


async def disable_client_retries(request, handler):
    """Client middleware that disables the retries of aiohttp.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE again when a
    connection breaks. It decides by the class of the error, which this replaces.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error) or type(error).__name__) from error
