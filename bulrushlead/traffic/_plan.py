"""What operators say about routes and services, as one numbered plan."""

from bulrushlead.wire import message


@message("traffic.share")
class ServiceShare:
    """Part of a route's requests that one service gets.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight against the other shares of the route, at least 0.
    """

    service: str
    weight: float


@message("traffic.route")
class Route:
    """Requests of one host below one path.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host name, in lower case.
    path_prefix : str
        Start of the path; the longest one that fits wins.
    shares : tuple of ServiceShare
        Services that answer, by weight.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a request may wait for its answer.
    target_latency_ms : float
        Time within which an answer is worth most.
    priority : int
        Rank among the routes of a service; 0 is the most urgent.
    max_attempts : int
        Most backend servers that may get one request.
    sticky : bool
        Whether a server that handled an object lately answers faster.
    allowed_regions : tuple of str
        Regions that may run the request; all if empty.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    idempotent: bool
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_attempts: int = 1
    sticky: bool = False
    allowed_regions: tuple[str, ...] = ()


@message("traffic.service")
class ServicePolicy:
    """What holds for all backend servers of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one server accepts from all callers together.
    warmup_ms : float
        How long a server stays cold after its start.
    warmup_per_s : float
        Requests a second that a cold server stands; 0 if it has no such limit.
    """

    name: str
    max_connections: int = 0
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


@message("traffic.limits")
class PlanLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header section and largest body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for the header section, and between two requests.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 30_000.0


@message("traffic.plan")
class TrafficPlan:
    """Everything that operators say about traffic, under one version.

    Parameters
    ----------
    version : int
        The highest version accepted is in force.
    routes : tuple of Route
        All routes.
    services : tuple of ServicePolicy
        All services.
    limits : PlanLimits
        Limits of requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: PlanLimits = PlanLimits()
