"""Publisher with which the leader answers entry hosts."""

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

MAX_REVISIONS_KEPT = 64
"""A host at a revision older than these receives the full configuration."""


@attrs.define
class _HostRecord:
    view: HostView
    incarnation: str
    revision: int
    last_report_ms: float


class Publisher:
    """Answers the synchronisation requests of entry hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    is_leader : callable
        Returns whether this replica holds its quorum lease now.
    lease_settings : LeaseSettings
        Durations of leases.
    announcement_timeout_ms : float
        A backend server is removed after this time without an announcement.
    on_restart : callable, optional
        Called with the name and the new incarnation of an entry host that was
        restarted, if both runs reported to this leader.

    Attributes
    ----------
    leases : LeaseTable
        Leases of the entry hosts.
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
        """Configuration that is published to entry hosts."""
        return self._revisions.get(self._revision, Declaration())

    def start_term(self, term: int, *, no_prior_grants: bool = False) -> None:
        """Start answering requests as the leader of a new term.

        Parameters
        ----------
        term : int
            Term of this leader.
        no_prior_grants : bool, default=False
            Whether no leader can have granted a lease before.
        """
        self._term = term
        self._term_started_ms = self.clock.now_ms()
        self._records.clear()
        self._hosts = VersionedTable()
        self.registry.clear()
        self._servers_version = -1
        self.leases.start_term(term, no_prior_grants=no_prior_grants)

    def stop_term(self) -> None:
        """Stop granting leases; ``answer`` then raises ``NOT_LEADER``."""
        self.leases.stop_term()

    def set_configuration(
        self, revision: int, declaration: Declaration, drains: tuple[Drain, ...]
    ) -> None:
        """Publish a newly applied configuration.

        Parameters
        ----------
        revision : int
            Revision of the configuration; ignored if lower than the current one.
        declaration : Declaration
            The configuration.
        drains : tuple of Drain
            Planned drains that have started.
        """
        if revision < self._revision:
            return
        self._revision = revision
        self._revisions[revision] = declaration
        while len(self._revisions) > MAX_REVISIONS_KEPT:
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
        """Record an entry host's report and return the changes since its last one.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` if this replica may not answer as leader,
            ``NOT_FOUND`` if the host is not declared.
        """
        self._require_leader()
        for server in request.known_servers:
            self.registry.restore(server)
        for announcement in request.announcements:
            self.registry.record(announcement)
        self._refresh_servers()
        grant = self.leases.renew(request.lease)
        if grant.lease_ms > 0:
            self._record_host(request)
        reply = self._build_reply(request, grant)
        # The quorum lease may have expired while the reply was built.
        self._require_leader()
        return reply

    def tick(self) -> None:
        """Remove backend servers and entry hosts that stopped reporting."""
        self.registry.expire()
        self.leases.expire()
        cutoff_ms = self.clock.now_ms() - self.lease_settings.lease_ms
        for name, record in list(self._records.items()):
            if record.last_report_ms < cutoff_ms:
                self._hosts.remove(name)
                # ``statuses`` needs the record until the lease with its margin expires.
                if record.last_report_ms < cutoff_ms - self.lease_settings.lease_ms:
                    del self._records[name]

    def statuses(self) -> tuple[HostStatus, ...]:
        """Return the revision in force and the lease of each entry host.

        Notes
        -----
        A host that has not reported to this leader may still hold a lease of the
        previous leader until one lease duration after the start of the term.
        """
        names = [h.name for h in self.declaration.hosts if h.role is HostRole.ENTRY]
        undeclared = [name for name in self._records if name not in names]
        return tuple(self._status(name) for name in names + undeclared)

    def _status(self, name: str) -> HostStatus:
        record = self._records.get(name)
        last_report_ms = record.last_report_ms if record else self._term_started_ms
        lease_ms = self.lease_settings.with_margin(self.lease_settings.lease_ms)
        return HostStatus(
            name=name,
            role=HostRole.ENTRY,
            in_force_revision=record.revision if record else 0,
            lease_remaining_ms=max(
                0.0, last_report_ms + lease_ms - self.clock.now_ms()
            ),
            connected=self._hosts.get(name) is not None,
        )

    def _require_leader(self) -> None:
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

    def _record_host(self, request: SyncRequest) -> None:
        record = self._records.get(request.host.name)
        if record is None or record.incarnation != request.incarnation:
            if record is not None and self.on_restart is not None:
                self.on_restart(request.host.name, request.incarnation)
            record = _HostRecord(request.host, request.incarnation, 0, 0.0)
            self._records[request.host.name] = record
        record.view = request.host
        record.revision = max(record.revision, request.revision)
        record.last_report_ms = self.clock.now_ms()
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
