"""Data classes of routing decisions."""

from enum import Enum

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.declaration import RequestClass


class RouteReason(Enum):
    """Why a backend server was chosen."""

    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"
    OTHER_REGION = "other_region"
    SERVER_TRIAL = "server_trial"
    ZONE_TRIAL = "zone_trial"
    OVERFLOW = "overflow"
    SPREAD = "spread"


class AttemptOutcome(Enum):
    """How an attempt at a backend server ended."""

    SUCCESS = "success"
    ERROR = "error"
    LOST = "lost"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Distrust(Enum):
    """Why a backend server lost its share."""

    NONE = "none"
    FAILING = "failing"
    SLOW = "slow"
    ZONE_FAILING = "zone_failing"


@attrs.frozen
class RouteRequest:
    """What the router needs to know of a request.

    Parameters
    ----------
    service : str
        Name of the service.
    home_region : str
        Region that shall serve the request if it can.
    request_class : RequestClass
        Order among waiting requests.
    deadline_ms : float
        When the caller gives up, on the clock of the router.
    excluded : frozenset of str
        Names of servers that were tried already.
    repeatable : bool
        Whether a failed attempt may be repeated; trials prefer such requests.
    """

    service: str
    home_region: str
    request_class: RequestClass = RequestClass.INTERACTIVE
    deadline_ms: float = float("inf")
    excluded: frozenset[str] = frozenset()
    repeatable: bool = True


@attrs.frozen
class Candidate:
    """A backend server that the entry host may use now.

    Parameters
    ----------
    server : BackendServer
        The server.
    free_slots : int
        Leased slots of it that are not in use.
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
        Where it is.
    reason : RouteReason
        Why it was chosen.
    score : float
        What the policy compared; lower is better, the unit is the policy's.
    """

    server: BackendServer
    region: str
    availability_zone: str
    reason: RouteReason
    score: float


@attrs.frozen
class ServerStatus:
    """What an entry host knows of a backend server, for operators.

    Parameters
    ----------
    name, service, region, availability_zone : str
        The server and where it is.
    share : float
        Its share of the recent decisions for the service, 0 to 1.
    distrust : Distrust
        Why it lost its share.
    in_flight : int
        Requests of this entry host that it runs.
    latency_ms : float
        Running mean latency.
    error_rate : float
        Running share of failed attempts, 0 to 1.
    ramp : float
        Share of a warm server's traffic that it may take, 0 to 1.
    reported_load : float
        Load by its own account, 0 to 1.
    report_age_ms : float
        Age of that report.
    """

    name: str
    service: str
    region: str
    availability_zone: str
    share: float
    distrust: Distrust
    in_flight: int
    latency_ms: float
    error_rate: float
    ramp: float
    reported_load: float
    report_age_ms: float
