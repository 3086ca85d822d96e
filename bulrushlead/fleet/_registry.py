"""What the leader knows of backend servers and entry hosts."""

import math

import attrs

from bulrushlead.clock import Clock, faded
from bulrushlead.fleet._messages import (
    Announcement,
    HostRecord,
    HostReport,
    ServerRecord,
    ServerState,
)
from bulrushlead.logs import Event, EventLogger

SILENT_AFTER_HEARTBEATS = 3.0  # late heartbeats are usual, three in a row are not
GONE_AFTER_HEARTBEATS = 20.0  # a partition of the heartbeats' way heals before
PRESSURE_HALF_LIFE_MS = 2_000  # a queue of a few requests lasts about that long
PRESSURE_WEIGHT = 0.3  # of the newest report of one host
MIN_PRESSURE = 0.5  # less is not worth telling
HOST_SILENT_MS = 1_500  # three missed reports of a host
HOST_FORGOTTEN_MS = 60_000
COLD_CHANGE_MS = 500  # smaller differences of an announced cold time are jitter


@attrs.define(eq=False)
class _Server:
    heartbeat: Announcement
    heard_ms: float
    cold_until_ms: float
    revision: int
    silent: bool = False
    pressure: float = 0.0
    pressure_ms: float = 0.0

    def pressure_at(self, now_ms: float) -> float:
        return faded(self.pressure, now_ms - self.pressure_ms, PRESSURE_HALF_LIFE_MS)


@attrs.define(eq=False)
class _Host:
    report: HostReport
    heard_ms: float
    accepting: bool


