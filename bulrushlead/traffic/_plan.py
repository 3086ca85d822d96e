"""The traffic plan: routes and services that operators declare, with a version."""

import xxhash

from bulrushlead.traffic._organisation import Organisation
from bulrushlead.wire import message


@message("traffic.share")
class ServiceShare:
    """Share of a route's requests that one service handles.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route, at least 0.
    """

    service: str
    weight: float


@message("traffic.route")
class Route:
    """Policy for the requests to one host name with one path prefix.

    Parameters
    ----------
    name : str
        Name of the route; others may have the same one.
    host : str
        Host name, in lower case.
    path_prefix : str
        Prefix of the path; the longest one that matches is selected.
    shares : tuple of ServiceShare
        Services that handle the requests, by weight.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time until the answer, in milliseconds.
    target_latency_ms : float
        Target latency, in milliseconds; a later answer is worth less to the caller.
    priority : int
        Rank among the routes of a service; 0 is the most urgent.
    max_attempts : int
        Maximum number of backend servers that may get one request.
    sticky : bool
        Whether a server that handled an object recently answers faster.
    allowed_regions : tuple of str
        Regions that may run the request; all if empty.
    public : bool
        Whether requests need no key of an organisation.
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
    public: bool = False

    @property
    def pattern(self) -> tuple[str, str]:
        """Host name and path prefix, which identify a route in its plan."""
        return self.host, self.path_prefix

    @property
    def digest(self) -> int:
        """64-bit hash of the pattern."""
        # The length keeps two patterns apart that are divided differently.
        text = f"{len(self.host)}:{self.host}{self.path_prefix}"
        return xxhash.xxh64_intdigest(text.encode())


@message("traffic.service")
class ServicePolicy:
    """Limits of each backend server of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one server accepts from all callers together.
    warmup_ms : float
        Time that a server stays cold after its start, in milliseconds.
    warmup_per_s : float
        Requests per second that a cold server tolerates; 0 for no limit.
    """

    name: str
    max_connections: int = 0
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


@message("traffic.limits")
class PlanLimits:
    """Limits of callers' requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header section and largest body, in bytes.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for the header section, and between two requests, in
        milliseconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 30_000.0


@message("traffic.plan")
class TrafficPlan:
    """Routes, services, request limits and organisations under one version.

    Parameters
    ----------
    version : int
        Version of the plan; the highest accepted one is in force.
    routes : tuple of Route
        All routes.
    services : tuple of ServicePolicy
        All services.
    limits : PlanLimits
        Limits of requests.
    organisations : tuple of Organisation
        All organisations; if there are none, requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: PlanLimits = PlanLimits()
    organisations: tuple[Organisation, ...] = ()
