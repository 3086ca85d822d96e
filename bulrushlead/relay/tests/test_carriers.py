"""Tests of the choice of the host that carries a request."""

import random

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import HostRecord
from bulrushlead.relay import CarrierTable
from bulrushlead.relay._carriers import CARRIER_BACKOFF_MS


def host(name, region, reaches=True, accepting=True, peer="10.0.0.1:7720"):
    return HostRecord(name, "10.0.0.1:80", "z", region, accepting, peer, reaches)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def carriers(clock):
    return CarrierTable(clock, "e0", "north", random.Random(1))


def choices(carriers, allowed_regions=(), excluded=()):
    chosen = {carriers.choose(allowed_regions, excluded) for _ in range(50)}
    return {None if record is None else record.host_id for record in chosen}


def test_only_hosts_that_reach_servers_and_accept_callers_carry(carriers):
    carriers.update(
        [
            host("e0", "north"),
            host("e1", "north"),
            host("e2", "north", reaches=False),
            host("e3", "north", accepting=False),
            host("e4", "north", peer=""),
        ]
    )
    assert choices(carriers) == {"e1"}
    assert choices(carriers, excluded={"e1"}) == {None}


def test_hosts_of_the_region_carry_while_they_are_enough(carriers):
    near = [host("e0", "north", reaches=False), host("e1", "north")]
    carriers.update([*near, host("e2", "south")])
    assert choices(carriers) == {"e1"}


def test_the_last_hosts_of_a_region_share_the_load_with_other_regions(carriers):
    """Guards against overloading the only host of a region that is not cut off."""
    cut_off = [host(f"c{n}", "north", reaches=False) for n in range(4)]
    carriers.update([*cut_off, host("e1", "north"), host("e2", "south")])
    assert choices(carriers) == {"e1", "e2"}


def test_requests_stay_in_the_regions_that_may_see_them(carriers):
    carriers.update([host("e1", "north"), host("e2", "south"), host("e3", "west")])
    assert choices(carriers, allowed_regions=("south",)) == {"e2"}
    assert choices(carriers, allowed_regions=("east",)) == {None}


async def test_host_that_could_not_be_reached_is_left_out_for_a_while(carriers, clock):
    carriers.update([host("e1", "north"), host("e2", "north")])
    carriers.record_failure("e1")
    assert choices(carriers) == {"e2"}
    await clock.advance_ms(CARRIER_BACKOFF_MS)
    assert choices(carriers) == {"e1", "e2"}


def hosts_of(names):
    return [host(name, "north") for name in names]


def test_hosts_choose_the_same_keeper_of_an_organisation(clock):
    """Guards against two hosts that both hand out what all share of a quota."""
    names = [f"e{number}" for number in range(40)]
    keepers = []
    for own, seed in (("e0", 1), ("e7", 2)):
        table = CarrierTable(clock, own, "north", random.Random(seed))
        table.update(hosts_of(names if seed == 1 else reversed(names)))
        keepers.append([table.keeper(f"organisation {n}") for n in range(200)])
    assert keepers[0] == keepers[1]
    assert len(set(keepers[0])) > 30


def test_only_the_organisations_of_a_lost_host_get_another_keeper(carriers):
    names = [f"e{number}" for number in range(40)]
    organisations = [f"organisation {number}" for number in range(200)]
    carriers.update(hosts_of(names))
    before = {name: carriers.keeper(name) for name in organisations}
    carriers.update(hosts_of(names[1:]))
    moved = {name for name in organisations if carriers.keeper(name) != before[name]}
    assert moved == {name for name in organisations if before[name] == "e0"}


def test_without_hosts_there_is_no_keeper(carriers):
    assert carriers.keeper("labs") == ""


def test_the_preferred_host_is_chosen_if_it_may_carry(carriers):
    carriers.update([host("e1", "north"), host("e2", "south"), host("e3", "south")])
    assert carriers.choose((), (), "e3").host_id == "e3"
    assert carriers.choose(("north",), (), "e3").host_id == "e1"
    assert carriers.choose((), ("e3",), "e3").host_id != "e3"
