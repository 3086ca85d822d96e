"""Settings of the dispatcher."""

import attrs


@attrs.frozen
class DispatchSettings:
    """Limits that all hosts share, and this host's place.

    Parameters
    ----------
    host_id, zone, region : str
        Name and place of this host.
    zone_regions : dict of str to str
        Region of each availability zone.
    retry_ratio : float
        Repeats that all hosts together may send, as a share of the requests.
    retry_slack : int
        Repeats allowed beyond that in each window.
    retry_window_ms : float
        Length of the window.
    warmup_slack : int
        Requests a second tolerated beyond the rate of a cold server.
    """

    host_id: str
    zone: str
    region: str
    zone_regions: dict[str, str] = attrs.field(factory=dict)
    retry_ratio: float = 0.1
    retry_slack: int = 10
    retry_window_ms: float = 10_000
    warmup_slack: int = 1
