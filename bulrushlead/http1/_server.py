"""Accepting side: parses requests and hands them to a handler, in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
import httptools

from bulrushlead.clock import Clock
from bulrushlead.http1._messages import Answer, Request, render_answer
from bulrushlead.logs import Event, EventLogger

SWEEP_INTERVAL_MS = 500  # resolution of the idle and header time-outs
LISTEN_BACKLOG = 1024
MAX_PIPELINED_REQUESTS = 16  # more waiting on one connection is abuse

Handler = Callable[[Request], Awaitable[Answer]]


@attrs.frozen
class RequestLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request line with header fields, and largest body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for the header fields, and between two requests.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 30_000


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; one task answers its requests in order.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    """

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task | None = None
        self._closing = False
        self._idle_since_ms = server.clock.now_ms()
        self._begun_ms: float | None = None
        self._start_message()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress: nobody reads its answer."""
        self.server.connections.discard(self)
        self._closing = True
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._closing:
            return
        if self._begun_ms is None:
            self._begun_ms = self.server.clock.now_ms()
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(400)
        else:
            limits = self.server.limits
            if self._in_head and self._head_bytes > limits.max_header_bytes:
                self._refuse(431)

    def on_message_begin(self) -> None:
        """Begin another request."""
        self._start_message()
        if self._begun_ms is None:
            self._begun_ms = self.server.clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the fields and of the announced body."""
        self._in_head = False
        limits = self.server.limits
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._target)
        if size > limits.max_header_bytes:
            self._refuse(431)
        elif self._expects_continue and not self._closing:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._closing:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.max_body_bytes:
            self._refuse(413)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the request, or queue it behind the one in progress."""
        if self._closing:
            return
        keep_alive = self._parser.should_keep_alive()
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._begun_ms or self.server.clock.now_ms(),
        )
        self._begun_ms = None
        self._start_message()
        if len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            self._refuse(400)
            return
        self._waiting.append((request, keep_alive))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if its caller is too slow or stays idle."""
        if self._closing or self._task is not None:
            return
        limits = self.server.limits
        if self._begun_ms is not None:
            if self._in_head and now_ms - self._begun_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self.close()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is arriving or in progress."""
        if self._task is None and self._begun_ms is None and not self._closing:
            self.close()
            return True
        return False

    def close(self) -> None:
        """Close after what is written has been sent."""
        self._closing = True
        if self.transport is not None:
            self.transport.close()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = True
        self._expects_continue = False

    async def _serve(self) -> None:
        while self._waiting and not self._closing:
            request, keep_alive = self._waiting.popleft()
            try:
                answer = await self.server.handler(request)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.server.log.write(Event.UNEXPECTED_ERROR, error=repr(error))
                answer = Answer(502)
            if self._closing:
                return
            keep_alive = keep_alive and not answer.close and not self.server.draining
            with_body = request.method != b"HEAD"
            self.transport.write(render_answer(answer, keep_alive, with_body))
            if not keep_alive:
                self.close()
                return
        self._idle_since_ms = self.server.clock.now_ms()
        self._task = None

    def _refuse(self, status: int) -> None:
        if self._closing:
            return
        if self._task is None:
            self.transport.write(render_answer(Answer(status), keep_alive=False))
        self.close()


class HttpServer:
    """Listens on one address.

    Parameters
    ----------
    address, port : str, int
        Where to listen; port 0 lets the operating system choose.
    handler : callable
        Coroutine function from ``Request`` to ``Answer``; cancelled when the
        caller closes its connection.
    clock : Clock
        Source of time.
    limits : RequestLimits, optional
        What a caller may send; may be replaced while the server runs.

    Attributes
    ----------
    draining : bool
        Whether each answer ends its connection.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: Handler,
        clock: Clock,
        limits: RequestLimits | None = None,
    ):
        self.address = address
        self.port = port
        self.handler = handler
        self.clock = clock
        self.limits = limits or RequestLimits()
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.log = EventLogger("http1")
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    @classmethod
    def at(cls, address: str, handler: Handler, clock: Clock) -> "HttpServer":
        """Return a server that will listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), handler, clock)

    async def start(self) -> None:
        """Listen for connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            self.address,
            self.port,
            backlog=LISTEN_BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeper = loop.create_task(self._sweep())

    def drain(self) -> None:
        """End each connection with its next answer; go on accepting."""
        self.draining = True

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> bool:
        """Close the connections on which no request is in progress.

        Returns
        -------
        bool
            Whether no connection is left.
        """
        for connection in list(self.connections):
            connection.close_if_idle()
        return not self.connections

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
        await asyncio.sleep(0)

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            for connection in list(self.connections):
                connection.check_timeouts(now_ms)
