"""Durations of the lease protocol."""

import attrs


@attrs.frozen
class LeaseSettings:
    """Durations of the lease protocol.

    Parameters
    ----------
    lease_ms : int
        Duration of a grant, measured by the entry host from before it sent the
        request.
    renew_interval_ms : int
        Time between two renewal requests of an entry host.
    drift_percent : int
        Maximum difference between the durations that the clocks of two hosts
        measure, in percent.
    rate_window_ms : int
        Window of the rate limits. A released rate is granted again only after
        this time, so that no window contains the traffic of both holders.
    rebalance_interval_ms : int
        Minimum time between two computations of the target shares.
    """

    lease_ms: int = 3_000
    renew_interval_ms: int = 1_000
    drift_percent: int = 2
    rate_window_ms: int = 1_000
    rebalance_interval_ms: int = 200

    def with_margin(self, duration_ms: float) -> float:
        """Return ``duration_ms`` extended by the maximum drift between two clocks."""
        return duration_ms * (100 + self.drift_percent) / 100
