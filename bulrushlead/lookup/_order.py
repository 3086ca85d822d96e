"""Order in which a caller tries the entry hosts."""

import math
from collections.abc import Iterator, Sequence
from enum import Enum
from functools import cached_property

import attrs
import xxhash

from bulrushlead.declaration import Link

HASH_RANGE = float(2**64)


class HostState(Enum):
    """Whether an entry host accepts callers."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@attrs.frozen
class EntryHostView:
    """Entry host as a look-up returns it.

    Parameters
    ----------
    name : str
        Unique name.
    address : str
        ``host:port`` with an IP address, for connections of callers.
    region, availability_zone : str
        Region and availability zone of the host.
    capacity_rps : int
        Capacity in requests per second; the host's share of callers is proportional
        to it.
    state : HostState
        Whether it accepts callers.
    """

    name: str
    address: str
    region: str
    availability_zone: str
    capacity_rps: int
    state: HostState = HostState.SERVING


@attrs.frozen
class LookupAnswer:
    """Answer to a look-up.

    Parameters
    ----------
    service : str
        Name of the service.
    region : str
        Home region of the caller; empty if its address is in no block.
    hosts : tuple of EntryHostView
        Entry hosts in the order in which the caller should try them.
    ttl_ms : int
        How long the caller may use the answer, in milliseconds.
    revision : int
        Revision of the configuration from which the answer was computed.
    """

    service: str
    region: str
    hosts: tuple[EntryHostView, ...]
    ttl_ms: int
    revision: int


class EntryHostOrder:
    """Orders entry hosts by weighted rendezvous hashing.

    Each pair of caller and host has a fixed pseudo-random score, so adding or
    removing a host moves only the callers that this host gains or loses.

    Parameters
    ----------
    hosts : sequence of EntryHostView
        All known hosts; those that do not serve or have a capacity of 0 are omitted
        from the order.
    links : sequence of Link, default=()
        Links between regions; the other regions follow the home region by latency.

    Examples
    --------
    >>> host = EntryHostView("e1", "192.0.2.1:80", "casa", "casa-a", 100)
    >>> EntryHostOrder([host]).order(b"198.51.100.7", "casa", 3)[0].name
    'e1'
    """

    def __init__(self, hosts: Sequence[EntryHostView], links: Sequence[Link] = ()):
        self.hosts = hosts
        self.links = links

    def order(
        self, caller_key: bytes, region: str, count: int
    ) -> tuple[EntryHostView, ...]:
        """Return the entry hosts that a caller should use.

        Parameters
        ----------
        caller_key : bytes
            Identifier of the caller, for example its address.
        region : str
            Home region of the caller. If empty, distance is ignored.
        count : int
            Maximum number of hosts to return.

        Returns
        -------
        tuple of EntryHostView
            Hosts of the nearest region first; empty if no host serves.
        """
        seed = xxhash.xxh3_64_intdigest(caller_key)
        ordered: list[EntryHostView] = []
        for group in self._groups_by_distance(region):
            ordered += sorted(group, key=lambda host: _weighted_score(host, seed))
            if len(ordered) >= count:
                break
        return tuple(ordered[:count])

    @cached_property
    def _by_region(self) -> dict[str, list[EntryHostView]]:
        by_region: dict[str, list[EntryHostView]] = {}
        for host in self.hosts:
            if host.state is HostState.SERVING and host.capacity_rps > 0:
                by_region.setdefault(host.region, []).append(host)
        return by_region

    @cached_property
    def _latencies_ms(self) -> dict[tuple[str, str], float]:
        return {
            (link.from_region, link.to_region): link.latency_ms for link in self.links
        }

    def _groups_by_distance(self, region: str) -> Iterator[list[EntryHostView]]:
        if not region:
            yield [host for group in self._by_region.values() for host in group]
            return
        yield self._by_region.get(region, [])
        others = [name for name in self._by_region if name != region]
        others.sort(key=lambda name: (self._latency_ms(region, name), name))
        for name in others:
            yield self._by_region[name]

    def _latency_ms(self, from_region: str, to_region: str) -> float:
        return self._latencies_ms.get((from_region, to_region), math.inf)


def _weighted_score(host: EntryHostView, seed: int) -> tuple[float, str]:
    """Return an exponential variate with the host's capacity as its rate.

    The probability that a host has the smallest variate of all hosts is
    proportional to its rate.
    """
    digest = xxhash.xxh3_64_intdigest(host.name.encode(), seed=seed)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / host.capacity_rps, host.name
