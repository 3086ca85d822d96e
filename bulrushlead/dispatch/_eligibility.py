"""Who may take it: which servers may get a request now."""

from bulrushlead.dispatch._budget import RetryBudget
from bulrushlead.dispatch._notices import ServerNotices
from bulrushlead.dispatch._server import ServerStats
from bulrushlead.dispatch._server_limits import ServerLimits
from bulrushlead.dispatch._warmup import WarmupLimiter
from bulrushlead.dispatch._work import Work
from bulrushlead.traffic import ServicePolicy

# Requests at the busiest server of a service in a burst, as a multiple of the mean: its
# objects are requested twice as often, and a burst adds half.
BUSIEST_TO_MEAN_RATIO = 3.0


class Eligibility:
    """Excludes servers that are unavailable, over their warm-up rate or their limit.

    Parameters
    ----------
    warmup : WarmupLimiter
        Limit on the requests to cold servers.
    notices : ServerNotices
        What servers said about themselves.
    limits : ServerLimits
        Request limits that servers named.
    budget : RetryBudget
        Counts this host's requests and knows the number of hosts.

    Attributes
    ----------
    policies : dict of str to ServicePolicy
        Limits of each service.
    server_counts : dict of str to int
        Number of ready servers of each service.
    """

    def __init__(
        self,
        warmup: WarmupLimiter,
        notices: ServerNotices,
        limits: ServerLimits,
        budget: RetryBudget,
    ):
        self.warmup = warmup
        self.notices = notices
        self.limits = limits
        self.budget = budget
        self.policies: dict[str, ServicePolicy] = {}
        self.server_counts: dict[str, int] = {}

    def cold_if_usable(
        self, server: ServerStats, work: Work, now_ms: float, fleet_age_ms: float
    ) -> bool | None:
        """Return whether a server is or may be cold, or None if it is not usable."""
        if (
            server.server_id in work.excluded
            or not server.is_available(now_ms)
            or not self.notices.allows(server.server_id, server.born_ms)
            or self.limits.wait_ms(server.server_id, server.born_ms, server.region) > 0
        ):
            return None
        cold = server.may_be_cold(now_ms, fleet_age_ms)
        is_certain = now_ms < server.cold_until_ms
        if cold and not is_certain and self._suits_cold_servers(work.service):
            return False
        if cold and not self.warmup.allows(
            server.server_id, server.region, self.warmup_rate_per_s(work.service)
        ):
            return None
        return cold

    def wait_ms(self, server: ServerStats) -> float:
        """Return the time until a server accepts requests of this host.

        Returns
        -------
        float
            Milliseconds, from its pause and its limit; infinite if it drains or if
            only other hosts share its limit.
        """
        return max(
            self.notices.pause_left_ms(server.server_id, server.born_ms),
            self.limits.wait_ms(server.server_id, server.born_ms, server.region),
        )

    def _suits_cold_servers(self, service: str) -> bool:
        """Return whether the usual load of a server is harmless for a cold one.

        In a large fleet a host rarely hears from a server. Without this exception, most
        hosts could send nothing as soon as the fleet view is old.
        """
        servers = self.server_counts.get(service, 0)
        fleet_rate_per_s = (
            self.budget.request_rate_per_s(service) * self.budget.host_count
        )
        busiest_per_s = BUSIEST_TO_MEAN_RATIO * fleet_rate_per_s / max(1, servers)
        tolerated_per_s = self.warmup_rate_per_s(service) + self.warmup.slack
        return busiest_per_s <= tolerated_per_s

    def warmup_rate_per_s(self, service: str) -> float:
        """Return the requests per second that a cold server accepts; 0 is no limit."""
        policy = self.policies.get(service)
        return policy.warmup_per_s if policy is not None else 0.0
