"""Tests of outlier detection: ejection, probes and recovery of servers and zones.

Faulty servers may report themselves idle, fail faster than others answer, or stop
reporting. None of these may raise or restore their share of the requests.
"""

import pytest

from bulrushlead.routing import (
    AttemptOutcome,
    DeadlineProbability,
    EjectionReason,
    LatencyAware,
    LeastReportedLoad,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
    RouteReason,
    RouterSettings,
)
from bulrushlead.routing.tests.fakes import (
    SERVICE_TIME_MS,
    ZONES,
    RouterHarness,
    make_fakes,
    make_server,
    share_of,
)

FAULTY = "casa-a-0"
# A faulty server has to lose its share within seconds.
DETECTION_MS = 2_000.0
# An ejected server may get at most one probe per interval of 500 ms.
PROBE_INTERVAL_MS = RouterSettings().probe_interval_ms


def max_probes(duration_ms):
    return duration_ms / PROBE_INTERVAL_MS + 1


async def test_slow_server_that_reports_idle_is_ejected():
    harness = RouterHarness(make_fakes())
    await harness.run(DETECTION_MS)
    harness.fakes[FAULTY].latency_ms = 20 * SERVICE_TIME_MS
    harness.fakes[FAULTY].reported_load = 0.0
    await harness.run(DETECTION_MS)
    assert harness.status(FAULTY).ejection_reason is EjectionReason.SLOW
    later = await harness.run(10_000.0)
    assert sum(decision.server.name == FAULTY for decision in later) <= max_probes(
        10_000.0
    )
    assert harness.n_refused == 0


async def test_server_whose_callers_all_cancel_is_ejected():
    harness = RouterHarness(make_fakes())
    await harness.run(DETECTION_MS)
    harness.fakes[FAULTY].latency_ms = 20 * SERVICE_TIME_MS
    harness.fakes[FAULTY].outcome = AttemptOutcome.CANCELLED
    await harness.run(DETECTION_MS)
    assert harness.status(FAULTY).ejection_reason is EjectionReason.SLOW
    later = await harness.run(10_000.0)
    assert sum(decision.server.name == FAULTY for decision in later) <= max_probes(
        10_000.0
    )


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.ERROR, AttemptOutcome.LOST, AttemptOutcome.CONNECT_FAILED],
)
async def test_server_that_fails_fast_and_reports_idle_is_ejected(outcome):
    harness = RouterHarness(make_fakes())
    await harness.run(DETECTION_MS)
    harness.fakes[FAULTY].outcome = outcome
    harness.fakes[FAULTY].latency_ms = 0.1
    harness.fakes[FAULTY].reported_load = 0.0
    await harness.run(DETECTION_MS)
    assert harness.status(FAULTY).ejection_reason is EjectionReason.FAILING
    later = await harness.run(10_000.0)
    assert sum(decision.server.name == FAULTY for decision in later) <= max_probes(
        10_000.0
    )


async def test_recovered_server_returns_after_successful_probes():
    harness = RouterHarness(make_fakes())
    harness.fakes[FAULTY].outcome = AttemptOutcome.ERROR
    await harness.run(5_000.0)
    harness.fakes[FAULTY].outcome = AttemptOutcome.SUCCESS
    recovering = await harness.run(10_000.0)
    assert harness.status(FAULTY).ejection_reason is EjectionReason.NONE
    probes = [
        decision
        for decision in recovering
        if decision.reason is RouteReason.SERVER_TRIAL
    ]
    assert {decision.server.name for decision in probes} == {FAULTY}
    assert len(probes) == RouterSettings().probe_successes
    last = await harness.run(5_000.0)
    assert share_of(last, {FAULTY}) >= 0.5 / len(harness.fakes)


async def test_probes_prefer_requests_that_may_be_retried():
    harness = RouterHarness(make_fakes())
    harness.fakes[FAULTY].outcome = AttemptOutcome.ERROR
    while harness.ejection_reason(FAULTY) is not EjectionReason.FAILING:
        await harness.run(2.0)
    n_before = harness.fakes[FAULTY].n_requests
    # A probe is due after one interval, or five for requests without retry.
    await harness.run(4 * PROBE_INTERVAL_MS, retryable=False)
    assert harness.fakes[FAULTY].n_requests == n_before
    await harness.run(2.0, retryable=True)
    assert harness.fakes[FAULTY].n_requests == n_before + 1


