"""Requests that are being received."""

from bulrushlead.http1._body import BodyBuffer
from bulrushlead.http1._budget import FIELD_BYTES, ByteBudget
from bulrushlead.http1._limits import BODY_BYTES_PER_FRAMING_BYTE, MAX_FRAMING_BYTES
from bulrushlead.http1._messages import BodyDigest, HeaderList, Request, find_header

FREE_HEAD_BYTES = 4 * 1024  # heads up to this size are not refused for lack of memory

_EMPTY_DIGEST = BodyDigest().digest()


class IncomingRequest:
    """Parts of a request so far, and the memory that is reserved for them.

    Parameters
    ----------
    budget : ByteBudget
        Memory for requests, shared with other connections.

    Attributes
    ----------
    in_header_section : bool
        Whether its header fields are not complete.
    received_bytes : int
        Bytes received since the one before it, without the read in which that ended.
    quiet_bytes : int
        Bytes received since the head or the last part of the body, such as trailers.
    length : int
        Length of the body that its header fields announce.
    reserved_bytes : int
        Memory reserved for it.
    """

    __slots__ = (
        "_digest",
        "_head_bytes",
        "_head_size",
        "body",
        "budget",
        "expects_continue",
        "headers",
        "in_header_section",
        "length",
        "quiet_bytes",
        "received_bytes",
        "reserved_bytes",
        "target",
    )

    def __init__(self, budget: ByteBudget):
        self.budget = budget
        self.target = b""
        self.headers: HeaderList = []
        self.body = BodyBuffer()
        self.expects_continue = False
        self.in_header_section = True
        self.received_bytes = 0
        self.quiet_bytes = 0
        self.length = 0
        self.reserved_bytes = 0
        self._head_size = 0
        self._head_bytes = 0  # reserved for the head and trailers
        self._digest: BodyDigest | None = None

    def add_field(self, name: bytes, value: bytes) -> None:
        """Append one header field."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        self.headers.append((name, value))

    def complete_head(self) -> int:
        """End the header fields, and return their size."""
        self.in_header_section = False
        self.length = int(find_header(self.headers, b"content-length") or 0)
        self.quiet_bytes = 0
        self._head_size = self._measure_head()
        return self._head_size

    def append(self, piece: bytes) -> None:
        """Append a part of the body."""
        self.body.append(piece)
        if self._digest is None:
            self._digest = BodyDigest()
        self._digest.update(piece)

    def reserve_head(self) -> bool:
        """Reserve room for a large head; return whether there is enough."""
        if self.in_header_section:
            size = max(self.received_bytes, self._measure_head())
        else:
            size = self._head_size + self.quiet_bytes
        size += FIELD_BYTES * len(self.headers)
        if size <= FREE_HEAD_BYTES:
            return True
        self._head_bytes = max(self._head_bytes, size)
        return self.reserve_body(0)

    def reserve_body(self, n_bytes: int) -> bool:
        """Reserve room for a body of some length; return whether there is enough."""
        more_bytes = self._head_bytes + n_bytes - self.reserved_bytes
        if more_bytes <= 0:
            return True
        if not self.budget.reserve(more_bytes):
            return False
        self.reserved_bytes += more_bytes
        return True

    def has_excess_framing(self, max_head_bytes: int) -> bool:
        """Return whether too much was received beside the body."""
        body_bytes = self.body.n_bytes
        return self.received_bytes - body_bytes > (
            max_head_bytes
            + MAX_FRAMING_BYTES
            + body_bytes // BODY_BYTES_PER_FRAMING_BYTE
        )

    def _measure_head(self) -> int:
        size = sum(len(n) + len(v) + 4 for n, v in self.headers)
        return size + len(self.target)

    def complete(self, method: bytes, received_ms: float) -> Request:
        """Return the whole request; its memory stays reserved."""
        return Request(
            method,
            self.target,
            self.headers,
            self.body.join(),
            received_ms,
            self._digest.digest() if self._digest else _EMPTY_DIGEST,
        )

    def drop(self) -> None:
        """Drop what was received, and release its memory."""
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = self._head_bytes = 0
        self.headers = []
        self.body.clear()
