"""Router: chooses the backend server for each attempt at a request."""

import itertools
import math
import random
from collections.abc import Sequence

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.declaration import Link
from bulrushlead.logs import Event, EventLogger
from bulrushlead.routing._model import (
    AttemptOutcome,
    Candidate,
    EjectionReason,
    RouteDecision,
    RouteReason,
    RouteRequest,
    ServerStatus,
)
from bulrushlead.routing._policies import Choice, Option, Policy
from bulrushlead.routing._selector import Location, Selector
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._signal_store import SignalStore


class Router:
    """Chooses the region, availability zone and backend server of a request.

    Parameters
    ----------
    clock : Clock
        Time source.
    rng : random.Random
        Source of random numbers.
    settings : RouterSettings
        Thresholds of routing and outlier detection.
    policy : Policy
        Chooses among the servers that are not ejected.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: RouterSettings,
        policy: Policy,
    ):
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.policy = policy
        self._logger = EventLogger("routing")
        self._store = SignalStore(clock, settings, self._logger)
        self._selector = Selector(clock, rng, settings, policy, self._store)
        self._links_ms: dict[tuple[str, str], float] = {}
        self._sequence = itertools.count(1)

    def set_links(self, links: Sequence[Link]) -> None:
        """Set the links, whose latencies determine the order of the regions.

        Parameters
        ----------
        links : sequence of Link
            Links of the current configuration.
        """
        self._links_ms = {
            (link.from_region, link.to_region): link.latency_ms for link in links
        }

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
        own_region: str,
        own_availability_zone: str,
    ) -> RouteDecision:
        """Choose the backend server for one attempt at a request.

        Parameters
        ----------
        request : RouteRequest
            Request to route.
        candidates : sequence of Candidate
            Servers of the service that the limits allow now, in any region.
        own_region, own_availability_zone : str
            Location of this entry host.

        Returns
        -------
        RouteDecision
            The chosen server and the reason.

        Raises
        ------
        BulrushleadError
            With ``NO_BACKEND_SERVER``, if no candidate can serve the request.
        """
        options = self._build_options(request, candidates, own_availability_zone)
        regions = self._order_regions(request, options, own_region)
        location = Location(own_region, own_availability_zone)
        choice, reason = self._selector.select(request, options, regions, location)
        return self._record_decision(request, choice, reason)

    def begin(self, server_name: str) -> None:
        """Record that an attempt was sent to a server."""
        signals = self._store.find(server_name)
        if signals is not None:
            signals.begin(self.clock.now_ms())

    def end(self, server_name: str, latency_ms: float, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt at a server.

        Parameters
        ----------
        server_name : str
            Name of the server.
        latency_ms : float
            Time from ``begin`` to the end of the attempt.
        outcome : AttemptOutcome
            How the attempt ended.
        """
        self._store.end(server_name, latency_ms, outcome)

    def record_report(self, announcement: Announcement, received_ms: float) -> None:
        """Record the report of a backend server.

        Parameters
        ----------
        announcement : Announcement
            The report.
        received_ms : float
            Time of the receipt, on the router's clock.
        """
        self._store.record_report(announcement, received_ms)

    def remove(self, server_name: str) -> None:
        """Remove the signals of a server that has left the fleet."""
        self._store.remove(server_name)

    def is_eligible(self, server: BackendServer) -> bool:
        """Return whether neither the server nor its zone is ejected."""
        if (
            self._store.zone(server.service, server.availability_zone).probes
            is not None
        ):
            return False
        signals = self._store.find(server.name)
        return signals is None or signals.ejection_reason is EjectionReason.NONE

    def status(self) -> tuple[ServerStatus, ...]:
        """Return the status of each server, sorted by name."""
        now_ms = self.clock.now_ms()
        totals: dict[str, float] = {}
        for signals in self._store:
            service = signals.server.service
            totals[service] = totals.get(service, 0.0) + signals.decision_count(now_ms)
        rows = []
        for signals in self._store:
            server = signals.server
            rows.append(
                ServerStatus(
                    name=server.name,
                    service=server.service,
                    region=server.region,
                    availability_zone=server.availability_zone,
                    share=signals.decision_count(now_ms)
                    / max(1e-9, totals[server.service]),
                    ejection_reason=EjectionReason.ZONE_FAILING
                    if signals.zone.is_failing
                    else signals.ejection_reason,
                    in_flight=signals.in_flight,
                    latency_ms=signals.latency.mean_ms,
                    error_rate=signals.error_rate,
                    warmup_share=signals.warmup_share(),
                    reported_load=signals.reported_load or 0.0,
                    report_age_ms=now_ms - signals.reported_ms,
                )
            )
        return tuple(sorted(rows, key=lambda row: row.name))

    def _build_options(
        self, request: RouteRequest, candidates: Sequence[Candidate], own_zone: str
    ) -> list[Option]:
        options = []
        for candidate in candidates:
            server = candidate.server
            if server.draining or server.name in request.excluded:
                continue
            in_own_zone = server.availability_zone == own_zone
            options.append(
                Option(
                    server,
                    candidate.free_slots,
                    self._store.signals(server),
                    self._store.baseline_ms(server.service, server.region),
                    0.0 if in_own_zone else self.settings.zone_latency_ms,
                )
            )
        return options

    def _order_regions(
        self, request: RouteRequest, options: Sequence[Option], own_region: str
    ) -> list[str]:
        """Return the target region, then the others by latency from this host."""

        def sort_key(region: str) -> tuple[bool, float, str]:
            latency_ms = self._links_ms.get((own_region, region), math.inf)
            if region == own_region:
                latency_ms = 0.0
            return region != request.target_region, latency_ms, region

        regions = {option.server.region for option in options}
        return sorted(regions, key=sort_key)

    def _record_decision(
        self, request: RouteRequest, choice: Choice, reason: RouteReason
    ) -> RouteDecision:
        server = choice.option.server
        choice.option.signals.record_decision(next(self._sequence), self.clock.now_ms())
        self._logger.write(
            Event.ROUTE_CHOSEN,
            service=request.service,
            region=server.region,
            availability_zone=server.availability_zone,
            server=server.name,
            reason=reason.value,
            score=round(choice.score, 2),
        )
        return RouteDecision(
            server, server.region, server.availability_zone, reason, choice.score
        )
