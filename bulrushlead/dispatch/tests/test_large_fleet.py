"""Load patterns of a large fleet, with and without the leader's table of owners.

Each host meets a server about once a minute, so that only the leader knows which
servers are loaded. Each pattern fails with hashing alone.
"""

import collections

import attrs
import pytest

from bulrushlead.dispatch import Placement
from bulrushlead.dispatch._server import STALE_FLEET_MS
from bulrushlead.dispatch._warmup import MAX_WARMING_HOSTS
from bulrushlead.dispatch.tests.large_fleet import COLD_PER_S, LargeFleet
from bulrushlead.dispatch.tests.model import SimulationHarness, build_servers
from bulrushlead.dispatch.tests.test_parts import WORK

SEEDS = [1, 2, 3]
RATE_PER_S = 330.0  # all callers; slots are half full if every object is cached
UNTIL_MS = 16_000


def mean_worths(disturb):
    """Return the mean worth over the seeds with the table and without."""
    worths = []
    for uses_owners in (True, False):
        total = 0.0
        for seed in SEEDS:
            fleet = LargeFleet(seed, uses_owners)
            fleet.offer_wave(RATE_PER_S, UNTIL_MS)
            disturb(fleet)
            total += fleet.run(UNTIL_MS + 4_000).worth
        worths.append(total / len(SEEDS))
    return worths


def test_wave_that_walks_between_regions():
    """Pattern: objects hash unevenly, and the fullest servers queue at the peak."""
    owners, hashing = mean_worths(lambda fleet: None)
    assert owners > hashing + 0.01


def test_release_of_half_of_the_servers():
    """Pattern: each new server takes objects from others that had cached them."""
    owners, hashing = mean_worths(lambda fleet: fleet.release(5_000, 0.46, 4, 900.0))
    assert owners > hashing + 0.01


def test_third_of_the_servers_falls_silent():
    """Pattern: the objects of lost servers fill those that are next by hash."""
    owners, hashing = mean_worths(
        lambda fleet: fleet.lose_silently(5_000, 0.35, 2_500.0)
    )
    assert owners > hashing + 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_cold_servers_stay_within_their_rate(seed):
    fleet = LargeFleet(seed)
    fleet.offer_wave(RATE_PER_S, UNTIL_MS)
    fleet.release(5_000, 0.46, 4, 900.0)
    fleet.run(UNTIL_MS)
    assert max(s.max_cold_arrivals for s in fleet.servers.values()) <= 2.5 * 1.5 + 5


def place_without_leader(fleet, requests_per_host):
    """Return a placement of each host while the leader is lost."""
    for host in fleet.hosts:
        for _ in range(requests_per_host):
            host.budget.record_request("stock")
    fleet.clock._now_ms += STALE_FLEET_MS + 1.0
    return [
        host.place(attrs.evolve(WORK, key=b"%d" % number))
        for number, host in enumerate(fleet.hosts)
    ]


def test_hosts_of_a_large_fleet_place_requests_while_the_leader_is_lost():
    """Pattern: a partition of the coordinators; any server may have restarted."""
    placements = place_without_leader(LargeFleet(1), requests_per_host=5)
    assert all(isinstance(placement, Placement) for placement in placements)


def test_few_hosts_use_a_server_if_its_usual_load_would_harm_a_cold_one():
    zones = {"a": "north", "b": "south"}
    servers = build_servers(zones, {"a": 2, "b": 2}, cold_per_s=COLD_PER_S)
    fleet = SimulationHarness(1, zones, servers, hosts_per_zone=60)
    placements = place_without_leader(fleet, requests_per_host=5)
    used = collections.Counter(
        placement.server.server_id
        for placement in placements
        if isinstance(placement, Placement)
    )
    assert max(used.values()) <= MAX_WARMING_HOSTS
