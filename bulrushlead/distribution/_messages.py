"""Synchronisation messages between entry hosts and the leader."""

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
        Location of the host.
    capacity_rps : int
        Capacity in requests per second.
    draining : bool
        Whether it accepts no new callers.
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
        Name of the field of the declaration.
    identity : str
        Text that identifies the item within the section.
    """

    section: str
    identity: str


@message("distribution.configuration")
class ConfigurationUpdate:
    """Difference from one revision of the configuration to a later one.

    Parameters
    ----------
    revision : int
        Revision after the update.
    base_revision : int
        Revision that the update applies to; 0 means that ``changed`` is the whole
        configuration.
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
    """Report that an entry host sends to the leader several times a second.

    Parameters
    ----------
    host : HostView
        The entry host that reports.
    incarnation : str
        Identifier of this run of the process.
    term : int
        Term of the leader that sent the host's tables; 0 before the first reply.
    revision : int
        Configuration revision in force at the host.
    servers_version, hosts_version : int
        Versions of the host's tables.
    lease : LeaseRequest
        Shares that the host holds and requires.
    announcements : tuple of Announcement
        Announcements of backend servers since the last request.
    known_servers : tuple of BackendServer
        The host's table of servers, sent only to a newly elected leader.
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
        Fraction of its slots in use, 0 to 1, as the server reports it.
    age_ms : float
        Age of the report when the reply was built.
    """

    server: str
    load: float
    age_ms: float


@message("distribution.sync_reply")
class SyncReply:
    """The leader's reply to a ``SyncRequest``.

    Parameters
    ----------
    term : int
        Term of the leader.
    grant : LeaseGrant
        Shares of the host and the duration of its lease.
    configuration : ConfigurationUpdate or None
        Present when the host's revision is not the newest.
    servers_version, hosts_version : int
        Versions after this reply.
    servers_full, hosts_full : bool
        Whether the host must clear its table first.
    servers : tuple of BackendServer
        Backend servers added or changed.
    servers_removed, hosts_removed : tuple of str
        Names removed.
    hosts : tuple of HostView
        Entry hosts added or changed.
    loads : tuple of ReportedLoad
        Reported loads of the servers of which the host holds slots.
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
