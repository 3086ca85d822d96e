"""Selection of the candidates that the policy may choose from."""

import random
from collections.abc import Sequence

import attrs

from bulrushlead.clock import Clock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.routing._model import RouteReason, RouteRequest
from bulrushlead.routing._policies import Choice, Option, PickContext, Policy, pick
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._signal_store import SignalStore
from bulrushlead.routing._signals import ServerSignals


@attrs.frozen
class Location:
    """Location of an entry host.

    Parameters
    ----------
    region, availability_zone : str
        Names of its region and zone.
    """

    region: str
    availability_zone: str


class Selector:
    """Divides candidates into tiers; the policy picks from the first non-empty one.

    The tiers are: an ejected server of the target region whose probe is due; servers
    of the nearest region that are not ejected; those of them that are cold and
    already busy; and, if all candidates are ejected, all servers of the nearest
    region. Only servers with a free slot are chosen.

    Parameters
    ----------
    clock : Clock
        Time source.
    rng : random.Random
        Source of random numbers.
    settings : RouterSettings
        Thresholds of routing and outlier detection.
    policy : Policy
        Chooses a server of a tier.
    store : SignalStore
        Signals of servers and zones.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: RouterSettings,
        policy: Policy,
        store: SignalStore,
    ):
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.policy = policy
        self.store = store
        self._n_since_probe = 0

    def select(
        self,
        request: RouteRequest,
        options: Sequence[Option],
        regions: Sequence[str],
        location: Location,
    ) -> tuple[Choice, RouteReason]:
        """Choose one option.

        Parameters
        ----------
        request : RouteRequest
            Request to route.
        options : sequence of Option
            Candidates, including those without a free slot.
        regions : sequence of str
            Regions from nearest to farthest.
        location : Location
            Location of this entry host.

        Returns
        -------
        choice : Choice
            The chosen option and its score.
        reason : RouteReason
            Why it was chosen.

        Raises
        ------
        BulrushleadError
            With ``NO_BACKEND_SERVER``, if no option can serve the request.
        """
        free = [option for option in options if option.free_slots > 0]
        if not self.settings.outlier_detection:
            return self._select_by_policy(request, free, regions, location)
        eligible, ejected = [], []
        for option in free:
            (eligible if option.signals.is_eligible else ejected).append(option)
        probe = self._find_probe(request, ejected)
        if probe is not None:
            return probe
        if eligible:
            return self._select_eligible(
                request, _nearest(eligible, regions), options, location
            )
        # A candidate that is not ejected but has no free slot can serve a later
        # attempt. If all are ejected, spreading the requests over them is better
        # than refusing all.
        if free and not any(option.signals.is_eligible for option in options):
            return self._pick(_nearest(free, regions), request), RouteReason.SPREAD
        raise _no_server(request, len(options), len(free))

    def _select_eligible(
        self,
        request: RouteRequest,
        pool: list[Option],
        options: Sequence[Option],
        location: Location,
    ) -> tuple[Choice, RouteReason]:
        with_capacity = [
            option for option in pool if option.signals.has_warmup_capacity()
        ]
        if not with_capacity:
            # Exceed the warm-up share of cold servers rather than use a farther region.
            return self._pick(pool, request), RouteReason.OVERFLOW
        with_capacity = self._prefer_own_zone(with_capacity, options, location)
        return self._pick_with_reason(
            self._limit_cold(with_capacity), request, location
        )

    def _select_by_policy(
        self,
        request: RouteRequest,
        free: Sequence[Option],
        regions: Sequence[str],
        location: Location,
    ) -> tuple[Choice, RouteReason]:
        if not free:
            raise _no_server(request, len(free), len(free))
        return self._pick_with_reason(_nearest(free, regions), request, location)

    def _find_probe(
        self, request: RouteRequest, ejected: Sequence[Option]
    ) -> tuple[Choice, RouteReason] | None:
        now_ms = self.clock.now_ms()
        self._n_since_probe += 1
        in_budget = self._n_since_probe >= self.settings.requests_per_probe
        for option in sorted(ejected, key=lambda option: option.signals.last_decision):
            if option.server.region != request.target_region:
                continue
            probes = option.signals.active_probes
            if probes is None:
                continue
            if not probes.is_due(now_ms, request.retryable, in_budget):
                continue
            probes.begin(now_ms)
            self._n_since_probe = 0
            of_zone = option.signals.zone.is_failing
            reason = RouteReason.ZONE_TRIAL if of_zone else RouteReason.SERVER_TRIAL
            return Choice(option, 0.0), reason
        return None

    def _limit_cold(self, pool: list[Option]) -> list[Option]:
        """Drop cold servers at random, so that each gets only its warm-up share."""
        admitted = [option for option in pool if self._is_admitted(option.signals)]
        return admitted or pool

    def _is_admitted(self, signals: ServerSignals) -> bool:
        return signals.is_warm or self.rng.random() < signals.warmup_share()

    def _prefer_own_zone(
        self, pool: list[Option], options: Sequence[Option], location: Location
    ) -> list[Option]:
        """Return the own zone's part of the pool while its utilisation is low."""
        zone = location.availability_zone
        own_zone = [
            option for option in pool if option.server.availability_zone == zone
        ]
        if not own_zone:
            return pool
        # Servers without a free slot count too, because their slots are in use.
        own_zone_options = [
            option for option in options if option.server.availability_zone == zone
        ]
        in_flight = sum(option.signals.in_flight for option in own_zone_options)
        free = sum(option.free_slots for option in own_zone_options)
        limit = self.settings.spillover_utilisation * (in_flight + free)
        return own_zone if in_flight < limit else pool

    def _pick(self, pool: list[Option], request: RouteRequest) -> Choice:
        now_ms = self.clock.now_ms()
        context = PickContext(self.rng, now_ms, request.deadline_ms - now_ms)
        return pick(self.policy, pool, context)

    def _pick_with_reason(
        self, pool: list[Option], request: RouteRequest, location: Location
    ) -> tuple[Choice, RouteReason]:
        choice = self._pick(pool, request)
        server = choice.option.server
        if server.region != request.target_region:
            return choice, RouteReason.OTHER_REGION
        if server.availability_zone != location.availability_zone:
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
