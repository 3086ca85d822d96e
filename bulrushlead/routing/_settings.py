"""Settings of the router."""

import attrs


@attrs.frozen
class RouterSettings:
    """Settings of routing and of outlier detection.

    Parameters
    ----------
    outlier_detection : bool
        Whether outlier detection ejects servers and zones. If False, the policy
        alone decides.
    sample_weight : float
        Weight of the newest latency in the moving mean and variance, 0 to 1.
    latency_decay_ms : float
        Time without answers after which the difference between a server's mean
        latency and the median of the region has decayed to 1/e.
    error_weight : float
        Weight of the newest outcome in the error rate, 0 to 1.
    max_error_rate : float
        Error rate at which a server is ejected.
    max_consecutive_failures : int
        Consecutive failures at which a server is ejected.
    min_samples : int
        Answers needed before a server can be ejected as slow.
    slow_factor : float
        A server is slow if its mean latency exceeds this multiple of the median
        of its region plus ``slow_margin_ms``.
    slow_margin_ms : float
        Latency tolerated in addition to that multiple.
    baseline_interval_ms : float
        Time for which a median latency is cached.
    probe_interval_ms : float
        Time from an ejection to the first probe. It doubles with each failed probe
        and is reset by a successful one, after which the next probe is due at once.
    max_probe_interval_ms : float
        Longest interval between probes of a server.
    max_zone_probe_interval_ms : float
        Longest interval between probes of a zone.
    requests_per_probe : int
        Minimum number of decisions between two probes, whichever servers they go
        to, so that probes are a small share of the requests. A probe that is
        overdue by ``max_probe_interval_ms`` is sent anyway.
    probe_successes : int
        Consecutive successful probes that end an ejection.
    unsafe_probe_delay_factor : float
        A request that may not be retried serves as a probe only if the probe is
        overdue by this many probe intervals.
    min_zone_failures : int
        Consecutive failures, with no success in the zone, needed to eject it.
    min_zone_failed_share : float
        Share of the zone's servers that must be among the failed ones, 0 to 1; at
        least two servers.
    spillover_utilisation : float
        Share of the own zone's slots in use from which requests may also go to
        other zones of the region, 0 to 1.
    stale_after_ms : float
        Age above which a reported load is stale.
    unknown_load : float
        Minimum load assumed for a server whose report is stale, 0 to 1.
    warmup_requests : int
        Successful answers after which a new server gets its full share.
    warmup_ms : float
        Time with regular reports after which it gets its full share even with fewer
        successful answers.
    settled_latency_factor : float
        A new server can be ejected as slow only after its mean latency, once its
        warm-up has ended, has been within this multiple of the median plus
        ``slow_margin_ms``.
    max_cold_ms : float
        Time after which a new server can be ejected as slow even if it has not
        settled.
    min_warmup_share : float
        Initial share of a new server, 0 to 1.
    zone_latency_ms : float
        Extra round-trip time to another zone of the region, in milliseconds.
    remove_after_ms : float
        Time after which the signals of a server that is neither a candidate nor
        reports are removed.
    share_half_life_ms : float
        Half-life of the decision counts from which the shares shown to operators
        are computed.
    """

    outlier_detection: bool = True
    sample_weight: float = 0.1
    latency_decay_ms: float = 5_000.0
    error_weight: float = 0.2
    max_error_rate: float = 0.5
    max_consecutive_failures: int = 3
    min_samples: int = 5
    slow_factor: float = 3.0
    slow_margin_ms: float = 5.0
    baseline_interval_ms: float = 200.0
    probe_interval_ms: float = 500.0
    max_probe_interval_ms: float = 8_000.0
    max_zone_probe_interval_ms: float = 1_000.0
    requests_per_probe: int = 200
    probe_successes: int = 3
    unsafe_probe_delay_factor: float = 4.0
    min_zone_failures: int = 4
    min_zone_failed_share: float = 0.5
    spillover_utilisation: float = 0.7
    stale_after_ms: float = 3_000.0
    unknown_load: float = 0.5
    warmup_requests: int = 30
    warmup_ms: float = 10_000.0
    settled_latency_factor: float = 1.5
    max_cold_ms: float = 30_000.0
    min_warmup_share: float = 0.1
    zone_latency_ms: float = 2.0
    remove_after_ms: float = 60_000.0
    share_half_life_ms: float = 10_000.0
