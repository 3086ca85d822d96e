"""Client connections to backend servers, with one exchange at a time."""

import asyncio
import errno
from collections.abc import Callable

import httptools

from bulrushlead.http1._body import BodyBuffer
from bulrushlead.http1._budget import FIELD_BYTES, BudgetShare, ByteBudget
from bulrushlead.http1._faults import ExchangeError, ExchangeFault
from bulrushlead.http1._limits import BODY_BYTES_PER_FRAMING_BYTE, MAX_FRAMING_BYTES
from bulrushlead.http1._messages import BODILESS_STATUSES, Answer
from bulrushlead.http1._pacing import PacedReader, TurnQueue

MAX_HEAD_BYTES = 64 * 1024  # status line and header fields, interim answers included
MAX_FIELDS = 256  # of one head; servers send some ten
STATUS_CODES = range(100, 600)  # RFC 9110, section 15: any other one is invalid
RESERVED_AHEAD_BYTES = 4 * 1024  # so that not each read has to reserve
# Body bytes of answers to other requests that are read until the right one comes.
MAX_DISCARDED_BYTES = 1024 * 1024
# Requests refused or failed on one connection, after which it is closed.
MAX_FAILED_REQUESTS = 64


class _StopParsingError(Exception):
    """Raised in a callback of the parser once its exchange has ended."""


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    An answer is buffered until it is complete. Bytes that come without end, in
    whichever part of an answer, end the exchange.

    Parameters
    ----------
    id_header : bytes
        Lower-case name of the field in which the backend server echoes the
        identifier of the request that it answers.
    buffer : ByteBudget
        Memory for answers, shared with other connections.
    address : str
        Address of the backend server, as ``host:port``.
    on_silent : callable, optional
        Called with the address if the kernel closes the connection because the other
        end has gone silent.
    turns : TurnQueue, optional
        Turns in which answers in many pieces are parsed, shared with other connections.

    Attributes
    ----------
    n_exchanges : int
        Requests sent so far.
    idle_since_ms : float
        When the last answer ended, by the host's clock; set by the pool.
    keep_alive_ms : float or None
        Idle time that the backend server announced, in milliseconds.
    """

    def __init__(
        self,
        id_header: bytes,
        buffer: ByteBudget,
        address: str = "",
        on_silent: Callable[[str], None] | None = None,
        turns: TurnQueue | None = None,
    ):
        self.id_header = id_header
        self.address = address
        self.on_silent = on_silent
        self.n_exchanges = 0
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = None
        self._future: asyncio.Future | None = None
        self._request_id = b""
        self._is_head = False
        self._may_reuse = True
        self._failed_ids: set[bytes] = set()
        self._share = BudgetShare(buffer, address, self._give_way)
        self._reader = PacedReader(self._parse, turns or TurnQueue())
        self._body = BodyBuffer()
        self._start_exchange()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._may_reuse and self._future is None

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether an answer to an identifier can only be to its next request.

        A server may write an answer once more. The copy of a refusal would be taken
        for the answer to the same request, sent again, although that one runs.
        """
        return request_id not in self._failed_ids

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    async def exchange(
        self, data: list[bytes], request_id: bytes, is_head: bool
    ) -> Answer:
        """Send a request and return its whole answer.

        Parameters
        ----------
        data : list of bytes
            Request as sent on the wire, in parts.
        request_id : bytes
            Identifier that its answer must echo.
        is_head : bool
            Whether this is a HEAD request, whose answer has no body.

        Raises
        ------
        ExchangeError
            If no complete answer was received.
        """
        if not self.is_reusable or self._transport.is_closing():
            raise ExchangeError(
                ExchangeFault.NOT_SENT, "connection is closed or in use"
            )
        if not self.may_carry(request_id):
            raise ExchangeError(
                ExchangeFault.NOT_SENT, "connection carried this request before"
            )
        self._request_id = request_id
        self._is_head = is_head
        self._parser = httptools.HttpResponseParser(self)
        self._start_exchange()
        self.n_exchanges += 1
        self._future = asyncio.get_running_loop().create_future()
        for part in data:
            self._transport.write(part)
        try:
            return await self._future
        except asyncio.CancelledError:
            # Closing lets the backend server stop work on a request that was cancelled.
            self.close()
            raise
        finally:
            self._future = self._parser = None  # the parser holds a part of a field
            self._drop_message()

    def close(self) -> None:
        """Close the connection at once."""
        self._may_reuse = False
        self._reader.clear()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes outside of an exchange close the connection."""
        self._reader.receive(data, self._transport)

    def eof_received(self) -> bool:
        """Complete an answer without a length when the connection ends."""
        self._reader.finish()
        self._may_reuse = False
        if self._has_header_section and not self._is_framed and not self._is_mismatched:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange that is in progress."""
        self._reader.finish()
        self._may_reuse = False
        fault = (
            ExchangeFault.TRUNCATED
            if self._has_header_section
            else ExchangeFault.CLOSED
        )
        self._fail(fault, repr(error) if error else "closed by the backend server")
        is_silent = isinstance(error, OSError) and error.errno == errno.ETIMEDOUT
        if is_silent and self.on_silent is not None:
            self.on_silent(self.address)

    def on_message_begin(self) -> None:
        """Start an answer; a second one belongs to no request."""
        if self._is_complete:
            self._may_reuse = False
            return
        self._start_message()

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        if not self._is_complete:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; trailers are dropped."""
        if self._is_complete or self._has_header_section:
            self._reader.n_callbacks += 1
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_FIELDS:
            self._abort(
                ExchangeFault.MALFORMED,
                f"head of an answer has more than {MAX_FIELDS} fields",
            )
            raise _StopParsingError
        lower = name.lower()
        if lower == b"content-length":
            self._is_framed = True
            self._length = int(value) if value.isdigit() else 0
        elif lower == b"transfer-encoding":
            self._is_framed = True
        elif lower == self.id_header:
            self._echoed_id = value
        elif lower == b"keep-alive":
            self.keep_alive_ms = _parse_keep_alive(value)

    def on_headers_complete(self) -> None:
        """Decide whether the answer belongs to the request in progress."""
        self._reader.n_callbacks += 1 + len(self._headers)
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        if self._status not in STATUS_CODES:
            # Below 100 it would count as interim, and the exchange would wait on.
            self._abort(ExchangeFault.MALFORMED, f"status {self._status:03d}")
            raise _StopParsingError
        if self._status < 200:
            return
        self._has_header_section = True
        self._head_bytes = 0
        # A late second answer to an earlier request may arrive first. Refusals may
        # omit the identifier; a success on a reused connection must echo it.
        if self._echoed_id is None:
            self._is_mismatched = self.n_exchanges > 1 and self._status < 300
            # A late copy of this answer could not be told from the next one.
            self._may_reuse = False
        else:
            self._is_mismatched = self._echoed_id != self._request_id
        if self._is_mismatched:
            self._length = 0  # others may follow in the same read
        if self._is_head and not self._is_mismatched:
            self._may_reuse = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._reader.n_callbacks += 1
        if self._is_complete:
            return
        if self._is_mismatched:
            self._discarded_bytes += len(body)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the answer, or drop one that belongs to another request."""
        if self._is_complete or self._status < 200:
            return
        if self._is_mismatched:
            self._start_message()
            return
        if not self._is_framed and self._status not in BODILESS_STATUSES:
            return  # the end of the connection ends this answer
        if not self._parser.should_keep_alive():
            self._may_reuse = False
        self._finish()

    def _start_exchange(self) -> None:
        self._received_bytes = 0
        self._head_bytes = 0  # of the head; afterwards, since the last part of the body
        self._discarded_bytes = 0
        self._reader.n_plain_bytes = 0
        self._start_message()

    def _start_message(self) -> None:
        self._drop_message()
        self._status = 0
        self._echoed_id: bytes | None = None
        self._has_header_section = False
        self._is_framed = False
        self._is_mismatched = False
        self._is_complete = False

    def _finish(self) -> None:
        self._is_complete = True
        # An early answer may leave a part of the request unsent.
        if self._transport.get_write_buffer_size() > 0:
            self._may_reuse = False
        if self._status >= 400:
            self._failed_ids.add(self._request_id)
            if len(self._failed_ids) >= MAX_FAILED_REQUESTS:
                self._may_reuse = False
        if self._future is not None and not self._future.done():
            self._future.set_result(
                Answer(self._status, self._headers, self._body.join(), self._reason)
            )

    def _drop_message(self) -> None:
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._field_bytes = 0
        self._length = 0
        self._body.clear()
        self._share.resize(0)

    def _parse(self, data: bytes | memoryview) -> bool:
        """Parse a part of what was received; return whether the exchange goes on."""
        if self._future is None or self._future.done():
            self.close()
            return False
        self._received_bytes += len(data)
        self._head_bytes += len(data)
        read_body_bytes = self._body.n_bytes + self._discarded_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._abort(ExchangeFault.MALFORMED, str(error))
            return False
        if self._future.done():
            if self._reader.n_waiting_bytes:
                self.close()
            return False
        if self._body.n_bytes + self._discarded_bytes != read_body_bytes:
            self._head_bytes = 0
        return self._is_within_bounds()

    def _is_within_bounds(self) -> bool:
        """End an exchange whose answer takes too much or gets nowhere."""
        body_bytes = self._body.n_bytes
        read_body_bytes = body_bytes + self._discarded_bytes
        framing_bytes = self._received_bytes - read_body_bytes
        self._reader.n_plain_bytes = self._length - body_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            detail = f"head or trailers of an answer exceed {MAX_HEAD_BYTES} bytes"
        elif self._discarded_bytes > MAX_DISCARDED_BYTES:
            detail = f"{self._discarded_bytes} bytes of answers to other requests"
        elif framing_bytes > (
            MAX_FRAMING_BYTES + read_body_bytes // BODY_BYTES_PER_FRAMING_BYTE
        ):
            detail = f"{framing_bytes} bytes beside {read_body_bytes} of the body"
        else:
            return self._reserve()
        self._abort(ExchangeFault.MALFORMED, detail)
        return False

    def _reserve(self) -> bool:
        """Reserve room for what is kept; end the exchange if there is none."""
        head_bytes = self._head_bytes + FIELD_BYTES * len(self._headers)
        if self._has_header_section:
            if not self._field_bytes:
                self._field_bytes = sum(len(n) + len(v) for n, v in self._headers)
            head_bytes += self._field_bytes
        kept_bytes = self._body.n_bytes + self._reader.n_waiting_bytes + head_bytes
        if kept_bytes <= self._share.used_bytes:
            return True
        if self._share.resize(kept_bytes + RESERVED_AHEAD_BYTES):
            return True
        self._abort(
            ExchangeFault.TOO_LARGE, f"no room for the {kept_bytes} bytes of the answer"
        )
        return False

    def _give_way(self) -> None:
        self._abort(
            ExchangeFault.TOO_LARGE,
            f"gave way after {self._share.used_bytes} bytes, since answers of "
            f"{self._share.owner} took most of the memory",
        )

    def _abort(self, fault: ExchangeFault, detail: str) -> None:
        self._fail(fault, detail)
        self._is_complete = True
        self._parser = None
        self._drop_message()
        self.close()

    def _fail(self, fault: ExchangeFault, detail: str) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(ExchangeError(fault, detail))


def _parse_keep_alive(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) * 1000.0
    return None
