"""Detection of availability zones that fail as a whole."""

from bulrushlead.routing._probes import ProbeSchedule
from bulrushlead.routing._settings import RouterSettings


class ZoneSignals:
    """Consecutive failures of one service in one availability zone.

    Parameters
    ----------
    settings : RouterSettings
        Thresholds at which a zone is ejected.
    """

    def __init__(self, settings: RouterSettings):
        self.settings = settings
        self.probes: ProbeSchedule | None = None
        self._n_failures = 0
        self._failed: set[str] = set()

    @property
    def is_failing(self) -> bool:
        """Whether the zone is ejected as a whole."""
        return self.probes is not None

    def record_success(self) -> None:
        """Reset the failures: after a success, the zone does not fail as a whole."""
        self._n_failures = 0
        self._failed.clear()

    def record_failure(self, server_name: str, n_servers: int, now_ms: float) -> bool:
        """Record a failure.

        Parameters
        ----------
        server_name : str
            Name of the server that failed.
        n_servers : int
            Number of servers of the service in the zone.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            Whether this failure ejects the zone.
        """
        self._n_failures += 1
        self._failed.add(server_name)
        needed = max(2.0, self.settings.min_zone_failed_share * n_servers)
        if self.is_failing or len(self._failed) < needed:
            return False
        if self._n_failures < self.settings.min_zone_failures:
            return False
        max_interval_ms = self.settings.max_zone_probe_interval_ms
        self.probes = ProbeSchedule(self.settings, now_ms, max_interval_ms)
        return True

    def clear(self) -> None:
        """End the ejection of the zone."""
        self.probes = None
        self.record_success()
