"""Notices in the answers of backend servers: a drain, or a pause for this host."""

import math
from collections.abc import Callable

import attrs
import xxhash

from bulrushlead.clock import Clock
from bulrushlead.fleet import FleetServer, ServerState
from bulrushlead.logs import Event, EventLogger

# A longer pause is probably a mistake of the server. After this time one request asks
# it again, so that a mistake cannot exclude a server for its whole life.
MAX_PAUSE_MS = 600_000
# Hosts that a server paused together return over this share of the pause, so that their
# requests do not arrive at the same moment.
RETURN_SPREAD = 0.2
MAX_RETURN_SPREAD_MS = 2_000
MAX_SERVERS = 4_000  # bounds the memory; beyond it the oldest notices are dropped


def parse_pause_ms(value: bytes) -> float | None:
    """Return the pause that a ``Retry-After`` field asks for.

    Parameters
    ----------
    value : bytes
        Value of the field, in seconds; fractions are allowed.

    Returns
    -------
    float or None
        Milliseconds, at most ``MAX_PAUSE_MS``. None for a date, zero, a negative value
        or one that is not a number: such a field asks for no pause.
    """
    try:
        pause_ms = float(value) * 1_000.0
    except ValueError:
        return None
    if math.isnan(pause_ms) or pause_ms <= 0:
        return None
    return min(pause_ms, MAX_PAUSE_MS)


@attrs.define
class _Notice:
    born_ms: int
    draining: bool = False
    paused_until_ms: float = -math.inf


class ServerNotices:
    """What servers said about themselves in their answers to this host.

    A server that drains gets no further request from this host, whatever the fleet view
    says of it. A server that refused with a pause gets none from this host until the
    pause is over; other hosts are not affected. Both hold for one incarnation, also
    while the server is missing from the fleet view.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id : str
        Name of this host; the hosts return from a pause at different times.
    """

    def __init__(self, clock: Clock, host_id: str):
        self.clock = clock
        self.host_id = host_id
        self._notices: dict[str, _Notice] = {}
        self._log = EventLogger("dispatch")

    def record_draining(self, server_id: str, born_ms: int) -> None:
        """Record that an incarnation of a server is draining."""
        notice = self._notice(server_id, born_ms)
        if notice is not None and not notice.draining:
            notice.draining = True
            self._log.write(
                Event.BACKEND_DRAIN_NOTICED, server_id=server_id, born_ms=born_ms
            )

    def record_pause(self, server_id: str, born_ms: int, pause_ms: float) -> None:
        """Record that a server wants no request of this host for a time."""
        notice = self._notice(server_id, born_ms)
        if notice is None:
            return
        spread_ms = min(RETURN_SPREAD * pause_ms, MAX_RETURN_SPREAD_MS)
        paused_until_ms = (
            self.clock.now_ms() + pause_ms + spread_ms * self._return_offset(server_id)
        )
        if paused_until_ms > notice.paused_until_ms:
            notice.paused_until_ms = paused_until_ms
            self._log.write(
                Event.BACKEND_PAUSED, server_id=server_id, pause_ms=round(pause_ms)
            )

    def allows(self, server_id: str, born_ms: int) -> bool:
        """Return whether this host may send the server a request now."""
        notice = self._notices.get(server_id)
        if notice is None or notice.born_ms != born_ms:
            return True
        return not notice.draining and self.clock.now_ms() >= notice.paused_until_ms

    def pause_left_ms(self, server_id: str, born_ms: int) -> float:
        """Return the rest of a server's pause in milliseconds; infinite if it drains.

        0 if the server may get a request now.
        """
        notice = self._notices.get(server_id)
        if notice is None or notice.born_ms != born_ms:
            return 0.0
        if notice.draining:
            return math.inf
        return max(0.0, notice.paused_until_ms - self.clock.now_ms())

    def unpublished_drains(
        self, find_server: Callable[[str], FleetServer | None]
    ) -> dict[str, int]:
        """Return the draining servers that the fleet view still calls ready.

        Parameters
        ----------
        find_server : callable
            Returns the server of the fleet view with an identity, or None.

        Returns
        -------
        dict of str to int
            Incarnation (``born_ms``) by identity of the server. They are reported to
            the leader until its view says the same, so that a report that is lost with
            a leader does no harm.
        """
        drains = {}
        for server_id, notice in self._notices.items():
            server = find_server(server_id) if notice.draining else None
            if (
                server is not None
                and server.record.born_ms == notice.born_ms
                and server.record.state is ServerState.READY
            ):
                drains[server_id] = notice.born_ms
        return drains

    def _notice(self, server_id: str, born_ms: int) -> _Notice | None:
        """Return the notice of an incarnation; None if a later one has sent one."""
        notice = self._notices.get(server_id)
        if notice is not None and notice.born_ms > born_ms:
            return None
        if notice is None or notice.born_ms < born_ms:
            self._notices.pop(server_id, None)
            notice = self._notices[server_id] = _Notice(born_ms)
            while len(self._notices) > MAX_SERVERS:
                del self._notices[next(iter(self._notices))]
        return notice

    def _return_offset(self, server_id: str) -> float:
        digest = xxhash.xxh32_intdigest(f"{server_id}/{self.host_id}".encode())
        return digest / 2**32
