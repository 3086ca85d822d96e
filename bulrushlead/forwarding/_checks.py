"""What an answer, or its absence, proves about an attempt."""

import aiohttp

from bulrushlead.backend import ATTEMPT_ID_HEADER, RAN_HEADER, BackendServer
from bulrushlead.forwarding._connector import AttemptTrace, ConnectionBrokenError
from bulrushlead.forwarding._model import ForwardError, ForwardRequest
from bulrushlead.results import Ran, ResultCode

BODILESS_STATUSES = frozenset({204, 304})


def is_bodiless(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer has no body whatever its headers say."""
    return response.method == "HEAD" or response.status in BODILESS_STATUSES


def check_own(
    server: BackendServer, response: aiohttp.ClientResponse, attempt_id: str
) -> None:
    """Refuse an answer that names another attempt."""
    echoed = response.headers.get(ATTEMPT_ID_HEADER, attempt_id)
    if echoed != attempt_id:
        raise ForwardError(
            ResultCode.ANSWER_MALFORMED,
            f"{server.name} answered attempt {echoed!r:.80} in place of {attempt_id}",
        )


def is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the server says that it refused before running."""
    return response.status == 503 and response.headers.get(RAN_HEADER) == Ran.NO.value


def check_framing(
    server: BackendServer, request: ForwardRequest, response: aiohttp.ClientResponse
) -> None:
    """Refuse an answer whose end cannot be told from a broken connection."""
    if response.status < 200:
        raise ForwardError(
            ResultCode.ANSWER_MALFORMED,
            f"{server.name} answered status {response.status} to {request.method}; "
            "expected a final status",
        )
    if is_bodiless(response):
        return
    encodings = response.headers.getall("Transfer-Encoding", [])
    lengths = response.headers.getall("Content-Length", [])
    chunked = ",".join(encodings).strip().lower() == "chunked"
    if chunked == bool(lengths) or (encodings and not chunked) or len(lengths) > 1:
        raise ForwardError(
            ResultCode.ANSWER_MALFORMED,
            f"{server.name} sent Content-Length {lengths} and Transfer-Encoding "
            f"{encodings}; exactly one Content-Length or chunked is needed",
        )


def too_late(
    server: BackendServer, request: ForwardRequest, trace: AttemptTrace
) -> ForwardError:
    """Return the error of an attempt whose deadline has passed."""
    if trace.may_have_sent:
        return ForwardError(
            ResultCode.DEADLINE_EXPIRED,
            f"{server.name} had not answered {request.method} at the deadline",
        )
    return ForwardError(
        ResultCode.DEADLINE_TOO_SHORT,
        f"the deadline passed before {request.method} was sent to {server.name}; "
        "allow more time",
    )


def not_answered(
    server: BackendServer,
    request: ForwardRequest,
    trace: AttemptTrace,
    error: Exception,
) -> ForwardError:
    """Return the error of an attempt that brought no answer at all."""
    reason = f"{type(error).__name__}: {error}"[:300]
    if not trace.may_have_sent and trace.is_late():
        return too_late(server, request, trace)
    if not trace.may_have_sent:
        return ForwardError(
            ResultCode.CONNECT_FAILED,
            f"no connection to {server.name} at {server.address}: {reason}",
        )
    if isinstance(error, aiohttp.ClientResponseError):
        return ForwardError(
            ResultCode.ANSWER_MALFORMED, f"{server.name} sent no valid HTTP: {reason}"
        )
    if isinstance(error, ConnectionBrokenError):
        reason = str(error)
    return ForwardError(
        ResultCode.ANSWER_LOST, f"connection to {server.name} broke: {reason}"
    )


def too_large(server: BackendServer, size_bytes: int, limit_bytes: int) -> ForwardError:
    """Return the error of an answer over the size limit."""
    return ForwardError(
        ResultCode.ANSWER_TOO_LARGE,
        f"{server.name} answered with {size_bytes} bytes or more; at most "
        f"{limit_bytes} are passed on: fetch it in ranges",
    )
