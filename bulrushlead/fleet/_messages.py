"""Messages about backend servers and hosts."""

from enum import Enum

import attrs

from bulrushlead.traffic import TrafficPlan
from bulrushlead.wire import message


class ServerState(Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@message("fleet.announcement")
class Announcement:
    """One heartbeat of a backend server.

    Parameters
    ----------
    server_id : str
        Identity; another incarnation may come back under the same one.
    born_ms : int
        Start of the incarnation, in milliseconds of the server's wall clock.
    sequence : int
        Grows with each heartbeat of an incarnation.
    service, address, zone, version : str
        What it serves, where, and with which software.
    slots : int
        Requests that it works on at the same time.
    state : ServerState
        Whether it takes new work.
    cold_left_ms : float
        How much longer it stays cold after its start.
    age_ms : float
        Time since the heartbeat was received.
    """

    server_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: ServerState = ServerState.READY
    cold_left_ms: float = 0.0
    age_ms: float = 0.0


@message("fleet.server")
class ServerRecord:
    """One backend server as the leader knows it.

    Parameters
    ----------
    server_id, born_ms, service, address, zone, version, slots, state
        See ``Announcement``.
    cold_left_ms : float
        Time that it stays cold, from when this record was sent.
    silent : bool
        Whether its heartbeats have stopped.
    revision : int
        Grows with each change of any record.
    """

    server_id: str
    born_ms: int
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState
    version: str = ""
    cold_left_ms: float = 0.0
    silent: bool = False
    revision: int = 0


@message("fleet.host_report")
class HostReport:
    """What a host says of itself when it asks for news.

    Parameters
    ----------
    host_id : str
        Name of the host.
    address : str
        Where callers reach it; empty on a control host.
    zone, region : str
        Where it is.
    accepting : bool
        Whether callers may be sent to it.
    loads : dict of str to float
        Mean load that servers reported to it since its last report, as a multiple
        of their slots.
    """

    host_id: str
    address: str
    zone: str
    region: str
    accepting: bool
    loads: dict[str, float] = attrs.field(factory=dict)


@message("fleet.host")
class HostRecord:
    """One entry host as the leader knows it.

    Parameters
    ----------
    host_id, address, zone, region
        See ``HostReport``.
    accepting : bool
        Whether it takes callers and has reported lately.
    """

    host_id: str
    address: str
    zone: str
    region: str
    accepting: bool


@message("fleet.position")
class SyncPosition:
    """How much a host knows already.

    Parameters
    ----------
    epoch : str
        Leader and term whose revisions these are.
    server_revision : int
        Newest record of a server known.
    plan_version : int
        Plan known; -1 for none.
    order_index : int
        Log index of the newest operators' order known.
    host_revision : int
        Newest list of hosts known.
    pressure_revision : int
        Newest change of a server's load known.
    """

    epoch: str = ""
    server_revision: int = 0
    plan_version: int = -1
    order_index: int = 0
    host_revision: int = 0
    pressure_revision: int = 0


@message("fleet.sync")
class SyncRequest:
    """Asks the leader for everything newer than a position.

    Parameters
    ----------
    position : SyncPosition
        What the host knows.
    report : HostReport
        What the host says of itself.
    wait_ms : float
        How long the leader may wait for news before it answers.
    """

    position: SyncPosition
    report: HostReport
    wait_ms: float = 0.0


@message("fleet.update")
class FleetUpdate:
    """News for one host.

    Parameters
    ----------
    term : int
        Term of the leader.
    position : SyncPosition
        What the host knows after this update.
    servers : tuple of ServerRecord
        Changed records; state ``GONE`` removes one.
    is_full : bool
        Whether the records replace everything known.
    plan : TrafficPlan or None
        The plan, if the host has an older one.
    evacuated_zones : tuple of str
        Availability zones whose servers get no new work.
    hosts : tuple of HostRecord or None
        Entry hosts, if the list has changed.
    control_addresses : tuple of str
        Where the control hosts answer other hosts.
    pressures : dict of str to float
        Changed loads of servers over all hosts, as a multiple of their slots; 0 for
        one that is no longer busy.
    """

    term: int
    position: SyncPosition
    servers: tuple[ServerRecord, ...] = ()
    is_full: bool = False
    plan: TrafficPlan | None = None
    evacuated_zones: tuple[str, ...] = ()
    hosts: tuple[HostRecord, ...] | None = None
    control_addresses: tuple[str, ...] = ()
    pressures: dict[str, float] = attrs.field(factory=dict)
