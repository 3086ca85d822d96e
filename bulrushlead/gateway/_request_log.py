"""The log line of each request."""

from bulrushlead.dispatch import Work
from bulrushlead.gateway._request_state import RequestState
from bulrushlead.logs import Event, EventLogger
from bulrushlead.traffic import Route

MAX_PATTERN_CHARACTERS = 200  # operators may declare longer prefixes


def write_request_line(
    log: EventLogger,
    state: RequestState,
    work: Work,
    *,
    status: int,
    total_ms: float,
    key: bytes | None,
    plan_version: int,
    fleet_age_ms: int,
) -> None:
    """Write what was decided for a request, and from what.

    Parameters
    ----------
    log : EventLogger
        Log of the host.
    state : RequestState
        The request after its last attempt.
    work : Work
        The request as it was placed.
    status : int
        Status of its answer; 0 if it has none.
    total_ms : float
        Time since its first byte arrived, in milliseconds.
    key : bytes or None
        Key of the object that it concerns.
    plan_version, fleet_age_ms : int
        Version of the traffic plan and age of the fleet view, in milliseconds; -1 for
        none.
    """
    fields = {
        "request_id": header_text(state.request_id),
        "route": work.route,
        "pattern": _pattern_text(state.route),
        "service": work.service,
        "key": header_text(key),
        "status": status,
        "total_ms": round(total_ms, 1),
        "allowed_ms": round(state.deadline_ms - state.request.received_ms),
        "attempts": state.attempts,
        "refusal": state.refusal,
        "abandoned": state.caller_disconnected,
        "may_have_run": state.may_have_run,
        "plan_version": plan_version,
        "fleet_age_ms": fleet_age_ms,
        "received_by": state.received_by,
    }
    if state.caller.name:
        fields["organisation"] = state.caller.name
        fields["credential"] = state.caller.key_label
    if state.lost_attempts:
        fields["fingerprint"] = state.fingerprint
    log.write(_request_event(state, status), **fields)


def header_text(value: bytes | None) -> str:
    """Return the value of a header field as text; empty for none."""
    return (value or b"").decode("latin-1")


def _pattern_text(route: Route) -> str:
    """Return what a route matches, since several routes may have one name."""
    return f"{route.host}{route.path_prefix}"[:MAX_PATTERN_CHARACTERS]


def _request_event(state: RequestState, status: int) -> Event:
    if state.refusal:
        return Event.REQUEST_REFUSED
    if state.caller_disconnected or not 0 < status < 500:
        return Event.REQUEST_FAILED
    return Event.REQUEST_DONE
