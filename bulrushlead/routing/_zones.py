"""Availability zones that fail as a whole."""

from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._trial import Trial


class ZoneSignals:
    """Failures of one service in one availability zone.

    Parameters
    ----------
    settings : RouterSettings
        When a zone counts as failing.
    """

    def __init__(self, settings: RouterSettings):
        self.settings = settings
        self.trial: Trial | None = None
        self._n_failures = 0
        self._failed: set[str] = set()

    @property
    def is_failing(self) -> bool:
        """Whether the zone fails as a whole."""
        return self.trial is not None

    def note_success(self) -> None:
        """Take in a success: servers that fail beside it fail on their own."""
        self._n_failures = 0
        self._failed.clear()

    def note_failure(self, server_name: str, n_servers: int, now_ms: float) -> bool:
        """Take in a failure.

        Parameters
        ----------
        server_name : str
            The server that failed.
        n_servers : int
            Known servers of the service in the zone.
        now_ms : float
            The current time.

        Returns
        -------
        bool
            Whether the zone fails as a whole from now on.
        """
        self._n_failures += 1
        self._failed.add(server_name)
        needed = max(2.0, self.settings.zone_server_share * n_servers)
        if self.is_failing or len(self._failed) < needed:
            return False
        if self._n_failures < self.settings.min_zone_failures:
            return False
        longest_ms = self.settings.max_zone_trial_interval_ms
        self.trial = Trial(self.settings, now_ms, longest_ms)
        return True

    def clear(self) -> None:
        """Take the zone into use again."""
        self.trial = None
        self.note_success()
