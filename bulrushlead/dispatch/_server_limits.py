"""Limits on the request rate that backend servers name in their answers."""

import math
from collections.abc import Callable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch._limit_shares import LimitShares
from bulrushlead.fleet import FleetServer, LimitNotice
from bulrushlead.logs import Event, EventLogger

MAX_SERVERS = 4_000  # bounds the memory; beyond it the oldest limits are dropped


def parse_limit_per_s(value: bytes) -> float | None:
    """Return the requests per second that a server's limit field names.

    Parameters
    ----------
    value : bytes
        Value of the field: a decimal number.

    Returns
    -------
    float or None
        Requests per second. None for a value that is negative, infinite or not a
        number: such a field neither names a limit nor withdraws one.
    """
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0:
        return None
    return limit_per_s


@attrs.frozen
class _Limit:
    born_ms: int
    limit_per_s: float | None  # None once the server has withdrawn it
    observed_ms: float


class ServerLimits:
    """Requests per second that servers accept from all hosts together.

    A limit holds for one incarnation of a server, until an answer names another one or
    none. Few hosts share it; see ``LimitShares``. The leader publishes what one host
    observed to all others, since a host without a share gets no answers of the server.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id : str
        Name of this host.
    """

    def __init__(self, clock: Clock, host_id: str):
        self.clock = clock
        self._shares = LimitShares(clock, host_id)
        self._limits: dict[str, _Limit] = {}
        self._log = EventLogger("dispatch")

    @property
    def limited_count(self) -> int:
        """Number of servers with a limit."""
        return sum(limit.limit_per_s is not None for limit in self._limits.values())

    def limit_per_s(self, server_id: str, born_ms: int) -> float | None:
        """Return the limit of an incarnation, or None without one."""
        limit = self._limits.get(server_id)
        if limit is None or limit.born_ms != born_ms:
            return None
        return limit.limit_per_s

    def set_hosts(self, hosts: list[tuple[str, str]]) -> None:
        """Set the entry hosts that share the limits, as pairs of name and region."""
        self._shares.set_hosts(hosts)

    def wait_ms(self, server_id: str, born_ms: int, region: str) -> float:
        """Return the time until this host may send a server a request.

        Returns
        -------
        float
            Milliseconds; 0 if it may now, infinite if only other hosts may.
        """
        limit_per_s = self.limit_per_s(server_id, born_ms)
        if limit_per_s is None:
            return 0.0
        return self._shares.wait_ms(server_id, region, limit_per_s)

    def record_sent(self, server_id: str) -> None:
        """Count a request to a server."""
        self._shares.record_sent(server_id)

    def record_answer(
        self, server_id: str, born_ms: int, limit_per_s: float | None, sent_ms: float
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        An answer may arrive after a later one of the same server. A higher limit and
        a withdrawal therefore count only in answers to requests that were sent after
        the present limit was observed.

        Parameters
        ----------
        server_id : str
            Identity of the server.
        born_ms : int
            Incarnation of the server.
        limit_per_s : float or None
            Requests per second; None if the answer names no limit.
        sent_ms : float
            Time when the request was sent, in milliseconds of this host's clock.
        """
        known = self._limits.get(server_id)
        if known is not None and known.born_ms > born_ms:
            return
        current = self.limit_per_s(server_id, born_ms)
        if current is None:
            if limit_per_s is None:
                return
        elif (
            limit_per_s is None or limit_per_s > current
        ) and sent_ms < known.observed_ms:
            return
        self._set(server_id, _Limit(born_ms, limit_per_s, self.clock.now_ms()))

    def record_published(
        self, server_id: str, notice: LimitNotice, received_ms: float
    ) -> None:
        """Record a limit that the leader published, unless a newer one is known.

        Parameters
        ----------
        server_id : str
            Identity of the server.
        notice : LimitNotice
            The limit, with its age when the record was received.
        received_ms : float
            Time of the receipt, in milliseconds of this host's clock.
        """
        observed_ms = received_ms - notice.age_ms
        known = self._limits.get(server_id)
        if known is not None and (known.born_ms, known.observed_ms) >= (
            notice.born_ms,
            observed_ms,
        ):
            return
        self._set(server_id, _Limit(notice.born_ms, notice.limit_per_s, observed_ms))

    def unpublished(
        self, find_server: Callable[[str], FleetServer | None]
    ) -> dict[str, LimitNotice]:
        """Return the limits that the fleet view does not show yet.

        Parameters
        ----------
        find_server : callable
            Returns the server of the fleet view with an identity, or None.

        Returns
        -------
        dict of str to LimitNotice
            Limits by identity of the server. They are reported to the leader until
            its view says the same, so that a report that is lost with a leader does no
            harm.
        """
        now_ms = self.clock.now_ms()
        notices = {}
        for server_id, limit in self._limits.items():
            server = find_server(server_id)
            if server is None or server.record.born_ms != limit.born_ms:
                continue
            published = server.record.limit
            published_per_s = None if published is None else published.limit_per_s
            if published_per_s != limit.limit_per_s:
                notices[server_id] = LimitNotice(
                    limit.born_ms, limit.limit_per_s, now_ms - limit.observed_ms
                )
        return notices

    def _set(self, server_id: str, limit: _Limit) -> None:
        previous = self.limit_per_s(server_id, limit.born_ms)
        self._limits.pop(server_id, None)
        self._limits[server_id] = limit
        while len(self._limits) > MAX_SERVERS:
            del self._limits[next(iter(self._limits))]
        if limit.limit_per_s is None:
            self._shares.drop(server_id)
        if limit.limit_per_s != previous:
            self._log.write(
                Event.BACKEND_LIMIT_CHANGED,
                server_id=server_id,
                born_ms=limit.born_ms,
                limit_per_s=limit.limit_per_s,
                previous_per_s=previous,
            )
