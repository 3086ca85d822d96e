"""Durations of the lease protocol."""

import attrs


@attrs.frozen
class LeaseSettings:
    """Durations of the lease protocol.

    Parameters
    ----------
    lease_ms : int
        How long a grant lasts, counted by the entry host from before it sent
        the request.
    renew_interval_ms : int
        Time between two requests of an entry host.
    drift_percent : int
        Most by which the clocks of two hosts differ in measuring one duration.
    rate_window_ms : int
        Window of the rate limits; a rate that was given back is granted again
        only after it, so that no window sees both holders.
    rebalance_interval_ms : int
        Least time between two computations of the target shares.
    """

    lease_ms: int = 3_000
    renew_interval_ms: int = 1_000
    drift_percent: int = 2
    rate_window_ms: int = 1_000
    rebalance_interval_ms: int = 200

    def with_margin(self, duration_ms: float) -> float:
        """Return ``duration_ms`` lengthened by the drift between two clocks."""
        return duration_ms * (100 + self.drift_percent) / 100
