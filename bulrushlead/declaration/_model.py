"""Data classes of a declaration."""

from enum import Enum

import attrs


class HostRole(Enum):
    """Role of a host of the system."""

    ENTRY = "entry"
    CONTROL = "control"


class RequestClass(Enum):
    """Scheduling class of waiting requests."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


class DrainTarget(Enum):
    """Kind of target of a planned drain."""

    REGION = "region"
    AVAILABILITY_ZONE = "availability_zone"
    BACKEND_SERVER = "backend_server"
    HOST = "host"


@attrs.frozen
class Region:
    """A region.

    Parameters
    ----------
    name : str
        Unique name.
    """

    name: str


@attrs.frozen
class AvailabilityZone:
    """An availability zone of a region.

    Parameters
    ----------
    name : str
        Name that is unique over all regions.
    region : str
        Name of its region.
    """

    name: str
    region: str


@attrs.frozen
class Host:
    """A host of the system.

    Parameters
    ----------
    name : str
        Unique name.
    availability_zone : str
        Name of its availability zone.
    role : HostRole
        Role of the host.
    address : str
        ``IP:port`` at which callers reach an entry host.
    capacity_rps : int
        Requests per second that an entry host can handle; callers are spread over
        the entry hosts in proportion.
    """

    name: str
    availability_zone: str
    role: HostRole = HostRole.ENTRY
    address: str = ""
    capacity_rps: int = 1_000


@attrs.frozen
class Service:
    """A service that backend servers offer.

    Parameters
    ----------
    name : str
        Unique name, part of the request path.
    request_class : RequestClass
        Scheduling class of the service's waiting requests.
    timeout_ms : int
        Timeout of a request whose caller sets none.
    max_duration_ms : int
        Maximum time that a request may run on a backend server, in milliseconds.
    needed_slots : int
        Number of slots, over all regions, that a planned drain must leave.
    expected_answer_bytes : int
        Minimum size that is reserved on a link for an answer before its actual size
        is known.
    """

    name: str
    request_class: RequestClass = RequestClass.INTERACTIVE
    timeout_ms: int = 5_000
    max_duration_ms: int = 30_000
    needed_slots: int = 1
    expected_answer_bytes: int = 16_384


@attrs.frozen
class RegionCapacity:
    """Limit on the rate of a service's requests to a region.

    Parameters
    ----------
    service : str
        Name of the service.
    region : str
        Name of the region.
    requests_per_s : int
        Maximum number of requests in any second, over all entry hosts.
    """

    service: str
    region: str
    requests_per_s: int


@attrs.frozen
class Link:
    """A one-way link between two regions.

    Parameters
    ----------
    from_region, to_region : str
        Names of the regions.
    bytes_per_s : int
        Maximum number of bytes in any second, over all traffic of the system.
    latency_ms : float
        One-way latency in milliseconds.
    """

    from_region: str
    to_region: str
    bytes_per_s: int
    latency_ms: float = 20.0


@attrs.frozen
class Shift:
    """A shift of a service's traffic from one region to another.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Name of the service.
    from_region, to_region : str
        Names of the regions.
    percent_cap : float
        Maximum percentage of the service's traffic in the source region that is
        shifted, 0 to 100.
    rate_cap_rps : int
        Maximum number of shifted requests in any second, over all entry hosts.
    step_percent : float
        Percentage points by which the shift grows while the target region is healthy.
    step_interval_ms : int
        Minimum time between two steps up.
    """

    name: str
    service: str
    from_region: str
    to_region: str
    percent_cap: float
    rate_cap_rps: int
    step_percent: float = 5.0
    step_interval_ms: int = 5_000


@attrs.frozen
class Drain:
    """A planned drain.

    Parameters
    ----------
    name : str
        Unique name.
    target : DrainTarget
        Kind of the drained target.
    target_name : str
        Name of the drained target.
    start_at : str
        UTC time in ISO 8601 form; empty means at once.
    """

    name: str
    target: DrainTarget
    target_name: str
    start_at: str = ""


@attrs.frozen
class ClientBlock:
    """A block of client addresses and the region that is nearest to it.

    Parameters
    ----------
    prefix : str
        Address block, for example ``"10.2.0.0/16"``.
    region : str
        Name of the region.
    """

    prefix: str
    region: str


@attrs.frozen
class Declaration:
    """The content of an operators' declaration.

    Each field holds the items of the section of the same name.
    """

    regions: tuple[Region, ...] = ()
    availability_zones: tuple[AvailabilityZone, ...] = ()
    hosts: tuple[Host, ...] = ()
    services: tuple[Service, ...] = ()
    region_capacities: tuple[RegionCapacity, ...] = ()
    links: tuple[Link, ...] = ()
    shifts: tuple[Shift, ...] = ()
    drains: tuple[Drain, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()
