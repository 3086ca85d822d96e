"""Leader's side of the distribution to entry hosts."""

from collections.abc import Callable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.declaration import (
    Declaration,
    Drain,
    DrainTarget,
    HostRole,
)
from bulrushlead.distribution._limits import build_limits
from bulrushlead.distribution._messages import (
    ConfigurationUpdate,
    HostView,
    ReportedLoad,
    SyncReply,
    SyncRequest,
)
from bulrushlead.distribution._registry import BackendRegistry
from bulrushlead.distribution._table import VersionedTable
from bulrushlead.distribution._update import build_update
from bulrushlead.leases import LeaseGrant, LeaseSettings, LeaseTable
from bulrushlead.operators import HostStatus
from bulrushlead.results import BulrushleadError, ResultCode

REVISIONS_KEPT = 64


@attrs.define
class _HostRecord:
    view: HostView
    incarnation: str
    revision: int
    heard_at_ms: float


class Publisher:
    """Answers the synchronisation requests of entry hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    is_leader : callable
        Whether this replica holds its quorum lease now.
    lease_settings : LeaseSettings
        Durations of leases.
    announcement_timeout_ms : float
        After this long without a report a backend server is gone.
    on_restart : callable, optional
        Takes the name and the new incarnation of an entry host that was
        restarted, as far as this leader has seen both runs.

    Attributes
    ----------
    leases : LeaseTable
        What each entry host holds.
    registry : BackendRegistry
        Backend servers that announced themselves.
    """

    def __init__(
        self,
        clock: Clock,
        is_leader: Callable[[], bool],
        lease_settings: LeaseSettings,
        announcement_timeout_ms: float,
        on_restart: Callable[[str, str], None] | None = None,
    ):
        self.clock = clock
        self.is_leader = is_leader
        self.lease_settings = lease_settings
        self.on_restart = on_restart
        self.leases = LeaseTable(clock, lease_settings)
        self.registry = BackendRegistry(clock, announcement_timeout_ms)
        self._hosts: VersionedTable[str, HostView] = VersionedTable()
        self._records: dict[str, _HostRecord] = {}
        self._revisions: dict[int, Declaration] = {}
        self._revision = 0
        self._drains: tuple[Drain, ...] = ()
        self._updates: dict[int, ConfigurationUpdate] = {}
        self._term = 0
        self._term_started_ms = 0.0
        self._servers_version = -1

    @property
    def declaration(self) -> Declaration:
        """Configuration that is handed out."""
        return self._revisions.get(self._revision, Declaration())

    def start_term(self, term: int, *, first: bool = False) -> None:
        """Begin to answer as the leader of a new term.

        Parameters
        ----------
        term : int
            Term of this leader.
        first : bool, default=False
            Whether it is certain that no leader has granted anything before.
        """
        self._term = term
        self._term_started_ms = self.clock.now_ms()
        self._records.clear()
        self._hosts = VersionedTable()
        self.registry.clear()
        self._servers_version = -1
        self.leases.start_term(term, known=first)

    def stop_term(self) -> None:
        """Stop answering."""
        self.leases.stop_term()

    def set_configuration(
        self, revision: int, declaration: Declaration, drains: tuple[Drain, ...]
    ) -> None:
        """Hand out a newly applied configuration.

        Parameters
        ----------
        revision : int
            Its revision; a lower one than before is ignored.
        declaration : Declaration
            The configuration.
        drains : tuple of Drain
            Planned drains that have started.
        """
        if revision < self._revision:
            return
        self._revision = revision
        self._revisions[revision] = declaration
        while len(self._revisions) > REVISIONS_KEPT:
            del self._revisions[min(self._revisions)]
        self._updates.clear()
        self._drains = drains
        self._servers_version = -1
        self.registry.set_drained(self._is_drained_server)
        for record in self._records.values():
            self._publish_host(record)
        self.leases.update_limits(
            build_limits(declaration),
            declaration.hosts,
            declaration.availability_zones,
        )

    def answer(self, request: SyncRequest) -> SyncReply:
        """Take an entry host's report and answer with what changed.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` if this replica may not answer as leader,
            ``NOT_FOUND`` if the host is not declared.
        """
        self._check_leader()
        for server in request.known_servers:
            self.registry.seed(server)
        for announcement in request.announcements:
            self.registry.take(announcement)
        self._refresh_servers()
        grant = self.leases.renew(request.lease)
        if grant.lease_ms > 0:
            self._note_host(request)
        reply = self._build_reply(request, grant)
        self._check_leader()
        return reply

    def tick(self) -> None:
        """Notice backend servers and entry hosts that fell silent."""
        self.registry.expire()
        self.leases.expire()
        oldest_ms = self.clock.now_ms() - self.lease_settings.lease_ms
        for name, record in list(self._records.items()):
            if record.heard_at_ms < oldest_ms:
                self._hosts.remove(name)
                if record.heard_at_ms < oldest_ms - self.lease_settings.lease_ms:
                    del self._records[name]

    def statuses(self) -> tuple[HostStatus, ...]:
        """Return what is in force on each declared entry host.

        Notes
        -----
        A host that has not reported to this leader may still act under a lease
        of the one before until a whole lease has passed since the term began.
        """
        names = [h.name for h in self.declaration.hosts if h.role is HostRole.ENTRY]
        undeclared = [name for name in self._records if name not in names]
        return tuple(self._status(name) for name in names + undeclared)

    def _status(self, name: str) -> HostStatus:
        record = self._records.get(name)
        heard_at_ms = record.heard_at_ms if record else self._term_started_ms
        lease_ms = self.lease_settings.with_margin(self.lease_settings.lease_ms)
        return HostStatus(
            name=name,
            role=HostRole.ENTRY,
            in_force_revision=record.revision if record else 0,
            lease_remaining_ms=max(0.0, heard_at_ms + lease_ms - self.clock.now_ms()),
            connected=self._hosts.get(name) is not None,
        )

    def _check_leader(self) -> None:
        if not self.is_leader():
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                "this control host does not lead; ask another control host",
            )

    def _refresh_servers(self) -> None:
        table = self.registry.table
        if table.version != self._servers_version:
            self._servers_version = table.version
            self.leases.update_servers(table.values(), self.declaration.services)

    def _note_host(self, request: SyncRequest) -> None:
        record = self._records.get(request.host.name)
        if record is None or record.incarnation != request.incarnation:
            if record is not None and self.on_restart is not None:
                self.on_restart(request.host.name, request.incarnation)
            record = _HostRecord(request.host, request.incarnation, 0, 0.0)
            self._records[request.host.name] = record
        record.view = request.host
        record.revision = max(record.revision, request.revision)
        record.heard_at_ms = self.clock.now_ms()
        self._publish_host(record)

    def _publish_host(self, record: _HostRecord) -> None:
        view = record.view
        draining = view.draining or self._is_drained_host(view)
        self._hosts.put(view.name, attrs.evolve(view, draining=draining))

    def _build_reply(self, request: SyncRequest, grant: LeaseGrant) -> SyncReply:
        same_term = request.term == self._term
        servers = self.registry.table.changes_since(
            request.servers_version if same_term else 0
        )
        hosts = self._hosts.changes_since(request.hosts_version if same_term else 0)
        return SyncReply(
            term=self._term,
            grant=grant,
            configuration=self._configuration_for(request.revision),
            servers_version=servers.version,
            servers_full=servers.is_full,
            servers=servers.changed,
            servers_removed=servers.removed,
            hosts_version=hosts.version,
            hosts_full=hosts.is_full,
            hosts=hosts.changed,
            hosts_removed=hosts.removed,
            loads=self._loads_for(grant),
        )

    def _configuration_for(self, revision: int) -> ConfigurationUpdate | None:
        if revision == self._revision:
            return None
        if revision not in self._updates:
            old = self._revisions.get(revision)
            self._updates[revision] = build_update(
                old or Declaration(),
                revision if old is not None else 0,
                self.declaration,
                self._revision,
            )
        return self._updates[revision]

    def _loads_for(self, grant: LeaseGrant) -> tuple[ReportedLoad, ...]:
        loads = []
        for share in grant.slots:
            reported = self.registry.reported_load(share.server)
            if reported is not None:
                load, age_ms = reported
                loads.append(ReportedLoad(share.server, load, age_ms))
        return tuple(loads)

    def _is_drained_server(self, server) -> bool:
        names = {
            DrainTarget.REGION: server.region,
            DrainTarget.AVAILABILITY_ZONE: server.availability_zone,
            DrainTarget.BACKEND_SERVER: server.name,
        }
        return any(names.get(d.target) == d.target_name for d in self._drains)

    def _is_drained_host(self, host: HostView) -> bool:
        names = {
            DrainTarget.REGION: host.region,
            DrainTarget.AVAILABILITY_ZONE: host.availability_zone,
            DrainTarget.HOST: host.name,
        }
        return any(names.get(d.target) == d.target_name for d in self._drains)
