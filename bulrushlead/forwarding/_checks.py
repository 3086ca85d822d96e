"""Checks an answer and classifies the failure of an attempt."""

import aiohttp

from bulrushlead.backend import ATTEMPT_ID_HEADER, RAN_HEADER, BackendServer
from bulrushlead.forwarding._connector import AttemptState, ConnectionBrokenError
from bulrushlead.forwarding._model import ForwardError, ForwardRequest
from bulrushlead.results import Ran, ResultCode

BODILESS_STATUSES = frozenset({204, 304})
FINAL_STATUSES = range(200, 600)  # RFC 9110, section 15: codes from 600 on are invalid


def has_no_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer has no body, regardless of its headers."""
    return response.method == "HEAD" or response.status in BODILESS_STATUSES


def check_attempt_id(
    server: BackendServer, response: aiohttp.ClientResponse, attempt_id: str
) -> None:
    """Raise an error if an answer names another attempt."""
    answered_id = response.headers.get(ATTEMPT_ID_HEADER, attempt_id)
    if answered_id != attempt_id:
        raise ForwardError(
            ResultCode.ANSWER_MALFORMED,
            f"{server.name} answered attempt {answered_id!r:.80} in place of "
            f"{attempt_id}",
        )


def is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the server refused the request without running it."""
    return response.status == 503 and response.headers.get(RAN_HEADER) == Ran.NO.value


def check_framing(
    server: BackendServer, request: ForwardRequest, response: aiohttp.ClientResponse
) -> None:
    """Raise an error unless the answer has a final status and delimits its body.

    Without exactly one length or the chunked encoding, a broken connection could
    look like the end of the answer.
    """
    if response.status not in FINAL_STATUSES:
        raise ForwardError(
            ResultCode.ANSWER_MALFORMED,
            f"{server.name} answered status {response.status} to {request.method}; "
            "expected a final status",
        )
    if has_no_body(response):
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


def build_deadline_error(
    server: BackendServer, request: ForwardRequest, attempt: AttemptState
) -> ForwardError:
    """Return the error of an attempt whose deadline has passed."""
    if attempt.may_have_sent:
        return ForwardError(
            ResultCode.DEADLINE_EXPIRED,
            f"{server.name} had not answered {request.method} at the deadline",
        )
    return ForwardError(
        ResultCode.DEADLINE_TOO_SHORT,
        f"the deadline passed before {request.method} was sent to {server.name}; "
        "allow more time",
    )


def build_no_answer_error(
    server: BackendServer,
    request: ForwardRequest,
    attempt: AttemptState,
    error: Exception,
) -> ForwardError:
    """Return the error of an attempt that received no answer."""
    reason = f"{type(error).__name__}: {error}"[:300]
    if not attempt.may_have_sent and attempt.is_past_deadline():
        return build_deadline_error(server, request, attempt)
    if not attempt.may_have_sent:
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


def build_too_large_error(
    server: BackendServer, size_bytes: int, limit_bytes: int
) -> ForwardError:
    """Return the error of an answer that exceeds the size limit."""
    return ForwardError(
        ResultCode.ANSWER_TOO_LARGE,
        f"{server.name} answered with {size_bytes} bytes or more; at most "
        f"{limit_bytes} are passed on: fetch it in ranges",
    )
