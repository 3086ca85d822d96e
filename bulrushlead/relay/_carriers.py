"""Which hosts may carry the requests of this one."""

import random
from collections.abc import Collection, Iterable

import xxhash

from bulrushlead.clock import Clock
from bulrushlead.fleet import HostRecord

# A host that could not be reached gets no request for this time; the leader removes it
# from the list within two report intervals after it stops.
CARRIER_BACKOFF_MS = 1_000
# Least share of the hosts of a region that must be able to carry before those of other
# regions are left out. Each of them then carries the requests of one other host.
MIN_NEAR_SHARE = 0.5


class CarrierTable:
    """Hosts that reach servers, as the leader published them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id, region : str
        Name and region of this host.
    rng : random.Random
        Chooses among hosts of equal distance.
    """

    def __init__(self, clock: Clock, host_id: str, region: str, rng: random.Random):
        self.clock = clock
        self.host_id = host_id
        self.region = region
        self.rng = rng
        self._hosts: list[HostRecord] = []
        self._near_count = 0
        self._keeper_hashes: dict[str, int] = {}  # by name of the host
        self._keepers: dict[str, str] = {}  # by organisation
        self._unusable_until_ms: dict[str, float] = {}

    def update(self, hosts: Iterable[HostRecord]) -> None:
        """Apply the leader's list of hosts."""
        hosts = [host for host in hosts if host.accepting]
        self._near_count = sum(host.region == self.region for host in hosts)
        names = {host.host_id for host in hosts if host.peer_address}
        if names != self._keeper_hashes.keys():
            self._keeper_hashes = {name: _hash(name) for name in names}
            self._keepers = {}
        self._hosts = [
            host
            for host in hosts
            if host.reaches_servers
            and host.peer_address
            and host.host_id != self.host_id
        ]
        known = {host.host_id for host in self._hosts}
        for host_id in self._unusable_until_ms.keys() - known:
            del self._unusable_until_ms[host_id]

    def keeper(self, organisation: str) -> str:
        """Return the host that keeps what all hosts share of an organisation's quota.

        Hosts with the same list choose the same one, by rendezvous hashing.
        """
        keeper = self._keepers.get(organisation)
        if keeper is None:
            seeds = self._keeper_hashes
            keeper = max(
                seeds, key=lambda name: _hash(organisation, seeds[name]), default=""
            )
            self._keepers[organisation] = keeper
        return keeper

    def choose(
        self,
        allowed_regions: Collection[str],
        excluded: Collection[str],
        preferred: str = "",
    ) -> HostRecord | None:
        """Return a host that may carry a request, or None.

        Parameters
        ----------
        allowed_regions : collection of str
            Regions that may see the request; all if empty.
        excluded : collection of str
            Hosts that have declined it.
        preferred : str
            Host to choose if it may carry the request.
        """
        now_ms = self.clock.now_ms()
        hosts = [
            host
            for host in self._hosts
            if host.host_id not in excluded
            and now_ms >= self._unusable_until_ms.get(host.host_id, 0.0)
            and (not allowed_regions or host.region in allowed_regions)
        ]
        for host in hosts:
            if host.host_id == preferred:
                return host
        near = [host for host in hosts if host.region == self.region]
        if near and len(near) >= MIN_NEAR_SHARE * self._near_count:
            hosts = near
        return self.rng.choice(hosts) if hosts else None

    def record_failure(self, host_id: str) -> None:
        """Leave a host out for a while, since it could not be reached."""
        self._unusable_until_ms[host_id] = self.clock.now_ms() + CARRIER_BACKOFF_MS


def _hash(text: str, seed: int = 0) -> int:
    return xxhash.xxh64_intdigest(text.encode(), seed)
