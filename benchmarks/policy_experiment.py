"""Discrete-event simulation of one router with fake backend servers."""

import collections
import heapq
import itertools
import random

import numpy as np

from benchmarks.policy_fakes import (
    COLD_FACTOR,
    COLD_REQUESTS,
    CONNECT_TIMEOUT_MS,
    DEADLINE_MS,
    DURATION_MS,
    FAULT_MS,
    MAX_QUEUE,
    MAX_WAIT_MS,
    MEAN_SERVICE_MS,
    OTHER_ZONE_MS,
    QUICK_FAILURE_MS,
    RECOVERY_MS,
    REGION,
    REPORT_DELAY_MS,
    REPORT_INTERVAL_MS,
    RETRY_BUDGET,
    SERVERS_PER_ZONE,
    SERVICE,
    SERVICE_SIGMA,
    SLOTS,
    SLOW_FACTOR,
    UNEVEN_FACTOR,
    ZONES,
    FakeServer,
    Pending,
    RunResult,
    Scenario,
    StepClock,
)
from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.results import BulrushleadError
from bulrushlead.routing import (
    AttemptOutcome,
    Candidate,
    Policy,
    Router,
    RouteRequest,
    RouterSettings,
)


class Experiment:
    """One run of one policy in one scenario.

    Parameters
    ----------
    policy : Policy
        Policy of the router.
    settings : RouterSettings
        Settings of the router.
    scenario : Scenario
        Fault that starts at ``FAULT_MS``.
    load : float
        Offered load as a multiple of the capacity of healthy servers.
    seed : int
        Seed of arrivals and service times, and of the router.
    service_sigma : float, default=SERVICE_SIGMA
        Standard deviation of the logarithm of service times.
    knows_slots : bool, default=True
        Whether requests wait in front of the router for a free slot. Otherwise
        they are sent at once and queue at the backend server.
    """

    def __init__(
        self,
        policy: Policy,
        settings: RouterSettings,
        scenario: Scenario,
        load: float,
        seed: int,
        service_sigma: float = SERVICE_SIGMA,
        knows_slots: bool = True,
    ):
        self.policy = policy
        self.settings = settings
        self.scenario = scenario
        self.load = load
        self.seed = seed
        self.service_sigma = service_sigma
        self.knows_slots = knows_slots

    def run(self, label: str) -> RunResult:
        """Run the experiment and return its results under ``label``."""
        self._reset()
        self._schedule(0.0, self._report)
        self._schedule(0.0, self._arrive)
        while self._events:
            time_ms, _, action, arguments = heapq.heappop(self._events)
            self._clock.time_ms = time_ms
            action(*arguments)
        return self._summarise(label)

    def _reset(self) -> None:
        self._clock = StepClock()
        self._rng = random.Random(self.seed)
        router_rng = random.Random(self.seed + 1)
        self._router = Router(self._clock, router_rng, self.settings, self.policy)
        self._events: list[tuple] = []
        self._sequence = itertools.count()
        self._report_sequence = itertools.count()
        self._queue: collections.deque[Pending] = collections.deque()
        self._latencies_ms: list[float] = []
        self._n_offered = self._n_refused = self._n_failed = 0
        self._n_attempts = self._n_sent_to_faulty = self._n_retries = 0
        self._n_arrived = 0
        self._fakes = {
            f"{zone}-{index}": FakeServer(
                BackendServer(
                    f"{zone}-{index}", SERVICE, REGION, zone, "", "1", SLOTS, 390
                )
            )
            for zone in ZONES
            for index in range(SERVERS_PER_ZONE)
        }
        n_faulty = {Scenario.SLOW_TENTH: 2, Scenario.REPORTS_STOP: 2}
        n_faulty |= {Scenario.SLOW_LIAR: 1, Scenario.FAILING_LIAR: 1}
        names = [f"{zone}-0" for zone in ZONES]
        self._faulty = set(names[: n_faulty.get(self.scenario, 0)])
        if self.scenario in (Scenario.DEAD_ZONE, Scenario.COLD_START):
            self._faulty = {name for name in self._fakes if name.startswith(ZONES[1])}
        if self.scenario is Scenario.UNEVEN:
            self._faulty = {f"{zone}-{index}" for zone in ZONES for index in (0, 1, 2)}
        self._n_running = 0
        self._n_slots = SLOTS * len(self._fakes)
        self._arrivals_per_ms = self.load * self._n_slots / MEAN_SERVICE_MS

    def _schedule(self, time_ms: float, action, *arguments) -> None:
        event = (time_ms, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= DURATION_MS:
            return
        self._n_arrived += 1
        self._n_offered += now_ms >= FAULT_MS
        gap_ms = self._rng.expovariate(self._arrivals_per_ms)
        self._schedule(now_ms + gap_ms, self._arrive)
        if len(self._queue) >= MAX_QUEUE:
            self._refuse(now_ms)
            return
        self._queue.append(Pending(now_ms))
        self._drain_queue()

    def _drain_queue(self) -> None:
        now_ms = self._clock.now_ms()
        while self._queue:
            pending = self._queue[0]
            if now_ms - pending.arrived_ms > MAX_WAIT_MS and not pending.tried:
                self._queue.popleft()
                self._refuse(pending.arrived_ms)
                continue
            if not self._start_attempt(pending):
                return
            self._queue.popleft()

    def _start_attempt(self, pending: Pending) -> bool:
        now_ms = self._clock.now_ms()
        if self.knows_slots and self._n_running >= self._n_slots:
            return False
        deadline_ms = pending.arrived_ms + DEADLINE_MS
        request = RouteRequest(
            SERVICE, REGION, deadline_ms=deadline_ms, excluded=pending.tried
        )
        try:
            decision = self._router.choose(
                request, self._candidates(), REGION, ZONES[0]
            )
        except BulrushleadError:
            return False
        fake = self._fakes[decision.server.name]
        fake.running += 1
        self._n_running += 1
        if now_ms >= FAULT_MS:
            self._n_attempts += 1
            self._n_sent_to_faulty += decision.server.name in self._faulty
        self._router.begin(decision.server.name)
        duration_ms, outcome = self._simulate_attempt(fake)
        if not self.knows_slots:
            duration_ms += self._wait_at_server(fake, duration_ms, deadline_ms)
        if now_ms + duration_ms > deadline_ms:
            duration_ms, outcome = deadline_ms - now_ms, AttemptOutcome.TIMEOUT
        ends_ms = now_ms + duration_ms
        self._schedule(
            ends_ms, self._finish_attempt, pending, fake, outcome, duration_ms
        )
        return True

    def _wait_at_server(
        self, fake: FakeServer, duration_ms: float, deadline_ms: float
    ) -> float:
        """Return how long a request waits for a slot of its server, in milliseconds."""
        now_ms = self._clock.now_ms()
        starts_ms = max(now_ms, fake.slots_free_ms[0])
        if starts_ms < deadline_ms:
            # A request that times out is cancelled and frees its slot.
            ends_ms = min(starts_ms + duration_ms, deadline_ms)
            heapq.heapreplace(fake.slots_free_ms, ends_ms)
        return starts_ms - now_ms

    def _candidates(self) -> list[Candidate]:
        now_ms = self._clock.now_ms()
        is_hidden = self.scenario is Scenario.COLD_START and now_ms < FAULT_MS
        return [
            Candidate(fake.server, self._free_slots(fake))
            for name, fake in self._fakes.items()
            if not (is_hidden and name in self._faulty)
        ]

    def _free_slots(self, fake: FakeServer) -> int:
        return SLOTS - fake.running if self.knows_slots else SLOTS

    def _simulate_attempt(self, fake: FakeServer) -> tuple[float, AttemptOutcome]:
        """Return the duration of an attempt in milliseconds, and its outcome."""
        now_ms = self._clock.now_ms()
        mu = -(self.service_sigma**2) / 2.0
        factor = self._rng.lognormvariate(mu, self.service_sigma)
        duration_ms = MEAN_SERVICE_MS * factor
        if fake.server.availability_zone != ZONES[0]:
            duration_ms += OTHER_ZONE_MS
        if fake.server.name not in self._faulty or now_ms < FAULT_MS:
            return duration_ms, AttemptOutcome.SUCCESS
        if self.scenario is Scenario.FAILING_LIAR:
            return QUICK_FAILURE_MS, AttemptOutcome.ERROR
        if self.scenario is Scenario.DEAD_ZONE:
            if now_ms < RECOVERY_MS:
                return CONNECT_TIMEOUT_MS, AttemptOutcome.CONNECT_FAILED
            return duration_ms, AttemptOutcome.SUCCESS
        if self.scenario is Scenario.COLD_START:
            cold_share = max(0.0, 1.0 - fake.n_answers / COLD_REQUESTS)
            factor = 1.0 + (COLD_FACTOR - 1.0) * cold_share
            return duration_ms * factor, AttemptOutcome.SUCCESS
        if self.scenario is Scenario.UNEVEN:
            return duration_ms * UNEVEN_FACTOR, AttemptOutcome.SUCCESS
        return duration_ms * SLOW_FACTOR, AttemptOutcome.SUCCESS

    def _finish_attempt(
        self,
        pending: Pending,
        fake: FakeServer,
        outcome: AttemptOutcome,
        duration_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        fake.running -= 1
        self._n_running -= 1
        fake.n_answers += 1
        self._router.end(fake.server.name, duration_ms, outcome)
        if outcome is AttemptOutcome.SUCCESS:
            if pending.arrived_ms >= FAULT_MS:
                self._latencies_ms.append(now_ms - pending.arrived_ms)
        else:
            self._retry(pending, fake.server.name)
        self._drain_queue()

    def _retry(self, pending: Pending, name: str) -> None:
        now_ms = self._clock.now_ms()
        in_budget = self._n_retries < RETRY_BUDGET * self._n_arrived
        in_time = now_ms < pending.arrived_ms + DEADLINE_MS
        if in_budget and in_time and not pending.tried:
            self._n_retries += 1
            pending.tried = frozenset({name})
            self._queue.appendleft(pending)
        elif pending.arrived_ms >= FAULT_MS:
            # A failed request counts as one that took its whole deadline.
            self._latencies_ms.append(DEADLINE_MS)
            self._n_failed += 1

    def _refuse(self, arrived_ms: float) -> None:
        self._n_refused += arrived_ms >= FAULT_MS

    def _report(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= DURATION_MS:
            return
        self._schedule(now_ms + REPORT_INTERVAL_MS, self._report)
        if self.scenario is Scenario.REPORTS_STOP and now_ms >= FAULT_MS:
            return
        misreporting = (Scenario.SLOW_LIAR, Scenario.FAILING_LIAR)
        visible = {candidate.server.name for candidate in self._candidates()}
        sequence = next(self._report_sequence)
        for name, fake in self._fakes.items():
            if name not in visible:
                continue
            load = min(1.0, fake.running / SLOTS)
            if name in self._faulty and self.scenario in misreporting:
                load = 0.0
            announcement = Announcement(fake.server, sequence, load)
            received_ms = now_ms + REPORT_DELAY_MS
            self._schedule(
                received_ms, self._router.record_report, announcement, received_ms
            )

    def _summarise(self, label: str) -> RunResult:
        latencies_ms = np.array(self._latencies_ms or [np.nan])
        p50_ms, p99_ms, p999_ms = np.percentile(latencies_ms, [50, 99, 99.9])
        n_offered = max(1, self._n_offered)
        return RunResult(
            policy=label,
            scenario=self.scenario.value,
            load_percent=round(100 * self.load),
            seed=self.seed,
            n_requests=self._n_offered,
            p50_ms=round(float(p50_ms), 1),
            p99_ms=round(float(p99_ms), 1),
            p999_ms=round(float(p999_ms), 1),
            refused_percent=round(100 * self._n_refused / n_offered, 2),
            failed_percent=round(100 * self._n_failed / n_offered, 3),
            sick_percent=round(
                100 * self._n_sent_to_faulty / max(1, self._n_attempts), 2
            ),
        )
