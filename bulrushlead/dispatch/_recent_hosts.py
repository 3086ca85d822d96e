"""Entry hosts among which limits are divided."""

from collections.abc import Iterable

from bulrushlead.clock import Clock
from bulrushlead.fleet import HostRecord

# A leader that has just started lists hosts as they report, all of them within some
# report intervals.
HOLD_MS = 5_000.0


class RecentHosts:
    """Entry hosts that the leader lists, or listed a short time ago.

    After a restart of all coordinators the leader knows few hosts at first. A host that
    divided the limits among those would take too large a share.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._hosts: dict[str, HostRecord] = {}
        self._missing_since_ms: dict[str, float] = {}

    def update(self, listed: Iterable[HostRecord]) -> list[HostRecord]:
        """Apply the leader's list and return the hosts that count."""
        now_ms = self.clock.now_ms()
        listed = {host.host_id: host for host in listed}
        self._hosts.update(listed)
        for host_id in list(self._hosts):
            if host_id in listed:
                self._missing_since_ms.pop(host_id, None)
            elif now_ms - self._missing_since_ms.setdefault(host_id, now_ms) > HOLD_MS:
                del self._hosts[host_id]
                del self._missing_since_ms[host_id]
        return list(self._hosts.values())
