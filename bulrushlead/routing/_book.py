"""Everything that an entry host knows of backend servers and zones."""

import statistics
from collections.abc import Iterator

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.routing._model import AttemptOutcome, Distrust
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._signals import FAILURES, ServerSignals
from bulrushlead.routing._trial import Trial
from bulrushlead.routing._zones import ZoneSignals


class SignalBook:
    """Signals by server and zone, and the rules by which trust is lost.

    Parameters
    ----------
    clock : Clock
        Time source.
    settings : RouterSettings
        How servers and zones are judged.
    logger : EventLogger
        Where changes of trust are logged.
    """

    def __init__(self, clock: Clock, settings: RouterSettings, logger: EventLogger):
        self.clock = clock
        self.settings = settings
        self.logger = logger
        self._servers: dict[str, ServerSignals] = {}
        self._zones: dict[tuple[str, str], ZoneSignals] = {}
        self._baselines: dict[tuple[str, str], tuple[float, float]] = {}

    def __iter__(self) -> Iterator[ServerSignals]:
        return iter(self._servers.values())

    def find(self, server_name: str) -> ServerSignals | None:
        """Return the signals of a server that is known by name."""
        return self._servers.get(server_name)

    def signals(self, server: BackendServer) -> ServerSignals:
        """Return the signals of a server; a restarted one begins as cold."""
        known = self._servers.get(server.name)
        if known is None or known.server.incarnation != server.incarnation:
            zone = self.zone(server.service, server.availability_zone)
            known = ServerSignals(server, zone, self.settings, self.clock.now_ms())
            self._servers[server.name] = known
        known.last_seen_ms = self.clock.now_ms()
        return known

    def zone(self, service: str, availability_zone: str) -> ZoneSignals:
        """Return the signals of a service in a zone."""
        key = (service, availability_zone)
        if key not in self._zones:
            self._zones[key] = ZoneSignals(self.settings)
        return self._zones[key]

    def forget(self, server_name: str) -> None:
        """Drop everything known of a server."""
        self._servers.pop(server_name, None)

    def note_report(self, announcement: Announcement, received_ms: float) -> None:
        """Take in a report of a backend server."""
        self.signals(announcement.server).note_report(announcement, received_ms)

    def baseline_ms(self, service: str, region: str) -> float:
        """Return the median latency of a service's servers in a region."""
        now_ms = self.clock.now_ms()
        key = (service, region)
        value_ms, until_ms = self._baselines.get(key, (0.0, -1.0))
        if now_ms < until_ms:
            return value_ms
        self._forget_unseen(now_ms)
        means_ms = [
            one.latency.mean_ms
            for one in self
            if one.server.service == service
            and one.server.region == region
            and one.latency.n_samples >= self.settings.min_samples
        ]
        # The lower median: of two servers the slower one is the odd one.
        value_ms = statistics.median_low(means_ms) if means_ms else 0.0
        until_ms = now_ms + self.settings.baseline_interval_ms
        self._baselines[key] = (value_ms, until_ms)
        return value_ms

    def _forget_unseen(self, now_ms: float) -> None:
        """Drop servers that neither reported nor were candidates for long."""
        oldest_ms = now_ms - self.settings.forget_after_ms
        for one in list(self):
            if one.last_seen_ms < oldest_ms and not one.in_flight:
                self.forget(one.server.name)

    def end(self, server_name: str, latency_ms: float, outcome: AttemptOutcome) -> None:
        """Take in how a request ended, and judge its server and zone."""
        signals = self.find(server_name)
        if signals is None:
            return
        now_ms = self.clock.now_ms()
        signals.end(latency_ms, outcome, now_ms)
        if not self.settings.distrust:
            return
        self._judge_zone(signals, latency_ms, outcome, now_ms)
        if signals.distrust is Distrust.NONE:
            self._judge_server(signals, now_ms)
        else:
            self._judge_trial(signals, latency_ms, outcome, now_ms)

    def _judge_zone(
        self,
        signals: ServerSignals,
        latency_ms: float,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        server, zone = signals.server, signals.zone
        if zone.trial is not None:
            if zone.trial.is_result(now_ms - latency_ms, now_ms):
                self._judge_zone_trial(zone, server, latency_ms, outcome)
        elif outcome is AttemptOutcome.SUCCESS:
            zone.note_success()
        elif outcome in FAILURES:
            n_servers = len(self._in_zone(server))
            if zone.note_failure(server.name, n_servers, now_ms):
                self._log_zone(Event.ZONE_DISTRUSTED, server)

    def _judge_zone_trial(
        self,
        zone: ZoneSignals,
        server: BackendServer,
        latency_ms: float,
        outcome: AttemptOutcome,
    ) -> None:
        if outcome is AttemptOutcome.CANCELLED:
            zone.trial.abandon()
            return
        good = outcome not in FAILURES
        if zone.trial.end(good, latency_ms, self.clock.now_ms()):
            self._restore_zone(zone, server)

    def _restore_zone(self, zone: ZoneSignals, server: BackendServer) -> None:
        zone.clear()
        for one in self._in_zone(server):
            one.restart(None, self.clock.now_ms())
        self._log_zone(Event.ZONE_TRUSTED, server)

    def _in_zone(self, server: BackendServer) -> list[ServerSignals]:
        return [
            one
            for one in self
            if one.server.service == server.service
            and one.server.availability_zone == server.availability_zone
        ]

    def _judge_server(self, signals: ServerSignals, now_ms: float) -> None:
        settings = self.settings
        if (
            signals.consecutive_failures >= settings.max_consecutive_failures
            or signals.error_rate >= settings.max_error_rate
        ):
            self._distrust(signals, Distrust.FAILING, now_ms)
        elif signals.latency.n_samples >= settings.min_samples:
            self._judge_latency(signals, now_ms)

    def _judge_latency(self, signals: ServerSignals, now_ms: float) -> None:
        # A cold cache makes a new server slow, which its ramp and the policy
        # deal with: it is judged once it has been quick, or after a long time.
        mean_ms = signals.latency.mean_ms
        is_quick = not self._exceeds(signals, mean_ms, self.settings.settled_factor)
        age_ms = now_ms - signals.first_seen_ms
        if age_ms >= self.settings.cold_limit_ms or (is_quick and signals.is_warm):
            signals.is_settled = True
        if signals.is_settled and self._is_slow(signals, mean_ms):
            self._distrust(signals, Distrust.SLOW, now_ms)

    def _is_slow(self, signals: ServerSignals, latency_ms: float) -> bool:
        return self._exceeds(signals, latency_ms, self.settings.slow_factor)

    def _exceeds(
        self, signals: ServerSignals, latency_ms: float, factor: float
    ) -> bool:
        baseline_ms = self.baseline_ms(signals.server.service, signals.server.region)
        # Without a median there is nothing to be slower than.
        if baseline_ms <= 0:
            return False
        return latency_ms > baseline_ms * factor + self.settings.slow_margin_ms

    def _distrust(
        self, signals: ServerSignals, distrust: Distrust, now_ms: float
    ) -> None:
        signals.distrust = distrust
        longest_ms = self.settings.max_trial_interval_ms
        signals.trial = Trial(self.settings, now_ms, longest_ms)
        self._log_server(Event.BACKEND_DISTRUSTED, signals, distrust)

    def _judge_trial(
        self,
        signals: ServerSignals,
        latency_ms: float,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        trial = signals.trial
        if trial is None or not trial.is_result(now_ms - latency_ms, now_ms):
            return
        is_slow = self._is_slow(signals, latency_ms)
        if outcome is AttemptOutcome.CANCELLED and not is_slow:
            trial.abandon()
            return
        good = outcome is AttemptOutcome.SUCCESS and not is_slow
        if trial.end(good, latency_ms, now_ms):
            distrust = signals.distrust
            signals.restart(trial.mean_latency_ms, now_ms)
            self._log_server(Event.BACKEND_TRUSTED, signals, distrust)

    def _log_server(
        self, event: Event, signals: ServerSignals, distrust: Distrust
    ) -> None:
        server = signals.server
        self.logger.write(
            event,
            service=server.service,
            server=server.name,
            availability_zone=server.availability_zone,
            distrust=distrust.value,
            latency_ms=round(signals.latency.mean_ms, 1),
            error_rate=round(signals.error_rate, 2),
            reported_load=signals.reported_load,
        )

    def _log_zone(self, event: Event, server: BackendServer) -> None:
        self.logger.write(
            event,
            service=server.service,
            region=server.region,
            availability_zone=server.availability_zone,
        )
