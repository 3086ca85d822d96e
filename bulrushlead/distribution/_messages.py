"""Messages between entry hosts and the leader."""

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.declaration import Declaration
from bulrushlead.leases import LeaseGrant, LeaseRequest
from bulrushlead.wire import message


@message("distribution.host")
class HostView:
    """An entry host as the other entry hosts see it.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        ``IP:port`` where callers reach it.
    region, availability_zone : str
        Where it is.
    capacity_rps : int
        Requests per second it can carry.
    draining : bool
        Whether it takes no new callers.
    """

    name: str
    address: str
    region: str
    availability_zone: str
    capacity_rps: int
    draining: bool = False


@message("distribution.key")
class ItemKey:
    """Key of a declared item.

    Parameters
    ----------
    section : str
        Name of the declaration's field.
    identity : str
        Text that names the item within it.
    """

    section: str
    identity: str


@message("distribution.configuration")
class ConfigurationUpdate:
    """Brings a configuration from one revision to a later one.

    Parameters
    ----------
    revision : int
        Revision after the update.
    base_revision : int
        Revision it starts from; 0 means that ``changed`` is everything.
    changed : Declaration
        Items added or changed.
    removed : tuple of ItemKey
        Items removed.
    """

    revision: int
    base_revision: int
    changed: Declaration
    removed: tuple[ItemKey, ...] = ()


@message("distribution.sync")
class SyncRequest:
    """What an entry host tells the leader, several times a second.

    Parameters
    ----------
    host : HostView
        The entry host itself.
    incarnation : str
        Identifier of this run of the process.
    term : int
        Term of the leader whose tables the host has; 0 at first.
    revision : int
        Configuration revision in force at the host.
    servers_version, hosts_version : int
        Versions of the tables that the host has.
    lease : LeaseRequest
        What it holds and wants.
    announcements : tuple of Announcement
        Reports of backend servers since the last request.
    known_servers : tuple of BackendServer
        What the host knows, for a leader that has just been elected.
    """

    host: HostView
    incarnation: str
    term: int
    revision: int
    servers_version: int
    hosts_version: int
    lease: LeaseRequest
    announcements: tuple[Announcement, ...] = ()
    known_servers: tuple[BackendServer, ...] = ()


@message("distribution.load")
class ReportedLoad:
    """Load that a backend server reported.

    Parameters
    ----------
    server : str
        Name of the server.
    load : float
        Share of its slots in use by its own account, 0 to 1.
    age_ms : float
        Age of the report when the reply was made.
    """

    server: str
    load: float
    age_ms: float


@message("distribution.sync_reply")
class SyncReply:
    """What the leader tells an entry host.

    Parameters
    ----------
    term : int
        Term of the leader.
    grant : LeaseGrant
        What the host may use, and for how long.
    configuration : ConfigurationUpdate or None
        Present when the host's revision is not the newest.
    servers_version, hosts_version : int
        Versions after this reply.
    servers_full, hosts_full : bool
        Whether the host must drop its table first.
    servers : tuple of BackendServer
        Backend servers added or changed.
    servers_removed, hosts_removed : tuple of str
        Names removed.
    hosts : tuple of HostView
        Entry hosts added or changed.
    loads : tuple of ReportedLoad
        Reports of the servers in which the host holds slots.
    """

    term: int
    grant: LeaseGrant
    configuration: ConfigurationUpdate | None = None
    servers_version: int = 0
    servers_full: bool = False
    servers: tuple[BackendServer, ...] = ()
    servers_removed: tuple[str, ...] = ()
    hosts_version: int = 0
    hosts_full: bool = False
    hosts: tuple[HostView, ...] = ()
    hosts_removed: tuple[str, ...] = ()
    loads: tuple[ReportedLoad, ...] = ()
