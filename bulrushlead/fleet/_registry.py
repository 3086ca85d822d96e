"""Registry of backend servers and entry hosts on the leader."""

import math
from collections.abc import Container

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import (
    Announcement,
    HostRecord,
    HostReport,
    LimitNotice,
    ServerRecord,
    ServerState,
)
from bulrushlead.fleet._observed_limit import newer_limit
from bulrushlead.fleet._registered_hosts import RegisteredHosts
from bulrushlead.fleet._registered_server import RegisteredServer
from bulrushlead.logs import Event, EventLogger

SILENT_AFTER_HEARTBEATS = 3.0  # single heartbeats are often late, three in a row rarely
# 30 s at the default heartbeat interval; a network partition usually heals sooner.
REMOVED_AFTER_HEARTBEATS = 20.0
LOAD_WEIGHT = 0.3  # weight of each new report in a server's moving average
# Multiple of the slots. Lower loads are published as 0, since hosts offload objects
# only above 1.4.
MIN_PUBLISHED_LOAD = 1.2
# To save bandwidth, smaller changes are not sent, except the change to 0.
MIN_LOAD_CHANGE = 0.2


class FleetRegistry:
    """Records heartbeats and host reports, and assigns a revision to each change.

    Parameters
    ----------
    clock : Clock
        Source of time.
    heartbeat_ms : float
        Usual interval between two heartbeats of a server, in milliseconds.

    Attributes
    ----------
    server_revision, host_revision, load_revision : int
        Revision of the newest change of a server record, of the list of hosts, and
        of a fleet-wide load (the decaying moving average of the loads that all hosts
        report for one server).
    """

    def __init__(self, clock: Clock, heartbeat_ms: float):
        self.clock = clock
        self.heartbeat_ms = heartbeat_ms
        self.server_revision = 0
        self.load_revision = 0
        self._servers: dict[str, RegisteredServer] = {}
        self._by_address: dict[str, str] = {}
        self._removed: dict[str, ServerRecord] = {}
        self._hosts = RegisteredHosts(clock)
        self._changed_limits: set[str] = set()
        self._log = EventLogger("fleet")

    @property
    def host_revision(self) -> int:
        """Revision of the newest change of the list of hosts."""
        return self._hosts.revision

    def restore(self, records: list[ServerRecord], hosts: list[HostRecord]) -> None:
        """Register the servers and hosts that this host received as a follower."""
        now_ms = self.clock.now_ms()
        # The newest of several servers with one address registers last and gets it.
        for record in sorted(records, key=lambda record: record.born_ms):
            heartbeat = Announcement(
                server_id=record.server_id,
                born_ms=record.born_ms,
                sequence=-1,  # so that the next heartbeat is newer
                service=record.service,
                address=record.address,
                zone=record.zone,
                version=record.version,
                slots=record.slots,
                state=record.state,
            )
            cold_until_ms = now_ms + record.cold_left_ms
            self._servers[record.server_id] = server = RegisteredServer(
                heartbeat, now_ms, cold_until_ms, self._next_revision()
            )
            if record.limit is not None:
                server.limit = newer_limit(None, record.limit, now_ms)
            self._by_address[record.address] = record.server_id
        self._hosts.restore(hosts)

    def record_heartbeat(self, heartbeat: Announcement) -> bool:
        """Record a heartbeat.

        Returns
        -------
        bool
            Whether the heartbeat was recorded. It is dropped if it is late or repeated,
            if it is READY after the incarnation was draining, or if its address belongs
            to a newer server. Otherwise another server with the address is removed.
        """
        previous = self._servers.get(heartbeat.server_id)
        if previous is not None and not previous.precedes(heartbeat):
            return False
        if self._resolve_address_conflict(heartbeat):
            return False
        received_ms = self.clock.now_ms() - heartbeat.age_ms
        cold_until_ms = received_ms + heartbeat.cold_left_ms
        if previous is not None and not previous.differs(heartbeat, cold_until_ms):
            previous.heartbeat = heartbeat
            previous.last_heartbeat_ms = max(previous.last_heartbeat_ms, received_ms)
            return True
        self._removed.pop(heartbeat.server_id, None)
        server = RegisteredServer(
            heartbeat, received_ms, cold_until_ms, self._next_revision()
        )
        if previous is not None:
            self._release_address(previous)
            # Hosts still use the published load of the previous record. It is copied so
            # that ``update_published_loads`` publishes the difference to the measured
            # load, which starts from 0 for a new incarnation.
            server.published_load = previous.published_load
            server.load_revision = previous.load_revision
            server.unreachable = previous.unreachable  # so that its end is logged
            if previous.heartbeat.born_ms == heartbeat.born_ms:
                server.limit = previous.limit
                server.load = previous.load
                server.load_updated_ms = previous.load_updated_ms
        self._servers[heartbeat.server_id] = server
        self._by_address[heartbeat.address] = heartbeat.server_id
        self._log.write(
            Event.BACKEND_LEAVING
            if heartbeat.state is ServerState.DRAINING
            else Event.BACKEND_ANNOUNCED,
            server_id=heartbeat.server_id,
            born_ms=heartbeat.born_ms,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            cold_left_ms=heartbeat.cold_left_ms,
            sequence=heartbeat.sequence,
            age_ms=round(heartbeat.age_ms),
        )
        return True

    def remove(self, server_id: str, born_ms: int, reason: str) -> None:
        """Remove a server, unless a newer incarnation is registered."""
        server = self._servers.get(server_id)
        if server is None or server.heartbeat.born_ms > born_ms:
            return
        del self._servers[server_id]
        self._release_address(server)
        record = attrs.evolve(
            server.record_at(self.clock.now_ms()),
            state=ServerState.GONE,
            revision=self._next_revision(),
        )
        self._removed[server_id] = record
        self._log.write(Event.BACKEND_GONE, server_id=server_id, reason=reason)

    def born_ms_of(self, server_id: str) -> int | None:
        """Return the start time that identifies a server's incarnation, or None."""
        server = self._servers.get(server_id)
        return None if server is None else server.heartbeat.born_ms

    def ready_servers(self) -> list[str]:
        """Return the identities of all READY servers, silent ones included."""
        return [
            server_id
            for server_id, server in self._servers.items()
            if server.heartbeat.state is ServerState.READY
        ]

    def ready_versions(self, service: str) -> set[str]:
        """Return the software versions of the READY servers of a service."""
        heartbeats = [server.heartbeat for server in self._servers.values()]
        return {
            h.version
            for h in heartbeats
            if h.service == service and h.state is ServerState.READY
        }

    def owner_candidates(self, evacuated_zones: Container[str]) -> list[ServerRecord]:
        """Return the servers that may own objects.

        Servers that drain, are unreachable or in an evacuated zone may not. A silent
        server may: it may be cut off from the coordinators only.
        """
        now_ms = self.clock.now_ms()
        self._update_reachability(now_ms)
        return [
            server.record_at(now_ms)
            for server in self._servers.values()
            if server.heartbeat.state is ServerState.READY
            and server.heartbeat.zone not in evacuated_zones
            and not server.unreachable
        ]

    def _update_reachability(self, now_ms: float) -> None:
        for server_id, server in self._servers.items():
            unreachable = server.reachability.is_unreachable(
                now_ms, server.last_heartbeat_ms, server.silent
            )
            if unreachable == server.unreachable:
                continue
            server.unreachable = unreachable
            self._log.write(
                Event.BACKEND_UNREACHABLE if unreachable else Event.BACKEND_REACHABLE,
                server_id=server_id,
                born_ms=server.heartbeat.born_ms,
                heartbeat_age_ms=round(now_ms - server.last_heartbeat_ms),
                reports=server.reachability.report_ages_ms(now_ms),
                answer_age_ms=server.reachability.answer_age_ms(now_ms),
            )

    def mark_draining(self, server_id: str, born_ms: int) -> None:
        """Mark a server as draining, unless a newer incarnation is registered."""
        server = self._servers.get(server_id)
        if server is None or server.heartbeat.born_ms > born_ms:
            return
        if server.heartbeat.state is ServerState.DRAINING:
            return
        server.heartbeat = attrs.evolve(server.heartbeat, state=ServerState.DRAINING)
        server.revision = self._next_revision()
        self._log.write(Event.BACKEND_LEAVING, server_id=server_id, born_ms=born_ms)

    def check_silence(self) -> None:
        """Mark servers as silent, and silent hosts as not accepting.

        Servers and hosts that are silent for longer are removed.
        """
        now_ms = self.clock.now_ms()
        for server_id, server in list(self._servers.items()):
            silence_ms = now_ms - server.last_heartbeat_ms
            if silence_ms > REMOVED_AFTER_HEARTBEATS * self.heartbeat_ms:
                self.remove(server_id, server.heartbeat.born_ms, "silent")
                continue
            is_silent = silence_ms > SILENT_AFTER_HEARTBEATS * self.heartbeat_ms
            if is_silent and not server.silent:
                server.silent = True
                server.revision = self._next_revision()
                self._log.write(
                    Event.BACKEND_SILENT, server_id=server_id, silence_ms=silence_ms
                )
        self._hosts.check_silence()

    def record_host_report(self, report: HostReport) -> None:
        """Record the report of a host."""
        self._record_loads(report.loads)
        for server_id, born_ms in report.draining.items():
            self.mark_draining(server_id, born_ms)
        now_ms = self.clock.now_ms()
        self._record_reachability(report, now_ms)
        for server_id, notice in report.limits.items():
            self._record_limit(server_id, notice, report.host_id)
        if report.address:  # a control host has none
            self._hosts.record_report(report)

    def servers_since(self, revision: int) -> tuple[ServerRecord, ...]:
        """Return the records changed after a revision, including removed servers."""
        if revision >= self.server_revision:
            return ()
        records = [
            server.record_at(self.clock.now_ms())
            for server in self._servers.values()
            if server.revision > revision
        ]
        records += [r for r in self._removed.values() if r.revision > revision]
        return tuple(records)

    def update_published_loads(self) -> None:
        """Publish each fleet-wide load that changed enough, under a new revision.

        A load that falls below ``MIN_PUBLISHED_LOAD`` is published as 0, however small
        the change is.
        """
        now_ms = self.clock.now_ms()
        for server in self._servers.values():
            load = server.load_at(now_ms)
            if load < MIN_PUBLISHED_LOAD:
                load = 0.0
            elif math.fabs(load - server.published_load) < MIN_LOAD_CHANGE:
                continue
            if load != server.published_load:
                server.published_load = round(load, 1)
                self.load_revision += 1
                server.load_revision = self.load_revision

    def publish_limits(self) -> None:
        """Give the records of servers whose limits have changed one new revision.

        Servers often name limits together, and hosts apply what they observe without
        the leader, so that one update for all of them is soon enough.
        """
        changed = self._changed_limits & self._servers.keys()
        self._changed_limits.clear()
        if not changed:
            return
        revision = self._next_revision()
        for server_id in changed:
            self._servers[server_id].revision = revision

    def loads_since(self, revision: int) -> dict[str, float]:
        """Return the fleet-wide loads that changed after a revision.

        Loads are multiples of the slots; 0 if below ``MIN_PUBLISHED_LOAD``.
        """
        if revision >= self.load_revision:
            return {}
        return {
            server_id: server.published_load
            for server_id, server in self._servers.items()
            if server.load_revision > revision
        }

    def _record_loads(self, loads: dict[str, float]) -> None:
        now_ms = self.clock.now_ms()
        for server_id, load in loads.items():
            server = self._servers.get(server_id)
            if server is not None:
                average = server.load_at(now_ms)
                server.load = average + LOAD_WEIGHT * (load - average)
                server.load_updated_ms = now_ms

    def _record_reachability(self, report: HostReport, now_ms: float) -> None:
        for server_id in report.unreachable:
            server = self._servers.get(server_id)
            if server is not None:
                server.reachability.record_unreachable(
                    report.host_id, report.zone, now_ms
                )
        if not report.reaches_servers and self._hosts.reaches_servers(report.host_id):
            for server in self._servers.values():
                server.reachability.withdraw(report.host_id)
        for server_id in (*report.loads, *report.answered):
            server = self._servers.get(server_id)
            if server is not None:
                server.reachability.record_answer(now_ms)

    def _record_limit(self, server_id: str, notice: LimitNotice, host_id: str) -> None:
        server = self._servers.get(server_id)
        if server is None or server.heartbeat.born_ms != notice.born_ms:
            return
        limit = newer_limit(server.limit, notice, self.clock.now_ms())
        if limit is None:
            return
        previous = None if server.limit is None else server.limit.notice.limit_per_s
        server.limit = limit
        if notice.limit_per_s == previous:
            return
        self._changed_limits.add(server_id)
        self._log.write(
            Event.BACKEND_LIMIT_CHANGED,
            server_id=server_id,
            born_ms=notice.born_ms,
            limit_per_s=notice.limit_per_s,
            previous_per_s=previous,
            host_id=host_id,
            age_ms=round(notice.age_ms),
        )

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return the records of all entry hosts."""
        return self._hosts.records()

    def _resolve_address_conflict(self, heartbeat: Announcement) -> bool:
        """Remove another server with the address unless that server is newer.

        Return whether it is newer, so that the heartbeat must be dropped.
        """
        server_id = self._by_address.get(heartbeat.address)
        if server_id is None or server_id == heartbeat.server_id:
            return False
        other = self._servers[server_id].heartbeat
        if other.born_ms > heartbeat.born_ms:
            return True
        self.remove(server_id, other.born_ms, "another server announced the address")
        return False

    def _release_address(self, server: RegisteredServer) -> None:
        heartbeat = server.heartbeat
        if self._by_address.get(heartbeat.address) == heartbeat.server_id:
            del self._by_address[heartbeat.address]

    def _next_revision(self) -> int:
        self.server_revision += 1
        return self.server_revision
