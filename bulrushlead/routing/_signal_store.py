"""Observations of backend servers and zones, and outlier detection."""

import statistics
from collections.abc import Iterator

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.routing._model import AttemptOutcome, EjectionReason
from bulrushlead.routing._probes import ProbeSchedule
from bulrushlead.routing._settings import RouterSettings
from bulrushlead.routing._signals import FAILURES, ServerSignals
from bulrushlead.routing._zones import ZoneSignals


class SignalStore:
    """Stores the signals of servers and zones, and ejects those that are outliers.

    Parameters
    ----------
    clock : Clock
        Time source.
    settings : RouterSettings
        Thresholds of outlier detection.
    logger : EventLogger
        Logs ejections and their ends.

    Notes
    -----
    The log events and their field ``distrust`` call an ejected server or zone
    distrusted, and one whose ejection has ended trusted.
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
        """Return the signals of a server, or None if there are none."""
        return self._servers.get(server_name)

    def signals(self, server: BackendServer) -> ServerSignals:
        """Return the signals of a server; a new incarnation starts cold."""
        signals = self._servers.get(server.name)
        if signals is None or signals.server.incarnation != server.incarnation:
            zone = self.zone(server.service, server.availability_zone)
            signals = ServerSignals(server, zone, self.settings, self.clock.now_ms())
            self._servers[server.name] = signals
        signals.last_seen_ms = self.clock.now_ms()
        return signals

    def zone(self, service: str, availability_zone: str) -> ZoneSignals:
        """Return the signals of a service in a zone."""
        key = (service, availability_zone)
        if key not in self._zones:
            self._zones[key] = ZoneSignals(self.settings)
        return self._zones[key]

    def remove(self, server_name: str) -> None:
        """Remove the signals of a server."""
        self._servers.pop(server_name, None)

    def record_report(self, announcement: Announcement, received_ms: float) -> None:
        """Record a report of a backend server."""
        self.signals(announcement.server).record_report(announcement, received_ms)

    def baseline_ms(self, service: str, region: str) -> float:
        """Return the median of the mean latencies of a service in a region, in ms.

        It is 0 if no server has ``min_samples``.
        """
        now_ms = self.clock.now_ms()
        key = (service, region)
        value_ms, until_ms = self._baselines.get(key, (0.0, -1.0))
        if now_ms < until_ms:
            return value_ms
        self._remove_unseen(now_ms)
        means_ms = [
            signals.latency.mean_ms
            for signals in self
            if signals.server.service == service
            and signals.server.region == region
            and signals.latency.n_samples >= self.settings.min_samples
        ]
        # Lower median, so that of two servers the slower one is the outlier.
        value_ms = statistics.median_low(means_ms) if means_ms else 0.0
        until_ms = now_ms + self.settings.baseline_interval_ms
        self._baselines[key] = (value_ms, until_ms)
        return value_ms

    def _remove_unseen(self, now_ms: float) -> None:
        """Remove idle servers that were neither candidates nor reported recently."""
        oldest_ms = now_ms - self.settings.remove_after_ms
        for signals in list(self):
            if signals.last_seen_ms < oldest_ms and not signals.in_flight:
                self.remove(signals.server.name)

    def end(self, server_name: str, latency_ms: float, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt, and check its server and zone."""
        signals = self.find(server_name)
        if signals is None:
            return
        now_ms = self.clock.now_ms()
        signals.end(latency_ms, outcome, now_ms)
        if not self.settings.outlier_detection:
            return
        self._evaluate_zone(signals, latency_ms, outcome, now_ms)
        if signals.ejection_reason is EjectionReason.NONE:
            self._evaluate_server(signals, now_ms)
        else:
            self._evaluate_probe(signals, latency_ms, outcome, now_ms)

    def _evaluate_zone(
        self,
        signals: ServerSignals,
        latency_ms: float,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        server, zone = signals.server, signals.zone
        if zone.probes is not None:
            if zone.probes.is_result(now_ms - latency_ms, now_ms):
                self._evaluate_zone_probe(zone, server, latency_ms, outcome)
        elif outcome is AttemptOutcome.SUCCESS:
            zone.record_success()
        elif outcome in FAILURES:
            n_servers = len(self._in_zone(server))
            if zone.record_failure(server.name, n_servers, now_ms):
                self._log_zone(Event.ZONE_DISTRUSTED, server)

    def _evaluate_zone_probe(
        self,
        zone: ZoneSignals,
        server: BackendServer,
        latency_ms: float,
        outcome: AttemptOutcome,
    ) -> None:
        if outcome is AttemptOutcome.CANCELLED:
            zone.probes.abandon()
            return
        succeeded = outcome not in FAILURES
        if zone.probes.end(succeeded, latency_ms, self.clock.now_ms()):
            self._restore_zone(zone, server)

    def _restore_zone(self, zone: ZoneSignals, server: BackendServer) -> None:
        zone.clear()
        for signals in self._in_zone(server):
            signals.restart(None, self.clock.now_ms())
        self._log_zone(Event.ZONE_TRUSTED, server)

    def _in_zone(self, server: BackendServer) -> list[ServerSignals]:
        return [
            signals
            for signals in self
            if signals.server.service == server.service
            and signals.server.availability_zone == server.availability_zone
        ]

    def _evaluate_server(self, signals: ServerSignals, now_ms: float) -> None:
        settings = self.settings
        if (
            signals.consecutive_failures >= settings.max_consecutive_failures
            or signals.error_rate >= settings.max_error_rate
        ):
            self._eject(signals, EjectionReason.FAILING, now_ms)
        elif signals.latency.n_samples >= settings.min_samples:
            self._evaluate_latency(signals, now_ms)

    def _evaluate_latency(self, signals: ServerSignals, now_ms: float) -> None:
        # A cold cache makes a new server slow; the warm-up share and the policy limit
        # its requests. It can be ejected as slow only after it has been fast once, or
        # after ``max_cold_ms``.
        mean_ms = signals.latency.mean_ms
        is_fast = not self._exceeds(
            signals, mean_ms, self.settings.settled_latency_factor
        )
        age_ms = now_ms - signals.first_seen_ms
        if age_ms >= self.settings.max_cold_ms or (is_fast and signals.is_warm):
            signals.is_settled = True
        if signals.is_settled and self._is_slow(signals, mean_ms):
            self._eject(signals, EjectionReason.SLOW, now_ms)

    def _is_slow(self, signals: ServerSignals, latency_ms: float) -> bool:
        return self._exceeds(signals, latency_ms, self.settings.slow_factor)

    def _exceeds(
        self, signals: ServerSignals, latency_ms: float, factor: float
    ) -> bool:
        baseline_ms = self.baseline_ms(signals.server.service, signals.server.region)
        # 0 means that there is no median yet.
        if baseline_ms <= 0:
            return False
        return latency_ms > baseline_ms * factor + self.settings.slow_margin_ms

    def _eject(
        self, signals: ServerSignals, ejection_reason: EjectionReason, now_ms: float
    ) -> None:
        signals.ejection_reason = ejection_reason
        max_interval_ms = self.settings.max_probe_interval_ms
        signals.probes = ProbeSchedule(self.settings, now_ms, max_interval_ms)
        self._log_server(Event.BACKEND_DISTRUSTED, signals, ejection_reason)

    def _evaluate_probe(
        self,
        signals: ServerSignals,
        latency_ms: float,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        probes = signals.probes
        if probes is None or not probes.is_result(now_ms - latency_ms, now_ms):
            return
        is_slow = self._is_slow(signals, latency_ms)
        if outcome is AttemptOutcome.CANCELLED and not is_slow:
            probes.abandon()
            return
        succeeded = outcome is AttemptOutcome.SUCCESS and not is_slow
        if probes.end(succeeded, latency_ms, now_ms):
            ejection_reason = signals.ejection_reason
            signals.restart(probes.mean_latency_ms, now_ms)
            self._log_server(Event.BACKEND_TRUSTED, signals, ejection_reason)

    def _log_server(
        self, event: Event, signals: ServerSignals, ejection_reason: EjectionReason
    ) -> None:
        server = signals.server
        self.logger.write(
            event,
            service=server.service,
            server=server.name,
            availability_zone=server.availability_zone,
            distrust=ejection_reason.value,
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
