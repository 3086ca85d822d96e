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
MIN_PRESSURE = 1.2  # of the slots; hosts act on loads above 1.4 only
PRESSURE_STEP = 0.2  # smaller changes are not worth telling to every host
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
    told_pressure: float = 0.0
    pressure_revision: int = 0

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
    server_revision, host_revision, pressure_revision : int
        Newest change of a server, of the list of hosts, and of a server's load.
    """

    def __init__(self, clock: Clock, heartbeat_ms: float):
        self.clock = clock
        self.heartbeat_ms = heartbeat_ms
        self.server_revision = 0
        self.host_revision = 0
        self.pressure_revision = 0
        self._servers: dict[str, _Server] = {}
        self._by_address: dict[str, str] = {}
        self._removed: dict[str, ServerRecord] = {}
        self._hosts: dict[str, _Host] = {}
        self._log = EventLogger("fleet")

    def seed(self, records: list[ServerRecord], hosts: list[HostRecord]) -> None:
        """Begin with what this host knew as a follower."""
        now_ms = self.clock.now_ms()
        for record in sorted(records, key=lambda record: record.born_ms):
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
            self._by_address[record.address] = record.server_id
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
        if known is not None:
            self._leave_address(known)
            # What hosts were told of an earlier incarnation has to be taken back.
            server.told_pressure = known.told_pressure
            server.pressure_revision = known.pressure_revision
            if known.heartbeat.born_ms == heartbeat.born_ms:
                server.pressure = known.pressure
                server.pressure_ms = known.pressure_ms
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
        """Forget a server, unless a newer incarnation has come."""
        known = self._servers.get(server_id)
        if known is None or known.heartbeat.born_ms > born_ms:
            return
        del self._servers[server_id]
        self._leave_address(known)
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
        if known.heartbeat.state is ServerState.DRAINING:
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
        if revision >= self.server_revision:
            return ()
        records = [
            self._record_of(server)
            for server in self._servers.values()
            if server.revision > revision
        ]
        records += [r for r in self._removed.values() if r.revision > revision]
        return tuple(records)

    def check_pressures(self) -> None:
        """Number the servers whose load has changed enough to be told."""
        now_ms = self.clock.now_ms()
        for server in self._servers.values():
            pressure = server.pressure_at(now_ms)
            if pressure < MIN_PRESSURE:
                pressure = 0.0
            elif math.fabs(pressure - server.told_pressure) < PRESSURE_STEP:
                continue
            if pressure != server.told_pressure:
                server.told_pressure = round(pressure, 1)
                self.pressure_revision += 1
                server.pressure_revision = self.pressure_revision

    def pressures_after(self, revision: int) -> dict[str, float]:
        """Return the loads that changed after a revision, in slots; 0 if not busy."""
        if revision >= self.pressure_revision:
            return {}
        return {
            server_id: server.told_pressure
            for server_id, server in self._servers.items()
            if server.pressure_revision > revision
        }

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
        """Return whether a younger server has the address; drop an older one."""
        server_id = self._by_address.get(heartbeat.address)
        if server_id is None or server_id == heartbeat.server_id:
            return False
        other = self._servers[server_id].heartbeat
        if other.born_ms > heartbeat.born_ms:
            return True
        self.remove(server_id, other.born_ms, "address was taken over")
        return False

    def _leave_address(self, server: _Server) -> None:
        heartbeat = server.heartbeat
        if self._by_address.get(heartbeat.address) == heartbeat.server_id:
            del self._by_address[heartbeat.address]

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
