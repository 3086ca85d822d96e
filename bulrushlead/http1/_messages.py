"""Requests and answers, and how they are rendered as bytes."""

import hashlib
from http import HTTPStatus

import attrs

MAX_JOINED_BODY_BYTES = 16 * 1024  # a copy costs less than another system call

HeaderList = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: hop-by-hop fields, which a proxy must not forward.
_HOP_BY_HOP_HEADERS = frozenset(
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
# This host sets the length of the rendered message and answers expectations itself.
_REWRITTEN_HEADERS = frozenset({b"content-length", b"expect"})
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset({204, 304})


class BodyDigest:
    """Cryptographic digest of a body, computed as it arrives.

    The digest of a large body at once would hold up all other requests of the host.

    Parameters
    ----------
    data : bytes, optional
        First part of the body.
    """

    SIZE_BYTES = 16

    def __init__(self, data: bytes = b""):
        self._hash = hashlib.blake2b(data, digest_size=self.SIZE_BYTES)
        self.update = self._hash.update
        self.digest = self._hash.digest


@attrs.define(eq=False)
class Request:
    """One complete request from a caller.

    Parameters
    ----------
    method : bytes
        Method, for example ``b"GET"``.
    target : bytes
        Path and query, as received.
    headers : list of tuple of bytes
        Fields in order; names in lower case.
    body : bytes
        Complete body, without transfer coding.
    received_ms : float
        When its first byte arrived, in milliseconds of the host's clock.
    body_digest : bytes
        Digest of the body; computed from the body if it is not given.
    sent_on : bool
        Whether it was sent to a backend server or passed on to another host.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""
    received_ms: float = 0.0
    body_digest: bytes = attrs.field(
        default=attrs.Factory(
            lambda request: BodyDigest(request.body).digest(), takes_self=True
        )
    )
    sent_on: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a field, by its lower-case name, or None."""
        return find_header(self.headers, name)


@attrs.define(eq=False)
class Answer:
    """One complete answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of tuple of bytes
        Fields in order.
    body : bytes
        Complete body.
    reason : bytes
        Reason phrase; if empty, the standard one of the status code.
    close : bool
        Whether to close the connection after this answer.
    """

    status: int
    headers: HeaderList = attrs.field(factory=list)
    body: bytes = b""
    reason: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a field, by its lower-case name, or None."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a field, by its lower-case name, or None."""
    for field_name, value in headers:
        if field_name == name or field_name.lower() == name:
            return value
    return None


def forwardable_headers(headers: HeaderList) -> HeaderList:
    """Return the fields to forward: all but hop-by-hop and rewritten ones."""
    dropped = _HOP_BY_HOP_HEADERS
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
) -> list[bytes]:
    """Render a request in parts; its length is set from the body.

    A large body is a part of its own, so that it is not copied.
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in (b"POST", b"PUT", b"PATCH"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    if len(body) > MAX_JOINED_BODY_BYTES:
        return [b"".join(parts), body]
    parts.append(body)
    return [b"".join(parts)]


def render_answer(answer: Answer, keep_alive: bool, with_body: bool = True) -> bytes:
    """Render an answer; its length is set from the body."""
    reason = answer.reason or _REASON_PHRASES.get(answer.status, b"Unknown")
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
