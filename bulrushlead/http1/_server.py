"""HTTP server: parses requests and passes them to a handler in order."""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from bulrushlead.clock import Clock
from bulrushlead.http1._budget import MAX_BODY_BYTES, ByteBudget
from bulrushlead.http1._incoming import IncomingRequest
from bulrushlead.http1._limits import RequestLimits
from bulrushlead.http1._listening import bind
from bulrushlead.http1._messages import Answer, Request, render_answer
from bulrushlead.http1._pacing import PacedReader, TurnQueue
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import ResultCode

TIMEOUT_CHECK_MS = 500  # precision of the idle and header timeouts
LISTEN_BACKLOG = 1024
BODY_RETRY_AFTER_S = 1  # about the time in which another large body is sent on
DISCARD_S = 5.0  # longest time for the rest of a body that was refused
MAX_PIPELINED_REQUESTS = 16  # more queued on one connection is treated as abuse

Handler = Callable[[Request], Awaitable[Answer]]


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; a single task answers its requests in order.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    """

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reader = PacedReader(self._parse, server.turns)
        self._queued: deque[tuple[Request, bool, int]] = deque()
        self._closing = self._discards = False
        self._task: asyncio.Task | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._idle_since_ms = server.clock.now_ms()
        self._first_byte_ms: float | None = None
        self._incoming = IncomingRequest(server.bodies)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress, since its answer cannot be delivered."""
        self.server.connections.discard(self)
        self._closing = True
        self._incoming.drop()
        self.server.bodies.release(sum(reserved for _, _, reserved in self._queued))
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop reading further requests until the caller reads the answers."""
        self._may_write.clear()
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on with requests."""
        self._may_write.set()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what was received, or a part of it; see ``PacedReader``."""
        self._reader.receive(data, self.transport)

    def _parse(self, data: bytes | memoryview) -> bool:
        """Feed the parser and enforce the limits; return whether to go on."""
        if self._closing:
            return False
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()
        incoming = self._incoming
        incoming.received_bytes += len(data)
        incoming.quiet_bytes += len(data)
        body_bytes = incoming.body.n_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(400)
        if self._incoming is not incoming or incoming.body.n_bytes != body_bytes:
            self._incoming.quiet_bytes = 0
        if self._incoming.received_bytes and not (self._closing or self._discards):
            self._check_size()
        if self._closing:
            self._incoming.drop()
        return not self._closing

    def _check_size(self) -> None:
        """Refuse a request that takes too much or gets nowhere."""
        incoming = self._incoming
        max_head_bytes = self.server.limits.max_header_bytes
        head_bytes = incoming.quiet_bytes
        if incoming.in_header_section:
            head_bytes = incoming.received_bytes
        if head_bytes > max_head_bytes:
            self._refuse(431)
        elif incoming.has_excess_framing(max_head_bytes):
            self._refuse(400)
        elif not incoming.reserve_head():
            self._refuse_for_memory()
        self._reader.n_plain_bytes = incoming.length - incoming.body.n_bytes

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; trailers are dropped, as they have no limit."""
        if self._incoming.in_header_section and not self._discards:
            self._incoming.add_field(name, value)
        else:
            self._reader.n_callbacks += 1

    def on_headers_complete(self) -> None:
        """Check the size of the header fields; send ``100 Continue`` if expected."""
        incoming = self._incoming
        limits = self.server.limits
        self._reader.n_callbacks += 1 + len(incoming.headers)
        size = incoming.complete_head()
        if size > limits.max_header_bytes:
            self._refuse(431)
        elif self._discards:
            return
        elif not incoming.reserve_head() or (
            incoming.length <= limits.max_body_bytes
            and not incoming.reserve_body(incoming.length)
        ):
            self._refuse_for_memory()
        elif incoming.expects_continue and not self._closing:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._reader.n_callbacks += 1
        if self._closing or self._discards:
            return
        n_bytes = self._incoming.body.n_bytes + len(body)
        if n_bytes > self.server.limits.max_body_bytes:
            self._refuse(413)
        elif self._incoming.reserve_body(n_bytes):
            self._incoming.append(body)
        else:
            self._refuse_for_memory()

    def on_message_complete(self) -> None:
        """Queue the request, and start the answering task unless it is running."""
        if self._closing:
            return
        if self._discards:
            self.close()
            return
        keep_alive = self._parser.should_keep_alive()
        incoming, self._incoming = self._incoming, IncomingRequest(self.server.bodies)
        request = incoming.complete(
            self._parser.get_method(),
            self._first_byte_ms or self.server.clock.now_ms(),
        )
        self._first_byte_ms = None
        if len(self._queued) >= MAX_PIPELINED_REQUESTS:
            incoming.drop()
            self._refuse(400)
            return
        self._queued.append((request, keep_alive, incoming.reserved_bytes))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if the header or idle timeout has passed."""
        if self._closing or self._task is not None:
            return
        limits = self.server.limits
        if self._first_byte_ms is not None:
            if (
                self._incoming.in_header_section
                and now_ms - self._first_byte_ms > limits.header_timeout_ms
            ):
                self._refuse(408)
        elif now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self.close()

    def close_if_idle(self, idle_ms: float) -> None:
        """Close the connection if no request came or was answered for a time."""
        if self._task is not None or self._first_byte_ms is not None or self._closing:
            return
        if self.server.clock.now_ms() - self._idle_since_ms >= idle_ms:
            self.close()

    def close(self) -> None:
        """Close the connection once buffered output has been sent."""
        self._closing = True
        if self.transport is not None:
            self.transport.close()

    async def _serve(self) -> None:
        while self._queued and not self._closing:
            await self._may_write.wait()
            request, keep_alive, reserved_bytes = self._queued.popleft()
            try:
                answer = await self.server.handler(request)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.server.log.write(Event.UNEXPECTED_ERROR, error=repr(error))
                answer = Answer(502)
            finally:
                self.server.bodies.release(reserved_bytes)
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

    def _refuse_for_memory(self) -> None:
        """Refuse a request for lack of memory, and read on until its end.

        Closing the connection before would reset it, and the caller lose the refusal.
        """
        self._discards = True
        self._incoming.drop()
        self.server.log.write(
            Event.REQUEST_REFUSED,
            refusal=f"{ResultCode.OVERLOADED.value} OVERLOADED: many large requests",
        )
        if self._task is None:
            answer = Answer(503, [(b"retry-after", b"%d" % BODY_RETRY_AFTER_S)])
            self.transport.write(render_answer(answer, keep_alive=False))
        asyncio.get_running_loop().call_later(DISCARD_S, self.close)

    def _refuse(self, status: int) -> None:
        if self._closing:
            return
        if self._task is None:
            self.transport.write(render_answer(Answer(status), keep_alive=False))
        self.close()


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    address, port : str, int
        Address to listen on; with port 0 the operating system chooses a port.
    handler : callable
        Coroutine function from ``Request`` to ``Answer``; cancelled when the
        caller closes its connection.
    clock : Clock
        Source of time.
    limits : RequestLimits, optional
        Limits on requests; may be replaced while the server runs.

    Attributes
    ----------
    draining : bool
        Whether the server closes each connection after its next answer.
    bodies : ByteBudget
        Bound on the bodies and large heads of all requests in progress; servers of one
        process may share it.
    turns : TurnQueue
        Turns in which requests in many pieces are parsed.
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
        self.bodies = ByteBudget(MAX_BODY_BYTES)
        self.turns = TurnQueue()
        self.log = EventLogger("http1")
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task | None = None

    @classmethod
    def at(
        cls,
        address: str,
        handler: Handler,
        clock: Clock,
        limits: RequestLimits | None = None,
    ) -> "HttpServer":
        """Return a server that will listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), handler, clock, limits)

    async def start(self) -> None:
        """Listen for connections."""
        loop = asyncio.get_running_loop()
        self._socket = bind(self.address, self.port)
        self.port = self._socket.getsockname()[1]
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=self._socket, backlog=LISTEN_BACKLOG
        )
        self._timeout_task = loop.create_task(self._check_timeouts())

    def drain(self) -> None:
        """Close each connection after its next answer; still accept new ones."""
        self.draining = True

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open.

        Those that the kernel has accepted already are taken over, since closing the
        listening socket would reset them with their requests.
        """
        if self._server is None:
            return
        listener = self._socket.dup()
        self._close_listener()
        accepted = []
        try:
            while True:
                accepted.append(listener.accept()[0])
        except OSError:
            pass  # BlockingIOError: no connection is left
        finally:
            listener.close()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            sock.setblocking(False)
            await loop.connect_accepted_socket(lambda: ServerConnection(self), sock)

    def close_idle(self, idle_ms: float) -> bool:
        """Close the connections on which nothing happened for a time.

        Parameters
        ----------
        idle_ms : float
            Milliseconds for which a connection has been open, or idle after its last
            answer; on a shorter one a request may have arrived that is not read yet.

        Returns
        -------
        bool
            Whether all connections are closed.
        """
        for connection in list(self.connections):
            connection.close_if_idle(idle_ms)
        return not self.connections

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
            self._timeout_task = None
        self._close_listener()
        for connection in list(self.connections):
            connection.close()
        await asyncio.sleep(0)

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = self._socket = None

    async def _check_timeouts(self) -> None:
        while True:
            await self.clock.sleep_ms(TIMEOUT_CHECK_MS)
            now_ms = self.clock.now_ms()
            for connection in list(self.connections):
                connection.check_timeouts(now_ms)
