"""Connection of a caller: parses requests and passes them to a handler in order."""

import asyncio
import select
from collections import deque
from typing import TYPE_CHECKING

import httptools

from bulrushlead.http1._messages import (
    Answer,
    BodyDigest,
    Request,
    find_header,
    render_answer,
)
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
        self._queued: deque[tuple[Request, bool, int]] = deque()
        self._reserved_bytes = 0  # of the body that is being received
        self._discards = False
        self._is_refused = False  # what came last, so that no more is read
        self._refusal: Answer | None = None  # of it, unless it is sent
        self._task: asyncio.Task | None = None
        self._current: Request | None = None
        self._unsent: Request | None = None  # whose answer waits to be sent
        self._is_paused = False
        self._close_cause = ""
        self._closing = False
        self._idle_since_ms = server.clock.now_ms()
        self._first_byte_ms: float | None = None
        self._start_message()

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
        self.server.bodies.release(
            self._reserved_bytes + sum(reserved for _, _, reserved in self._queued)
        )
        self._reserved_bytes = 0
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that a part of an answer waits to be sent."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Note that the answers have been sent."""
        self._is_paused = False
        self._unsent = None

    def unanswered_requests(self) -> list[Request]:
        """Return the requests that were received whole and have no whole answer."""
        begun = [self._unsent, self._current]
        queued = [request for request, _, _ in self._queued]
        return [request for request in begun if request is not None] + queued

    def data_received(self, data: bytes) -> None:
        """Feed the parser and enforce the header size limit."""
        if self._closing or (self._is_refused and not self._discards):
            return
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()
        if self._in_header_section:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._refuse(400)
        else:
            limits = self.server.limits
            if self._in_header_section and self._header_bytes > limits.max_header_bytes:
                self._refuse(431)

    def _decline_upgrade(self, rest: bytes) -> None:
        """Parse a request again without its offer of another protocol.

        RFC 9110, section 7.8: a server may ignore the offer. The parser takes what
        follows the head for bytes of that protocol, although it may be a body.
        """
        method, target, headers = self._parser.get_method(), self._target, self._headers
        if method == b"CONNECT":
            self._refuse(400)
            return
        head = [b"%s %s HTTP/1.1\r\n" % (method, target)]
        head += [b"%s: %s\r\n" % field for field in headers if field[0] != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)
        self.data_received(b"".join(head) + b"\r\n" + rest)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._start_message()
        if self._first_byte_ms is None:
            self._first_byte_ms = self.server.clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the header fields; send ``100 Continue`` if expected."""
        self._in_header_section = False
        if self._closing or self._is_refused or self._parser.should_upgrade():
            return
        limits = self.server.limits
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._target)
        length = int(find_header(self._headers, b"content-length") or 0)
        if size > limits.max_header_bytes:
            self._refuse(431)
        elif length <= limits.max_body_bytes and not self._reserve(length):
            self._refuse_body()
        elif self._expects_continue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._closing or self._is_refused:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.max_body_bytes:
            self._refuse(413)
        elif self._reserve(self._body_bytes - self._reserved_bytes):
            self._body.append(body)
            self._body_digest.update(body)
        else:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """Queue the request, and start the answering task unless it is running."""
        if self._discards:
            self._end_discard()
        if self._closing or self._is_refused or self._parser.should_upgrade():
            return
        keep_alive = self._parser.should_keep_alive()
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._first_byte_ms or self.server.clock.now_ms(),
            self._body_digest.digest(),
        )
        self._first_byte_ms = None
        self._start_message()
        if len(self._queued) >= MAX_PIPELINED_REQUESTS:
            self._refuse(400)
            return
        self._queued.append((request, keep_alive, self._reserved_bytes))
        self._reserved_bytes = 0
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if the header or idle timeout has passed."""
        if self._closing or self._task is not None:
            return
        limits = self.server.limits
        if self._first_byte_ms is not None:
            if (
                self._in_header_section
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

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_digest = BodyDigest()
        self._body_bytes = 0
        self._header_bytes = 0
        self._in_header_section = True
        self._expects_continue = False

    async def _serve(self) -> None:
        while self._queued and not self._closing:
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
            if self._is_paused:
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

    def _reserve(self, n_bytes: int) -> bool:
        """Reserve room for a part of the body; return whether there is enough."""
        if n_bytes <= 0:
            return True
        if not self.server.bodies.reserve(n_bytes):
            return False
        self._reserved_bytes += n_bytes
        return True

    def _refuse_body(self) -> None:
        """Refuse a request for lack of memory, and read on until its end.

        Closing the connection before would reset it, and the caller lose the refusal.
        """
        self._discards = True
        self._body.clear()
        self.server.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self.server.log.write(
            Event.REQUEST_REFUSED,
            refusal=f"{ResultCode.OVERLOADED.value} OVERLOADED: too many large bodies",
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
