"""Tests of the retry budget, the ranking, the warm-up limiter and placement."""

import attrs
import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import (
    Dispatcher,
    DispatchSettings,
    Outcome,
    Placement,
    Ranking,
    Refusal,
    RetryBudget,
    ServerStats,
    WarmupLimiter,
    Work,
)
from bulrushlead.dispatch._choice import OVERLOADED_FLEET_LOAD
from bulrushlead.dispatch._ranking import OFFLOAD_FLEET_LOAD
from bulrushlead.dispatch.tests.model import SimulationHarness, build_servers
from bulrushlead.fleet import owner_group

ZONES = {"a": "north", "b": "south"}
WORK = Work("stock", "read", b"k", True, 300.0, 2_000.0)


def stats(clock, server_id, region="north", slots=4):
    return ServerStats(server_id, 1, f"{server_id}:80", "a", region, "s", slots)


def build_harness(per_zone=None, **options):
    per_zone = per_zone or {"a": 3, "b": 3}
    return SimulationHarness(1, ZONES, build_servers(ZONES, per_zone, **options), 1)


def first_choice(dispatcher, key=b"k"):
    return dispatcher.place(attrs.evolve(WORK, key=key)).server.server_id


def test_every_host_computes_the_same_order_for_an_object():
    clock = ManualClock()
    servers = [stats(clock, f"s{i}") for i in range(9)]
    order = Ranking(servers, "north").order(b"object")
    other = Ranking(servers[::-1], "north").order(b"object")
    assert [s.server_id for s in order[0]] == [s.server_id for s in other[0]]


def test_removed_server_moves_only_its_own_objects():
    clock = ManualClock()
    servers = [stats(clock, f"s{i}") for i in range(10)]
    before, after = Ranking(servers, "north"), Ranking(servers[1:], "north")
    keys = [b"%d" % i for i in range(500)]
    moved = [
        key for key in keys if before.order(key)[0][0] is not after.order(key)[0][0]
    ]
    assert all(before.order(key)[0][0] is servers[0] for key in moved)


def test_region_without_servers_uses_other_regions():
    clock = ManualClock()
    ranking = Ranking([stats(clock, "s1", "south")], "north")
    assert ranking.order(b"k")[0][0].server_id == "s1"


def test_all_hosts_together_stay_within_the_retry_budget():
    clock = ManualClock()
    hosts = 11
    sent = requests = 0
    for _ in range(hosts):
        budget = RetryBudget(clock, 0.2, 60, 10_000)
        budget.host_count = hosts
        for _ in range(100):
            budget.record_request("s")
            requests += 1
            if budget.allows("s"):
                budget.record_retry("s")
                sent += 1
    assert 0 < sent <= 0.2 * requests + 60


def test_reload_changes_limits_and_keeps_retry_counts():
    clock = ManualClock()
    settings = DispatchSettings("e1", "a", "north", {"a": "north"}, 0.2, 10, 10_000, 5)
    dispatcher = Dispatcher(clock, settings)
    for _ in range(5):
        dispatcher.budget.record_retry("s")
    assert dispatcher.budget.allows("s")
    tighter = attrs.evolve(settings, retry_slack=5, warmup_slack=2)
    dispatcher.reload(tighter)
    assert not dispatcher.budget.allows("s")
    assert dispatcher.warmup.warming_hosts == 1


async def test_retries_expire_from_the_budget_after_its_window():
    clock = ManualClock()
    budget = RetryBudget(clock, 0.2, 2, 10_000)
    assert budget.allows("s")
    budget.record_retry("s")
    assert not budget.allows("s")
    await clock.advance_ms(10_001)
    assert budget.allows("s")


@pytest.mark.parametrize("hosts", [1, 3, 11, 70])
async def test_all_hosts_together_stay_below_the_warmup_rate(hosts):
    clock = ManualClock()
    names = [(f"h{i}", "north" if i % 2 else "south") for i in range(hosts)]
    limiters = []
    for name, region in names:
        limiter = WarmupLimiter(clock, name, region, 5)
        limiter.set_hosts(names)
        limiters.append(limiter)
    times_ms = []
    for _ in range(500):
        await clock.advance_ms(10, settle_rounds=1)
        for limiter in limiters:
            if limiter.allows("s1", "north", 7.4):
                limiter.record_sent("s1", "north", 7.4)
                times_ms.append(clock.now_ms())
    most = max(sum(t <= u < t + 1_000 for u in times_ms) for t in times_ms)
    assert most <= 7.4 * 1.5 + 5
    assert len(times_ms) >= 0.8 * 7.4 * 5


