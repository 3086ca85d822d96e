"""What is placed, and where it goes."""

import attrs

from bulrushlead.dispatch._server import ServerStats
from bulrushlead.results import ResultCode


@attrs.frozen
class Work:
    """One request to be placed.

    Parameters
    ----------
    service : str
        Service that answers it.
    route : str
        Name of its route, which groups requests of similar duration.
    key : bytes
        Object that it is about; anything evenly spread if there is none.
    sticky : bool
        Whether a server that handled the object lately is faster.
    target_ms : float
        Time within which an answer is worth most.
    remaining_ms : float
        Time until the caller stops waiting.
    urgent : bool
        Whether no other kind of request of the service goes first.
    allowed_regions : tuple of str
        Regions that may run it; all if empty.
    excluded : frozenset of str
        Servers that have had it already.
    """

    service: str
    route: str
    key: bytes
    sticky: bool
    target_ms: float
    remaining_ms: float
    urgent: bool = False
    allowed_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Placement:
    """A server for a request.

    Parameters
    ----------
    server : ServerStats
        The server.
    rank : int
        Its place in the order for the object.
    wait_ms, work_ms, fresh_ms : float
        Expected time in its queue, on its slot, and on the slot of a server that
        does not know the object.
    cold : bool
        Whether the request counts against the rate of a cold server.
    load : float
        Requests expected at the server, waiting ones included.
    """

    server: ServerStats
    rank: int
    wait_ms: float
    work_ms: float
    fresh_ms: float
    cold: bool = False
    load: float = 0.0


@attrs.frozen
class Refusal:
    """Why a request was not placed.

    Parameters
    ----------
    code : ResultCode
        Cause.
    retry_after_ms : float
        When another try may succeed.
    detail : str
        What decided it.
    """

    code: ResultCode
    retry_after_ms: float
    detail: str
