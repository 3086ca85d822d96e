"""Order of entry hosts for a caller."""

import math
from collections.abc import Iterator, Sequence
from enum import Enum
from functools import cached_property

import attrs
import xxhash

from bulrushlead.declaration import Link

HASH_RANGE = float(2**64)


class HostState(Enum):
    """Whether an entry host takes callers."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@attrs.frozen
class EntryHostView:
    """An entry host as look-ups see it.

    Parameters
    ----------
    name : str
        Unique name.
    address : str
        ``host:port`` by IP number, where callers reach it.
    region, availability_zone : str
        Where it is.
    capacity_rps : int
        Requests per second that it can carry; its share is in proportion.
    state : HostState
        Whether it takes callers.
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
        Entry hosts in the order in which the caller shall try them.
    ttl_ms : int
        How long the caller may use the answer, in milliseconds.
    revision : int
        Revision of the configuration that the answer comes from.
    """

    service: str
    region: str
    hosts: tuple[EntryHostView, ...]
    ttl_ms: int
    revision: int


class EntryHostOrder:
    """Orders entry hosts by weighted rendezvous hashing.

    Each pair of caller and host has a fixed random number, so a host that
    comes or goes moves only the callers that it gains or loses.

    Parameters
    ----------
    hosts : sequence of EntryHostView
        Every known host; those that do not serve are left out.
    links : sequence of Link, default=()
        Links whose latency orders the regions after the nearest one.

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
        """Return the entry hosts that a caller shall use.

        Parameters
        ----------
        caller_key : bytes
            What tells callers apart, for example the address.
        region : str
            Home region of the caller. If empty, all hosts are equally near.
        count : int
            Most hosts to return.

        Returns
        -------
        tuple of EntryHostView
            Hosts of the nearest region first; empty if none serves.
        """
        seed = xxhash.xxh3_64_intdigest(caller_key)
        ordered: list[EntryHostView] = []
        for group in self._groups(region):
            ordered += sorted(group, key=lambda host: _distance(host, seed))
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

    def _groups(self, region: str) -> Iterator[list[EntryHostView]]:
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


def _distance(host: EntryHostView, seed: int) -> tuple[float, str]:
    """Return an exponential variate with the host's capacity as its rate.

    The smallest of several such variates belongs to each host with a
    probability in proportion to its rate.
    """
    digest = xxhash.xxh3_64_intdigest(host.name.encode(), seed=seed)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / host.capacity_rps, host.name
