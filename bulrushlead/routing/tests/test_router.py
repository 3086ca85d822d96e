"""Tests of the order of regions and zones, cold servers and recorded outcomes."""

import attrs
import logbook
import pytest

from bulrushlead.backend import Announcement
from bulrushlead.declaration import Link
from bulrushlead.logs import Event
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.routing import (
    AttemptOutcome,
    Candidate,
    EjectionReason,
    RouteReason,
    RouteRequest,
)
from bulrushlead.routing.tests.fakes import (
    SERVICE_TIME_MS,
    ZONES,
    FakeServer,
    RouterHarness,
    make_fakes,
    make_server,
    share_of,
)

LINKS = [Link("casa", "fes", 1, 20.0), Link("casa", "agadir", 1, 35.0)]


def three_regions():
    return [
        FakeServer(make_server("f", "fes-a", "fes")),
        FakeServer(make_server("g", "agadir-a", "agadir")),
        FakeServer(make_server("c", ZONES[0])),
    ]


def choose(harness, candidates, **fields):
    request = RouteRequest("stock", "casa", **fields)
    return harness.router.choose(request, candidates, "casa", ZONES[0])


def test_target_region_is_chosen_first_then_others_by_latency():
    harness = RouterHarness(three_regions())
    harness.router.set_links(LINKS)
    candidates = harness.candidates()
    assert choose(harness, candidates).region == "casa"
    full = [attrs.evolve(candidates[2], free_slots=0)]
    decision = choose(harness, candidates[:2] + full)
    assert decision.region == "fes"
    assert decision.reason is RouteReason.OTHER_REGION
    assert choose(harness, candidates[1:2]).region == "agadir"


def test_cold_target_region_overflows_before_a_farther_region_is_used():
    harness = RouterHarness(three_regions())
    harness.router.set_links(LINKS)
    candidates = harness.candidates()
    reasons = []
    for _ in range(3):
        decision = choose(harness, candidates)
        harness.router.begin(decision.server.name)
        assert decision.region == "casa"
        reasons.append(decision.reason)
    # The warm-up share of a cold server allows one request; the others are overflow.
    assert reasons == [RouteReason.OWN_ZONE, *[RouteReason.OVERFLOW] * 2]


def test_failing_target_region_is_replaced_by_the_next():
    harness = RouterHarness(three_regions())
    harness.router.set_links(LINKS)
    candidates = harness.candidates()
    for _ in range(3):
        choose(harness, candidates)
        harness.router.begin("c")
        harness.router.end("c", 1.0, AttemptOutcome.CONNECT_FAILED)
    assert choose(harness, candidates).region == "fes"


def test_refusal_without_a_usable_candidate_names_the_remedy():
    harness = RouterHarness(three_regions())
    full = [attrs.evolve(candidate, free_slots=0) for candidate in harness.candidates()]
    draining = [Candidate(make_server("d", draining=True), 3)]
    tried = [Candidate(make_server("t"), 3)]
    for candidates in ([], full, draining, tried):
        with pytest.raises(BulrushleadError, match="wait for a slot") as caught:
            choose(harness, candidates, excluded=frozenset({"t"}))
        assert caught.value.code is ResultCode.NO_BACKEND_SERVER


async def test_own_zone_is_preferred_and_spills_over_before_it_is_full():
    quiet = RouterHarness(make_fakes())
    await quiet.run(2_000.0, interval_ms=SERVICE_TIME_MS)
    zone_a = {name for name in quiet.fakes if name.startswith(ZONES[0])}
    later = await quiet.run(2_000.0, interval_ms=SERVICE_TIME_MS)
    assert share_of(later, zone_a) == 1.0
    busy = RouterHarness(make_fakes())
    await busy.run(2_000.0)
    # 15 requests in flight are more than the own zone's 12 slots.
    spilled = await busy.run(2_000.0, interval_ms=SERVICE_TIME_MS / 15)
    assert busy.n_refused == 0
    assert 0.4 <= share_of(spilled, zone_a) < 0.75
    assert RouteReason.OTHER_ZONE in {decision.reason for decision in spilled}


async def test_new_server_starts_with_a_small_share():
    harness = RouterHarness(make_fakes(per_zone=4, zones=ZONES[:1]))
    await harness.run(5_000.0)
    harness.fakes["new"] = FakeServer(make_server("new"))
    first = await harness.run(200.0)
    assert share_of(first, {"new"}) <= 0.5 / len(harness.fakes)
    await harness.run(10_000.0)
    # Much longer than the 500 ms between reports, which affect the shares.
    last = await harness.run(10_000.0)
    assert share_of(last, {"new"}) >= 0.8 / len(harness.fakes)


