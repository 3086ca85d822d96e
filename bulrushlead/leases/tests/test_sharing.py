"""Floors, grants on demand, reclaiming, and recovery after a change of leader.

The tests guard against hosts without slots, slots that stay idle while another host
has demand, and shares that are lost or granted too early when a leader, a host or a
server changes.
"""

import io

import pytest

from bulrushlead.leases.tests.harness import KEY, SETTINGS, Harness
from bulrushlead.logs import LogFormat, build_handler
from bulrushlead.results import BulrushleadError, ResultCode


def settle(harness, rounds=12, step_ms=250):
    for _ in range(rounds):
        for host in harness.hosts:
            harness.renew(host)
        harness.advance(step_ms)


def test_every_live_host_holds_a_slot_of_each_service_without_demand():
    harness = Harness(no_prior_grants=True)
    settle(harness)
    for host in harness.hosts:
        assert host.holder.free_slots("a") == 1
        assert host.holder.free_slots("b") + host.holder.free_slots("c") >= 1


def test_idle_slots_are_granted_on_demand_and_reclaimed():
    harness = Harness(no_prior_grants=True)
    settle(harness)
    busy, other = harness.hosts[0], harness.hosts[2]
    busy.holder.set_demand("long", "casa", 10)
    settle(harness)
    assert busy.holder.free_slots("b") == 3
    assert other.holder.free_slots("b") == 1
    busy.holder.set_demand("long", "casa", 0)
    other.holder.set_demand("long", "casa", 10)
    settle(harness)
    assert busy.holder.free_slots("b") == 1
    assert other.holder.free_slots("b") == 3


def test_a_leader_waits_for_earlier_leases_before_it_grants():
    harness = Harness()
    settle(harness, rounds=1)
    assert harness.table.free_slots("b") == 0
    assert all(not host.holder.servers_with_free_slots() for host in harness.hosts)
    harness.advance(SETTINGS.with_margin(4_000))
    settle(harness)
    assert all(host.holder.servers_with_free_slots() for host in harness.hosts)


def test_a_new_leader_preserves_reported_shares():
    harness = Harness(no_prior_grants=True)
    settle(harness)
    held = [host.holder.held_slots("b") for host in harness.hosts]
    harness.change_leader(1.0)
    for host in harness.hosts:
        harness.renew(host)
    assert [host.holder.held_slots("b") for host in harness.hosts] == held
    assert all(host.holder.rate(KEY) > 0 for host in harness.hosts)


def test_slots_of_a_silent_host_are_granted_after_its_requests_must_have_ended():
    harness = Harness(host_count=2, no_prior_grants=True)
    settle(harness)
    silent, other = harness.hosts
    other.holder.set_demand("long", "casa", 10)
    silent.suspended = True
    wait_ms = SETTINGS.with_margin(SETTINGS.lease_ms + 3_000)
    settle(harness, rounds=int(wait_ms / 250) - 1)
    assert other.holder.held_slots("b") < 4
    settle(harness, rounds=4)
    assert other.holder.held_slots("b") == 4


def test_slots_of_a_draining_server_are_revoked_by_the_next_renewal():
    harness = Harness(no_prior_grants=True)
    settle(harness)
    host = harness.hosts[0]
    token = harness.start_request(host, "b")
    harness.change_server("b", draining=True)
    harness.renew(host, rounds=1)
    assert host.holder.free_slots("b") == 0
    assert host.holder.held_slots("b") == 1
    host.holder.release_slot(token)
    assert host.holder.held_slots("b") == 0


def test_a_stopping_host_releases_unused_slots():
    harness = Harness(host_count=2, no_prior_grants=True)
    settle(harness)
    leaving, other = harness.hosts
    leaving.holder.release_shares()
    other.holder.set_demand("long", "casa", 10)
    settle(harness)
    assert leaving.holder.servers_with_free_slots() == ()
    assert other.holder.held_slots("b") == 4


def test_rate_shares_sum_to_the_limit_and_floors_are_reserved_for_absent_hosts():
    harness = Harness(no_prior_grants=True)
    harness.change_limit(300)
    settle(harness)
    assert harness.usable_rate() == 300
    harness.hosts[0].suspended = True
    settle(harness, rounds=20)
    assert harness.table.rate_bound(KEY, "h0") == 0
    assert harness.usable_rate() == 275


def test_rate_shares_follow_demand():
    harness = Harness(no_prior_grants=True)
    harness.change_limit(300)
    settle(harness)
    busy = harness.hosts[0].holder
    for _ in range(8):
        busy.set_rate_demand(KEY, 2 * int(busy.rate(KEY)))
        settle(harness, rounds=3)
    assert busy.rate(KEY) == 250
    assert harness.usable_rate() == 300


def test_tokens_acquired_before_lease_expiry_may_not_start():
    harness = Harness(no_prior_grants=True)
    settle(harness)
    host = harness.hosts[0]
    token = harness.start_request(host, "b")
    assert host.holder.may_start(token)
    harness.advance(SETTINGS.lease_ms + 1)
    assert not host.holder.may_start(token)
    harness.renew(host)
    assert host.holder.is_valid()
    assert not host.holder.may_start(token)


def test_requests_that_cannot_be_granted_raise_their_result_code():
    harness = Harness(no_prior_grants=True)
    host = harness.hosts[0]
    harness.renew(host)
    stale = harness.requests[0][1]
    harness.renew(host)
    with pytest.raises(BulrushleadError) as error:
        harness.table.renew(harness.requests[-2][1])
    assert error.value.code is ResultCode.NO_LEASE
    harness.declared = harness.declared[1:]
    harness.publish()
    with pytest.raises(BulrushleadError) as error:
        harness.table.renew(stale)
    assert error.value.code is ResultCode.NOT_FOUND
    harness.table.stop_term()
    with pytest.raises(BulrushleadError) as error:
        harness.table.renew(stale)
    assert error.value.code is ResultCode.NOT_LEADER


def test_a_grant_is_logged_when_it_changes():
    stream = io.StringIO()
    with build_handler(LogFormat.JSON, stream).applicationbound():
        harness = Harness(host_count=1, no_prior_grants=True)
        settle(harness)
        logged = stream.getvalue().count("LEASE_GRANTED")
        settle(harness)
        assert stream.getvalue().count("LEASE_GRANTED") == logged > 0
        harness.change_server("b", draining=True)
        settle(harness, rounds=1)
    assert stream.getvalue().count("LEASE_GRANTED") == logged + 1
