"""Header fields that a server gets with a request."""

from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._request_state import RequestState
from bulrushlead.http1 import HeaderList, forwardable_headers

# Subtracted from the time that the server is given, so that its timeout answer arrives
# before the deadline.
DEADLINE_MARGIN_MS = 10


def server_headers(
    dialect: Dialect, state: RequestState, server_id: str, remaining_ms: float
) -> HeaderList:
    """Return the caller's fields, with those that this host sets itself."""
    replaced = (dialect.deadline_ms, dialect.expected_server)
    headers = [
        field
        for field in forwardable_headers(state.request.headers)
        if field[0] not in replaced
    ]
    if state.caller.name:
        headers.append((dialect.organisation, state.caller.name.encode()))
    timeout_ms = max(1, int(remaining_ms - DEADLINE_MARGIN_MS))
    headers.append((dialect.deadline_ms, b"%d" % timeout_ms))
    headers.append((dialect.expected_server, server_id.encode()))
    return headers
