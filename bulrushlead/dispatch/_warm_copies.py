"""Which copies of an object are warm: those that servers have held for long enough.

The first requests for an object at a new owner all run cold, beside each other, until
the first of them ends. If the owner of another region has had the object for longer, a
part of these requests is faster there.
"""

import math

from bulrushlead.clock import Clock
from bulrushlead.dispatch._estimates import WorkEstimate
from bulrushlead.dispatch._server import ServerStats
from bulrushlead.dispatch._work import Work
from bulrushlead.fleet import FleetView, owner_group

# Time from a change of an owner until hosts have sent it a request and know of it.
NEWS_MS = 500.0
# Longest additional time of a request and its answer to another region.
FAR_MS = 100.0
# Part of a host's requests for objects that may run in another region for this reason.
# Regions must not exchange their work within seconds.
MAX_SHARE = 0.08
MAX_TOKENS = 4.0


class WarmCopies:
    """Finds warm copies of objects in other regions.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._tokens = 0.0
        self._borrows_next = False

    def may_borrow(
        self, view: FleetView, work: Work, server: ServerStats, estimate: WorkEstimate
    ) -> bool:
        """Return whether a request should run at another warm copy, if there is one.

        Every other request stays, since it warms the copy of its own region.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + MAX_SHARE)
        if (
            self._tokens < 1.0
            or not estimate.is_measured
            or estimate.uncached_ms <= work.target_latency_ms
            or estimate.cached_ms + FAR_MS > work.target_latency_ms
            or self.is_warm(view, work, server, estimate)
        ):
            return False
        self._borrows_next = not self._borrows_next
        return self._borrows_next

    def is_warm(
        self, view: FleetView, work: Work, server: ServerStats, estimate: WorkEstimate
    ) -> bool:
        """Return whether a server has probably run a request for an object."""
        group = owner_group(server.region, work.service)
        if view.owners.get(group, {}).get(work.digest) != server.server_id:
            return False
        since_ms = view.owner_since_ms.get(group, {}).get(work.digest, -math.inf)
        since_ms = max(since_ms, server.created_ms)
        return self.clock.now_ms() - since_ms > estimate.uncached_ms + NEWS_MS

    def record_borrowed(self) -> None:
        """Count a request that runs at a copy of another region."""
        self._tokens -= 1.0
