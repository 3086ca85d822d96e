"""Orders a service's servers for an object, identically on every host."""

import math

import xxhash

from bulrushlead.dispatch._server import ServerStats

# A region serves this multiple of (its slots / its fair share of the slots) of its own
# requests, at most all of them. With a larger multiple, the servers of a region with
# few slots would have a higher load than those of other regions.
LOCAL_HEADROOM = 1.0
# Fleet-wide load above which a server offloads a part of its objects to the next server
# in each object's order.
OFFLOAD_FLEET_LOAD = 1.4
MAX_OFFLOADED_SHARE = 0.7  # the rest stays, so that its cache remains useful
MAX_CACHED_KEYS = 20_000  # about 10 MB of cached orders
_HASH_RANGE = float(2**64)
_SEED_MASK = 2**32 - 1


class Ranking:
    """Rendezvous hashing of objects to regions and servers.

    A server caches only a few objects, so requests for one object should reach the
    same server. Hashing selects the region first and then the order of its servers:
    every host computes the same order without communication, and a change of the
    fleet moves as few objects as possible. A region with less than its fair share of
    the slots sends a fixed part of its objects to other regions. Because that part is
    constant, objects stay where they are cached and load does not oscillate between
    regions.

    Parameters
    ----------
    servers : list of ServerStats
        Servers of one service.
    region : str
        Region of this host.
    """

    def __init__(self, servers: list[ServerStats], region: str):
        self.servers = servers
        self.region = region
        self._by_region: dict[str, list[ServerStats]] = {}
        for server in servers:
            self._by_region.setdefault(server.region, []).append(server)
        slots = {
            name: sum(server.slots for server in members)
            for name, members in self._by_region.items()
        }
        fair_slots = sum(slots.values()) / max(1, len(slots))
        self.local_share = 0.0
        if region in slots:
            share = LOCAL_HEADROOM * slots[region] / fair_slots
            self.local_share = min(1.0, share)
        # Requests that leave this region go to regions with more than their fair share,
        # if there are any.
        surplus = {name: max(0.0, count - fair_slots) for name, count in slots.items()}
        has_surplus = any(surplus[name] for name in surplus if name != region)
        self._weights = surplus if has_surplus else slots
        self._cache: dict[bytes, list[list[ServerStats]]] = {}

    def order(self, key: bytes) -> list[list[ServerStats]]:
        """Return the servers grouped by region, most preferred first in both levels."""
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        if len(self._cache) >= MAX_CACHED_KEYS:
            self._cache.clear()
        regions = sorted(
            self._by_region, key=lambda name: self._region_score(key, name)
        )
        ordered = [
            sorted(self._by_region[name], key=lambda server: _score(key, server.hash))
            for name in regions
        ]
        self._cache[key] = ordered
        return ordered

    def _region_score(self, key: bytes, name: str) -> float:
        if name == self.region:
            is_local = _uniform(xxhash.xxh64_intdigest(key)) < self.local_share
            return -math.inf if is_local else math.inf
        uniform = _uniform(xxhash.xxh64_intdigest(name.encode() + b"/" + key))
        return -math.log(uniform) / max(self._weights[name], 1e-9)


def offloads_object(server: ServerStats, key: bytes) -> bool:
    """Return whether a server offloads an object to the next one because of its load.

    Hashing assigns some servers twice as many objects as others. All hosts receive
    the same fleet-wide load, so they select the same objects without communication.
    """
    if server.fleet_load <= OFFLOAD_FLEET_LOAD:
        return False
    share = min(MAX_OFFLOADED_SHARE, 1.0 - OFFLOAD_FLEET_LOAD / server.fleet_load)
    return _uniform(xxhash.xxh64_intdigest(key, ~server.hash & _SEED_MASK)) < share


def _uniform(digest: int) -> float:
    """Map a 64-bit hash to the open interval (0, 1)."""
    return (digest + 1) / (_HASH_RANGE + 2)


def _score(key: bytes, server_hash: int) -> int:
    return xxhash.xxh64_intdigest(key, server_hash)
