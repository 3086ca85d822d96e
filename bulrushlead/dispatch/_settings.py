"""Settings of the dispatcher."""

import attrs


@attrs.frozen
class DispatchSettings:
    """Limits shared by all hosts, and this host's location.

    Parameters
    ----------
    host_id, zone, region : str
        Name and location of this host.
    zone_regions : dict of str to str
        Region of each availability zone.
    retry_ratio : float
        Retries that all hosts together may send, as a share of the requests.
    retry_slack : int
        Retries allowed beyond the ratio in each window, over all hosts.
    retry_window_ms : float
        Length of the window of the retry limits, in milliseconds.
    warmup_slack : int
        Requests per second tolerated beyond the rate of a cold server.
    """

    host_id: str
    zone: str
    region: str
    zone_regions: dict[str, str] = attrs.field(factory=dict)
    retry_ratio: float = 0.1
    retry_slack: int = 10
    retry_window_ms: float = 10_000
    warmup_slack: int = 1
