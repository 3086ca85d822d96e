"""Floors, lending, calling back and taking over."""

import io

import pytest

from bulrushlead.leases.tests.world import KEY, SETTINGS, World
from bulrushlead.logs import LogFormat, build_handler
from bulrushlead.results import BulrushleadError, ResultCode


def settle(world, rounds=12, step_ms=250):
    for _ in range(rounds):
        for host in world.hosts:
            world.renew(host)
        world.advance(step_ms)


def test_every_live_host_holds_a_slot_of_each_service_without_asking():
    world = World(known=True)
    settle(world)
    for host in world.hosts:
        assert host.holder.free_slots("a") == 1
        assert host.holder.free_slots("b") + host.holder.free_slots("c") >= 1


def test_idle_slots_are_lent_to_demand_and_called_back():
    world = World(known=True)
    settle(world)
    busy, other = world.hosts[0], world.hosts[2]
    busy.holder.note_demand("long", "casa", 10)
    settle(world)
    assert busy.holder.free_slots("b") == 3
    assert other.holder.free_slots("b") == 1
    busy.holder.note_demand("long", "casa", 0)
    other.holder.note_demand("long", "casa", 10)
    settle(world)
    assert busy.holder.free_slots("b") == 1
    assert other.holder.free_slots("b") == 3


def test_a_first_leader_waits_before_it_grants():
    world = World()
    settle(world, rounds=1)
    assert world.table.free_slots("b") == 0
    assert all(not host.holder.servers_with_slots() for host in world.hosts)
    world.advance(SETTINGS.with_margin(4_000))
    settle(world)
    assert all(host.holder.servers_with_slots() for host in world.hosts)


def test_a_new_leader_keeps_what_hosts_report():
    world = World(known=True)
    settle(world)
    held = [host.holder.held_slots("b") for host in world.hosts]
    world.change_leader(1.0)
    for host in world.hosts:
        world.renew(host)
    assert [host.holder.held_slots("b") for host in world.hosts] == held
    assert all(host.holder.rate(KEY) > 0 for host in world.hosts)


def test_a_silent_hosts_slots_return_after_its_work_must_have_ended():
    world = World(host_count=2, known=True)
    settle(world)
    silent, other = world.hosts
    other.holder.note_demand("long", "casa", 10)
    silent.frozen = True
    wait_ms = SETTINGS.with_margin(SETTINGS.lease_ms + 3_000)
    settle(world, rounds=int(wait_ms / 250) - 1)
    assert other.holder.held_slots("b") < 4
    settle(world, rounds=4)
    assert other.holder.held_slots("b") == 4


def test_a_draining_server_is_withdrawn_by_the_next_renewal():
    world = World(known=True)
    settle(world)
    host = world.hosts[0]
    token = world.take(host, "b")
    world.change_server("b", draining=True)
    world.renew(host, rounds=1)
    assert host.holder.free_slots("b") == 0
    assert host.holder.held_slots("b") == 1
    host.holder.return_slot(token)
    assert host.holder.held_slots("b") == 0


def test_a_stopping_host_gives_back_what_it_does_not_use():
    world = World(host_count=2, known=True)
    settle(world)
    leaving, other = world.hosts
    leaving.holder.give_back()
    other.holder.note_demand("long", "casa", 10)
    settle(world)
    assert leaving.holder.servers_with_slots() == ()
    assert other.holder.held_slots("b") == 4


def test_rate_shares_sum_to_the_limit_and_floors_are_kept_for_absent_hosts():
    world = World(known=True)
    world.change_limit(300)
    settle(world)
    assert world.rate_at_risk() == 300
    world.hosts[0].frozen = True
    settle(world, rounds=20)
    assert world.table.rate_bound(KEY, "h0") == 0
    assert world.rate_at_risk() == 275


def test_rates_go_to_the_hosts_that_use_them():
    world = World(known=True)
    world.change_limit(300)
    settle(world)
    busy = world.hosts[0].holder
    for _ in range(8):
        busy.note_rate_demand(KEY, 2 * int(busy.rate(KEY)))
        settle(world, rounds=3)
    assert busy.rate(KEY) == 250
    assert world.rate_at_risk() == 300


def test_tokens_from_before_a_lapse_may_not_start():
    world = World(known=True)
    settle(world)
    host = world.hosts[0]
    token = world.take(host, "b")
    assert host.holder.may_start(token)
    world.advance(SETTINGS.lease_ms + 1)
    assert not host.holder.may_start(token)
    world.renew(host)
    assert host.holder.is_valid()
    assert not host.holder.may_start(token)


def test_requests_that_cannot_be_granted_name_the_remedy():
    world = World(known=True)
    host = world.hosts[0]
    world.renew(host)
    stale = world.requests[0][1]
    world.renew(host)
    with pytest.raises(BulrushleadError) as error:
        world.table.renew(world.requests[-2][1])
    assert error.value.code is ResultCode.NO_LEASE
    world.declared = world.declared[1:]
    world.publish()
    with pytest.raises(BulrushleadError) as error:
        world.table.renew(stale)
    assert error.value.code is ResultCode.NOT_FOUND
    world.table.stop_term()
    with pytest.raises(BulrushleadError) as error:
        world.table.renew(stale)
    assert error.value.code is ResultCode.NOT_LEADER


def test_a_grant_is_logged_when_it_changes():
    stream = io.StringIO()
    with build_handler(LogFormat.JSON, stream).applicationbound():
        world = World(host_count=1, known=True)
        settle(world)
        logged = stream.getvalue().count("LEASE_GRANTED")
        settle(world)
        assert stream.getvalue().count("LEASE_GRANTED") == logged > 0
        world.change_server("b", draining=True)
        settle(world, rounds=1)
    assert stream.getvalue().count("LEASE_GRANTED") == logged + 1