class FleetRegistry:
    """Collects heartbeats and reports, and numbers every change.

    Parameters
    ----------
    clock : Clock
        Source of time.
    heartbeat_ms : float
        Usual time between two heartbeats of a server, in milliseconds.

    Attributes
    ----------
    server_revision, host_revision : int
        Newest change of a server, and of the list of hosts.
    """

    def __init__(self, clock: Clock, heartbeat_ms: float):
        self.clock = clock
        self.heartbeat_ms = heartbeat_ms
        self.server_revision = 0
        self.host_revision = 0
        self._servers: dict[str, _Server] = {}
        self._removed: dict[str, ServerRecord] = {}
        self._hosts: dict[str, _Host] = {}
        self._log = EventLogger("fleet")

    def seed(self, records: list[ServerRecord], hosts: list[HostRecord]) -> None:
        """Begin with what this host knew as a follower."""
        now_ms = self.clock.now_ms()
        for record in records:
            heartbeat = Announcement(
                server_id=record.server_id,
                born_ms=record.born_ms,
                sequence=-1,
                service=record.service,
                address=record.address,
                zone=record.zone,
                version=record.version,
                slots=record.slots,
                state=record.state,
            )
            cold_until_ms = now_ms + record.cold_left_ms
            self._servers[record.server_id] = _Server(
                heartbeat, now_ms, cold_until_ms, self._next_revision()
            )
        for host in hosts:
            report = HostReport(
                host.host_id, host.address, host.zone, host.region, host.accepting
            )
            self._hosts[host.host_id] = _Host(report, now_ms, host.accepting)
        self.host_revision += 1

    def announce(self, heartbeat: Announcement) -> bool:
        """Take a heartbeat.

        Returns
        -------
        bool
            Whether it was news; a late or repeated heartbeat changes nothing.
        """
        known = self._servers.get(heartbeat.server_id)
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return False
        if self._is_superseded(heartbeat):
            return False
        heard_ms = self.clock.now_ms() - heartbeat.age_ms
        cold_until_ms = heard_ms + heartbeat.cold_left_ms
        if known is not None and not _has_changed(known, heartbeat, cold_until_ms):
            known.heartbeat = heartbeat
            known.heard_ms = max(known.heard_ms, heard_ms)
            return True
        self._removed.pop(heartbeat.server_id, None)
        server = _Server(heartbeat, heard_ms, cold_until_ms, self._next_revision())
        if known is not None and known.heartbeat.born_ms == heartbeat.born_ms:
            server.pressure = known.pressure
            server.pressure_ms = known.pressure_ms
        self._servers[heartbeat.server_id] = server
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
        """Forget a server, unless a newer incarnation has come."""
        known = self._servers.get(server_id)
        if known is None or known.heartbeat.born_ms > born_ms:
            return
        del self._servers[server_id]
        record = attrs.evolve(
            self._record_of(known),
            state=ServerState.GONE,
            revision=self._next_revision(),
        )
        self._removed[server_id] = record
        self._log.write(Event.BACKEND_GONE, server_id=server_id, reason=reason)

    def born_ms_of(self, server_id: str) -> int | None:
        """Return the incarnation known under an identity, or None."""
        known = self._servers.get(server_id)
        return None if known is None else known.heartbeat.born_ms

    def ready_servers(self) -> list[str]:
        """Return the identities of the servers that take new work."""
        return [
            server_id
            for server_id, server in self._servers.items()
            if server.heartbeat.state is ServerState.READY
        ]

    def mark_draining(self, server_id: str, born_ms: int) -> None:
        """Note that an incarnation of a server is leaving."""
        known = self._servers.get(server_id)
        if known is None or known.heartbeat.born_ms > born_ms:
            return
        known.heartbeat = attrs.evolve(known.heartbeat, state=ServerState.DRAINING)
        known.revision = self._next_revision()
        self._log.write(Event.BACKEND_LEAVING, server_id=server_id, born_ms=born_ms)

    def check_silence(self) -> None:
        """Mark servers and hosts that have stopped reporting."""
        now_ms = self.clock.now_ms()
        for server_id, server in list(self._servers.items()):
            silence_ms = now_ms - server.heard_ms
            if silence_ms > GONE_AFTER_HEARTBEATS * self.heartbeat_ms:
                self.remove(server_id, server.heartbeat.born_ms, "silent")
                continue
            is_silent = silence_ms > SILENT_AFTER_HEARTBEATS * self.heartbeat_ms
            if is_silent and not server.silent:
                server.silent = True
                server.revision = self._next_revision()
                self._log.write(
                    Event.BACKEND_SILENT, server_id=server_id, silence_ms=silence_ms
                )
        for host_id, host in list(self._hosts.items()):
            silence_ms = now_ms - host.heard_ms
            if silence_ms > HOST_FORGOTTEN_MS:
                del self._hosts[host_id]
                self.host_revision += 1
            elif host.accepting and silence_ms > HOST_SILENT_MS:
                self._set_accepting(host, False)

    def report_host(self, report: HostReport) -> None:
        """Take what a host says of itself."""
        self._note_loads(report.loads)
        if not report.address:
            return
        known = self._hosts.get(report.host_id)
        now_ms = self.clock.now_ms()
        if known is None or known.report.address != report.address:
            self._hosts[report.host_id] = _Host(report, now_ms, report.accepting)
            self.host_revision += 1
            return
        known.report = report
        known.heard_ms = now_ms
        if known.accepting != report.accepting:
            self._set_accepting(known, report.accepting)

    def servers_after(self, revision: int) -> tuple[ServerRecord, ...]:
        """Return the records that changed after a revision, removals included."""
        records = [
            self._record_of(server)
            for server in self._servers.values()
            if server.revision > revision
        ]
        records += [r for r in self._removed.values() if r.revision > revision]
        return tuple(records)

    def pressures(self) -> dict[str, float]:
        """Return the load of the busy servers, as a multiple of their slots."""
        now_ms = self.clock.now_ms()
        found = {}
        for server_id, server in self._servers.items():
            pressure = server.pressure_at(now_ms)
            if pressure >= MIN_PRESSURE:
                found[server_id] = round(pressure, 1)
        return found

    def _note_loads(self, loads: dict[str, float]) -> None:
        now_ms = self.clock.now_ms()
        for server_id, load in loads.items():
            server = self._servers.get(server_id)
            if server is not None:
                known = server.pressure_at(now_ms)
                server.pressure = known + PRESSURE_WEIGHT * (load - known)
                server.pressure_ms = now_ms

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return all entry hosts."""
        return tuple(
            HostRecord(
                host.report.host_id,
                host.report.address,
                host.report.zone,
                host.report.region,
                host.accepting,
            )
            for host in self._hosts.values()
        )

    def _set_accepting(self, host: _Host, accepting: bool) -> None:
        host.accepting = accepting
        self.host_revision += 1
        self._log.write(
            Event.HOST_CHANGED, host_id=host.report.host_id, accepting=accepting
        )

    def _is_superseded(self, heartbeat: Announcement) -> bool:
        """Return whether a younger server has the address; drop older ones."""
        for server_id, server in list(self._servers.items()):
            other = server.heartbeat
            if other.address != heartbeat.address:
                continue
            if server_id == heartbeat.server_id:
                continue
            if other.born_ms > heartbeat.born_ms:
                return True
            self.remove(server_id, other.born_ms, "address was taken over")
        return False

    def _record_of(self, server: _Server) -> ServerRecord:
        heartbeat = server.heartbeat
        return ServerRecord(
            server_id=heartbeat.server_id,
            born_ms=heartbeat.born_ms,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            state=heartbeat.state,
            version=heartbeat.version,
            cold_left_ms=max(0.0, server.cold_until_ms - self.clock.now_ms()),
            silent=server.silent,
            revision=server.revision,
        )

    def _next_revision(self) -> int:
        self.server_revision += 1
        return self.server_revision


def _is_newer(heartbeat: Announcement, known: Announcement) -> bool:
    if heartbeat.born_ms != known.born_ms:
        return heartbeat.born_ms > known.born_ms
    if known.state is ServerState.DRAINING and heartbeat.state is ServerState.READY:
        return False  # leaving is final for an incarnation
    return heartbeat.sequence > known.sequence


def _has_changed(known: _Server, new: Announcement, cold_until_ms: float) -> bool:
    old = known.heartbeat
    return (
        known.silent
        or math.fabs(cold_until_ms - known.cold_until_ms) > COLD_CHANGE_MS
        and new.cold_left_ms > 0
        or (old.born_ms, old.service, old.address, old.zone, old.slots, old.state)
        != (new.born_ms, new.service, new.address, new.zone, new.slots, new.state)
    )