async def test_new_server_is_not_ejected_as_slow_while_its_cache_is_cold():
    harness = RouterHarness(make_fakes(per_zone=4, zones=ZONES[:1]))
    await harness.run(5_000.0)
    new = FakeServer(make_server("new"), latency_ms=5 * SERVICE_TIME_MS)
    harness.fakes["new"] = new
    # More than the four warm servers can serve, so the new one is needed.
    interval_ms = SERVICE_TIME_MS / 13
    await harness.run(2_000.0, interval_ms)
    assert new.n_requests >= 30
    assert harness.status("new").ejection_reason is EjectionReason.NONE
    new.latency_ms = SERVICE_TIME_MS
    await harness.run(5_000.0, interval_ms)
    assert harness.status("new").ejection_reason is EjectionReason.NONE
    # After it has been fast, the same latency ejects it.
    new.latency_ms = 5 * SERVICE_TIME_MS
    await harness.run(2_000.0, interval_ms)
    assert harness.status("new").ejection_reason is EjectionReason.SLOW


async def test_server_without_requests_because_it_was_slow_is_measured_again():
    harness = RouterHarness(make_fakes(per_zone=4, zones=ZONES[:1]))
    await harness.run(5_000.0)
    # A new server with a cold cache, at a load that the others can serve.
    new = FakeServer(make_server("new"), latency_ms=5 * SERVICE_TIME_MS)
    harness.fakes["new"] = new
    await harness.run(15_000.0, interval_ms=SERVICE_TIME_MS)
    new.latency_ms = SERVICE_TIME_MS
    assert harness.status("new").latency_ms > 4 * SERVICE_TIME_MS
    await harness.run(30_000.0, interval_ms=SERVICE_TIME_MS)
    assert harness.status("new").latency_ms < 1.5 * SERVICE_TIME_MS


async def test_restarted_server_is_cold_again():
    harness = RouterHarness(make_fakes(per_zone=4, zones=ZONES[:1]))
    await harness.run(10_000.0)
    name = "casa-a-0"
    assert harness.status(name).warmup_share == 1.0
    harness.fakes[name].server = attrs.evolve(
        harness.fakes[name].server, incarnation="2"
    )
    await harness.run(2.0)
    assert harness.status(name).warmup_share < 1.0


async def test_signals_of_a_server_unseen_for_long_are_removed():
    harness = RouterHarness(make_fakes(per_zone=4, zones=ZONES[:1]))
    await harness.run(1_000.0)
    del harness.fakes["casa-a-0"]
    await harness.run(50_000.0, interval_ms=50.0)
    assert "casa-a-0" in {row.name for row in harness.router.status()}
    await harness.run(20_000.0, interval_ms=50.0)
    assert "casa-a-0" not in {row.name for row in harness.router.status()}


def test_reports_out_of_order_are_ignored():
    harness = RouterHarness([])
    server = make_server("s")
    harness.router.record_report(Announcement(server, 7, 0.9), 10.0)
    harness.router.record_report(Announcement(server, 6, 0.1), 20.0)
    assert harness.status("s").reported_load == 0.9
    harness.router.remove("s")
    assert harness.router.status() == ()


def test_cancellation_without_samples_changes_only_the_in_flight_count():
    harness = RouterHarness(three_regions())
    choose(harness, harness.candidates())
    harness.router.begin("c")
    assert harness.status("c").in_flight == 1
    harness.router.end("c", 9_000.0, AttemptOutcome.CANCELLED)
    status = harness.status("c")
    assert (status.in_flight, status.error_rate, status.latency_ms) == (0, 0, 0)


def test_quick_failures_do_not_make_a_server_look_fast():
    harness = RouterHarness(three_regions())
    choose(harness, harness.candidates())
    for latency_ms, outcome in [
        (30.0, AttemptOutcome.SUCCESS),
        (0.1, AttemptOutcome.ERROR),
        (0.1, AttemptOutcome.REFUSED),
    ]:
        harness.router.begin("c")
        harness.router.end("c", latency_ms, outcome)
    assert harness.status("c").latency_ms == 30.0
    assert harness.status("c").error_rate > 0


def test_each_decision_writes_one_log_line():
    harness = RouterHarness(three_regions())
    with logbook.TestHandler() as handler:
        decision = choose(harness, harness.candidates())
    (record,) = handler.records
    assert record.extra["event"] == Event.ROUTE_CHOSEN
    assert record.extra["fields"] == {
        "service": "stock",
        "region": "casa",
        "availability_zone": decision.availability_zone,
        "server": decision.server.name,
        "reason": decision.reason.value,
        "score": round(decision.score, 2),
    }
