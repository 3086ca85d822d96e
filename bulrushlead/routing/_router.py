"""The router: one decision for each request."""

import itertools
import math
import random
from collections.abc import Sequence

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.declaration import Link
from bulrushlead.logs import Event, EventLogger
from bulrushlead.routing._book import SignalBook
from bulrushlead.routing._model import (
    AttemptOutcome,
    Candidate,
    Distrust,
    RouteDecision,
    RouteReason,
    RouteRequest,
    ServerStatus,
)
from bulrushlead.routing._policies import Choice, Option, Policy
from bulrushlead.routing._selector import Place, Selector
from bulrushlead.routing._settings import RouterSettings


class Router:
    """Chooses region, availability zone and backend server of a request.

    Parameters
    ----------
    clock : Clock
        Time source.
    rng : random.Random
        Source of random numbers.
    settings : RouterSettings
        How servers and zones are judged.
    policy : Policy
        Which of the trusted servers gets a request.
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
        self._book = SignalBook(clock, settings, self._logger)
        self._selector = Selector(clock, rng, settings, policy, self._book)
        self._links_ms: dict[tuple[str, str], float] = {}
        self._sequence = itertools.count(1)

    def set_links(self, links: Sequence[Link]) -> None:
        """Set the links whose latency orders the regions.

        Parameters
        ----------
        links : sequence of Link
            Links of the configuration in force.
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
            What is to be routed.
        candidates : sequence of Candidate
            Servers of the service that the limits allow now, in any region.
        own_region, own_availability_zone : str
            Where this entry host is.

        Returns
        -------
        RouteDecision
            The server and why it was chosen.

        Raises
        ------
        BulrushleadError
            With ``NO_BACKEND_SERVER``, if no candidate can take the request.
        """
        options = self._to_options(request, candidates, own_availability_zone)
        regions = self._order_regions(request, options, own_region)
        place = Place(own_region, own_availability_zone)
        choice, reason = self._selector.select(request, options, regions, place)
        return self._conclude(request, choice, reason)

    def begin(self, server_name: str) -> None:
        """Note that a request was sent to a server."""
        signals = self._book.find(server_name)
        if signals is not None:
            signals.begin(self.clock.now_ms())

    def end(self, server_name: str, latency_ms: float, outcome: AttemptOutcome) -> None:
        """Note how a request to a server ended.

        Parameters
        ----------
        server_name : str
            Name of the server.
        latency_ms : float
            Time from ``begin`` to the end.
        outcome : AttemptOutcome
            How it ended.
        """
        self._book.end(server_name, latency_ms, outcome)

    def note_report(self, announcement: Announcement, received_ms: float) -> None:
        """Take in the report of a backend server.

        Parameters
        ----------
        announcement : Announcement
            The report.
        received_ms : float
            When it was received, on the router's clock.
        """
        self._book.note_report(announcement, received_ms)

    def forget(self, server_name: str) -> None:
        """Drop what is known of a server that has gone."""
        self._book.forget(server_name)

    def is_trusted(self, server: BackendServer) -> bool:
        """Return whether neither the server nor its zone is distrusted."""
        if self._book.zone(server.service, server.availability_zone).trial is not None:
            return False
        signals = self._book.find(server.name)
        return signals is None or signals.distrust is Distrust.NONE

    def status(self) -> tuple[ServerStatus, ...]:
        """Return what is known of each server, by name."""
        now_ms = self.clock.now_ms()
        totals: dict[str, float] = {}
        for one in self._book:
            service = one.server.service
            totals[service] = totals.get(service, 0.0) + one.chosen_count(now_ms)
        rows = []
        for one in self._book:
            server = one.server
            rows.append(
                ServerStatus(
                    name=server.name,
                    service=server.service,
                    region=server.region,
                    availability_zone=server.availability_zone,
                    share=one.chosen_count(now_ms) / max(1e-9, totals[server.service]),
                    distrust=Distrust.ZONE_FAILING
                    if one.zone.is_failing
                    else one.distrust,
                    in_flight=one.in_flight,
                    latency_ms=one.latency.mean_ms,
                    error_rate=one.error_rate,
                    ramp=one.ramp(),
                    reported_load=one.reported_load or 0.0,
                    report_age_ms=now_ms - one.reported_at_ms,
                )
            )
        return tuple(sorted(rows, key=lambda row: row.name))

    def _to_options(
        self, request: RouteRequest, candidates: Sequence[Candidate], own_zone: str
    ) -> list[Option]:
        options = []
        for candidate in candidates:
            server = candidate.server
            if server.draining or server.name in request.excluded:
                continue
            is_near = server.availability_zone == own_zone
            options.append(
                Option(
                    server,
                    candidate.free_slots,
                    self._book.signals(server),
                    self._book.baseline_ms(server.service, server.region),
                    0.0 if is_near else self.settings.zone_latency_ms,
                )
            )
        return options

    def _order_regions(
        self, request: RouteRequest, options: Sequence[Option], own_region: str
    ) -> list[str]:
        """Return the home region, then the others by latency from here."""

        def distance(region: str) -> tuple[bool, float, str]:
            latency_ms = self._links_ms.get((own_region, region), math.inf)
            if region == own_region:
                latency_ms = 0.0
            return region != request.home_region, latency_ms, region

        regions = {option.server.region for option in options}
        return sorted(regions, key=distance)

    def _conclude(
        self, request: RouteRequest, choice: Choice, reason: RouteReason
    ) -> RouteDecision:
        server = choice.option.server
        choice.option.signals.count_choice(next(self._sequence), self.clock.now_ms())
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
