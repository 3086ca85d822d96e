"""Messages about backend servers and hosts."""

from enum import Enum

import attrs

from bulrushlead.organisations import QuotaState, UsageReport
from bulrushlead.quarantine import SuspectNotice
from bulrushlead.traffic import TrafficPlan
from bulrushlead.wire import message


class ServerState(Enum):
    """State that a backend server announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@message("fleet.announcement")
class Announcement:
    """One heartbeat of a backend server.

    Parameters
    ----------
    server_id : str
        Identity of the server; a later incarnation may use the same one.
    born_ms : int
        Start of the incarnation, in milliseconds of the server's wall clock.
    sequence : int
        Grows with each heartbeat of an incarnation.
    service, address, zone, version : str
        Service, address, availability zone and software version of the server.
    slots : int
        Number of requests that the server runs at the same time.
    state : ServerState
        Whether the server accepts new work.
    cold_left_ms : float
        Time left until the server has warmed up after its start, in milliseconds.
    age_ms : float
        Time from the receipt of the heartbeat by a coordinator until the coordinator
        forwards it to the leader, in milliseconds.
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


@message("fleet.limit_notice")
class LimitNotice:
    """Request limit that a server named in an answer.

    Parameters
    ----------
    born_ms : int
        Incarnation of the server.
    limit_per_s : float or None
        Requests per second that the server accepts from all hosts together; None if
        it has withdrawn its limit.
    age_ms : float
        Time since a host observed it, in milliseconds from when this was sent.
    """

    born_ms: int
    limit_per_s: float | None
    age_ms: float = 0.0


@message("fleet.server")
class ServerRecord:
    """Record of one backend server in the registry of the leader.

    Parameters
    ----------
    server_id, born_ms, service, address, zone, version, slots, state
        See ``Announcement``.
    cold_left_ms : float
        Time until the server has warmed up, in milliseconds from when this record
        was sent.
    silent : bool
        Whether the heartbeats of the server have stopped.
    revision : int
        Server revision of the last change of this record.
    limit : LimitNotice or None
        Newest request limit that a host observed; None if no host observed any.
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
    limit: LimitNotice | None = None


@message("fleet.host_report")
class HostReport:
    """State that a host reports with each sync request.

    Parameters
    ----------
    host_id : str
        Name of the host.
    address : str
        Address for callers; empty on a control host.
    zone, region : str
        Availability zone and region of the host.
    accepting : bool
        Whether the host accepts callers.
    loads : dict of str to float
        Mean load that each server reported to this host since the last report of
        the host, as a multiple of the slots of the server.
    draining : dict of str to int
        Incarnation (``born_ms``) of each server whose answers say that it drains while
        the fleet view still calls it ready, by identity of the server.
    demand : dict of str to dict of int to float
        Work in milliseconds that this host sent since its last report, by server and
        64-bit digest of the object's key; see ``DemandMeter``.
    unreachable : tuple of str
        Servers to which this host could not connect since its last report.
    limits : dict of str to LimitNotice
        Request limits that this host observed and the fleet view does not show yet,
        by identity of the server.
    answered : tuple of str
        Servers that answered this host since its last report without telling their
        load; those in ``loads`` have answered too.
    peer_address : str
        Address on which the host carries the requests of others; empty if it does not.
    reaches_servers : bool
        Whether the host can open connections to any backend server.
    suspects : dict of str to SuspectNotice
        Requests under which servers ended, by fingerprint, if the leader does not know
        of them yet.
    usage : UsageReport
        Requests that this host received from organisations with a quota.
    """

    host_id: str
    address: str
    zone: str
    region: str
    accepting: bool
    loads: dict[str, float] = attrs.field(factory=dict)
    draining: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, dict[int, float]] = attrs.field(factory=dict)
    unreachable: tuple[str, ...] = ()
    limits: dict[str, LimitNotice] = attrs.field(factory=dict)
    answered: tuple[str, ...] = ()
    peer_address: str = ""
    reaches_servers: bool = True
    suspects: dict[str, SuspectNotice] = attrs.field(factory=dict)
    usage: UsageReport = UsageReport()


@message("fleet.host")
class HostRecord:
    """Record of one entry host in the registry of the leader.

    Parameters
    ----------
    host_id, address, zone, region, peer_address, reaches_servers
        See ``HostReport``.
    accepting : bool
        Whether the host accepts callers and its last report is recent.
    """

    host_id: str
    address: str
    zone: str
    region: str
    accepting: bool
    peer_address: str = ""
    reaches_servers: bool = True


@message("fleet.position")
class SyncPosition:
    """Revisions up to which a host has received the state of the fleet.

    Parameters
    ----------
    epoch : str
        Identifies the leader, its term, and whether the leader still collects the
        first heartbeats. Revisions of servers, hosts and loads from different epochs
        cannot be compared.
    server_revision : int
        Revision of the newest server record received.
    plan_version : int
        Version of the traffic plan received; -1 for none.
    order_index : int
        Log index of the newest command received.
    host_revision : int
        Revision of the newest list of hosts received.
    pressure_revision : int
        Revision of the newest fleet-wide load received.
    owner_revision : int
        Revision of the newest change of the objects' owners received.
    suspect_revision : int
        Revision of the newest change of the requests under which servers ended.
    quota_revision : int
        Revision of the newest change of the organisations over their quotas.
    """

    epoch: str = ""
    server_revision: int = 0
    plan_version: int = -1
    order_index: int = 0
    host_revision: int = 0
    pressure_revision: int = 0
    owner_revision: int = 0
    suspect_revision: int = 0
    quota_revision: int = 0


@message("fleet.sync")
class SyncRequest:
    """Requests every change after a position from the leader.

    Parameters
    ----------
    position : SyncPosition
        Revisions that the host has received.
    report : HostReport
        State of the host.
    wait_ms : float
        Longest time that the leader waits for a change before it answers, in
        milliseconds.
    """

    position: SyncPosition
    report: HostReport
    wait_ms: float = 0.0


@message("fleet.update")
class FleetUpdate:
    """Changes of the fleet since the position that a host sent.

    Parameters
    ----------
    term : int
        Term of the leader.
    position : SyncPosition
        Revisions that the host has received after this update.
    servers : tuple of ServerRecord
        Changed records; the state ``GONE`` removes a server.
    is_full : bool
        Whether ``servers`` is complete; the receiver removes servers not listed.
    plan : TrafficPlan or None
        Traffic plan, if the host has an older one or none.
    evacuated_zones : tuple of str
        Availability zones whose servers get no new work.
    hosts : tuple of HostRecord or None
        All entry hosts, or None if the list has not changed.
    control_addresses : tuple of str
        Peer addresses of the control hosts.
    pressures : dict of str to float
        Changed fleet-wide loads by server, as a multiple of the slots; 0 for a server
        whose load has fallen below the published minimum.
    owners : dict of str to dict of int to str
        Changed owners of objects: the server by group (``owner_group``) and digest of
        the object's key; empty for an object that left the table.
    suspects : dict of str to SuspectNotice
        Changed evidence on requests under which servers ended, by fingerprint.
    quotas : dict of str to QuotaState or None
        Changed states of organisations with a quota; None while a new leader does not
        know them.
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
    owners: dict[str, dict[int, str]] = attrs.field(factory=dict)
    suspects: dict[str, SuspectNotice] = attrs.field(factory=dict)
    quotas: dict[str, QuotaState] | None = None


def owner_group(region: str, service: str) -> str:
    """Return the name of the group of servers that share objects among themselves."""
    return f"{region}/{service}"
