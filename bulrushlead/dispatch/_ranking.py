"""Orders the servers of a service for an object, alike on every host."""

import math

import xxhash

from bulrushlead.dispatch._server import ServerStats

LOCAL_WEIGHT = 3.0  # a local slot counts as much as three elsewhere
MAX_CACHED_KEYS = 20_000  # about 10 MB of lists of references
_HASH_RANGE = float(2**64)


class Ranking:
    """Answers the pattern of repeated objects: a server remembers only a few.

    Weighted rendezvous hashing, first of regions, then of servers. Every host
    finds the same order without a call, and a change of the fleet moves only the
    objects that it must.

    Parameters
    ----------
    servers : list of ServerStats
        Servers of one service.
    region : str
        Region of this host.
    """

    def __init__(self, servers: list[ServerStats], region: str):
        self.region = region
        self._by_region: dict[str, list[ServerStats]] = {}
        for server in servers:
            self._by_region.setdefault(server.region, []).append(server)
        self._weights = {
            name: sum(server.slots for server in members)
            * (LOCAL_WEIGHT if name == region else 1.0)
            for name, members in self._by_region.items()
        }
        self._cache: dict[bytes, list[list[ServerStats]]] = {}

    def order(self, key: bytes) -> list[list[ServerStats]]:
        """Return the servers by region, best region and best server first."""
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
        digest = xxhash.xxh64_intdigest(name.encode() + b"/" + key)
        uniform = (digest + 1) / (_HASH_RANGE + 2)
        return -math.log(uniform) / max(self._weights[name], 1e-9)


def _score(key: bytes, server_hash: int) -> int:
    return xxhash.xxh64_intdigest(key, server_hash)
