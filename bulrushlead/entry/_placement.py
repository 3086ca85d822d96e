"""Places one request: server, slot and link, taken together or not at all."""

import asyncio
from collections.abc import Iterable, Sequence

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.declaration import Service
from bulrushlead.distribution import Session
from bulrushlead.entry._limits import LinkUse, TrafficLimits
from bulrushlead.leases import LeaseHolder, SlotToken
from bulrushlead.results import BulrushleadError
from bulrushlead.routing import Candidate, RouteDecision, Router, RouteRequest

SPILL_WAIT_FACTOR = 2.0
DEFAULT_LINK_LATENCY_MS = 20.0


@attrs.define(eq=False)
class Placement:
    """A slot of a backend server held for one request.

    Parameters
    ----------
    decision : RouteDecision
        The server and why it was chosen.
    token : SlotToken
        The slot.
    link_use : LinkUse or None
        Bytes reserved, if the server is in another region.
    in_doubt_until_ms : float
        Time until which the server may still run a request whose connection
        broke, on this host's clock.
    """

    decision: RouteDecision
    token: SlotToken
    link_use: LinkUse | None = None
    in_doubt_until_ms: float = 0.0

    @property
    def server(self) -> BackendServer:
        """Server of this placement."""
        return self.decision.server

    def move_to(self, other: "Placement") -> None:
        """Take over the place that another placement holds."""
        self.decision = other.decision
        self.token = other.token
        self.link_use = other.link_use
        self.in_doubt_until_ms = other.in_doubt_until_ms


@attrs.frozen
class PlacementRequest:
    """What is known of a request when it waits for its place.

    Parameters
    ----------
    service : Service
        Declared service.
    target_region : str
        Region that shall serve it, after shifts.
    request_bytes, answer_bytes : int
        Size of the request and expected size of the answer.
    deadline_ms : float
        When the caller gives up, on this host's clock.
    arrived_at_ms : float
        When the request arrived, on this host's clock.
    repeatable : bool
        Whether a failed attempt may be repeated.
    """

    service: Service
    target_region: str
    request_bytes: int
    answer_bytes: int
    deadline_ms: float
    arrived_at_ms: float
    repeatable: bool


class Placer:
    """Finds places under the leases and limits of one entry host.

    Parameters
    ----------
    session : Session
        Backend servers and configuration in force.
    holder : LeaseHolder
        Slots of this host.
    limits : TrafficLimits
        Rates of this host.
    router : Router
        Chooses among the candidates.
    clock : Clock
        Source of time.
    region, availability_zone : str
        Where this host is.
    """

    def __init__(
        self,
        session: Session,
        holder: LeaseHolder,
        limits: TrafficLimits,
        router: Router,
        clock: Clock,
        region: str,
        availability_zone: str,
    ):
        self.session = session
        self.holder = holder
        self.limits = limits
        self.router = router
        self.clock = clock
        self.region = region
        self.availability_zone = availability_zone
        self._returning: set[asyncio.Task] = set()

    def has_servers(self, service: str) -> bool:
        """Return whether any backend server of a service takes new work."""
        return any(True for _ in self._open_servers(service))

    def place(
        self, request: PlacementRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Take a place for a request.

        Parameters
        ----------
        request : PlacementRequest
            What is to be placed.
        excluded : frozenset of str
            Names of servers that were tried already.

        Returns
        -------
        Placement or None
            None if there is no place now.
        """
        candidates = self._candidates(request)
        if not candidates:
            return None
        try:
            decision = self.router.choose(
                RouteRequest(
                    service=request.service.name,
                    home_region=request.target_region,
                    request_class=request.service.request_class,
                    deadline_ms=request.deadline_ms,
                    excluded=excluded,
                    repeatable=request.repeatable,
                ),
                candidates,
                self.region,
                self.availability_zone,
            )
        except BulrushleadError:
            return None
        return self._take(request, decision)

    def release(
        self, placement: Placement, sent_bytes: int, received_bytes: int
    ) -> None:
        """Return the slot and settle the link by what was really sent.

        The slot of a request in doubt is kept until the backend server must have
        ended it by the deadline that it was given.
        """
        if placement.link_use is not None:
            placement.link_use.settle(sent_bytes, received_bytes)
        if placement.in_doubt_until_ms <= self.clock.now_ms():
            self.holder.return_slot(placement.token)
            return
        task = asyncio.create_task(
            self._return_later(placement.token, placement.in_doubt_until_ms)
        )
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)

    async def close(self) -> None:
        """Stop waiting for requests in doubt; their slots stay taken."""
        tasks = list(self._returning)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _return_later(self, token: SlotToken, until_ms: float) -> None:
        await self.clock.sleep_ms(until_ms - self.clock.now_ms())
        self.holder.return_slot(token)

    def _take(
        self, request: PlacementRequest, decision: RouteDecision
    ) -> Placement | None:
        link_use = None
        if decision.region != self.region:
            link_use = self.limits.reserve_link(
                decision.region, request.request_bytes, request.answer_bytes
            )
            if link_use is None:
                return None
        token = self.holder.take_slot(decision.server.name)
        if token is None or not self.limits.take_region(
            request.service.name, decision.region
        ):
            if token is not None:
                self.holder.return_slot(token)
            if link_use is not None:
                link_use.settle(0, 0)
            return None
        return Placement(decision, token, link_use)

    def _candidates(self, request: PlacementRequest) -> list[Candidate]:
        servers = list(self._open_servers(request.service.name))
        allowed = self._allowed_regions(request, servers)
        return [
            Candidate(server, self.holder.free_slots(server.name))
            for server in servers
            if server.region in allowed
        ]

    def _allowed_regions(
        self, request: PlacementRequest, servers: Sequence[BackendServer]
    ) -> set[str]:
        """Return the regions that the request may go to now.

        Another region is used when the target region has no trusted server, or
        when the request has waited for longer than the way there and back takes.
        A region that a shift leads to takes waiting requests by the shift alone,
        since they would otherwise exceed its cap.
        """
        service, target = request.service.name, request.target_region
        reachable = {
            region
            for region in {server.region for server in servers}
            if self.limits.link_exists(region)
            and self.limits.region_has_room(service, region)
        }
        if not any(s.region == target and self.router.is_trusted(s) for s in servers):
            return reachable
        waited_ms = self.clock.now_ms() - request.arrived_at_ms
        capped = {g.shift.to_region for g in self.limits.gates_of(service, target)}
        return {
            region
            for region in reachable
            if region == target
            or (
                region not in capped
                and waited_ms >= SPILL_WAIT_FACTOR * self._latency_ms(region)
            )
        }

    def _open_servers(self, service: str) -> Iterable[BackendServer]:
        return (
            server
            for server in self.session.servers.values()
            if server.service == service and not server.draining
        )

    def _latency_ms(self, region: str) -> float:
        for link in self.session.declaration.links:
            if link.from_region == self.region and link.to_region == region:
                return link.latency_ms
        return DEFAULT_LINK_LATENCY_MS


class PlacementSource:
    """Slot source of the admission queue for one request.

    Parameters
    ----------
    placer : Placer
        Finds the place.
    request : PlacementRequest
        What is to be placed.
    """

    def __init__(self, placer: Placer, request: PlacementRequest):
        self.placer = placer
        self.request = request
        self.sent_bytes = 0
        self.received_bytes = 0

    def try_acquire(self) -> Placement | None:
        """Take a place, or return None if there is none now."""
        return self.placer.place(self.request)

    def release(self, placement: Placement) -> None:
        """Return the place."""
        self.placer.release(placement, self.sent_bytes, self.received_bytes)
