"""Directed tests for conditions that the random schedules rarely reach.

Each one guards against granting slots or rates that another host may still use.
"""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.leases import HolderId, LeaseGrant, LeaseHolder, SharePool, SlotShare
from bulrushlead.leases.tests.harness import DRIFTS, KEY, Harness
from bulrushlead.leases.tests.schedule import check_invariants

SLOW, _, FAST = DRIFTS


def acquire_all_slots_of_a(harness, host):
    """Grant every slot of server ``a`` to one host of two."""
    host.holder.set_demand("short", "casa", 10)
    for _ in range(6):
        harness.renew(host)
        harness.advance(250)


def test_a_grant_of_a_lower_term_is_ignored():
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


def test_a_grant_for_another_incarnation_is_ignored():
    holder = LeaseHolder(ManualClock(), "h0", "run-2")
    sequence = holder.build_request().sequence
    share = (SlotShare("a", "1", 3, 330),)
    other = LeaseGrant("h0", "run-1", 1, sequence, 1_000, share)
    assert not holder.apply_grant(other)


def test_the_drift_margin_covers_a_slow_host_clock_and_a_fast_leader_clock():
    harness = Harness(host_count=2, no_prior_grants=True)
    harness.change_leader(FAST, no_prior_grants=True)
    slow, other = harness.hosts
    slow.clock.drift = SLOW
    acquire_all_slots_of_a(harness, slow)
    harness.renew(slow, rounds=1)
    harness.advance(slow.holder.remaining_ms() / SLOW - 0.01)
    assert [harness.start_request(slow, "a") for _ in range(3)].count(None) == 0
    other.holder.set_demand("short", "casa", 10)
    for _ in range(130):
        harness.advance(1)
        harness.renew(other)
        check_invariants(harness)
    assert other.holder.free_slots("a") == 3


def test_a_first_report_after_the_recovery_period_is_not_restored():
    harness = Harness(host_count=2, no_prior_grants=True)
    late, other = harness.hosts
    late.clock.drift = 1.0
    acquire_all_slots_of_a(harness, late)
    harness.renew(late, rounds=1)
    harness.change_leader(1.0)
    harness.advance(900)
    harness.renew(late, rounds=1)
    assert late.holder.needs_report()
    harness.send(late)
    report = len(harness.requests) - 1
    other.holder.set_demand("short", "casa", 10)
    for _ in range(12):
        harness.advance(20)
        harness.renew(other)
    assert other.holder.free_slots("a") == 3
    harness.receive(report)
    harness.apply(late, -1)
    assert late.holder.is_valid()
    check_invariants(harness)


def test_no_units_are_usable_when_restored_after_the_recovery_period():
    pool, holder = SharePool(3), HolderId("h0", "run-1")
    pool.start_recovery(1_000.0)
    assert pool.restore(holder, usable=2, in_use=0, now_ms=999.0) == 2
    assert pool.restore(HolderId("h1", "run-1"), 1, 0, now_ms=1_000.0) == 0


def test_requests_in_flight_count_without_a_share():
    pool, holder = SharePool(3), HolderId("h0", "run-1")
    assert pool.report(holder, usable=2, in_use=2) == 0
    assert pool.free(0.0) == 1


def test_a_reduction_that_was_not_delivered_is_not_granted_again():
    harness = Harness(host_count=2, no_prior_grants=True)
    harness.change_limit(20)
    cut_off, other = harness.hosts
    for _ in range(12):
        harness.renew(cut_off)
        harness.renew(other)
        harness.advance(100)
    assert cut_off.holder.rate(KEY) == other.holder.rate(KEY) == 10
    other.holder.set_rate_demand(KEY, 20)
    for _ in range(9):
        harness.renew(other)
        harness.send(cut_off)
        harness.receive(-1)
        harness.advance(100)
        assert cut_off.holder.rate(KEY) + other.holder.rate(KEY) <= 20


@pytest.mark.parametrize("order", [1, -1])
def test_a_lowered_limit_is_not_granted_twice_after_lease_expiry(order):
    harness = Harness(no_prior_grants=False)
    harness.advance(3_100)
    for _ in range(8):
        renew_all(harness)
        harness.advance(150)
    renew_all(harness)
    assert min(host.holder.rate(KEY) for host in harness.hosts) > 0
    harness.change_limit(1)
    harness.advance(1_100)
    for host in harness.hosts[::order]:
        harness.renew(host)
    check_invariants(harness)
    for _ in range(10):
        harness.advance(150)
        renew_all(harness)
        check_invariants(harness)


def test_a_lowered_limit_takes_effect_while_demand_changes():
    harness = Harness(host_count=2, no_prior_grants=True)
    harness.change_limit(20)
    for _ in range(8):
        harness.advance(150)
        renew_all(harness)
    harness.change_limit(4)
    for turn in range(10):
        for index, host in enumerate(harness.hosts):
            host.holder.set_rate_demand(KEY, 5 * ((turn + index) % 2))
        harness.advance(210)
        harness.renew(harness.hosts[turn % 2])
        check_invariants(harness)


def renew_all(harness):
    for host in harness.hosts:
        harness.renew(host)
