"""Warm copies of objects: those that owners in other regions have had for long enough.

The first requests for an object at a new owner all run cold, beside each other, until
the first of them ends. If the owner of another region has had the object for longer, a
part of these requests is faster there.
"""

import math

from bulrushlead.clock import Clock
from bulrushlead.dispatch._choice import SLOW_RATIO
from bulrushlead.dispatch._eligibility import Eligibility
from bulrushlead.dispatch._estimates import DurationEstimates, WorkEstimate
from bulrushlead.dispatch._ranking import Ranking
from bulrushlead.dispatch._server import ServerStats
from bulrushlead.dispatch._work import Placement, Work
from bulrushlead.fleet import FleetView, owner_group

# Time from a change of an owner until hosts have sent it a request and know of it.
NEWS_MS = 500.0
# Longest additional time of a request and its answer to another region.
FAR_MS = 100.0
# Part of a host's requests for objects that may run in another region for this reason.
# A larger part would move more load between regions within seconds than their servers
# and links have room for.
MAX_SHARE = 0.08
MAX_TOKENS = 4.0
# A server with fewer slots gets no such request: hosts of other regions do not see its
# queue, and one request more fills a large part of it.
MIN_SLOTS = 8


class WarmCopies:
    """Finds warm copies of objects in other regions.

    Parameters
    ----------
    clock : Clock
        Source of time.
    estimates : DurationEstimates
        Expected durations of warm and cold requests.
    eligibility : Eligibility
        Excludes servers that may not be used.
    """

    def __init__(
        self, clock: Clock, estimates: DurationEstimates, eligibility: Eligibility
    ):
        self.clock = clock
        self.estimates = estimates
        self.eligibility = eligibility
        self._tokens = 0.0
        self._borrows_next = False

    def choose(
        self,
        view: FleetView,
        servers: dict[str, ServerStats],
        work: Work,
        placement: Placement,
        ranking: Ranking,
    ) -> ServerStats | None:
        """Return a server of another region that is faster for a request, or None.

        Every other request stays, since it warms the copy of its own region.

        Parameters
        ----------
        view : FleetView
            Owners of objects, and since when they are.
        servers : dict of str to ServerStats
            All servers, by identity.
        work : Work
            The request.
        placement : Placement
            Where it would run.
        ranking : Ranking
            Regions in the order of the object.
        """
        if not work.sticky or placement.rank:
            return None
        self._tokens = min(MAX_TOKENS, self._tokens + MAX_SHARE)
        estimate = self.estimates.for_group(work.duration_group, work.target_latency_ms)
        if (
            self._tokens < 1.0
            or not _gains(estimate, work.target_latency_ms)
            or self._is_warm(view, work, placement.server, estimate)
        ):
            return None
        self._borrows_next = not self._borrows_next
        if not self._borrows_next:
            return None
        for members in ranking.order(work.key):
            region = members[0].region
            if region == placement.server.region or (
                work.allowed_regions and region not in work.allowed_regions
            ):
                continue
            owners = view.owners.get(owner_group(region, work.service), {})
            server = servers.get(owners.get(work.digest, ""))
            if (
                server is not None
                and self._is_warm(view, work, server, estimate)
                and self._is_free(view, work, server)
            ):
                return server
        return None

    def record_borrowed(self) -> None:
        """Count a request that runs at a copy of another region."""
        self._tokens -= 1.0

    def _is_warm(
        self, view: FleetView, work: Work, server: ServerStats, estimate: WorkEstimate
    ) -> bool:
        """Return whether a server has probably run a request for an object."""
        group = owner_group(server.region, work.service)
        if view.owners.get(group, {}).get(work.digest) != server.server_id:
            return False
        since_ms = view.owner_since_ms.get(group, {}).get(work.digest, -math.inf)
        since_ms = max(since_ms, server.created_ms)
        return self.clock.now_ms() - since_ms > estimate.uncached_ms + NEWS_MS

    def _is_free(self, view: FleetView, work: Work, server: ServerStats) -> bool:
        now_ms = self.clock.now_ms()
        cold = self.eligibility.cold_if_usable(server, work, now_ms, view.age_ms())
        return (
            server.ready
            and server.slots >= MIN_SLOTS
            and not server.fleet_load
            and server.slowness(now_ms) < SLOW_RATIO
            and cold is False
        )


def _gains(estimate: WorkEstimate, target_latency_ms: float) -> bool:
    """Return whether only a warm copy answers in time, also from another region."""
    return (
        estimate.is_measured
        and estimate.cached_ms + FAR_MS <= target_latency_ms < estimate.uncached_ms
    )
