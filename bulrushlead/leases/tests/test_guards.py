"""One directed test for each guard that random schedules rarely need."""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.leases import HolderId, LeaseGrant, LeaseHolder, SharePool, SlotShare
from bulrushlead.leases.tests.schedule import check
from bulrushlead.leases.tests.world import DRIFTS, KEY, World

SLOW, _, FAST = DRIFTS


def hold_all_of_a(world, host):
    """Let one host of two hold every slot of server ``a``."""
    host.holder.note_demand("short", "casa", 10)
    for _ in range(6):
        world.renew(host)
        world.advance(250)


def test_an_answer_of_a_lower_term_is_void():
    holder = LeaseHolder(ManualClock(), "h0", "run-1")
    sequence = holder.build_request().sequence
    assert not holder.apply_grant(LeaseGrant("h0", "run-1", 2, sequence))
    assert holder.needs_report()
    sequence = holder.build_request().sequence
    share = (SlotShare("a", "1", 3, 330),)
    late = LeaseGrant("h0", "run-1", 1, sequence, 1_000, share)
    assert not holder.apply_grant(late)
    assert holder.apply_grant(LeaseGrant("h0", "run-1", 2, sequence, 1_000, share))
    assert holder.free_slots("a") == 3


def test_an_answer_to_another_run_of_the_host_is_void():
    holder = LeaseHolder(ManualClock(), "h0", "run-2")
    sequence = holder.build_request().sequence
    share = (SlotShare("a", "1", 3, 330),)
    other = LeaseGrant("h0", "run-1", 1, sequence, 1_000, share)
    assert not holder.apply_grant(other)


def test_the_drift_margin_covers_a_slow_host_under_a_fast_leader():
    world = World(host_count=2, known=True)
    world.change_leader(FAST, known=True)
    slow, other = world.hosts
    slow.clock.drift = SLOW
    hold_all_of_a(world, slow)
    world.renew(slow, rounds=1)
    world.advance(slow.holder.remaining_ms() / SLOW - 0.01)
    assert [world.take(slow, "a") for _ in range(3)].count(None) == 0
    other.holder.note_demand("short", "casa", 10)
    for _ in range(130):
        world.advance(1)
        world.renew(other)
        check(world)
    assert other.holder.free_slots("a") == 3


def test_a_first_report_that_comes_after_the_take_over_is_not_adopted():
    world = World(host_count=2, known=True)
    late, other = world.hosts
    late.clock.drift = 1.0
    hold_all_of_a(world, late)
    world.renew(late, rounds=1)
    world.change_leader(1.0)
    world.advance(900)
    world.renew(late, rounds=1)
    assert late.holder.needs_report()
    world.send(late)
    report = len(world.requests) - 1
    other.holder.note_demand("short", "casa", 10)
    for _ in range(12):
        world.advance(20)
        world.renew(other)
    assert other.holder.free_slots("a") == 3
    world.receive(report)
    world.apply(late, -1)
    assert late.holder.is_valid()
    check(world)


def test_nothing_is_usable_by_a_first_report_after_the_take_over():
    pool, holder = SharePool(3), HolderId("h0", "run-1")
    pool.begin_take_over(1_000.0)
    assert pool.adopt(holder, usable=2, in_use=0, now_ms=999.0) == 2
    assert pool.adopt(HolderId("h1", "run-1"), 1, 0, now_ms=1_000.0) == 0


def test_requests_in_flight_count_even_when_nothing_else_is_held():
    pool, holder = SharePool(3), HolderId("h0", "run-1")
    assert pool.report(holder, usable=2, in_use=2) == 0
    assert pool.free(0.0) == 1


def test_a_reduction_that_never_arrived_is_not_lent():
    world = World(host_count=2, known=True)
    world.change_limit(20)
    deaf, other = world.hosts
    for _ in range(12):
        world.renew(deaf)
        world.renew(other)
        world.advance(100)
    assert deaf.holder.rate(KEY) == other.holder.rate(KEY) == 10
    other.holder.note_rate_demand(KEY, 20)
    for _ in range(9):
        world.renew(other)
        world.send(deaf)
        world.receive(-1)
        world.advance(100)
        assert deaf.holder.rate(KEY) + other.holder.rate(KEY) <= 20


@pytest.mark.parametrize("order", [1, -1])
def test_a_lowered_limit_is_not_granted_twice_over_lapses(order):
    world = World(known=False)
    world.advance(3_100)
    for _ in range(8):
        renew_all(world)
        world.advance(150)
    renew_all(world)
    assert min(host.holder.rate(KEY) for host in world.hosts) > 0
    world.change_limit(1)
    world.advance(1_100)
    for host in world.hosts[::order]:
        world.renew(host)
    check(world)
    for _ in range(10):
        world.advance(150)
        renew_all(world)
        check(world)


def test_a_lowered_limit_binds_although_demand_keeps_moving():
    world = World(host_count=2, known=True)
    world.change_limit(20)
    for _ in range(8):
        world.advance(150)
        renew_all(world)
    world.change_limit(4)
    for turn in range(10):
        for index, host in enumerate(world.hosts):
            host.holder.note_rate_demand(KEY, 5 * ((turn + index) % 2))
        world.advance(210)
        world.renew(world.hosts[turn % 2])
        check(world)


def renew_all(world):
    for host in world.hosts:
        world.renew(host)
