"""Selects a backend server for each request, or refuses the request immediately.

Hosts have no queue of their own: the queues in this module are at the servers.
"""

from bulrushlead.clock import Clock
from bulrushlead.dispatch._admission import (
    MAX_RETRY_AFTER_MS,
    admit_or_refuse,
    bounded_retry_after_ms,
)
from bulrushlead.dispatch._budget import RetryBudget
from bulrushlead.dispatch._choice import (
    Candidate,
    Option,
    choose_preferred,
    preferred_candidates,
)
from bulrushlead.dispatch._eligibility import Eligibility
from bulrushlead.dispatch._estimates import DurationEstimates
from bulrushlead.dispatch._notices import ServerNotices
from bulrushlead.dispatch._ranking import Ranking
from bulrushlead.dispatch._recent_hosts import RecentHosts
from bulrushlead.dispatch._server import ServerStats, matches_record, new_stats
from bulrushlead.dispatch._server_limits import ServerLimits
from bulrushlead.dispatch._settings import DispatchSettings
from bulrushlead.dispatch._warm_copies import WarmCopies
from bulrushlead.dispatch._warmup import WarmupLimiter
from bulrushlead.dispatch._work import Placement, Refusal, Work
from bulrushlead.fleet import FleetView, ServerState, owner_group
from bulrushlead.placement import DemandMeter
from bulrushlead.results import ResultCode