def fill_servers(dispatcher):
    """Place requests for one object until one is refused; return their servers."""
    servers = []
    while isinstance(placement := dispatcher.place(WORK), Placement):
        servers.append(placement.server)
        dispatcher.record_sent(placement)
    return servers


def test_busy_server_keeps_its_objects():
    servers = fill_servers(build_harness().hosts[0])
    assert len(servers) >= servers[0].slots
    assert len(set(servers)) == 1


def test_full_fleet_refuses_with_a_retry_time():
    dispatcher = build_harness({"a": 1, "b": 0}).hosts[0]
    while isinstance(placement := dispatcher.place(WORK), Placement):
        dispatcher.record_sent(placement)
    assert placement.retry_after_ms >= 100


def test_unreachable_server_gets_attempts_after_its_backoff():
    dispatcher = build_harness({"a": 1, "b": 0}).hosts[0]
    placement = dispatcher.place(WORK)
    attempt = dispatcher.record_sent(placement)
    placement.server.record_outcome(Outcome.UNREACHABLE, 0.0, attempt)
    assert isinstance(dispatcher.place(WORK), Refusal)
    dispatcher.clock._now_ms = 400.0
    assert isinstance(dispatcher.place(WORK), Placement)


def test_evacuated_zone_gets_no_requests():
    harness = build_harness()
    harness.view.evacuated_zones = frozenset({"a"})
    dispatcher = harness.hosts[0]
    dispatcher.update(harness.view)
    zones = {
        dispatcher.place(attrs.evolve(WORK, key=b"%d" % i)).server.zone
        for i in range(50)
    }
    assert zones == {"b"}


def test_request_stays_in_its_allowed_regions():
    dispatcher = build_harness().hosts[0]
    for i in range(50):
        work = attrs.evolve(WORK, key=b"%d" % i, allowed_regions=("south",))
        assert dispatcher.place(work).server.region == "south"
    nowhere = attrs.evolve(WORK, allowed_regions=("west",))
    assert isinstance(dispatcher.place(nowhere), Refusal)


def test_server_with_lost_connection_may_be_cold_until_its_next_record():
    clock = ManualClock(10_000.0)
    server = stats(clock, "s1")
    server.record_received_ms = 9_000.0
    server.record_outcome(Outcome.LOST, 10_000.0, server.record_sent(10_000.0, 100.0))
    assert server.may_be_cold(10_000.0, fleet_age_ms=100.0)
    server.record_received_ms = 10_500.0
    assert not server.may_be_cold(10_600.0, fleet_age_ms=100.0)


def test_server_may_be_cold_if_fleet_view_is_stale():
    clock = ManualClock(10_000.0)
    server = stats(clock, "s1")
    server.record_received_ms = 9_000.0
    assert server.may_be_cold(10_000.0, fleet_age_ms=5_000.0)
    attempt = server.record_sent(10_000.0, 100.0)
    server.record_outcome(Outcome.ANSWERED, 10_000.0, attempt)
    assert not server.may_be_cold(10_100.0, fleet_age_ms=5_000.0)


def test_slow_answer_raises_slowness_until_it_decays():
    clock = ManualClock(0.0)
    server = stats(clock, "s1")
    attempt = server.record_sent(0.0, 100.0)
    server.record_outcome(Outcome.ANSWERED, 1_200.0, attempt)
    assert server.slowness(1_200.0) > 2.0
    assert server.slowness(60_000.0) < 1.1


def test_slow_server_is_not_preferred():
    dispatcher = build_harness({"a": 3, "b": 0}).hosts[0]
    first = dispatcher.server(first_choice(dispatcher))
    for _ in range(10):
        attempt = first.record_sent(0.0, 1.0)
        first.record_outcome(Outcome.ANSWERED, 1_000.0, attempt)
    dispatcher.clock._now_ms = 1_000.0
    assert first_choice(dispatcher) != first.server_id


def test_hot_object_is_shared_by_two_servers():
    harness = build_harness({"a": 6, "b": 0})
    dispatcher = harness.hosts[0]
    hot = dispatcher.place(WORK).server
    harness.view.fleet_loads = {hot.server_id: 2 * OVERLOADED_FLEET_LOAD}
    dispatcher.update(harness.view)
    servers = fill_servers(dispatcher)
    assert servers[0] is hot
    assert len(set(servers)) == 2


def test_objects_are_not_shared_when_all_servers_are_hot():
    harness = build_harness({"a": 6, "b": 0})
    dispatcher = harness.hosts[0]
    harness.view.fleet_loads = dict.fromkeys(
        harness.view.servers, 2 * OVERLOADED_FLEET_LOAD
    )
    dispatcher.update(harness.view)
    assert len(set(fill_servers(dispatcher))) == 1


