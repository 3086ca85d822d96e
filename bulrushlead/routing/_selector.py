"""Which candidates are allowed for a request, from best to last resort."""

import random
from collections.abc import Sequence

import attrs

from bulrushlead.clock import Clock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.routing._book import SignalBook
from bulrushlead.routing._model import RouteReason, RouteRequest
from bulrushlead.routing._policies import Choice, Option, PickContext, Policy, pick
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._signals import ServerSignals


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
    trusted ones that are cold and already busy; and, if no candidate is trusted
    at all, every server.

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
        self._n_since_trial = 0

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
        free = [option for option in options if option.free_slots > 0]
        if not self.settings.distrust:
            return self._select_blindly(request, free, regions, place)
        trusted, distrusted = [], []
        for option in free:
            (trusted if option.signals.is_trusted else distrusted).append(option)
        trial = self._find_trial(request, distrusted)
        if trial is not None:
            return trial
        if trusted:
            return self._select_trusted(
                request, _nearest(trusted, regions), options, place
            )
        # Distrusted servers get work only when no trusted one could take it
        # later: refusing everything would be worse than spreading it.
        if free and not any(option.signals.is_trusted for option in options):
            return self._pick(_nearest(free, regions), request), RouteReason.SPREAD
        raise _no_server(request, len(options), len(free))

    def _select_trusted(
        self,
        request: RouteRequest,
        pool: list[Option],
        options: Sequence[Option],
        place: Place,
    ) -> tuple[Choice, RouteReason]:
        ready = [option for option in pool if option.signals.has_room()]
        if not ready:
            # Cold servers of a near region rather than the link to a far one.
            return self._pick(pool, request), RouteReason.OVERFLOW
        ready = self._prefer_own_zone(ready, options, place)
        return self._pick_near(self._thin_out_cold(ready), request, place)

    def _select_blindly(
        self,
        request: RouteRequest,
        free: Sequence[Option],
        regions: Sequence[str],
        place: Place,
    ) -> tuple[Choice, RouteReason]:
        if not free:
            raise _no_server(request, len(free), len(free))
        return self._pick_near(_nearest(free, regions), request, place)

    def _find_trial(
        self, request: RouteRequest, distrusted: Sequence[Option]
    ) -> tuple[Choice, RouteReason] | None:
        now_ms = self.clock.now_ms()
        self._n_since_trial += 1
        in_budget = self._n_since_trial >= self.settings.requests_per_trial
        for option in sorted(distrusted, key=lambda one: one.signals.last_chosen):
            if option.server.region != request.home_region:
                continue
            trial = option.signals.next_trial
            if trial is None:
                continue
            if not trial.is_due(now_ms, request.repeatable, in_budget):
                continue
            trial.begin(now_ms)
            self._n_since_trial = 0
            of_zone = option.signals.zone.is_failing
            reason = RouteReason.ZONE_TRIAL if of_zone else RouteReason.SERVER_TRIAL
            return Choice(option, 0.0), reason
        return None

    def _thin_out_cold(self, pool: list[Option]) -> list[Option]:
        """Leave cold servers out, except for the share that they may take."""
        kept = [option for option in pool if self._admits(option.signals)]
        return kept or pool

    def _admits(self, signals: ServerSignals) -> bool:
        return signals.is_warm or self.rng.random() < signals.ramp()

    def _prefer_own_zone(
        self, pool: list[Option], options: Sequence[Option], place: Place
    ) -> list[Option]:
        """Return the own zone's part of the pool, unless the zone is nearly full."""
        zone = place.availability_zone
        near = [one for one in pool if one.server.availability_zone == zone]
        if not near:
            return pool
        # Servers without a free slot count too: they are what fills the zone.
        own = [one for one in options if one.server.availability_zone == zone]
        in_flight = sum(option.signals.in_flight for option in own)
        free = sum(option.free_slots for option in own)
        limit = self.settings.spill_utilisation * (in_flight + free)
        return near if in_flight < limit else pool

    def _pick(self, pool: list[Option], request: RouteRequest) -> Choice:
        now_ms = self.clock.now_ms()
        context = PickContext(self.rng, now_ms, request.deadline_ms - now_ms)
        return pick(self.policy, pool, context)

    def _pick_near(
        self, pool: list[Option], request: RouteRequest, place: Place
    ) -> tuple[Choice, RouteReason]:
        choice = self._pick(pool, request)
        server = choice.option.server
        if server.region != request.home_region:
            return choice, RouteReason.OTHER_REGION
        if server.availability_zone != place.availability_zone:
            return choice, RouteReason.OTHER_ZONE
        return choice, RouteReason.OWN_ZONE


def _nearest(options: Sequence[Option], regions: Sequence[str]) -> list[Option]:
    """Return the options of the first region that has any."""
    rank = {region: index for index, region in enumerate(regions)}
    nearest = min(rank[option.server.region] for option in options)
    return [option for option in options if rank[option.server.region] == nearest]


def _no_server(request: RouteRequest, n_options: int, n_free: int) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.NO_BACKEND_SERVER,
        f"service {request.service!r}: of {n_options} candidates {n_free} have a "
        "free slot and none of those is trusted; wait for a slot, or see the "
        "status of the backend servers",
    )
