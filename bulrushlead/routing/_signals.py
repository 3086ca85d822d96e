"""What an entry host knows of one backend server."""

import bisect
import math

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.routing._latency import LatencyEstimate
from bulrushlead.routing._model import AttemptOutcome, Distrust
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._trial import Trial
from bulrushlead.routing._zones import ZoneSignals

FAILURES = frozenset(
    {
        AttemptOutcome.ERROR,
        AttemptOutcome.LOST,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
    }
)


class ServerSignals:
    """Own observations and reports of one run of a backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    zone : ZoneSignals
        What is known of its service in its zone.
    settings : RouterSettings
        How observations are weighed.
    now_ms : float
        When the server was first seen.
    """

    def __init__(
        self,
        server: BackendServer,
        zone: ZoneSignals,
        settings: RouterSettings,
        now_ms: float,
    ):
        self.server = server
        self.zone = zone
        self.settings = settings
        self.latency = LatencyEstimate(settings.sample_weight, settings.latency_fade_ms)
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.distrust = Distrust.NONE
        self.trial: Trial | None = None
        self.last_chosen = 0
        self.first_seen_ms = now_ms
        self.last_seen_ms = now_ms
        self.is_settled = False
        self.reported_load: float | None = None
        self.report_sequence = -1
        self.reported_at_ms = now_ms
        self._started_ms: list[float] = []
        self.is_warm = False
        self._ramp_answers = 0
        self._ramp_time_ms = 0.0
        self._chosen_count = 0.0
        self._chosen_at_ms = now_ms

    @property
    def is_trusted(self) -> bool:
        """Whether neither the server nor its zone lost its share."""
        return self.distrust is Distrust.NONE and self.zone.trial is None

    @property
    def next_trial(self) -> Trial | None:
        """Trial that the server waits for: its zone's before its own."""
        return self.zone.trial or self.trial

    @property
    def in_flight(self) -> int:
        """Requests of this entry host that the server runs."""
        return len(self._started_ms)

    def begin(self, now_ms: float) -> None:
        """Count one request as started."""
        bisect.insort(self._started_ms, now_ms)

    def end(self, latency_ms: float, outcome: AttemptOutcome, now_ms: float) -> None:
        """Take in how one request ended.

        Parameters
        ----------
        latency_ms : float
            Time that it took.
        outcome : AttemptOutcome
            How it ended.
        now_ms : float
            When it ended.
        """
        self._remove_start(now_ms - latency_ms)
        if outcome is AttemptOutcome.CANCELLED:
            # The answer would have taken at least this long.
            if self.latency.n_samples and latency_ms > self.latency.mean_ms:
                self.latency.add(latency_ms, now_ms)
            return
        failed = outcome is not AttemptOutcome.SUCCESS
        weight = self.settings.error_weight
        self.error_rate += weight * (float(failed) - self.error_rate)
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        # A quick failure must not make a server look fast.
        if not failed or outcome is AttemptOutcome.TIMEOUT:
            self.latency.add(latency_ms, now_ms)
        if not failed:
            self._ramp_answers += 1

    def note_report(self, announcement: Announcement, received_ms: float) -> None:
        """Take in a report; an older one than the last is ignored."""
        if announcement.sequence <= self.report_sequence:
            return
        if self.report_sequence >= 0:
            gap_ms = received_ms - self.reported_at_ms
            self._ramp_time_ms += min(max(0.0, gap_ms), self.settings.stale_after_ms)
        self.server = announcement.server
        self.report_sequence = announcement.sequence
        self.reported_load = min(1.0, max(0.0, announcement.reported_load))
        self.reported_at_ms = received_ms

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the last report is too old to rely on."""
        age_ms = now_ms - self.reported_at_ms
        return self.reported_load is None or age_ms > self.settings.stale_after_ms

    def load(self, now_ms: float) -> float:
        """Return the load in requests: the worse of own view and report.

        A report can only make a server look busier than the entry host sees
        it, so a server that always says it is idle gains nothing.
        """
        reported = self.reported_load or 0.0
        if self.is_stale(now_ms):
            reported = max(reported, self.settings.unknown_load)
        return max(float(self.in_flight), reported * self.server.slots)

    def latency_ms(self, now_ms: float, baseline_ms: float) -> float:
        """Return the expected latency, counting requests that still run.

        Parameters
        ----------
        now_ms : float
            The current time.
        baseline_ms : float
            What to expect of a server that has not answered yet.
        """
        estimate_ms = self.latency.faded_mean_ms(now_ms, baseline_ms)
        return max(estimate_ms, self.oldest_age_ms(now_ms))

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return for how long the oldest running request has run."""
        return now_ms - self._started_ms[0] if self._started_ms else 0.0

    def ramp(self) -> float:
        """Return the share of a warm server's traffic, ``min_ramp`` to 1.

        It grows with good answers, which warm a cache, and with time while
        reports arrive. Without reports time alone does not raise it.
        """
        if self.is_warm:
            return 1.0
        by_answers = self._ramp_answers / max(1, self.settings.ramp_requests)
        by_time = self._ramp_time_ms / max(1.0, self.settings.ramp_ms)
        self.is_warm = max(by_answers, by_time) >= 1.0
        return min(1.0, max(self.settings.min_ramp, by_answers, by_time))

    def has_room(self) -> bool:
        """Return whether a new server may run one more request of this host."""
        if self.is_warm:
            return True
        limit = max(1, math.floor(self.ramp() * self.server.slots))
        return len(self._started_ms) < limit

    def restart(self, latency_ms: float | None, now_ms: float) -> None:
        """Begin again with little traffic after trust has returned.

        Parameters
        ----------
        latency_ms : float or None
            Mean latency of the trials; None keeps the old estimate.
        now_ms : float
            The current time.
        """
        self.distrust = Distrust.NONE
        self.trial = None
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.is_warm = False
        self._ramp_answers = 0
        self._ramp_time_ms = 0.0
        if latency_ms is not None:
            self.latency = LatencyEstimate(
                self.settings.sample_weight, self.settings.latency_fade_ms
            )
            self.latency.add(latency_ms, now_ms)

    def count_choice(self, sequence: int, now_ms: float) -> None:
        """Count one decision for this server."""
        self.last_chosen = sequence
        self._chosen_count = self.chosen_count(now_ms) + 1.0
        self._chosen_at_ms = now_ms

    def chosen_count(self, now_ms: float) -> float:
        """Return the recent decisions, halved with each half-life."""
        age_ms = now_ms - self._chosen_at_ms
        return self._chosen_count * 0.5 ** (age_ms / self.settings.share_half_life_ms)

    def _remove_start(self, started_ms: float) -> None:
        if not self._started_ms:
            return
        index = min(
            range(len(self._started_ms)),
            key=lambda position: abs(self._started_ms[position] - started_ms),
        )
        del self._started_ms[index]
