"""Harness that runs a router against fake backend servers."""

import random

import attrs

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import ManualClock
from bulrushlead.results import BulrushleadError
from bulrushlead.routing import (
    AttemptOutcome,
    Candidate,
    LatencyAware,
    Router,
    RouteRequest,
    RouterSettings,
)

SLOTS = 3
SERVICE_TIME_MS = 10.0
REPORT_INTERVAL_MS = 500.0
REGION = "casa"
ZONES = ("casa-a", "casa-b")


@attrs.define
class FakeServer:
    """A backend server whose latency, outcome and load a test sets."""

    server: BackendServer
    latency_ms: float = SERVICE_TIME_MS
    outcome: AttemptOutcome = AttemptOutcome.SUCCESS
    reported_load: float | None = None
    n_requests: int = 0


def make_server(name, zone=ZONES[0], region=REGION, incarnation="1", **fields):
    return BackendServer(
        name, "stock", region, zone, "192.0.2.1:1", incarnation, SLOTS, 390, **fields
    )


def make_fakes(per_zone=4, zones=ZONES):
    return [
        FakeServer(make_server(f"{zone}-{index}", zone))
        for zone in zones
        for index in range(per_zone)
    ]


class RouterHarness:
    """One router with fake servers on a manual clock.

    Requests arrive at a fixed interval; each runs for its server's latency.
    """

    def __init__(self, fakes, settings=None, policy=None, seed=1, home=REGION):
        self.clock = ManualClock()
        self.router = Router(
            self.clock,
            random.Random(seed),
            settings or RouterSettings(),
            policy or LatencyAware(),
        )
        self.fakes = {fake.server.name: fake for fake in fakes}
        self.home = home
        self.sends_reports = True
        self.decisions = []
        self.n_refused = 0
        self._running = []
        self._next_report_ms = 0.0
        self._sequence = 0

    async def run(self, duration_ms, interval_ms=2.0, retryable=True):
        """Send requests for ``duration_ms``; return the decisions made."""
        first = len(self.decisions)
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self._report()
            self._finish()
            self.send(retryable)
            await self.clock.advance_ms(interval_ms, settle_rounds=0)
        return self.decisions[first:]

    def send(self, retryable=True):
        """Send one request; return the decision, or None if it was refused."""
        now_ms = self.clock.now_ms()
        request = RouteRequest("stock", self.home, retryable=retryable)
        try:
            decision = self.router.choose(request, self.candidates(), REGION, ZONES[0])
        except BulrushleadError:
            self.n_refused += 1
            return None
        fake = self.fakes[decision.server.name]
        fake.n_requests += 1
        self.router.begin(decision.server.name)
        self._running.append((now_ms + fake.latency_ms, now_ms, fake, fake.outcome))
        self.decisions.append(decision)
        return decision

    def candidates(self):
        in_flight = {}
        for _, _, fake, _ in self._running:
            in_flight[fake.server.name] = in_flight.get(fake.server.name, 0) + 1
        return [
            Candidate(fake.server, SLOTS - in_flight.get(name, 0))
            for name, fake in self.fakes.items()
        ]

    def status(self, name):
        return next(row for row in self.router.status() if row.name == name)

    def ejection_reason(self, name):
        return {row.name: row.ejection_reason for row in self.router.status()}.get(name)

    def _finish(self):
        now_ms = self.clock.now_ms()
        ended = [row for row in self._running if row[0] <= now_ms]
        self._running = [row for row in self._running if row[0] > now_ms]
        for _, started_ms, fake, outcome in ended:
            self.router.end(fake.server.name, now_ms - started_ms, outcome)

    def _report(self):
        now_ms = self.clock.now_ms()
        if not self.sends_reports or now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        self._sequence += 1
        free = {
            candidate.server.name: candidate.free_slots
            for candidate in self.candidates()
        }
        for name, fake in self.fakes.items():
            load = fake.reported_load
            if load is None:
                load = (SLOTS - free[name]) / SLOTS
            self.router.record_report(
                Announcement(fake.server, self._sequence, load), now_ms
            )


def share_of(decisions, names):
    """Return the share of the decisions that chose the named servers."""
    hits = sum(decision.server.name in names for decision in decisions)
    return hits / max(1, len(decisions))
