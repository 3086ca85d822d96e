"""Observations and reports of one backend server."""

import bisect
import math

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.routing._latency import LatencyEstimate
from bulrushlead.routing._model import AttemptOutcome, EjectionReason
from bulrushlead.routing._probes import ProbeSchedule
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._zones import ZoneSignals

FAILURES = frozenset(
    {
        AttemptOutcome.ERROR,
        AttemptOutcome.LOST,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
    }
)
"""Outcomes that count against a zone; a server that refuses a request can answer."""


class ServerSignals:
    """Observations and reports of one incarnation of a backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    zone : ZoneSignals
        Signals of its service in its zone.
    settings : RouterSettings
        Weights of the observations.
    now_ms : float
        Time at which the server was first seen.
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
        self.latency = LatencyEstimate(
            settings.sample_weight, settings.latency_decay_ms
        )
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.ejection_reason = EjectionReason.NONE
        self.probes: ProbeSchedule | None = None
        self.last_decision = 0
        self.first_seen_ms = now_ms
        self.last_seen_ms = now_ms
        self.is_settled = False
        self.reported_load: float | None = None
        self.report_sequence = -1
        self.reported_ms = now_ms
        self._started_ms: list[float] = []
        self.is_warm = False
        self._warmup_successes = 0
        self._warmup_time_ms = 0.0
        self._decision_count = 0.0
        self._decided_ms = now_ms

    @property
    def is_eligible(self) -> bool:
        """Whether neither the server nor its zone is ejected."""
        return self.ejection_reason is EjectionReason.NONE and self.zone.probes is None

    @property
    def active_probes(self) -> ProbeSchedule | None:
        """Probes of the server's zone or, if there are none, of the server."""
        return self.zone.probes or self.probes

    @property
    def in_flight(self) -> int:
        """Number of requests of this entry host that run at the server."""
        return len(self._started_ms)

    def begin(self, now_ms: float) -> None:
        """Record that a request started."""
        bisect.insort(self._started_ms, now_ms)

    def end(self, latency_ms: float, outcome: AttemptOutcome, now_ms: float) -> None:
        """Record the outcome of a request.

        Parameters
        ----------
        latency_ms : float
            Duration of the request.
        outcome : AttemptOutcome
            How the request ended.
        now_ms : float
            Time of the end.
        """
        self._remove_start(now_ms - latency_ms)
        if outcome is AttemptOutcome.CANCELLED:
            # A lower bound of the latency, of use only if it is above the mean.
            if self.latency.n_samples and latency_ms > self.latency.mean_ms:
                self.latency.add(latency_ms, now_ms)
            return
        failed = outcome is not AttemptOutcome.SUCCESS
        weight = self.settings.error_weight
        self.error_rate += weight * (float(failed) - self.error_rate)
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        # Fast failures would lower the mean, so the server would look fast.
        if not failed or outcome is AttemptOutcome.TIMEOUT:
            self.latency.add(latency_ms, now_ms)
        if not failed:
            self._warmup_successes += 1

    def record_report(self, announcement: Announcement, received_ms: float) -> None:
        """Record a report; one that is not newer than the last is ignored."""
        if announcement.sequence <= self.report_sequence:
            return
        if self.report_sequence >= 0:
            gap_ms = received_ms - self.reported_ms
            self._warmup_time_ms += min(max(0.0, gap_ms), self.settings.stale_after_ms)
        self.server = announcement.server
        self.report_sequence = announcement.sequence
        self.reported_load = min(1.0, max(0.0, announcement.reported_load))
        self.reported_ms = received_ms

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the last report is missing or too old."""
        age_ms = now_ms - self.reported_ms
        return self.reported_load is None or age_ms > self.settings.stale_after_ms

    def load(self, now_ms: float) -> float:
        """Return the load in requests: the larger of own requests and reported load.

        A report can only raise the load above the requests of this entry host, so
        a server that always reports itself idle gets no extra requests.
        """
        reported = self.reported_load or 0.0
        if self.is_stale(now_ms):
            reported = max(reported, self.settings.unknown_load)
        return max(float(self.in_flight), reported * self.server.slots)

    def latency_ms(self, now_ms: float, baseline_ms: float) -> float:
        """Return the expected latency, at least the age of the oldest request.

        Parameters
        ----------
        now_ms : float
            The current time.
        baseline_ms : float
            Expected latency of a server that has not answered yet.
        """
        estimate_ms = self.latency.decayed_mean_ms(now_ms, baseline_ms)
        return max(estimate_ms, self.oldest_age_ms(now_ms))

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest running request, in ms."""
        return now_ms - self._started_ms[0] if self._started_ms else 0.0

    def warmup_share(self) -> float:
        """Return the share of a warm server's traffic, ``min_warmup_share`` to 1.

        It grows with successful answers, which warm the cache, and with time while
        reports arrive. Without reports it does not grow with time.
        """
        if self.is_warm:
            return 1.0
        by_successes = self._warmup_successes / max(1, self.settings.warmup_requests)
        by_time = self._warmup_time_ms / max(1.0, self.settings.warmup_ms)
        self.is_warm = max(by_successes, by_time) >= 1.0
        return min(1.0, max(self.settings.min_warmup_share, by_successes, by_time))

    def has_warmup_capacity(self) -> bool:
        """Return whether the warm-up share allows one more request of this host."""
        if self.is_warm:
            return True
        limit = max(1, math.floor(self.warmup_share() * self.server.slots))
        return len(self._started_ms) < limit

    def restart(self, latency_ms: float | None, now_ms: float) -> None:
        """End the ejection and restart the warm-up with little traffic.

        Parameters
        ----------
        latency_ms : float or None
            Mean latency of the probes; None retains the old estimate.
        now_ms : float
            The current time.
        """
        self.ejection_reason = EjectionReason.NONE
        self.probes = None
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.is_warm = False
        self._warmup_successes = 0
        self._warmup_time_ms = 0.0
        if latency_ms is not None:
            self.latency = LatencyEstimate(
                self.settings.sample_weight, self.settings.latency_decay_ms
            )
            self.latency.add(latency_ms, now_ms)

    def record_decision(self, sequence: int, now_ms: float) -> None:
        """Record one decision for this server."""
        self.last_decision = sequence
        self._decision_count = self.decision_count(now_ms) + 1.0
        self._decided_ms = now_ms

    def decision_count(self, now_ms: float) -> float:
        """Return the number of decisions, which decays with a half-life."""
        age_ms = now_ms - self._decided_ms
        return self._decision_count * 0.5 ** (age_ms / self.settings.share_half_life_ms)

    def _remove_start(self, started_ms: float) -> None:
        """Remove the start nearest to one computed from the end and the latency."""
        if not self._started_ms:
            return
        index = min(
            range(len(self._started_ms)),
            key=lambda position: abs(self._started_ms[position] - started_ms),
        )
        del self._started_ms[index]
