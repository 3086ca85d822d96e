"""The leader's registry of backend servers that announced themselves."""

from collections.abc import Callable

import attrs

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.distribution._table import VersionedTable
from bulrushlead.logs import Event, EventLogger

MAX_PAST_INCARNATIONS = 8
"""Earlier runs of one server whose late announcements are ignored."""


@attrs.define
class _Entry:
    announced: BackendServer
    sequence: int
    reported_load: float
    last_report_ms: float
    past_incarnations: list[str] = attrs.Factory(list)


class BackendRegistry:
    """Builds the table of live backend servers from their announcements.

    Parameters
    ----------
    clock : Clock
        Source of time.
    timeout_ms : float
        A server is removed after this time without an announcement.

    Attributes
    ----------
    table : VersionedTable
        The servers by name, with planned drains applied.
    """

    def __init__(self, clock: Clock, timeout_ms: float):
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.table: VersionedTable[str, BackendServer] = VersionedTable()
        self._entries: dict[str, _Entry] = {}
        self._is_drained: Callable[[BackendServer], bool] = lambda server: False
        self._log = EventLogger("distribution")

    def record(self, announcement: Announcement) -> None:
        """Record an announcement; outdated or duplicate ones are ignored."""
        server = announcement.server
        entry = self._entries.get(server.name)
        if entry is None:
            self._log.write(
                Event.BACKEND_ANNOUNCED, server=server.name, service=server.service
            )
            entry = _Entry(server, -1, 0.0, 0.0)
            self._entries[server.name] = entry
        elif server.incarnation in entry.past_incarnations:
            return
        elif server.incarnation != entry.announced.incarnation:
            entry.past_incarnations.append(entry.announced.incarnation)
            del entry.past_incarnations[:-MAX_PAST_INCARNATIONS]
            entry.announced, entry.sequence = server, -1
        if announcement.sequence <= entry.sequence:
            return
        if entry.sequence >= 0 and entry.announced.draining:
            # A draining server stays draining until it restarts.
            server = attrs.evolve(server, draining=True)
        elif server.draining:
            self._log.write(Event.BACKEND_LEAVING, server=server.name)
        entry.announced = server
        entry.sequence = announcement.sequence
        entry.reported_load = announcement.reported_load
        entry.last_report_ms = self.clock.now_ms()
        self._publish(entry)

    def restore(self, server: BackendServer) -> None:
        """Add a server from the table of an entry host if it is not registered."""
        if server.name not in self._entries:
            entry = _Entry(server, -1, 0.0, self.clock.now_ms())
            self._entries[server.name] = entry
            self._publish(entry)

    def expire(self) -> None:
        """Remove servers whose last report is older than the timeout."""
        cutoff_ms = self.clock.now_ms() - self.timeout_ms
        expired = [n for n, e in self._entries.items() if e.last_report_ms < cutoff_ms]
        for name in expired:
            self._log.write(Event.BACKEND_GONE, server=name)
            del self._entries[name]
            self.table.remove(name)

    def set_drained(self, is_drained: Callable[[BackendServer], bool]) -> None:
        """Mark every server as draining for which ``is_drained`` returns true."""
        self._is_drained = is_drained
        for entry in self._entries.values():
            self._publish(entry)

    def reported_load(self, name: str) -> tuple[float, float] | None:
        """Return the reported load of a server and its age in ms, or None."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return entry.reported_load, self.clock.now_ms() - entry.last_report_ms

    def clear(self) -> None:
        """Remove every server at the start of a new term."""
        self._entries.clear()
        self.table = VersionedTable()

    def _publish(self, entry: _Entry) -> None:
        server = entry.announced
        draining = server.draining or self._is_drained(server)
        self.table.put(server.name, attrs.evolve(server, draining=draining))
