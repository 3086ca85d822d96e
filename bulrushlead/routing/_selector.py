"""Which candidates are allowed for a request, from best to last resort."""

import random
from collections.abc import Callable, Iterator, Sequence

import attrs

from bulrushlead.clock import Clock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.routing._book import SignalBook
from bulrushlead.routing._model import Distrust, RouteReason, RouteRequest
from bulrushlead.routing._policies import Choice, Option, Policy, pick
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._trial import Trial


@attrs.frozen
class Place:
    """Where an entry host is.

    Parameters
    ----------
    region, availability_zone : str
        Names of its region and zone.
    """

    region: str
    availability_zone: str


class Selector:
    """Divides candidates into tiers and lets the policy pick from the first.

    The tiers are: a trial that is due; trusted servers of the nearest region;
    servers that are slow, or cold and already busy; and, if no candidate is
    trusted at all, every server.

    Parameters
    ----------
    clock : Clock
        Time source.
    rng : random.Random
        Source of random numbers.
    settings : RouterSettings
        How servers and zones are judged.
    policy : Policy
        Which server of a tier gets a request.
    book : SignalBook
        What is known of servers and zones.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: RouterSettings,
        policy: Policy,
        book: SignalBook,
    ):
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.policy = policy
        self.book = book

    def select(
        self,
        request: RouteRequest,
        options: Sequence[Option],
        regions: Sequence[str],
        place: Place,
    ) -> tuple[Choice, RouteReason]:
        """Choose one option.

        Parameters
        ----------
        request : RouteRequest
            What is to be routed.
        options : sequence of Option
            Candidates, also those without a free slot.
        regions : sequence of str
            Regions from nearest to farthest.
        place : Place
            Where this entry host is.

        Returns
        -------
        choice : Choice
            The chosen option and its score.
        reason : RouteReason
            Why it was chosen.

        Raises
        ------
        BulrushleadError
            With ``NO_BACKEND_SERVER``, if no option can take the request.
        """
        free = [option for option in options if option.candidate.free_slots > 0]
        if not self.settings.distrust:
            return self._select_blindly(request, free, regions, place)
        trial = self._find_trial(request, free)
        if trial is not None:
            return trial
        for pool in _by_region(free, regions, self._is_ready):
            pool = self._prefer_own_zone(pool, options, place)
            return self._pick_near(pool, request, place)
        for pool in _by_region(free, regions, self._can_overflow):
            return self._pick(pool), RouteReason.OVERFLOW
        # Distrusted servers get work only when no trusted one could take it
        # later: refusing everything would be worse than spreading it.
        if not any(self._is_trusted(option) for option in options):
            for pool in _by_region(free, regions):
                return self._pick(pool), RouteReason.SPREAD
        raise _no_server(request, len(options), len(free))

    def _select_blindly(
        self,
        request: RouteRequest,
        free: Sequence[Option],
        regions: Sequence[str],
        place: Place,
    ) -> tuple[Choice, RouteReason]:
        for pool in _by_region(free, regions):
            return self._pick_near(pool, request, place)
        raise _no_server(request, len(free), len(free))

    def _find_trial(
        self, request: RouteRequest, free: Sequence[Option]
    ) -> tuple[Choice, RouteReason] | None:
        now_ms = self.clock.now_ms()
        for option in sorted(free, key=lambda one: one.signals.last_chosen):
            if option.candidate.server.region != request.home_region:
                continue
            zone_trial = self._zone_trial(option)
            trial = zone_trial or option.signals.trial
            if trial is None or not trial.is_due(now_ms, request.repeatable):
                continue
            trial.begin(now_ms)
            of_zone = zone_trial is not None
            reason = RouteReason.ZONE_TRIAL if of_zone else RouteReason.SERVER_TRIAL
            return Choice(option, 0.0), reason
        return None

    def _zone_trial(self, option: Option) -> Trial | None:
        server = option.candidate.server
        return self.book.zone(server.service, server.availability_zone).trial

    def _is_trusted(self, option: Option) -> bool:
        trusted = option.signals.distrust is Distrust.NONE
        return trusted and self._zone_trial(option) is None

    def _is_ready(self, option: Option) -> bool:
        signals = option.signals
        return self._is_trusted(option) and signals.in_flight < signals.ramp_slots()

    def _can_overflow(self, option: Option) -> bool:
        if self._zone_trial(option) is not None:
            return False
        return option.signals.distrust is not Distrust.FAILING

    def _prefer_own_zone(
        self, pool: list[Option], options: Sequence[Option], place: Place
    ) -> list[Option]:
        """Return the own zone's part of the pool, unless the zone is nearly full."""
        zone = place.availability_zone
        near = [one for one in pool if one.candidate.server.availability_zone == zone]
        if not near:
            return pool
        # Servers without a free slot count too: they are what fills the zone.
        own = [one for one in options if one.candidate.server.availability_zone == zone]
        in_flight = sum(option.signals.in_flight for option in own)
        free = sum(option.candidate.free_slots for option in own)
        limit = self.settings.spill_utilisation * (in_flight + free)
        return near if in_flight < limit else pool

    def _pick(self, pool: list[Option]) -> Choice:
        return pick(self.policy, pool, self.rng, self.clock.now_ms())

    def _pick_near(
        self, pool: list[Option], request: RouteRequest, place: Place
    ) -> tuple[Choice, RouteReason]:
        choice = self._pick(pool)
        server = choice.option.candidate.server
        if server.region != request.home_region:
            return choice, RouteReason.OTHER_REGION
        if server.availability_zone != place.availability_zone:
            return choice, RouteReason.OTHER_ZONE
        return choice, RouteReason.OWN_ZONE


def _by_region(
    options: Sequence[Option],
    regions: Sequence[str],
    accepts: Callable[[Option], bool] = lambda option: True,
) -> Iterator[list[Option]]:
    """Yield the accepted options of each region that has any, in order."""
    for region in regions:
        pool = [
            option
            for option in options
            if option.candidate.server.region == region and accepts(option)
        ]
        if pool:
            yield pool


def _no_server(request: RouteRequest, n_options: int, n_free: int) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.NO_BACKEND_SERVER,
        f"service {request.service!r}: of {n_options} candidates {n_free} have a "
        "free slot and none of those is trusted; wait for a slot, or see the "
        "status of the backend servers",
    )
