"""Limits the request rate to cold servers without communication between hosts."""

from bulrushlead.clock import Clock
from bulrushlead.dispatch._sharing import select_sharing_hosts

# Maximum number of hosts that share the rate of a cold server. All of them may send a
# request at the same moment, which exceeds the rate.
MAX_WARMING_HOSTS = 4


class WarmupLimiter:
    """Rate limit for cold servers, such as those of a zone that restarts.

    A cold server has empty caches and tolerates a limited rate. Every host selects the
    same few hosts by hashing, those in the server's region first; these share the rate,
    and all others send the server nothing until it is warm.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id, region : str
        Name and region of this host.
    slack : int
        Requests per second that are tolerated beyond the rate.

    Attributes
    ----------
    slack : int
        Requests per second that are tolerated beyond the rate.
    warming_hosts : int
        Number of hosts that share the rate of a cold server.
    """

    def __init__(self, clock: Clock, host_id: str, region: str, slack: int):
        self.clock = clock
        self.host_id = host_id
        self.region = region
        self.warming_hosts = 1
        self._hosts: list[tuple[str, str]] = []
        self._shares: dict[str, float] = {}
        self._next_ms: dict[str, float] = {}
        self.set_slack(slack)

    def set_slack(self, slack: int) -> None:
        """Set the requests per second that are tolerated beyond the rate.

        Fewer hosts than that share the rate (but at least one), since all of them may
        send a request at the same moment.
        """
        self.slack = slack
        self.warming_hosts = max(1, min(MAX_WARMING_HOSTS, slack - 1))
        self._shares.clear()

    def set_hosts(self, hosts: list[tuple[str, str]]) -> None:
        """Set the entry hosts, as pairs of name and region."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._shares.clear()

    def allows(self, server_id: str, region: str, rate_per_s: float) -> bool:
        """Return whether this host may send a request to a cold server now."""
        if rate_per_s <= 0:
            return True
        if self._share(server_id, region) <= 0:
            return False
        return self.clock.now_ms() >= self._next_ms.get(server_id, 0.0)

    def record_sent(self, server_id: str, region: str, rate_per_s: float) -> None:
        """Count a request to a cold server and delay the next one."""
        share = self._share(server_id, region)
        if rate_per_s > 0 and share > 0:
            interval_ms = 1_000.0 / (rate_per_s * share)
            self._next_ms[server_id] = self.clock.now_ms() + interval_ms

    def _share(self, server_id: str, region: str) -> float:
        share = self._shares.get(server_id)
        if share is None:
            share = self._shares[server_id] = self._compute_share(server_id, region)
        return share

    def _compute_share(self, server_id: str, region: str) -> float:
        chosen = select_sharing_hosts(
            self._hosts, server_id, region, self.warming_hosts
        )
        return 1.0 / len(chosen) if self.host_id in chosen else 0.0
