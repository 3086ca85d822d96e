"""Connection of a caller: parses requests and passes them to a handler in order."""

import asyncio
import select
from collections import deque
from typing import TYPE_CHECKING

import httptools

from bulrushlead.http1._incoming import IncomingRequest
from bulrushlead.http1._messages import Answer, Request, render_answer
from bulrushlead.http1._pacing import PacedReader
from bulrushlead.http1._unanswered import end_cause
from bulrushlead.logs import Event
from bulrushlead.results import ResultCode

if TYPE_CHECKING:
    from bulrushlead.http1._http_server import HttpServer

BODY_RETRY_AFTER_S = 1  # about the time in which another large body is sent on
DISCARD_S = 5.0  # longest time for the rest of a body that was refused
LINGER_S = 1.0  # longest time until a caller closes whose bytes are not read
MAX_PIPELINED_REQUESTS = 16  # more queued on one connection is treated as abuse


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
        self._discards = False
        self._is_refused = False  # what came last, so that no more is read
        self._refusal: Answer | None = None  # of it, unless it is sent
        self._task: asyncio.Task | None = None
        self._current: Request | None = None
        self._unsent: Request | None = None  # whose answer waits to be sent
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._close_cause = ""
        self._closing = False
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
        cause = end_cause(self._close_cause, error)
        for request in self.unanswered_requests():
            self.server.unanswered.record(request, cause, request is self._unsent)
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
        """Go on with requests, since the answers have been sent."""
        self._unsent = None
        self._may_write.set()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def unanswered_requests(self) -> list[Request]:
        """Return the requests that were received whole and have no whole answer."""
        begun = [self._unsent, self._current]
        queued = [request for request, _, _ in self._queued]
        return [request for request in begun if request is not None] + queued

    def data_received(self, data: bytes) -> None:
        """Parse what was received, or a part of it; see ``PacedReader``."""
        self._reader.receive(data, self.transport)

    def _parse(self, data: bytes | memoryview) -> bool:
        """Feed the parser and enforce the limits; return whether to go on."""
        if self._closing or (self._is_refused and not self._discards):
            return False
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()
        incoming = self._incoming
        incoming.received_bytes += len(data)
        incoming.quiet_bytes += len(data)
        body_bytes = incoming.body.n_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            return self._decline_upgrade(bytes(data[upgrade.args[0] :]))
        except httptools.HttpParserError:
            self._refuse(400)
        if self._incoming is not incoming or incoming.body.n_bytes != body_bytes:
            self._incoming.quiet_bytes = 0
        if self._incoming.received_bytes and not (self._closing or self._is_refused):
            self._check_size()
        if self._closing or self._is_refused:
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

    def _decline_upgrade(self, rest: bytes) -> bool:
        """Parse a request again without its offer of another protocol.

        RFC 9110, section 7.8: a server may ignore the offer. The parser takes what
        follows the head for bytes of that protocol, although it may be a body.

        Returns
        -------
        bool
            Whether to go on; see ``_parse``.
        """
        method, offer = self._parser.get_method(), self._incoming
        if method == b"CONNECT":
            self._refuse(400)
            return not self._closing
        head = [b"%s %s HTTP/1.1\r\n" % (method, offer.target)]
        head += [b"%s: %s\r\n" % f for f in offer.headers if f[0] != b"upgrade"]
        offer.drop()
        self._incoming = IncomingRequest(self.server.bodies)
        self._parser = httptools.HttpRequestParser(self)
        return self._parse(b"".join(head) + b"\r\n" + rest)

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; trailers are dropped, as they have no limit."""
        if self._incoming.in_header_section and not self._is_refused:
            self._incoming.add_field(name, value)
        else:
            self._reader.n_callbacks += 1

    def on_headers_complete(self) -> None:
        """Check the size of the header fields; send ``100 Continue`` if expected."""
        incoming = self._incoming
        self._reader.n_callbacks += 1 + len(incoming.headers)
        if self._closing or self._is_refused or self._parser.should_upgrade():
            incoming.in_header_section = False
            return
        limits = self.server.limits
        size = incoming.complete_head()
        if size > limits.max_header_bytes:
            self._refuse(431)
        elif not incoming.reserve_head() or (
            incoming.length <= limits.max_body_bytes
            and not incoming.reserve_body(incoming.length)
        ):
            self._refuse_for_memory()
        elif incoming.expects_continue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._reader.n_callbacks += 1
        if self._closing or self._is_refused:
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
        if self._discards:
            self._end_discard()
        if self._closing or self._is_refused or self._parser.should_upgrade():
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
        else:
            self.close_if_idle(limits.idle_timeout_ms)

    def close_if_idle(self, idle_ms: float) -> None:
        """Close the connection if no request came or was answered for a time."""
        if self._task is not None or self._first_byte_ms is not None or self._closing:
            return
        idle_since_ms = self.server.clock.now_ms() - idle_ms
        if self._idle_since_ms <= idle_since_ms and not self._has_unread():
            self.close()

    def close(self, cause: str = "this host closed") -> None:
        """Close the connection once buffered output has been sent.

        Parameters
        ----------
        cause : str, optional
            Why requests in progress get no answer, for their log lines.
        """
        self._close_cause = self._close_cause or cause
        self._closing = True
        if self.transport is not None:
            self.transport.close()

    async def _serve(self) -> None:
        while self._queued and not self._closing:
            await self._may_write.wait()
            request, keep_alive, reserved_bytes = self._queued.popleft()
            self._current = request
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
            # While a server drains, the answer to what came last ends the connection.
            is_last = not self._queued and self._refusal is None
            ends = answer.close or (self.server.draining and is_last)
            keep_alive = keep_alive and not ends
            with_body = request.method != b"HEAD"
            self.transport.write(render_answer(answer, keep_alive, with_body))
            self._current = None
            if not self._may_write.is_set():
                self._unsent = request
            if not keep_alive:
                if self._has_unread():
                    self._linger()
                else:
                    self.close()
                return
        self._idle_since_ms = self.server.clock.now_ms()
        self._task = None
        if self._is_refused:
            self._send_refusal()

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
        self._is_refused = True
        self._refusal = Answer(503, [(b"retry-after", b"%d" % BODY_RETRY_AFTER_S)])
        asyncio.get_running_loop().call_later(DISCARD_S, self._end_discard)
        self._send_refusal()

    def _end_discard(self) -> None:
        self._discards = False
        self._send_refusal()

    def _refuse(self, status: int) -> None:
        """Refuse what came last, and close the connection."""
        if self._closing or self._is_refused:
            return
        self._is_refused = True
        self._refusal = Answer(status)
        self._send_refusal()

    def _send_refusal(self) -> None:
        """Send the refusal and close, once the requests before it are answered."""
        if self._closing or self._task is not None:
            return
        if self._refusal is not None:
            self.transport.write(render_answer(self._refusal, keep_alive=False))
            self._refusal = None
        if not self._discards:
            self._linger()

    def _linger(self) -> None:
        """Close once the caller has, but soon.

        A close with unread bytes is a reset, and loses an answer on its way.
        """
        self._is_refused = True
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.close)

    def _has_unread(self) -> bool:
        """Return whether bytes of the caller have arrived that are not read yet."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
