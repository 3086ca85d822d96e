"""Which headers pass from one connection to the next."""

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

# Set anew for each attempt; the caller's own values would contradict them.
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

# Addressed to the entry host alone.
_DROPPED_FROM_ANSWERS = frozenset({RAN_HEADER.lower(), ATTEMPT_ID_HEADER.lower()})


def request_headers(
    request: ForwardRequest, attempt_id: str, timeout_ms: float
) -> CIMultiDict[str]:
    """Return the headers of one attempt.

    Parameters
    ----------
    request : ForwardRequest
        What is sent.
    attempt_id : str
        Identifier that the backend server may echo.
    timeout_ms : float
        Remaining time, in milliseconds.
    """
    headers = _without(request.headers, _REPLACED_IN_REQUESTS)
    headers[TIMEOUT_MS_HEADER] = str(max(1, int(timeout_ms)))
    headers[ATTEMPT_ID_HEADER] = attempt_id
    if request.idempotency_key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def answer_headers(headers, method: str) -> CIMultiDict[str]:
    """Return the headers of an answer that pass on to the caller.

    Parameters
    ----------
    headers : CIMultiDictProxy
        What the backend server sent.
    method : str
        Method of the request; an answer to HEAD keeps its ``Content-Length``.
    """
    kept = _without(headers, _DROPPED_FROM_ANSWERS)
    if method != "HEAD":
        kept.popall("Content-Length", None)
    return kept


def _without(headers, dropped: frozenset[str]) -> CIMultiDict[str]:
    named = headers.getall("Connection", ())
    if named:
        tokens = {
            token.strip().lower() for value in named for token in value.split(",")
        }
        dropped = dropped | tokens
    kept = CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS and lowered not in dropped:
            kept.add(name, value)
    return kept
