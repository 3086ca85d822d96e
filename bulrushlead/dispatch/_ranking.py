"""Orders the servers of a service for an object, alike on every host."""

import math

import xxhash

from bulrushlead.dispatch._server import ServerStats

# A region keeps its own requests up to this multiple of its fair share of the
# slots: with more, its servers would be fuller than all others.
LOCAL_HEADROOM = 1.0
# Above this load, a server hands a part of its objects to the next in their order.
FULL_PRESSURE = 1.4
MAX_PASSED_SHARE = 0.7  # what it knows best stays
MAX_CACHED_KEYS = 20_000  # about 10 MB of lists of references
_HASH_RANGE = float(2**64)
_SEED_MASK = 2**32 - 1


class Ranking:
    """Answers the pattern of repeated objects: a server remembers only a few.

    First the region, then the servers in it, are found by hashing, so that every
    host finds the same order without a call, and a change of the fleet moves only
    the objects that it must. A region with less than its fair share of the slots
    sends the same part of its objects elsewhere all the time: a steady split keeps
    objects where they are known, and no region swings.

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
        slots = {
            name: sum(server.slots for server in members)
            for name, members in self._by_region.items()
        }
        fair_slots = sum(slots.values()) / max(1, len(slots))
        self.local_share = 0.0
        if region in slots:
            share = LOCAL_HEADROOM * slots[region] / fair_slots
            self.local_share = min(1.0, share)
        surplus = {name: max(0.0, count - fair_slots) for name, count in slots.items()}
        has_surplus = any(surplus[name] for name in surplus if name != region)
        self._weights = surplus if has_surplus else slots
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
        if name == self.region:
            is_local = _uniform(xxhash.xxh64_intdigest(key)) < self.local_share
            return -math.inf if is_local else math.inf
        uniform = _uniform(xxhash.xxh64_intdigest(name.encode() + b"/" + key))
        return -math.log(uniform) / max(self._weights[name], 1e-9)


def passes_over(server: ServerStats, key: bytes) -> bool:
    """Return whether a busy server leaves an object to the next one.

    Hashing gives some servers twice as many objects as others. All hosts hear the
    same load, so they agree on the objects that move, without a call.
    """
    if server.pressure <= FULL_PRESSURE:
        return False
    share = min(MAX_PASSED_SHARE, 1.0 - FULL_PRESSURE / server.pressure)
    return _uniform(xxhash.xxh64_intdigest(key, ~server.hash & _SEED_MASK)) < share


def _uniform(digest: int) -> float:
    """Return a hash as a number between 0 and 1, both excluded."""
    return (digest + 1) / (_HASH_RANGE + 2)


def _score(key: bytes, server_hash: int) -> int:
    return xxhash.xxh64_intdigest(key, server_hash)
