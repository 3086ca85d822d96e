"""Shares of this host in the request limits that hold for all hosts together.

A limit divided by all hosts of a large fleet is less than one request a minute each,
and a host that asks for leave before each request waits for a round trip. So a few
hosts share the limit of a server in equal parts; all others send it nothing.
"""

import math

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch._sharing import select_sharing_hosts

# A server tolerates this much in a window, beyond its limit times OVERSHOOT. The number
# of hosts that share a limit follows from it, since all of them may send a request at
# the same moment.
WINDOW_MS = 4_000.0
OVERSHOOT = 1.5
SLACK = 5
# A lower limit is shared as if it were this one: without any request no host would
# learn that the server accepts more again.
MIN_LIMIT_PER_S = 0.1
# A host that begins to share a limit waits this long at least, until the hosts that
# shared it before know the same list of hosts.
SETTLE_MS = 1_000.0


def sharing_host_count(limit_per_s: float) -> int:
    """Return how many hosts may share a limit.

    It is the largest number for which a window stays within the tolerance if all of
    them send at the same moment and one of them has just replaced another.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the server accepts.
    """
    per_window = limit_per_s * WINDOW_MS / 1_000.0
    # Solves n + per_window / n = room, where the hosts' first requests are n, and a
    # replaced host sent per_window / n + 1 beside those of the present ones.
    room = (OVERSHOOT - 1.0) * per_window + SLACK - 1
    root = math.sqrt(max(0.0, room**2 - 4.0 * per_window))
    return max(1, int((room + root) / 2.0))


@attrs.define
class _Share:
    limit_per_s: float
    interval_ms: float  # infinite if this host has no share
    sent_ms: float
    hosts_version: int


class LimitShares:
    """Shares of this host in the limits of servers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id : str
        Name of this host.
    """

    def __init__(self, clock: Clock, host_id: str):
        self.clock = clock
        self.host_id = host_id
        self._hosts: list[tuple[str, str]] = []
        self._hosts_version = 0
        self._shares: dict[str, _Share] = {}

    def set_hosts(self, hosts: list[tuple[str, str]]) -> None:
        """Set the entry hosts, as pairs of name and region."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._hosts_version += 1

    def wait_ms(self, server_id: str, region: str, limit_per_s: float) -> float:
        """Return the time until this host may send the server a request.

        Returns
        -------
        float
            Milliseconds; 0 if it may now, infinite if it has no share.
        """
        share = self._share(server_id, region, limit_per_s)
        return max(0.0, share.sent_ms + share.interval_ms - self.clock.now_ms())

    def record_sent(self, server_id: str) -> None:
        """Count a request to a server with a limit."""
        share = self._shares.get(server_id)
        if share is not None:
            share.sent_ms = self.clock.now_ms()

    def drop(self, server_id: str) -> None:
        """Forget the share of a server that has no limit any more."""
        self._shares.pop(server_id, None)

    def _share(self, server_id: str, region: str, limit_per_s: float) -> _Share:
        share = self._shares.get(server_id)
        if (
            share is not None
            and share.limit_per_s == limit_per_s
            and share.hosts_version == self._hosts_version
        ):
            return share
        hosts = select_sharing_hosts(
            self._hosts, server_id, region, sharing_host_count(limit_per_s)
        )
        if self.host_id not in hosts:
            interval_ms, sent_ms = math.inf, 0.0
        else:
            gap_ms = 1_000.0 / max(limit_per_s, MIN_LIMIT_PER_S)
            interval_ms = gap_ms * len(hosts)
            if share is not None and math.isfinite(share.interval_ms):
                sent_ms = share.sent_ms
            else:
                # The hosts begin one after the other, as if each had sent before.
                first_wait_ms = max(SETTLE_MS, gap_ms * (1 + hosts.index(self.host_id)))
                sent_ms = self.clock.now_ms() + first_wait_ms - interval_ms
        share = _Share(limit_per_s, interval_ms, sent_ms, self._hosts_version)
        self._shares[server_id] = share
        return share
