"""State of a request across its attempts, and the result of one attempt."""

import math

import attrs

from bulrushlead.dispatch import Outcome
from bulrushlead.http1 import Answer, Request
from bulrushlead.organisations import ANYONE, Caller
from bulrushlead.quarantine import request_fingerprint
from bulrushlead.traffic import Route

MIN_ATTEMPT_MS = 20  # less is too short for an attempt: nothing is sent


@attrs.define(eq=False)
class RequestState:
    """State of a request across all its attempts.

    Parameters
    ----------
    request : Request
        The caller's request.
    request_id : bytes
        Its identifier; empty if it has none.
    route : Route
        Its route.
    deadline_ms : float
        Deadline of its answer, in milliseconds of this host's clock.
    attempts : list of str
        Description of each attempt for the log line.
    refusal : str
        Code and cause of its refusal for the log line; empty if it was not refused.
    may_have_run : bool
        Whether a server may have started to run it.
    caller_disconnected : bool
        Whether its caller disconnected.
    sent_servers : list of str
        Servers that got it or may still get it.
    may_not_relay : bool
        Whether it was passed on to another host already, or by another one.
    may_be_elsewhere : bool
        Whether it was refused for a reason that concerns this host only.
    received_by : str
        Host that passed it on; empty if this host received it from its caller.
    lost_attempts : int
        Attempts whose connection ended before the answer.
    caller : Caller
        Who sent it.
    is_counted : bool
        Whether this host counts it against the quota of the caller's organisation.
    fingerprint : str
        What it has in common with the same request sent again.
    """

    request: Request
    request_id: bytes
    route: Route
    deadline_ms: float
    attempts: list[str] = attrs.field(factory=list)
    refusal: str = ""
    may_have_run: bool = False
    caller_disconnected: bool = False
    sent_servers: list[str] = attrs.field(factory=list)
    may_not_relay: bool = False
    may_be_elsewhere: bool = False
    received_by: str = ""
    lost_attempts: int = 0
    caller: Caller = ANYONE
    is_counted: bool = False
    fingerprint: str = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda state: request_fingerprint(state.request, state.caller.name),
            takes_self=True,
        ),
    )


@attrs.frozen(eq=False)
class AttemptResult:
    """How an attempt ended.

    Parameters
    ----------
    outcome : Outcome
        Outcome for the statistics of the server.
    answer : Answer or None
        Answer for the caller; unless it is final, that of a later attempt replaces it.
        None if this attempt has no answer for the caller.
    final : bool
        Whether the caller gets this answer without further attempts.
    may_have_run : bool
        Whether the server may have started to run the request.
    detail : str
        Cause of a failure or status of the answer, for the log line.
    """

    outcome: Outcome
    answer: Answer | None = None
    final: bool = False
    may_have_run: bool = False
    detail: str = ""


def allowed_time_ms(deadline: bytes | None, route: Route) -> float:
    """Return the time that a request may take, in milliseconds.

    Parameters
    ----------
    deadline : bytes or None
        Value of the caller's field, in milliseconds; one that is no number is ignored.
    route : Route
        Route of the request.
    """
    try:
        timeout_ms = float(deadline) if deadline is not None else route.timeout_ms
    except ValueError:
        return route.timeout_ms
    return (
        route.timeout_ms
        if math.isnan(timeout_ms)
        else min(timeout_ms, route.timeout_ms)
    )
