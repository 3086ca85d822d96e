"""Server side of calls between processes."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import websockets.asyncio.server
from websockets.exceptions import WebSocketException

from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire._codec import CLOSE_TIMEOUT_MS, MAX_MESSAGE_BYTES, codec
from bulrushlead.wire._frame import PackedPayload, pack_frame, unpack_frame
from bulrushlead.wire._messages import ErrorReply
from bulrushlead.wire._meter import ByteMeter

MAX_CALLS_PER_CONNECTION = 64  # a further call waits until one ends

Handler = Callable[[Any], Awaitable[Any]]


class MessageServer:
    """Accepts connections and answers calls, with one task per call.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 lets the operating system choose.
    meter : ByteMeter, optional
        Counter of the bytes sent and received.
    ssl_context : ssl.SSLContext, optional
        TLS context; without one the connections are not encrypted.

    Attributes
    ----------
    bound_port : int
        Port that the server listens on after ``start()``.
    """

    def __init__(
        self,
        address: str,
        port: int,
        meter: ByteMeter | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ):
        self.address = address
        self.port = port
        self.meter = meter or ByteMeter()
        self.ssl_context = ssl_context
        self.bound_port = port
        self._handlers: dict[type, Handler] = {}
        self._server = None
        self._calls: set[asyncio.Task] = set()
        self._log = EventLogger("wire")

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler that answers calls of one message class."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Start listening for connections."""
        self._server = await websockets.asyncio.server.serve(
            self._serve_connection,
            self.address,
            self.port,
            ssl=self.ssl_context,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            close_timeout=CLOSE_TIMEOUT_MS / 1000.0,
        )
        self.bound_port = next(iter(self._server.sockets)).getsockname()[1]

    async def close(self) -> None:
        """Stop listening, close every connection and cancel calls in progress."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.close()
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await server.wait_closed()

    async def _serve_connection(self, connection) -> None:
        call_limit = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)
        try:
            async for frame in connection:
                self.meter.record_received(len(frame))
                call_id, payload = unpack_frame(frame)
                request = codec.decode(payload)
                await call_limit.acquire()
                self._start_call(self._answer(connection, call_id, request), call_limit)
        except BulrushleadError as error:
            self._log.write(Event.MESSAGE_REFUSED, code=error.code.value, detail=error)
            await connection.close(code=1008, reason=error.code.name)
        except WebSocketException as error:
            self._log.write(
                Event.MESSAGE_REFUSED,
                code=ResultCode.PEER_UNREACHABLE.value,
                detail=error,
            )

    def _start_call(self, answer: Coroutine, call_limit: asyncio.Semaphore) -> None:
        call = asyncio.create_task(answer)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        call.add_done_callback(lambda _: call_limit.release())

    async def _answer(self, connection, call_id: int, request: Any) -> None:
        try:
            handler = self._handlers.get(type(request))
            if handler is None:
                raise BulrushleadError(
                    ResultCode.MESSAGE_MALFORMED,
                    f"{type(request).__name__} is not answered on this port",
                )
            reply = await handler(request)
        except BulrushleadError as error:
            reply = ErrorReply(error.code.value, error.detail)
        except Exception as error:
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            reply = ErrorReply(ResultCode.INTERNAL.value, type(error).__name__)
        if isinstance(reply, PackedPayload):
            frame = reply.frame(call_id)
        else:
            frame = pack_frame(call_id, codec.encode(reply))
        self.meter.record_sent(len(frame))
        try:
            await connection.send(frame)
        except (OSError, WebSocketException):
            return
