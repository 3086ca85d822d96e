"""Requests and answers in memory, and their bytes."""

from http import HTTPStatus

import attrs

HeaderList = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: fields that concern one connection only.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The length is written anew; expectations are answered by this host.
_REWRITTEN_HEADERS = frozenset({b"content-length", b"expect"})
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset({204, 304})


@attrs.define(eq=False)
class Request:
    """One whole request as a caller sent it.

    Parameters
    ----------
    method : bytes
        Method, for example ``b"GET"``.
    target : bytes
        Path and query, as received.
    headers : list of tuple of bytes
        Fields in order; names in lower case.
    body : bytes
        Whole body, without transfer coding.
    received_ms : float
        When its first byte arrived, in milliseconds of the host's clock.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""
    received_ms: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first field with a lower-case name, or None."""
        return find_header(self.headers, name)


@attrs.define(eq=False)
class Answer:
    """One whole answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of tuple of bytes
        Fields in order.
    body : bytes
        Whole body.
    reason : bytes
        Reason phrase; the usual one if empty.
    close : bool
        Whether the connection ends after this answer.
    """

    status: int
    headers: HeaderList = attrs.field(factory=list)
    body: bytes = b""
    reason: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first field with a lower-case name, or None."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a field, by its lower-case name."""
    for known, value in headers:
        if known == name or known.lower() == name:
            return value
    return None


def forwardable_headers(headers: HeaderList) -> HeaderList:
    """Return the fields that concern more than one connection."""
    dropped = _CONNECTION_HEADERS
    for name, value in headers:
        if name.lower() == b"connection":
            dropped = dropped | {token.strip().lower() for token in value.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in dropped and lower not in _REWRITTEN_HEADERS
    ]


def render_request(
    method: bytes, target: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Return the bytes of a request with a body of known length."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in (b"POST", b"PUT", b"PATCH"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def render_answer(answer: Answer, keep_alive: bool, with_body: bool = True) -> bytes:
    """Return the bytes of an answer with a body of known length."""
    reason = answer.reason or _REASONS.get(answer.status, b"Unknown")
    parts = [b"HTTP/1.1 %d " % answer.status, reason, b"\r\n"]
    for name, value in answer.headers:
        parts += (name, b": ", value, b"\r\n")
    if answer.status not in BODILESS_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if with_body and answer.status not in BODILESS_STATUSES:
        parts.append(answer.body)
    return b"".join(parts)
