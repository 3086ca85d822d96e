"""Data classes of routing decisions."""

from enum import Enum

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.declaration import RequestClass


class RouteReason(Enum):
    """Why a backend server was chosen.

    ``SERVER_TRIAL`` and ``ZONE_TRIAL`` are probes of an ejected server or zone.
    ``OVERFLOW`` exceeds the warm-up share of a cold server. ``SPREAD`` means that all
    candidates are ejected.
    """

    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"
    OTHER_REGION = "other_region"
    SERVER_TRIAL = "server_trial"
    ZONE_TRIAL = "zone_trial"
    OVERFLOW = "overflow"
    SPREAD = "spread"


class AttemptOutcome(Enum):
    """How an attempt at a backend server ended.

    ``ERROR`` is an answer with a server error, or a fault without its own outcome.
    ``LOST`` is a missing or truncated answer. ``REFUSED`` means that the server
    refused the request.
    """

    SUCCESS = "success"
    ERROR = "error"
    LOST = "lost"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class EjectionReason(Enum):
    """Why a backend server is ejected."""

    NONE = "none"
    FAILING = "failing"
    SLOW = "slow"
    ZONE_FAILING = "zone_failing"


@attrs.frozen
class RouteRequest:
    """Properties of a request that routing depends on.

    Parameters
    ----------
    service : str
        Name of the service.
    target_region : str
        Region that serves the request if it can, after shifts.
    request_class : RequestClass
        Class of the request.
    deadline_ms : float
        Deadline of the caller, on the clock of the router.
    excluded : frozenset of str
        Names of servers that earlier attempts used.
    retryable : bool
        Whether a failed attempt may be retried; probes prefer such requests.
    """

    service: str
    target_region: str
    request_class: RequestClass = RequestClass.INTERACTIVE
    deadline_ms: float = float("inf")
    excluded: frozenset[str] = frozenset()
    retryable: bool = True


@attrs.frozen
class Candidate:
    """A backend server that the entry host may use now.

    Parameters
    ----------
    server : BackendServer
        The server.
    free_slots : int
        Leased slots of the server that are not in use.
    """

    server: BackendServer
    free_slots: int


@attrs.frozen
class RouteDecision:
    """A chosen backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    region, availability_zone : str
        Location of the server.
    reason : RouteReason
        Why it was chosen.
    score : float
        Score that the policy compared; lower is better, the unit depends on the
        policy.
    """

    server: BackendServer
    region: str
    availability_zone: str
    reason: RouteReason
    score: float


@attrs.frozen
class ServerStatus:
    """State of a backend server as an entry host sees it, for operators.

    Parameters
    ----------
    name, service, region, availability_zone : str
        The server, its service and its location.
    share : float
        Its share of the recent decisions for the service, 0 to 1.
    ejection_reason : EjectionReason
        Why it is ejected, or ``NONE``.
    in_flight : int
        Requests of this entry host that run at the server.
    latency_ms : float
        Moving average of the latency.
    error_rate : float
        Moving average of failed attempts, 0 to 1.
    warmup_share : float
        Share of a warm server's traffic that it may receive, 0 to 1.
    reported_load : float
        Load in its last report, 0 to 1.
    report_age_ms : float
        Age of the last report.
    """

    name: str
    service: str
    region: str
    availability_zone: str
    share: float
    ejection_reason: EjectionReason
    in_flight: int
    latency_ms: float
    error_rate: float
    warmup_share: float
    reported_load: float
    report_age_ms: float
