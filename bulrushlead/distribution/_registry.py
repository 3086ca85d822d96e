"""Backend servers that have announced themselves, as the leader knows them."""

from collections.abc import Callable

import attrs

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.distribution._table import VersionedTable
from bulrushlead.logs import Event, EventLogger

PAST_INCARNATIONS_KEPT = 8


@attrs.define
class _Entry:
    announced: BackendServer
    sequence: int
    reported_load: float
    heard_at_ms: float
    past_incarnations: list[str] = attrs.Factory(list)


class BackendRegistry:
    """Takes announcements and tells which backend servers there are.

    Parameters
    ----------
    clock : Clock
        Source of time.
    timeout_ms : float
        After this long without an announcement a server is gone.

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

    def take(self, announcement: Announcement) -> None:
        """Take one announcement; older or repeated ones change nothing."""
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
            del entry.past_incarnations[:-PAST_INCARNATIONS_KEPT]
            entry.announced, entry.sequence = server, -1
        if announcement.sequence <= entry.sequence:
            return
        if entry.sequence >= 0 and entry.announced.draining:
            # Leaving is final for one incarnation.
            server = attrs.evolve(server, draining=True)
        elif server.draining:
            self._log.write(Event.BACKEND_LEAVING, server=server.name)
        entry.announced = server
        entry.sequence = announcement.sequence
        entry.reported_load = announcement.reported_load
        entry.heard_at_ms = self.clock.now_ms()
        self._publish(entry)

    def seed(self, server: BackendServer) -> None:
        """Take a server from the table of an entry host, unless it is known."""
        if server.name not in self._entries:
            entry = _Entry(server, -1, 0.0, self.clock.now_ms())
            self._entries[server.name] = entry
            self._publish(entry)

    def expire(self) -> None:
        """Remove servers that have been silent for too long."""
        oldest_ms = self.clock.now_ms() - self.timeout_ms
        silent = [n for n, e in self._entries.items() if e.heard_at_ms < oldest_ms]
        for name in silent:
            self._log.write(Event.BACKEND_GONE, server=name)
            del self._entries[name]
            self.table.remove(name)

    def set_drained(self, is_drained: Callable[[BackendServer], bool]) -> None:
        """Mark as draining every server for which ``is_drained`` holds."""
        self._is_drained = is_drained
        for entry in self._entries.values():
            self._publish(entry)

    def reported_load(self, name: str) -> tuple[float, float] | None:
        """Return the load a server reported and its age in ms, or None."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return entry.reported_load, self.clock.now_ms() - entry.heard_at_ms

    def clear(self) -> None:
        """Forget every server, as at the start of a new term."""
        self._entries.clear()
        self.table = VersionedTable()

    def _publish(self, entry: _Entry) -> None:
        server = entry.announced
        draining = server.draining or self._is_drained(server)
        self.table.put(server.name, attrs.evolve(server, draining=draining))