async def test_failing_zone_is_ejected_as_a_whole_and_not_server_by_server():
    harness = RouterHarness(make_fakes())
    await harness.run(DETECTION_MS)
    for fake in harness.fakes.values():
        if fake.server.availability_zone == ZONES[0]:
            fake.outcome = AttemptOutcome.CONNECT_FAILED
    failing = await harness.run(10_000.0)
    zone_a = {name for name in harness.fakes if name.startswith(ZONES[0])}
    assert all(
        harness.status(name).ejection_reason is EjectionReason.ZONE_FAILING
        for name in zone_a
    )
    # The failures that eject the zone, then one probe per interval for the whole
    # zone; requests in flight at the ejection add to these.
    in_flight = 10
    limit = RouterSettings().min_zone_failures + in_flight + max_probes(10_000.0)
    assert sum(decision.server.name in zone_a for decision in failing) <= limit
    assert harness.n_refused == 0
    probes = [
        decision for decision in failing if decision.reason is RouteReason.SERVER_TRIAL
    ]
    assert probes == []


async def test_recovered_zone_returns_after_few_probes():
    harness = RouterHarness(make_fakes())
    await harness.run(DETECTION_MS)
    zone_a = {name for name in harness.fakes if name.startswith(ZONES[0])}
    for name in zone_a:
        harness.fakes[name].outcome = AttemptOutcome.CONNECT_FAILED
    await harness.run(DETECTION_MS)
    for name in zone_a:
        harness.fakes[name].outcome = AttemptOutcome.SUCCESS
    recovering = await harness.run(10_000.0)
    probes = [
        decision for decision in recovering if decision.reason is RouteReason.ZONE_TRIAL
    ]
    assert len(probes) <= RouterSettings().probe_successes + 1
    last = await harness.run(DETECTION_MS)
    assert share_of(last, zone_a) >= 0.5


async def test_one_faulty_server_does_not_eject_its_zone():
    harness = RouterHarness(make_fakes())
    harness.fakes[FAULTY].outcome = AttemptOutcome.TIMEOUT
    decisions = await harness.run(5_000.0)
    assert harness.status("casa-a-1").ejection_reason is EjectionReason.NONE
    assert share_of(decisions, {"casa-a-1", "casa-a-2", "casa-a-3"}) > 0.5


async def test_failures_of_one_server_alone_never_eject_its_zone():
    harness = RouterHarness(make_fakes())
    harness.send()
    for _ in range(2 * RouterSettings().min_zone_failures):
        harness.router.begin(FAULTY)
        harness.router.end(FAULTY, 1.0, AttemptOutcome.CONNECT_FAILED)
    assert harness.status(FAULTY).ejection_reason is EjectionReason.FAILING
    assert harness.status("casa-a-1").ejection_reason is EjectionReason.NONE


async def test_requests_are_spread_if_all_servers_are_ejected():
    harness = RouterHarness(make_fakes())
    for fake in harness.fakes.values():
        fake.outcome = AttemptOutcome.ERROR
    await harness.run(DETECTION_MS)
    later = await harness.run(DETECTION_MS)
    assert harness.n_refused == 0
    assert {decision.reason for decision in later} >= {RouteReason.SPREAD}
    for name in harness.fakes:
        assert share_of(later, {name}) >= 0.25 / len(harness.fakes)


async def test_load_does_not_fall_when_reports_stop():
    harness = RouterHarness(make_fakes())
    harness.fakes[FAULTY].reported_load = 0.9
    await harness.run(DETECTION_MS)
    harness.sends_reports = False
    signals = harness.router._store.find(FAULTY)
    before = signals.load(harness.clock.now_ms())
    later = await harness.run(20_000.0)
    assert signals.load(harness.clock.now_ms()) >= before
    others = harness.router._store.find("casa-a-1")
    floor = RouterSettings().unknown_load * 3
    assert others.load(harness.clock.now_ms()) >= floor
    # The own zone serves all of this load, so an equal share is a quarter.
    assert share_of(later, {FAULTY}) < 1 / 4
    assert harness.n_refused == 0


async def test_warmup_share_does_not_grow_without_reports():
    server = make_server("new")
    harness = RouterHarness([])
    signals = harness.router._store.signals(server)
    assert signals.warmup_share() == RouterSettings().min_warmup_share
    await harness.clock.advance_ms(60_000.0)
    assert signals.warmup_share() == RouterSettings().min_warmup_share


@pytest.mark.parametrize(
    "policy",
    [
        RoundRobin(),
        RandomChoice(),
        LeastReportedLoad(),
        PowerOfTwoChoices(),
        LatencyAware(),
        DeadlineProbability(),
        DeadlineProbability(target_factor=2.0),
    ],
)
async def test_every_policy_serves_all_requests_of_healthy_servers(policy):
    harness = RouterHarness(make_fakes(), policy=policy)
    await harness.run(5_000.0)
    assert harness.n_refused == 0
    assert all(
        row.ejection_reason is EjectionReason.NONE for row in harness.router.status()
    )
