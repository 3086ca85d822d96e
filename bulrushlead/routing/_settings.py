"""Settings of the router."""

import attrs


@attrs.frozen
class RouterSettings:
    """How the router judges backend servers and zones.

    Parameters
    ----------
    distrust : bool
        Whether servers and zones can lose their share. Without it the policy
        alone decides.
    sample_weight : float
        Weight of the newest latency in the running moments, 0 to 1.
    latency_fade_ms : float
        Time without answers in which a server's mean latency comes within 1/e
        of its distance to the median of the region.
    error_weight : float
        Weight of the newest outcome in the error rate, 0 to 1.
    max_error_rate : float
        Error rate at which a server is distrusted.
    max_consecutive_failures : int
        Failures in a row at which a server is distrusted.
    min_samples : int
        Answers needed before a server can count as slow.
    slow_factor : float
        How many times the median latency of its region a server may take.
    slow_margin_ms : float
        Latency above that which is tolerated in addition.
    baseline_interval_ms : float
        How long a median latency is used before it is computed again.
    trial_interval_ms : float
        Shortest time between two trial requests to a distrusted server or zone.
    max_trial_interval_ms : float
        Longest such time for a server; it doubles with each failed trial.
    max_zone_trial_interval_ms : float
        Longest such time for a zone.
    requests_per_trial : int
        Decisions between two trials of any server, unless a trial is overdue
        by ``max_trial_interval_ms``.
    trial_successes : int
        Good trials in a row after which trust returns.
    unsafe_trial_delay_factor : float
        A request that is not repeatable serves as a trial only when the trial
        is overdue by this many trial intervals.
    min_zone_failures : int
        Failures in a row, with no success in the zone, that make a zone fail.
    zone_server_share : float
        Share of the zone's servers that must be among them, 0 to 1.
    spill_utilisation : float
        Share of the own zone's slots in use above which other zones of the
        region are considered as well, 0 to 1.
    stale_after_ms : float
        Age at which a reported load no longer counts as fresh.
    unknown_load : float
        Least load assumed of a server whose reports are stale, 0 to 1.
    ramp_requests : int
        Good answers after which a new server gets its full share.
    ramp_ms : float
        Time, under fresh reports, after which it gets its full share anyway.
    settled_factor : float
        How many times the median latency a new server may take to count as
        quick, from when on it can be judged as slow.
    cold_limit_ms : float
        Time after which a new server that has never been quick counts as slow.
    min_ramp : float
        Share that a new server starts with, 0 to 1.
    zone_latency_ms : float
        Extra round trip to another zone of the region, in milliseconds.
    forget_after_ms : float
        Time after which a server that is neither a candidate nor reports is
        forgotten.
    share_half_life_ms : float
        Half-life of the counts behind the shares shown to operators.
    """

    distrust: bool = True
    sample_weight: float = 0.1
    latency_fade_ms: float = 5_000.0
    error_weight: float = 0.2
    max_error_rate: float = 0.5
    max_consecutive_failures: int = 3
    min_samples: int = 5
    slow_factor: float = 3.0
    slow_margin_ms: float = 5.0
    baseline_interval_ms: float = 200.0
    trial_interval_ms: float = 500.0
    max_trial_interval_ms: float = 8_000.0
    max_zone_trial_interval_ms: float = 1_000.0
    requests_per_trial: int = 200
    trial_successes: int = 3
    unsafe_trial_delay_factor: float = 4.0
    min_zone_failures: int = 4
    zone_server_share: float = 0.5
    spill_utilisation: float = 0.7
    stale_after_ms: float = 3_000.0
    unknown_load: float = 0.5
    ramp_requests: int = 30
    ramp_ms: float = 10_000.0
    settled_factor: float = 1.5
    cold_limit_ms: float = 30_000.0
    min_ramp: float = 0.1
    zone_latency_ms: float = 2.0
    forget_after_ms: float = 60_000.0
    share_half_life_ms: float = 10_000.0