def test_unreachable_server_does_not_count_as_slow():
    clock = ManualClock(0.0)
    server = stats(clock, "s1")
    attempt = server.record_sent(0.0, 10.0)
    server.record_outcome(Outcome.UNREACHABLE, 400.0, attempt)
    assert server.slowness(400.0) == 1.0


def test_server_with_high_fleet_load_offloads_some_objects():
    harness = build_harness({"a": 4, "b": 0})
    hosts = harness.hosts
    keys = [b"%d" % i for i in range(400)]
    before = {key: first_choice(hosts[0], key) for key in keys}
    harness.view.fleet_loads = {before[keys[0]]: 2 * OFFLOAD_FLEET_LOAD}
    for host in hosts:
        host.update(harness.view)
    after = [{key: first_choice(host, key) for key in keys} for host in hosts[:2]]
    assert after[0] == after[1]
    moved = [key for key in keys if after[0][key] != before[key]]
    assert {before[key] for key in moved} == {before[keys[0]]}
    own = sum(before[key] == before[keys[0]] for key in keys)
    assert 0.3 * own < len(moved) < 0.7 * own + 1


def test_full_region_refuses_and_does_not_overflow_to_others():
    """Overflow to other regions cached objects in all regions and doubled the work."""
    dispatcher = build_harness({"a": 1, "b": 1}).hosts[0]
    regions = set()
    while isinstance(placement := dispatcher.place(WORK), Placement):
        regions.add(placement.server.region)
        dispatcher.record_sent(placement)
    assert len(regions) == 1
    assert placement.retry_after_ms >= 100


def test_mean_loads_are_reset_after_they_are_returned():
    dispatcher = build_harness().hosts[0]
    placement = dispatcher.place(WORK)
    placement.server.record_load(6.0, 0.0)
    placement.server.record_load(2.0, 0.0)
    assert dispatcher.pop_mean_loads() == {placement.server.server_id: 1.0}
    assert dispatcher.pop_mean_loads() == {}


def set_owner(harness, dispatcher, key, owner):
    work = attrs.evolve(WORK, key=key)
    group = owner_group(dispatcher.settings.region, work.service)
    harness.view.owners = {group: {work.digest: owner}}


def other_servers(dispatcher, key=b"k"):
    first = first_choice(dispatcher, key)
    return [
        stats
        for stats in dispatcher._servers.values()
        if stats.region == dispatcher.settings.region and stats.server_id != first
    ]


def test_owner_of_an_object_comes_before_the_first_server_by_hash():
    harness = build_harness()
    dispatcher = harness.hosts[0]
    owner = other_servers(dispatcher)[0]
    set_owner(harness, dispatcher, b"k", owner.server_id)
    placement = dispatcher.place(WORK)
    assert (placement.server, placement.rank) == (owner, 0)


def test_unusable_owner_is_replaced_by_the_first_server_by_hash():
    harness = build_harness()
    dispatcher = harness.hosts[0]
    first = first_choice(dispatcher)
    owner = other_servers(dispatcher)[0]
    set_owner(harness, dispatcher, b"k", owner.server_id)
    dispatcher.notices.record_draining(owner.server_id, owner.born_ms)
    assert first_choice(dispatcher) == first
    set_owner(harness, dispatcher, b"k", "unknown")
    assert first_choice(dispatcher) == first


def test_owner_in_another_region_does_not_move_an_object_there():
    harness = build_harness()
    dispatcher = harness.hosts[0]
    first = first_choice(dispatcher)
    remote = next(s for s in dispatcher._servers.values() if s.region == "south")
    set_owner(harness, dispatcher, b"k", remote.server_id)
    assert first_choice(dispatcher) == first


def test_demand_counts_unqueued_work_of_requests_about_objects():
    """Work with its queueing would make full servers look even fuller."""
    harness = build_harness()
    dispatcher = harness.hosts[0]
    for work_ms in [100.0] * 30 + [900.0] * 5:
        dispatcher.estimates.record_answer("read", "stock", True, work_ms)
    dispatcher.record_sent(dispatcher.place(WORK))
    dispatcher.record_sent(dispatcher.place(attrs.evolve(WORK, sticky=False)))
    demand = dispatcher.demand.pop()
    assert sum(len(objects) for objects in demand.values()) == 1
    (work_ms,) = next(iter(demand.values())).values()
    assert 100 <= work_ms < 160
