"""Reserves a server slot, link bytes and region rate for a request, or nothing."""

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

SPILLOVER_WAIT_FACTOR = 2.0  # wait before spillover, in one-way latencies
DEFAULT_LINK_LATENCY_MS = 20.0  # for a region to which no link is declared


@attrs.define(eq=False)
class Placement:
    """A backend server's slot that is reserved for one request.

    Parameters
    ----------
    decision : RouteDecision
        The chosen server and the reason for the choice.
    token : SlotToken
        Token of the reserved slot.
    link_use : LinkUse or None
        Bytes reserved on the link, if the server is in another region.
    may_run_until_ms : float
        Time until which the server may still run a request whose connection
        broke, on this host's clock, in milliseconds.
    """

    decision: RouteDecision
    token: SlotToken
    link_use: LinkUse | None = None
    may_run_until_ms: float = 0.0

    @property
    def server(self) -> BackendServer:
        """Server of this placement."""
        return self.decision.server

    def replace_with(self, other: "Placement") -> None:
        """Replace server, slot and reservations by those of another placement."""
        self.decision = other.decision
        self.token = other.token
        self.link_use = other.link_use
        self.may_run_until_ms = other.may_run_until_ms


@attrs.frozen
class PlacementRequest:
    """The properties of a request that decide its placement.

    Parameters
    ----------
    service : Service
        Declared service.
    target_region : str
        Region to serve the request, after shifts.
    request_bytes, answer_bytes : int
        Size of the request and expected size of the answer.
    deadline_ms : float
        When the caller stops waiting, on this host's clock, in milliseconds.
    arrived_ms : float
        When the request arrived, on this host's clock, in milliseconds.
    retryable : bool
        Whether the request may be retried after a failed attempt.
    """

    service: Service
    target_region: str
    request_bytes: int
    answer_bytes: int
    deadline_ms: float
    arrived_ms: float
    retryable: bool


class Placer:
    """Reserves placements under the lease and the rate limits of one entry host.

    Parameters
    ----------
    session : Session
        Session with the leader: backend servers and configuration in force.
    holder : LeaseHolder
        Lease with the slots of this host.
    limits : TrafficLimits
        Rate limits of this host.
    router : Router
        Chooses among the candidates.
    clock : Clock
        Source of time.
    region, availability_zone : str
        Location of this host.
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
        self._release_tasks: set[asyncio.Task] = set()

    def has_accepting_servers(self, service: str) -> bool:
        """Return whether any backend server of a service accepts new requests."""
        return any(True for _ in self._accepting_servers(service))

    def place(
        self, request: PlacementRequest, excluded: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Choose a server and reserve a slot for a request.

        Parameters
        ----------
        request : PlacementRequest
            The request to place.
        excluded : frozenset of str
            Names of the servers of earlier attempts.

        Returns
        -------
        Placement or None
            None if no server has a free slot, or a limit is reached.
        """
        candidates = self._candidates(request)
        if not candidates:
            return None
        try:
            decision = self.router.choose(
                RouteRequest(
                    service=request.service.name,
                    target_region=request.target_region,
                    request_class=request.service.request_class,
                    deadline_ms=request.deadline_ms,
                    excluded=excluded,
                    retryable=request.retryable,
                ),
                candidates,
                self.region,
                self.availability_zone,
            )
        except BulrushleadError:
            return None
        return self._reserve(request, decision)

    def release(
        self, placement: Placement, sent_bytes: int, received_bytes: int
    ) -> None:
        """Release the slot and settle the link reservation.

        If the server may still run the request, because its connection broke,
        the slot stays reserved until the deadline, by which the server must have
        stopped.

        Parameters
        ----------
        placement : Placement
            The placement to release.
        sent_bytes, received_bytes : int
            Bytes that the request transferred in each direction.
        """
        if placement.link_use is not None:
            placement.link_use.settle(sent_bytes, received_bytes)
        if placement.may_run_until_ms <= self.clock.now_ms():
            self.holder.release_slot(placement.token)
            return
        task = asyncio.create_task(
            self._release_slot_at(placement.token, placement.may_run_until_ms)
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def close(self) -> None:
        """Cancel the delayed releases; their slots stay reserved."""
        tasks = list(self._release_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _release_slot_at(self, token: SlotToken, until_ms: float) -> None:
        await self.clock.sleep_ms(until_ms - self.clock.now_ms())
        self.holder.release_slot(token)

    def _reserve(
        self, request: PlacementRequest, decision: RouteDecision
    ) -> Placement | None:
        link_use = None
        if decision.region != self.region:
            link_use = self.limits.reserve_link(
                decision.region, request.request_bytes, request.answer_bytes
            )
            if link_use is None:
                return None
        token = self.holder.acquire_slot(decision.server.name)
        if token is None or not self.limits.try_consume_region(
            request.service.name, decision.region
        ):
            if token is not None:
                self.holder.release_slot(token)
            if link_use is not None:
                link_use.settle(0, 0)
            return None
        return Placement(decision, token, link_use)

    def _candidates(self, request: PlacementRequest) -> list[Candidate]:
        servers = list(self._accepting_servers(request.service.name))
        allowed = self._allowed_regions(request, servers)
        return [
            Candidate(server, self.holder.free_slots(server.name))
            for server in servers
            if server.region in allowed
        ]

    def _allowed_regions(
        self, request: PlacementRequest, servers: Sequence[BackendServer]
    ) -> set[str]:
        """Return the regions to which the request may be sent now.

        Another region is used if the target region has no server or only ejected
        ones, or if the request has waited for at least the round-trip time of the
        link. The latter does not apply to a region to which a shift leads, because
        the waiting requests would exceed the cap of the shift.
        """
        service, target = request.service.name, request.target_region
        reachable = {
            region
            for region in {server.region for server in servers}
            if self.limits.has_links(region)
            and self.limits.is_region_below_limit(service, region)
        }
        if not any(s.region == target and self.router.is_eligible(s) for s in servers):
            return reachable
        waited_ms = self.clock.now_ms() - request.arrived_ms
        shift_targets = {
            g.shift.to_region for g in self.limits.find_gates(service, target)
        }
        return {
            region
            for region in reachable
            if region == target
            or (
                region not in shift_targets
                and waited_ms >= SPILLOVER_WAIT_FACTOR * self._link_latency_ms(region)
            )
        }

    def _accepting_servers(self, service: str) -> Iterable[BackendServer]:
        return (
            server
            for server in self.session.servers.values()
            if server.service == service and not server.draining
        )

    def _link_latency_ms(self, region: str) -> float:
        for link in self.session.declaration.links:
            if link.from_region == self.region and link.to_region == region:
                return link.latency_ms
        return DEFAULT_LINK_LATENCY_MS


class PlacementSource:
    """Slot source of the admission queue for one request.

    Parameters
    ----------
    placer : Placer
        Reserves the placement.
    request : PlacementRequest
        The request to place.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Bytes with which ``release`` settles the link reservation.
    """

    def __init__(self, placer: Placer, request: PlacementRequest):
        self.placer = placer
        self.request = request
        self.sent_bytes = 0
        self.received_bytes = 0

    def try_acquire(self) -> Placement | None:
        """Reserve a placement, or return None if none is possible now."""
        return self.placer.place(self.request)

    def release(self, placement: Placement) -> None:
        """Release a placement."""
        self.placer.release(placement, self.sent_bytes, self.received_bytes)
