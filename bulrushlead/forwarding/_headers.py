"""Selects the headers that are forwarded between caller and backend server."""

from multidict import CIMultiDict

from bulrushlead.backend import (
    ATTEMPT_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    RAN_HEADER,
    TIMEOUT_MS_HEADER,
)
from bulrushlead.forwarding._model import ForwardRequest

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Dropped, or set for each attempt; the caller's values would contradict the attempt.
_REPLACED_IN_REQUESTS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        TIMEOUT_MS_HEADER.lower(),
        ATTEMPT_ID_HEADER.lower(),
        IDEMPOTENCY_KEY_HEADER.lower(),
    }
)

# Meant for the entry host only.
_DROPPED_FROM_ANSWERS = frozenset({RAN_HEADER.lower(), ATTEMPT_ID_HEADER.lower()})


def request_headers(
    request: ForwardRequest, attempt_id: str, timeout_ms: float
) -> CIMultiDict[str]:
    """Return the headers of one attempt.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    attempt_id : str
        Identifier of the attempt, which the backend server may return.
    timeout_ms : float
        Time until the deadline, in milliseconds.
    """
    headers = _filter_headers(request.headers, _REPLACED_IN_REQUESTS)
    headers[TIMEOUT_MS_HEADER] = str(max(1, int(timeout_ms)))
    headers[ATTEMPT_ID_HEADER] = attempt_id
    if request.idempotency_key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def answer_headers(headers, method: str) -> CIMultiDict[str]:
    """Return the headers of an answer that are forwarded to the caller.

    Parameters
    ----------
    headers : CIMultiDictProxy
        Headers that the backend server sent.
    method : str
        Method of the request; an answer to HEAD keeps its ``Content-Length``.
    """
    filtered = _filter_headers(headers, _DROPPED_FROM_ANSWERS)
    if method != "HEAD":
        filtered.popall("Content-Length", None)
    return filtered


def _filter_headers(headers, excluded: frozenset[str]) -> CIMultiDict[str]:
    connection_values = headers.getall("Connection", ())
    if connection_values:
        tokens = {
            token.strip().lower()
            for value in connection_values
            for token in value.split(",")
        }
        excluded = excluded | tokens
    filtered = CIMultiDict()
    for name, value in headers.items():
        lowercase_name = name.lower()
        if lowercase_name not in HOP_BY_HOP_HEADERS and lowercase_name not in excluded:
            filtered.add(name, value)
    return filtered
