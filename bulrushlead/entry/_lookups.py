"""Finds the entry hosts that a caller should use."""

import ipaddress

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration
from bulrushlead.distribution import HostView, Session
from bulrushlead.logs import Event, EventLogger
from bulrushlead.lookup import (
    NO_TARGET,
    BlockArrays,
    BlockTable,
    EntryHostOrder,
    EntryHostView,
    HostState,
    LookupAnswer,
)
from bulrushlead.results import BulrushleadError, ResultCode

HOSTS_PER_ANSWER = 4
MAX_CACHED_ADDRESSES = 10_000  # bounds the memory of the region cache


class Lookups:
    """Answers look-ups: the entry hosts that serve a caller, in order.

    Parameters
    ----------
    session : Session
        Session with the leader: configuration and entry hosts in force.
    clock : Clock
        Source of time.
    ttl_ms : int
        Time for which callers may cache an answer, in milliseconds.
    """

    def __init__(self, session: Session, clock: Clock, ttl_ms: int):
        self.session = session
        self.clock = clock
        self.ttl_ms = ttl_ms
        self._regions: tuple[str, ...] = ()
        self._blocks: BlockTable | None = None
        self._order = EntryHostOrder(())
        self._services: frozenset[str] = frozenset()
        self._hosts: tuple[HostView, ...] = ()
        self._region_cache: dict[str, str] = {}
        self._log = EventLogger("lookup")

    def set_configuration(self, declaration: Declaration) -> None:
        """Rebuild the table of client blocks for a new configuration."""
        self._services = frozenset(service.name for service in declaration.services)
        self._regions = tuple(region.name for region in declaration.regions)
        self._blocks = BlockTable.build(
            BlockArrays.from_client_blocks(declaration.client_blocks, self._regions)
        )
        self._region_cache.clear()
        # Forces a rebuild of the order, because the links may have changed.
        self._hosts = ()
        self.refresh_hosts()

    def refresh_hosts(self) -> None:
        """Rebuild the order of entry hosts if the session's hosts have changed."""
        hosts = tuple(self.session.hosts.values())
        if hosts == self._hosts:
            return
        self._hosts = hosts
        views = [_to_view(host) for host in hosts]
        self._order = EntryHostOrder(views, self.session.declaration.links)

    def region_of(self, address: str) -> str:
        """Return the home region of a caller's address, or an empty string."""
        region = self._region_cache.get(address)
        if region is None:
            region = self._find_region(address)
            if len(self._region_cache) >= MAX_CACHED_ADDRESSES:
                self._region_cache.clear()
            self._region_cache[address] = region
        return region

    def find(self, service: str, address: str) -> LookupAnswer:
        """Return the entry hosts that a caller should use.

        Parameters
        ----------
        service : str
            Name of the service.
        address : str
            Address of the caller.

        Returns
        -------
        LookupAnswer
            Hosts in the order in which the caller should try them.

        Raises
        ------
        BulrushleadError
            ``NO_CONFIGURATION``, ``UNKNOWN_SERVICE`` or ``NO_ENTRY_HOST``.
        """
        if not self.session.is_valid():
            raise BulrushleadError(
                ResultCode.NO_CONFIGURATION,
                "this entry host has no valid lease from control; ask another one",
            )
        if service not in self._services:
            raise BulrushleadError(
                ResultCode.UNKNOWN_SERVICE,
                f"service {service!r:.80} is not declared; see the list of services",
            )
        region = self.region_of(address)
        caller_key = ipaddress.ip_address(address).packed
        hosts = self._order.order(caller_key, region, HOSTS_PER_ANSWER)
        if not hosts:
            raise BulrushleadError(
                ResultCode.NO_ENTRY_HOST,
                "every entry host is stopping or gone; ask again later",
            )
        self._log.write(
            Event.LOOKUP_ANSWERED,
            caller=address,
            service=service,
            region=region or "unknown",
            hosts=",".join(host.name for host in hosts),
            reason="client_block" if region else "no_client_block",
        )
        return LookupAnswer(service, region, hosts, self.ttl_ms, self.session.revision)

    def _find_region(self, address: str) -> str:
        if self._blocks is None:
            return ""
        target = self._blocks.find(address)
        return "" if target == NO_TARGET else self._regions[target]


def _to_view(host: HostView) -> EntryHostView:
    return EntryHostView(
        name=host.name,
        address=host.address,
        region=host.region,
        availability_zone=host.availability_zone,
        capacity_rps=host.capacity_rps,
        state=HostState.DRAINING if host.draining else HostState.SERVING,
    )
