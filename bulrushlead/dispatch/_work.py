"""Inputs and results of a placement."""

import attrs
import xxhash

from bulrushlead.dispatch._server import ServerStats
from bulrushlead.results import ResultCode


@attrs.frozen
class Work:
    """A request to place on a server.

    Parameters
    ----------
    service : str
        Service that handles it.
    route : str
        Name of its route.
    key : bytes
        Object key; an evenly distributed value if the request has none.
    sticky : bool
        Whether a server that handled the object recently is faster.
    target_latency_ms : float
        Target latency, in milliseconds; a later answer is worth less to the caller.
    remaining_ms : float
        Time until the caller's deadline, in milliseconds.
    urgent : bool
        Whether its route has the highest priority of the service.
    allowed_regions : tuple of str
        Regions that may run it; all if empty.
    excluded : frozenset of str
        Servers that already got an attempt of it.
    region : str
        Region of the host that received it from its caller; empty if this host did.
    route_digest : int
        Hash of what its route matches; 0 if unknown.
    """

    service: str
    route: str
    key: bytes
    sticky: bool
    target_latency_ms: float
    remaining_ms: float
    urgent: bool = False
    allowed_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    region: str = ""
    route_digest: int = 0

    @property
    def duration_group(self) -> int | str:
        """Group of requests of similar duration; routes may share a name."""
        return self.route_digest or self.route

    @property
    def digest(self) -> int:
        """64-bit hash of the object key."""
        return xxhash.xxh64_intdigest(self.key)


@attrs.frozen
class Placement:
    """The server selected for a request, with its estimates.

    Parameters
    ----------
    server : ServerStats
        Selected server.
    rank : int
        Its position among the candidates for the object, 0 for the first.
    wait_ms : float
        Expected time in the queue of the server, in milliseconds.
    work_ms : float
        Expected time on a slot of the server, in milliseconds.
    uncached_ms : float
        Expected time on a slot of a server of usual speed that has not cached the
        object, in milliseconds.
    cold : bool
        Whether the request counts against the rate limit of a cold server.
    load : float
        Estimated number of requests at the server, running and queued.
    unqueued_ms : float
        Time on a slot of a server that has cached the object, in milliseconds, as the
        fastest answers took.
    digest : int or None
        Digest of the object key; None if the request concerns no object.
    """

    server: ServerStats
    rank: int
    wait_ms: float
    work_ms: float
    uncached_ms: float
    cold: bool = False
    load: float = 0.0
    unqueued_ms: float = 0.0
    digest: int | None = None


@attrs.frozen
class Refusal:
    """The refusal of a request that was not placed.

    Parameters
    ----------
    code : ResultCode
        Cause.
    retry_after_ms : float
        Time after which a retry may succeed, in milliseconds.
    detail : str
        Explanation of the cause, with values.
    """

    code: ResultCode
    retry_after_ms: float
    detail: str