class Dispatcher:
    """Selects servers from this host's own observations and the fleet view.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : DispatchSettings
        Location of this host, and limits that all hosts share.

    Attributes
    ----------
    budget : RetryBudget
        This host's part of the shared retry limits.
    warmup : WarmupLimiter
        Limit on the requests to cold servers.
    estimates : DurationEstimates
        Expected durations of requests.
    notices : ServerNotices
        What servers said about themselves in their answers to this host.
    limits : ServerLimits
        Request limits that servers named.
    demand : DemandMeter
        Work sent to each server since the last report, by object.
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
        self.notices = ServerNotices(clock, settings.host_id)
        self.limits = ServerLimits(clock, settings.host_id)
        self.demand = DemandMeter()
        self._recent_hosts = RecentHosts(clock)
        self._servers: dict[str, ServerStats] = {}
        self._rankings: dict[str, Ranking] = {}
        # By service and region of the host that received a request.
        self._carried_rankings: dict[tuple[str, str], Ranking] = {}
        self._eligibility = Eligibility(
            self.warmup, self.notices, self.limits, self.budget
        )
        self._warm_copies = WarmCopies(clock, self.estimates, self._eligibility)
        self._view: FleetView | None = None

    def reload(self, settings: DispatchSettings) -> None:
        """Apply changed limits; requests and retries counted so far stay."""
        self.settings = settings
        self.budget.ratio = settings.retry_ratio
        self.budget.slack = settings.retry_slack
        self.budget.window_ms = settings.retry_window_ms
        self.warmup.set_slack(settings.warmup_slack)

    def update(self, view: FleetView) -> None:
        """Apply the fleet view that the leader published."""
        is_first = self._view is None
        self._view = view
        hosts = self._recent_hosts.update(view.hosts)
        # Hosts that are cut off from all servers would leave their shares unused. If
        # all are, the list says nothing.
        senders = [host for host in hosts if host.reaches_servers] or hosts
        accepting = [host for host in senders if host.accepting]
        self.warmup.set_hosts([(host.host_id, host.region) for host in accepting])
        # Hosts that do not accept callers for a moment keep their shares, so that a
        # restart of each host in turn moves none.
        self.limits.set_hosts([(host.host_id, host.region) for host in senders])
        # Retries of a host count for a whole window, also if it is cut off in it.
        self.budget.host_count = max(1, sum(host.accepting for host in hosts))
        if view.plan is not None:
            self._eligibility.policies = {
                policy.name: policy for policy in view.plan.services
            }
        servers = {}
        changed = set()
        for server_id, fleet_server in view.servers.items():
            stats = self._servers.get(server_id)
            record = fleet_server.record
            if stats is None or not matches_record(stats, record):
                if stats is not None:
                    changed.add(stats.service)
                stats = new_stats(record, self.settings.zone_regions)
                if not is_first:
                    stats.created_ms = self.clock.now_ms()
                changed.add(record.service)
            # Unlike the state READY, this excludes servers in evacuated zones.
            ready = (
                record.state is ServerState.READY
                and record.zone not in view.evacuated_zones
            )
            if ready != stats.ready:
                changed.add(record.service)
            stats.ready = ready
            stats.silent = record.silent
            stats.cold_until_ms = fleet_server.cold_until_ms
            stats.record_received_ms = fleet_server.received_ms
            if record.limit is not None:
                self.limits.record_published(
                    server_id, record.limit, fleet_server.received_ms
                )
            stats.fleet_load = view.fleet_loads.get(server_id, 0.0)
            servers[server_id] = stats
        changed |= {
            stats.service
            for server_id, stats in self._servers.items()
            if server_id not in servers
        }
        self._servers = servers
        if changed:
            self._carried_rankings.clear()
        for service in changed:
            members = [s for s in servers.values() if s.service == service and s.ready]
            self._rankings[service] = Ranking(members, self.settings.region)
            self._eligibility.server_counts[service] = len(members)

    def fleet_age_ms(self) -> int:
        """Return the age of the fleet view in whole milliseconds, or -1 without one."""
        if self._view is None or self._view.updated_ms is None:
            return -1
        return round(self._view.age_ms())

    def server(self, server_id: str) -> ServerStats | None:
        """Return the state of a server, or None if the fleet view lacks it."""
        return self._servers.get(server_id)

    def ready_servers(self, service: str) -> list[ServerStats]:
        """Return the servers of a service that accept requests."""
        ranking = self._rankings.get(service)
        return [] if ranking is None else list(ranking.servers)

    def pop_mean_loads(self) -> dict[str, float]:
        """Return and reset the mean loads that servers reported to this host.

        Each is the mean since the last call, as a multiple of the server's slots. The
        leader averages the loads of all hosts and publishes them as fleet-wide loads.
        """
        loads = {}
        for server_id, stats in self._servers.items():
            load = stats.pop_mean_load()
            if load is not None:
                loads[server_id] = load
        return loads

    def pop_answered(self) -> tuple[str, ...]:
        """Return the servers that answered since the last call without their load.

        Called before ``pop_mean_loads``, which returns those that told it.
        """
        return tuple(
            server_id
            for server_id, stats in self._servers.items()
            if stats.pop_answered()
        )

    def pop_unreachable(self) -> tuple[str, ...]:
        """Return the servers that were unreachable since the last call."""
        return tuple(
            server_id
            for server_id, stats in self._servers.items()
            if stats.pop_unreachable()
        )

    def unreachable_count(self) -> int:
        """Return the number of servers to which this host could not connect lately."""
        now_ms = self.clock.now_ms()
        return sum(stats.is_unreachable(now_ms) for stats in self._servers.values())

    def has_unreachable(self, service: str) -> bool:
        """Return whether a server of a service gets nothing from this host only.

        One whose heartbeats have stopped is probably unreachable from all hosts.
        """
        now_ms = self.clock.now_ms()
        return any(
            stats.service == service
            and not stats.silent
            and stats.is_unreachable(now_ms)
            for stats in self._servers.values()
        )

    def reset_unreachable(self) -> None:
        """Use all servers again, as the links of this host were cut and are back."""
        for stats in self._servers.values():
            stats.reset_unreachable()

    def place(self, work: Work) -> Placement | Refusal:
        """Select the server for a request, or refuse the request."""
        ranking = self._ranking(work)
        if ranking is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER,
                MAX_RETRY_AFTER_MS / 2,
                "no servers are registered for the service",
            )
        now_ms = self.clock.now_ms()
        placement: Placement | None = None
        for members in ranking.order(work.key):
            if work.allowed_regions and members[0].region not in work.allowed_regions:
                continue
            placement = self._best_in_region(
                self._owner_first(members, work), work, now_ms
            )
            # The first region with a usable server is chosen, even if its queues are
            # long. Otherwise, under overload, objects would move to servers that have
            # not cached them, and the total work would grow.
            if placement is not None:
                break
        if placement is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER,
                self._retry_after_waits_ms(ranking, work),
                "no usable server: each is unavailable, over its warm-up rate or its "
                "limit, already tried or outside the allowed regions",
            )
        copy = self._warm_copies.choose(
            self._view, self._servers, work, placement, ranking
        )
        if copy is not None:
            other = self._option(0, Candidate(copy, False), work, now_ms).placement
            if not other.wait_ms:
                self._warm_copies.record_borrowed()
                placement = other
        return admit_or_refuse(placement, work)

    def record_sent(self, placement: Placement) -> int:
        """Count an attempt that is about to be sent.

        Returns
        -------
        int
            Serial number of the attempt, for ``ServerStats.record_outcome``.
        """
        server = placement.server
        # Slowness is relative to this: the wait includes slowness, the work does not.
        expected_duration_ms = placement.wait_ms + placement.uncached_ms
        attempt = server.record_sent(self.clock.now_ms(), expected_duration_ms)
        self.limits.record_sent(server.server_id)
        if placement.digest is not None:
            self.demand.record(
                server.server_id, placement.digest, placement.unqueued_ms
            )
        if placement.cold:
            self.warmup.record_sent(
                server.server_id,
                server.region,
                self._eligibility.warmup_rate_per_s(server.service),
            )
        return attempt

    def _ranking(self, work: Work) -> Ranking | None:
        """Return the order of a service's servers for the region of a request."""
        ranking = self._rankings.get(work.service)
        if ranking is None or work.region in ("", ranking.region):
            return ranking
        key = (work.service, work.region)
        carried = self._carried_rankings.get(key)
        if carried is None:
            carried = Ranking(ranking.servers, work.region)
            self._carried_rankings[key] = carried
        return carried

    def _retry_after_waits_ms(self, ranking: Ranking, work: Work) -> float:
        """Return the retry delay of a request for which no server is usable.

        If every server of the service is in a pause or over its limit, this is the time
        until the first one accepts requests of this host again.
        """
        waits_ms = [
            self._eligibility.wait_ms(server)
            for members in ranking.order(work.key)
            for server in members
        ]
        shortest_ms = min(waits_ms, default=0.0)
        if not shortest_ms:
            return MAX_RETRY_AFTER_MS / 4
        return bounded_retry_after_ms(shortest_ms)

    def _best_in_region(
        self, members: list[ServerStats], work: Work, now_ms: float
    ) -> Placement | None:
        fleet_age_ms = self._view.age_ms()
        candidates = preferred_candidates(
            members,
            work,
            now_ms,
            lambda server: self._eligibility.cold_if_usable(
                server, work, now_ms, fleet_age_ms
            ),
        )
        options = [
            self._option(rank, candidate, work, now_ms)
            for rank, candidate in enumerate(candidates)
        ]
        if not options:
            return None
        if not work.sticky:
            return min(options, key=lambda option: option.cost).placement
        return choose_preferred(options, work)

    def _owner_first(self, members: list[ServerStats], work: Work) -> list[ServerStats]:
        """Return the servers of a region with the object's owner, if any, in front."""
        if not work.sticky:
            return members
        group = owner_group(members[0].region, work.service)
        owner = self._view.owners.get(group, {}).get(work.digest)
        if owner is None or owner == members[0].server_id:
            return members
        server = self._servers.get(owner)
        if server is None or not server.ready or server not in members:
            return members
        return [server, *(member for member in members if member is not server)]

    def _option(
        self, rank: int, candidate: Candidate, work: Work, now_ms: float
    ) -> Option:
        estimate = self.estimates.for_group(work.duration_group, work.target_latency_ms)
        mean_ms = self.estimates.service_mean_ms(work.service, work.target_latency_ms)
        server = candidate.server
        load = server.load(now_ms)
        slowness = server.slowness(now_ms)
        # The first candidate is assumed to have cached the object, even if it replaces
        # an owner that is not usable.
        is_first = rank == 0 and work.sticky
        work_ms = (estimate.cached_ms if is_first else estimate.uncached_ms) * slowness
        # Requests without a slot, this one included, wait in the queue for a free one.
        wait_ms = max(0.0, load + 1.0 - server.slots) * mean_ms * slowness
        wait_ms /= server.slots
        # Rises from 1 to 10 with the failure rate; the factor 0.9 keeps it finite.
        failure_penalty = 1.0 / (1.0 - 0.9 * server.failure_rate(now_ms))
        if server.silent:
            failure_penalty *= 2.0
        wait_cost = wait_ms * failure_penalty
        if not work.sticky:
            # Prefers servers with less load even if none has a queue.
            wait_cost += load * mean_ms / server.slots * 0.5
        placement = Placement(
            server,
            rank,
            wait_ms,
            work_ms,
            estimate.uncached_ms,
            candidate.cold,
            load,
            estimate.unqueued_ms,
            work.digest if work.sticky else None,
        )
        return Option(placement, wait_cost, work_ms * failure_penalty)
