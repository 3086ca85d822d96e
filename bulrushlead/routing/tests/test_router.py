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
    Distrust,
    RouteReason,
    RouteRequest,
)
from bulrushlead.routing.tests.fakes import (
    SERVICE_TIME_MS,
    ZONES,
    FakeServer,
    Rig,
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


def choose(rig, candidates, **fields):
    request = RouteRequest("stock", "casa", **fields)
    return rig.router.choose(request, candidates, "casa", ZONES[0])


def test_home_region_first_then_by_latency():
    rig = Rig(three_regions())
    rig.router.set_links(LINKS)
    candidates = rig.candidates()
    assert choose(rig, candidates).region == "casa"
    full = [attrs.evolve(candidates[2], free_slots=0)]
    decision = choose(rig, candidates[:2] + full)
    assert decision.region == "fes"
    assert decision.reason is RouteReason.OTHER_REGION
    assert choose(rig, candidates[1:2]).region == "agadir"


def test_cold_home_region_takes_more_before_a_far_one_does():
    rig = Rig(three_regions())
    rig.router.set_links(LINKS)
    candidates = rig.candidates()
    reasons = []
    for _ in range(3):
        decision = choose(rig, candidates)
        rig.router.begin(decision.server.name)
        assert decision.region == "casa"
        reasons.append(decision.reason)
    # A cold server has room for one request; the rest is overflow.
    assert reasons == [RouteReason.OWN_ZONE, *[RouteReason.OVERFLOW] * 2]


def test_failing_home_region_is_left_for_the_next():
    rig = Rig(three_regions())
    rig.router.set_links(LINKS)
    candidates = rig.candidates()
    for _ in range(3):
        choose(rig, candidates)
        rig.router.begin("c")
        rig.router.end("c", 1.0, AttemptOutcome.CONNECT_FAILED)
    assert choose(rig, candidates).region == "fes"


def test_no_candidate_is_refused_with_the_remedy():
    rig = Rig(three_regions())
    full = [attrs.evolve(one, free_slots=0) for one in rig.candidates()]
    draining = [Candidate(make_server("d", draining=True), 3)]
    tried = [Candidate(make_server("t"), 3)]
    for candidates in ([], full, draining, tried):
        with pytest.raises(BulrushleadError, match="wait for a slot") as caught:
            choose(rig, candidates, excluded=frozenset({"t"}))
        assert caught.value.code is ResultCode.NO_BACKEND_SERVER


async def test_own_zone_is_preferred_and_spills_before_it_is_full():
    quiet = Rig(make_fakes())
    await quiet.run(2_000.0, interval_ms=SERVICE_TIME_MS)
    zone_a = {name for name in quiet.fakes if name.startswith(ZONES[0])}
    later = await quiet.run(2_000.0, interval_ms=SERVICE_TIME_MS)
    assert share_of(later, zone_a) == 1.0
    busy = Rig(make_fakes())
    await busy.run(2_000.0)
    # 15 requests in flight are more than the own zone's 12 slots.
    spilled = await busy.run(2_000.0, interval_ms=SERVICE_TIME_MS / 15)
    assert busy.n_refused == 0
    assert 0.4 <= share_of(spilled, zone_a) < 0.75
    assert RouteReason.OTHER_ZONE in {one.reason for one in spilled}


async def test_new_server_starts_with_a_small_share():
    rig = Rig(make_fakes(per_zone=4, zones=ZONES[:1]))
    await rig.run(5_000.0)
    rig.fakes["new"] = FakeServer(make_server("new"))
    first = await rig.run(200.0)
    assert share_of(first, {"new"}) <= 0.5 / len(rig.fakes)
    await rig.run(10_000.0)
    # Long against the 500 ms between reports, which sway the shares meanwhile.
    last = await rig.run(10_000.0)
    assert share_of(last, {"new"}) >= 0.8 / len(rig.fakes)


async def test_new_server_is_not_taken_for_a_slow_one_while_its_cache_is_cold():
    rig = Rig(make_fakes(per_zone=4, zones=ZONES[:1]))
    await rig.run(5_000.0)
    new = FakeServer(make_server("new"), latency_ms=5 * SERVICE_TIME_MS)
    rig.fakes["new"] = new
    # More than the four warm servers can serve, so that the new one is needed.
    interval_ms = SERVICE_TIME_MS / 13
    await rig.run(2_000.0, interval_ms)
    assert new.n_requests >= 30
    assert rig.status("new").distrust is Distrust.NONE
    new.latency_ms = SERVICE_TIME_MS
    await rig.run(5_000.0, interval_ms)
    assert rig.status("new").distrust is Distrust.NONE
    # Once it has been quick, the same latency is a fault.
    new.latency_ms = 5 * SERVICE_TIME_MS
    await rig.run(2_000.0, interval_ms)
    assert rig.status("new").distrust is Distrust.SLOW


async def test_server_that_lost_to_quicker_ones_is_measured_again():
    rig = Rig(make_fakes(per_zone=4, zones=ZONES[:1]))
    await rig.run(5_000.0)
    # A new server with a cold cache, at a load that the others carry easily.
    new = FakeServer(make_server("new"), latency_ms=5 * SERVICE_TIME_MS)
    rig.fakes["new"] = new
    await rig.run(15_000.0, interval_ms=SERVICE_TIME_MS)
    new.latency_ms = SERVICE_TIME_MS
    assert rig.status("new").latency_ms > 4 * SERVICE_TIME_MS
    await rig.run(30_000.0, interval_ms=SERVICE_TIME_MS)
    assert rig.status("new").latency_ms < 1.5 * SERVICE_TIME_MS


async def test_restarted_server_is_cold_again():
    rig = Rig(make_fakes(per_zone=4, zones=ZONES[:1]))
    await rig.run(10_000.0)
    name = "casa-a-0"
    assert rig.status(name).ramp == 1.0
    rig.fakes[name].server = attrs.evolve(rig.fakes[name].server, incarnation="2")
    await rig.run(2.0)
    assert rig.status(name).ramp < 1.0


async def test_server_that_is_not_seen_for_long_is_forgotten():
    rig = Rig(make_fakes(per_zone=4, zones=ZONES[:1]))
    await rig.run(1_000.0)
    del rig.fakes["casa-a-0"]
    await rig.run(50_000.0, interval_ms=50.0)
    assert "casa-a-0" in {row.name for row in rig.router.status()}
    await rig.run(20_000.0, interval_ms=50.0)
    assert "casa-a-0" not in {row.name for row in rig.router.status()}


def test_reports_out_of_order_are_ignored():
    rig = Rig([])
    server = make_server("s")
    rig.router.note_report(Announcement(server, 7, 0.9), 10.0)
    rig.router.note_report(Announcement(server, 6, 0.1), 20.0)
    assert rig.status("s").reported_load == 0.9
    rig.router.forget("s")
    assert rig.router.status() == ()


def test_cancelled_requests_leave_no_trace_but_free_the_count():
    rig = Rig(three_regions())
    choose(rig, rig.candidates())
    rig.router.begin("c")
    assert rig.status("c").in_flight == 1
    rig.router.end("c", 9_000.0, AttemptOutcome.CANCELLED)
    status = rig.status("c")
    assert (status.in_flight, status.error_rate, status.latency_ms) == (0, 0, 0)


def test_quick_failures_do_not_make_a_server_look_fast():
    rig = Rig(three_regions())
    choose(rig, rig.candidates())
    for latency_ms, outcome in [
        (30.0, AttemptOutcome.SUCCESS),
        (0.1, AttemptOutcome.ERROR),
        (0.1, AttemptOutcome.REFUSED),
    ]:
        rig.router.begin("c")
        rig.router.end("c", latency_ms, outcome)
    assert rig.status("c").latency_ms == 30.0
    assert rig.status("c").error_rate > 0


def test_each_decision_writes_one_line():
    rig = Rig(three_regions())
    with logbook.TestHandler() as handler:
        decision = choose(rig, rig.candidates())
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
