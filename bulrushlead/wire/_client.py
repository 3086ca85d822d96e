"""Client side of calls between two processes."""

import asyncio
import contextlib
import itertools
import math
import ssl
from collections.abc import Callable
from typing import Any, Protocol

import websockets.asyncio.client
from websockets.exceptions import WebSocketException

from bulrushlead.clock import Clock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire._codec import CLOSE_TIMEOUT_MS, MAX_MESSAGE_BYTES, codec
from bulrushlead.wire._frame import pack_frame, unpack_frame
from bulrushlead.wire._messages import ErrorReply
from bulrushlead.wire._meter import ByteMeter

CONNECT_TIMEOUT_MS = 1_000


class PeerLink(Protocol):
    """Connection to one other process."""

    async def call(self, request: Any, timeout_ms: float) -> Any:
        """Send a request and return its reply; see ``MessageClient.call``."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


LinkFactory = Callable[[str], PeerLink]


class MessageClient:
    """Sends calls to one process and matches replies to them.

    The connection is opened by the first call, and again by the first call after
    it was lost. The client itself never resends a call.

    Parameters
    ----------
    address : str
        ``host:port`` of the process, with the host as an IP address.
    clock : Clock
        Clock that timeouts are measured with.
    meter : ByteMeter, optional
        Counter of the bytes sent and received.
    ssl_context : ssl.SSLContext, optional
        TLS context; without one the connection is not encrypted.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        meter: ByteMeter | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ):
        self.address = address
        self.clock = clock
        self.meter = meter or ByteMeter()
        self.ssl_context = ssl_context
        self._connection = None
        self._reader: asyncio.Task | None = None
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._call_ids = itertools.count(1)
        self._connect_lock = asyncio.Lock()
        self._last_received_ms = -math.inf
        self._closed = False

    async def call(self, request: Any, timeout_ms: float) -> Any:
        """Send a request and return its reply.

        Parameters
        ----------
        request : message
            Instance of a registered message class.
        timeout_ms : float
            Timeout for connecting and for the reply together, in milliseconds.
            One attempt to connect takes at most ``CONNECT_TIMEOUT_MS``.

        Returns
        -------
        message
            The reply.

        Raises
        ------
        BulrushleadError
            With ``PEER_UNREACHABLE`` if the request was certainly not sent,
            ``PEER_TIMEOUT`` if it may have been, or the code of an error reply.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        connection = await self._connect(timeout_ms)
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = future
        sent_ms = self.clock.now_ms()
        try:
            frame = pack_frame(call_id, codec.encode(request))
            self.meter.record_sent(len(frame))
            remaining_ms = deadline_ms - self.clock.now_ms()
            reply = await self.clock.wait_for(
                self._exchange(connection, frame, future), remaining_ms
            )
        except TimeoutError as error:
            if self._connection is connection and self._last_received_ms < sent_ms:
                # A connection can stop delivering without a reset. Aborting it
                # makes the next call open a new one.
                await self._abort(connection)
            raise BulrushleadError(
                ResultCode.PEER_TIMEOUT,
                f"{self.address} did not answer {type(request).__name__} within "
                f"{timeout_ms:.0f} ms",
            ) from error
        except (OSError, WebSocketException) as error:
            raise BulrushleadError(
                ResultCode.PEER_TIMEOUT, f"connection to {self.address} broke: {error}"
            ) from error
        finally:
            self._pending_calls.pop(call_id, None)
        if isinstance(reply, ErrorReply):
            raise BulrushleadError(ResultCode(reply.code), reply.detail)
        return reply

    async def close(self) -> None:
        """Close the connection; calls in progress fail."""
        self._closed = True
        await self._drop_connection()

    async def _exchange(self, connection, frame: bytes, future: asyncio.Future) -> Any:
        await connection.send(frame)
        return await future

    async def _connect(self, timeout_ms: float):
        try:
            return await self.clock.wait_for(self._connect_in_turn(), timeout_ms)
        except TimeoutError as error:
            raise BulrushleadError(
                ResultCode.PEER_UNREACHABLE,
                f"cannot connect to {self.address} within {timeout_ms:.0f} ms",
            ) from error

    async def _connect_in_turn(self):
        async with self._connect_lock:
            if self._closed:
                raise BulrushleadError(
                    ResultCode.PEER_UNREACHABLE, f"client of {self.address} is closed"
                )
            if self._connection is not None:
                return self._connection
            scheme = "wss" if self.ssl_context else "ws"
            try:
                self._connection = await self.clock.wait_for(
                    websockets.asyncio.client.connect(
                        f"{scheme}://{self.address}/",
                        ssl=self.ssl_context,
                        compression=None,
                        max_size=MAX_MESSAGE_BYTES,
                        close_timeout=CLOSE_TIMEOUT_MS / 1000.0,
                        proxy=None,
                    ),
                    CONNECT_TIMEOUT_MS,
                )
            # ValueError: the address is none. One odd entry in a list of hosts must not
            # end the loop that goes through it.
            except (TimeoutError, OSError, ValueError, WebSocketException) as error:
                raise BulrushleadError(
                    ResultCode.PEER_UNREACHABLE,
                    f"cannot connect to {self.address}: {error or 'timed out'}",
                ) from error
            self._reader = asyncio.create_task(self._read(self._connection))
            return self._connection

    async def _read(self, connection) -> None:
        try:
            async for frame in connection:
                self.meter.record_received(len(frame))
                self._last_received_ms = self.clock.now_ms()
                call_id, payload = unpack_frame(frame)
                future = self._pending_calls.get(call_id)
                if future is not None and not future.done():
                    future.set_result(codec.decode(payload))
        except (OSError, WebSocketException, BulrushleadError):
            pass
        finally:
            if self._connection is connection:
                self._connection = None
            self._fail_pending_calls()
            with contextlib.suppress(OSError, WebSocketException):
                await connection.close()

    def _fail_pending_calls(self) -> None:
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(ConnectionResetError("connection lost"))
                # Marks the exception as retrieved. If the call has timed out already,
                # nothing awaits the future, and asyncio would log an error.
                future.exception()

    async def _abort(self, connection) -> None:
        """Abort a connection without waiting for the closing handshake."""
        self._connection = None
        connection.transport.abort()

    async def _drop_connection(self) -> None:
        reader, self._reader = self._reader, None
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
        if reader is not None:
            reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reader
