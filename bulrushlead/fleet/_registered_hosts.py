"""Entry hosts in the registry of the leader."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import HostRecord, HostReport
from bulrushlead.logs import Event, EventLogger

HOST_SILENT_AFTER_MS = 1_500  # more than three intervals of host reports
HOST_REMOVED_AFTER_MS = 60_000


@attrs.define(eq=False)
class _Host:
    record: HostRecord
    last_report_ms: float


class RegisteredHosts:
    """Entry hosts, as they described themselves in their last reports.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    revision : int
        Revision of the newest change of any record.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.revision = 0
        self._hosts: dict[str, _Host] = {}
        self._log = EventLogger("fleet")

    def restore(self, records: list[HostRecord]) -> None:
        """Register the hosts that this host received as a follower."""
        now_ms = self.clock.now_ms()
        for record in records:
            self._hosts[record.host_id] = _Host(record, now_ms)
        self.revision += 1

    def record_report(self, report: HostReport) -> None:
        """Record the report of an entry host."""
        now_ms = self.clock.now_ms()
        record = _record_of(report)
        host = self._hosts.get(report.host_id)
        if host is None or host.record.address != record.address:
            self._hosts[report.host_id] = _Host(record, now_ms)
            self.revision += 1
            return
        host.last_report_ms = now_ms
        self._update(host, record)

    def check_silence(self) -> None:
        """Mark silent hosts as not accepting; remove those silent for longer."""
        now_ms = self.clock.now_ms()
        for host_id, host in list(self._hosts.items()):
            silence_ms = now_ms - host.last_report_ms
            if silence_ms > HOST_REMOVED_AFTER_MS:
                del self._hosts[host_id]
                self.revision += 1
            elif silence_ms > HOST_SILENT_AFTER_MS:
                self._update(host, attrs.evolve(host.record, accepting=False))

    def reaches_servers(self, host_id: str) -> bool:
        """Return whether a host reached servers by its last report, or is unknown."""
        host = self._hosts.get(host_id)
        return host is None or host.record.reaches_servers

    def records(self) -> tuple[HostRecord, ...]:
        """Return the records of all entry hosts."""
        return tuple(host.record for host in self._hosts.values())

    def _update(self, host: _Host, record: HostRecord) -> None:
        if record == host.record:
            return
        host.record = record
        self.revision += 1
        self._log.write(
            Event.HOST_CHANGED,
            host_id=record.host_id,
            accepting=record.accepting,
            reaches_servers=record.reaches_servers,
        )


def _record_of(report: HostReport) -> HostRecord:
    return HostRecord(
        report.host_id,
        report.address,
        report.zone,
        report.region,
        report.accepting,
        report.peer_address,
        report.reaches_servers,
    )
