"""Places requests on backend servers, or refuses them at once."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch._budget import RetryBudget
from bulrushlead.dispatch._estimates import DurationEstimates
from bulrushlead.dispatch._ranking import Ranking, passes_over
from bulrushlead.dispatch._server import ServerStats
from bulrushlead.dispatch._settings import DispatchSettings
from bulrushlead.dispatch._warmup import WarmupLimiter
from bulrushlead.dispatch._work import Placement, Refusal, Work
from bulrushlead.fleet import FleetView, ServerState
from bulrushlead.results import ResultCode
from bulrushlead.traffic import ServicePolicy

# Longest queueing, in target latencies. Hosts see each other's requests late, so that
# real queues are about twice as long as expected.
WAIT_OVER_TARGET = 0.25
URGENT_WAIT_OVER_TARGET = 0.5  # the same for the most urgent kind of a service
HOME_SERVERS = 2  # the one that knows an object, and its replacement
# An object that alone fills its server is shared with its second home, if that one is
# not busy. In a rush all are: objects would spread over servers that do not know them,
# and the work would grow until nothing is in time.
HOT_PRESSURE = 2.0
ROOM_SHARE = 0.6  # of the slots that may be taken at the second home
SLOW_RATIO = 3.0  # of the usual time; such a server is no home for any object
DEADLINE_SHARE = 0.9  # an answer needs the rest of the time for its way back
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 2_000


@attrs.frozen
class _Candidate:
    server: ServerStats
    cold: bool


@attrs.frozen
class _Option:
    placement: Placement
    wait_cost: float
    work_cost: float

    @property
    def cost(self) -> float:
        return self.wait_cost + self.work_cost


class Dispatcher:
    """Chooses servers from what this host has seen and was told.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : DispatchSettings
        Place of this host and limits shared by all hosts.

    Attributes
    ----------
    budget : RetryBudget
        Repeats that are left.
    """

    def __init__(self, clock: Clock, settings: DispatchSettings):
        self.clock = clock
        self.settings = settings
        self.budget = RetryBudget(
            clock,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
        )
        self.warmup = WarmupLimiter(
            clock, settings.host_id, settings.region, settings.warmup_slack
        )
        self.estimates = DurationEstimates()
        self._servers: dict[str, ServerStats] = {}
        self._rankings: dict[str, Ranking] = {}
        self._policies: dict[str, ServicePolicy] = {}
        self._view: FleetView | None = None

    def reload(self, settings: DispatchSettings) -> None:
        """Take changed limits; what was counted so far stays."""
        self.settings = settings
        self.budget.ratio = settings.retry_ratio
        self.budget.slack = settings.retry_slack
        self.budget.window_ms = settings.retry_window_ms
        self.warmup.set_slack(settings.warmup_slack)

    def update(self, view: FleetView) -> None:
        """Take the fleet as the leader tells it."""
        self._view = view
        accepting = [host for host in view.hosts if host.accepting]
        self.budget.host_count = max(1, len(accepting))
        self.warmup.set_hosts([(host.host_id, host.region) for host in accepting])
        if view.plan is not None:
            self._policies = {policy.name: policy for policy in view.plan.services}
        servers = {}
        changed = set()
        for server_id, known in view.servers.items():
            stats = self._servers.get(server_id)
            record = known.record
            if stats is None or not _is_same(stats, record):
                if stats is not None:
                    changed.add(stats.service)
                stats = self._new_stats(record)
                changed.add(record.service)
            ready = (
                record.state is ServerState.READY
                and record.zone not in view.evacuated_zones
            )
            if ready != stats.ready:
                changed.add(record.service)
            stats.ready = ready
            stats.silent = record.silent
            stats.cold_until_ms = known.cold_until_ms
            stats.told_ms = known.received_ms
            stats.pressure = view.pressures.get(server_id, 0.0)
            servers[server_id] = stats
        changed |= {
            stats.service
            for server_id, stats in self._servers.items()
            if server_id not in servers
        }
        self._servers = servers
        for service in changed:
            members = [s for s in servers.values() if s.service == service and s.ready]
            self._rankings[service] = Ranking(members, self.settings.region)

    def fleet_age_ms(self) -> int:
        """Return the age of what the leader told, in whole milliseconds."""
        if self._view is None or self._view.updated_ms is None:
            return -1
        return round(self._view.age_ms())

    def server(self, server_id: str) -> ServerStats | None:
        """Return what is known of a server, or None."""
        return self._servers.get(server_id)

    def take_loads(self) -> dict[str, float]:
        """Return what servers reported since the last call, for the other hosts."""
        loads = {}
        for server_id, stats in self._servers.items():
            load = stats.take_mean_load()
            if load is not None:
                loads[server_id] = load
        return loads

    def place(self, work: Work) -> Placement | Refusal:
        """Return the server that should finish a request first.

        Returns
        -------
        Placement or Refusal
            A refusal says when to come back.
        """
        ranking = self._rankings.get(work.service)
        if ranking is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER, MAX_RETRY_AFTER_MS / 2, "no server known"
            )
        now_ms = self.clock.now_ms()
        best: Placement | None = None
        for members in ranking.order(work.key):
            if work.allowed_regions and members[0].region not in work.allowed_regions:
                continue
            best = self._best_of(members, work, now_ms)
            # Queues are no reason to go elsewhere: under overload, objects would
            # spread over servers that do not know them, and the work would grow.
            if best is not None:
                break
        if best is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER,
                MAX_RETRY_AFTER_MS / 4,
                "no server is reachable, warm and allowed",
            )
        return self._admit(best, work)

    def note_sent(self, placement: Placement) -> int:
        """Count an attempt that is about to be sent.

        Returns
        -------
        int
            Number of the attempt at its server.
        """
        server = placement.server
        usual_ms = placement.wait_ms + placement.fresh_ms
        attempt = server.note_sent(self.clock.now_ms(), usual_ms)
        if placement.cold:
            self.warmup.note_sent(
                server.server_id, server.region, self._warmup_rate(server.service)
            )
        return attempt

    def _admit(self, best: Placement, work: Work) -> Placement | Refusal:
        longest_wait_ms = self._longest_wait_ms(work)
        expected_ms = best.wait_ms + best.work_ms
        if best.wait_ms > longest_wait_ms:
            over_ms = best.wait_ms - longest_wait_ms
            code = ResultCode.OVERLOADED
        elif expected_ms > DEADLINE_SHARE * work.remaining_ms and best.wait_ms > 0:
            over_ms = expected_ms - DEADLINE_SHARE * work.remaining_ms
            code = ResultCode.DEADLINE_TOO_SHORT
        else:
            return best
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, over_ms))
        return Refusal(
            code,
            retry_after_ms,
            f"{best.server.server_id} would need {best.wait_ms:.0f} ms in its queue "
            f"and {best.work_ms:.0f} ms of work",
        )

    def _longest_wait_ms(self, work: Work) -> float:
        share = URGENT_WAIT_OVER_TARGET if work.urgent else WAIT_OVER_TARGET
        return share * work.target_ms

    def _best_of(
        self, members: list[ServerStats], work: Work, now_ms: float
    ) -> Placement | None:
        options = [
            self._option(rank, candidate, work, now_ms)
            for rank, candidate in enumerate(self._candidates(members, work, now_ms))
        ]
        if not options:
            return None
        if not work.sticky:
            return min(options, key=lambda option: option.cost).placement
        return self._choose_home(options, work)

    def _choose_home(self, homes: list[_Option], work: Work) -> Placement:
        """Return the first home; the next one if that is slow, failing or overfull."""
        first = homes[0]
        for other in homes[1:]:
            # Queues alone are no reason: the next home does not know the object.
            if other.cost < first.work_cost:
                return other.placement
            if first.placement.wait_ms > self._longest_wait_ms(work) and _is_hot(
                first.placement, other.placement
            ):
                return other.placement
        return first.placement

    def _option(
        self, rank: int, candidate: _Candidate, work: Work, now_ms: float
    ) -> _Option:
        estimate = self.estimates.of(work.route, work.target_ms)
        mean_ms = self.estimates.mean_of(work.service, work.target_ms)
        server = candidate.server
        load = server.load(now_ms)
        slowness = server.slowness(now_ms)
        is_first = rank == 0 and work.sticky
        work_ms = (estimate.known_ms if is_first else estimate.fresh_ms) * slowness
        wait_ms = max(0.0, load + 1.0 - server.slots) * mean_ms * slowness
        wait_ms /= server.slots
        doubt = 1.0 / (1.0 - 0.9 * server.failure_rate(now_ms))
        if server.silent:
            doubt *= 2.0
        wait_cost = wait_ms * doubt
        if not work.sticky:
            wait_cost += load * mean_ms / server.slots * 0.5
        placement = Placement(
            server,
            rank,
            wait_ms,
            work_ms,
            estimate.fresh_ms,
            candidate.cold,
            load,
        )
        return _Option(placement, wait_cost, work_ms * doubt)

    def _candidates(
        self, members: list[ServerStats], work: Work, now_ms: float
    ) -> list[_Candidate]:
        """Return the servers to compare: all that are usable, or the object's homes.

        The homes are the first ones that are neither too busy nor slow; if there are
        none, the first slow ones, and if all are too busy, the first of those.
        """
        fleet_age_ms = self._view.age_ms()
        usable: list[_Candidate] = []
        willing: list[_Candidate] = []
        homes: list[_Candidate] = []
        for server in members:
            cold = self._coldness(server, work, now_ms, fleet_age_ms)
            if cold is None:
                continue
            candidate = _Candidate(server, cold)
            usable.append(candidate)
            if not work.sticky or passes_over(server, work.key):
                continue
            willing.append(candidate)
            if server.slowness(now_ms) < SLOW_RATIO:
                homes.append(candidate)
            if len(homes) == HOME_SERVERS:
                return homes
        if not work.sticky:
            return usable
        if not willing:
            homes = [c for c in usable if c.server.slowness(now_ms) < SLOW_RATIO]
        return (homes or willing or usable)[:HOME_SERVERS]

    def _coldness(
        self, server: ServerStats, work: Work, now_ms: float, fleet_age_ms: float
    ) -> bool | None:
        """Return whether a server counts as cold, or None if it can get nothing."""
        if server.server_id in work.excluded or not server.is_available(now_ms):
            return None
        cold = server.may_be_cold(now_ms, fleet_age_ms)
        if cold and not self.warmup.allows(
            server.server_id, server.region, self._warmup_rate(work.service)
        ):
            return None
        return cold

    def _warmup_rate(self, service: str) -> float:
        policy = self._policies.get(service)
        return policy.warmup_per_s if policy is not None else 0.0

    def _new_stats(self, record) -> ServerStats:
        region = self.settings.zone_regions.get(record.zone, "")
        return ServerStats(
            record.server_id,
            record.born_ms,
            record.address,
            record.zone,
            region,
            record.service,
            max(1, record.slots),
        )


def _is_hot(first: Placement, other: Placement) -> bool:
    """Return whether a server is overfull while the other one has room."""
    return (
        first.server.pressure >= HOT_PRESSURE
        and not other.server.pressure
        and other.load + 1.0 <= ROOM_SHARE * other.server.slots
    )


def _is_same(stats: ServerStats, record) -> bool:
    return (stats.born_ms, stats.address, stats.service, stats.slots) == (
        record.born_ms,
        record.address,
        record.service,
        max(1, record.slots),
    )
