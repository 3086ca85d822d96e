"""Pattern: all coordinators restart, and their leader meets the hosts one by one.

The shares of a limit that holds for all hosts must not grow meanwhile.
"""

import attrs
import pytest

from bulrushlead.dispatch._recent_hosts import HOLD_MS
from bulrushlead.dispatch.tests.model import SimulationHarness, build_servers
from bulrushlead.dispatch.tests.test_parts import ZONES

RETRY_SLACK = 60


@pytest.fixture
def fleet():
    servers = build_servers(ZONES, {"a": 2, "b": 2}, cold_per_s=2.0)
    return SimulationHarness(1, ZONES, servers, hosts_per_zone=40)


def list_hosts(fleet, count):
    fleet.view.hosts = fleet.records[:count]
    for host in fleet.hosts:
        host.update(fleet.view)


def allowed_retries(host):
    count = 0
    while host.budget.allows("stock"):
        host.budget.record_retry("stock")
        count += 1
    return count


# Each host took the whole slack for its own while the leader listed only itself.
def test_retries_stay_within_the_slack_while_few_hosts_are_listed(fleet):
    list_hosts(fleet, 1)
    assert sum(allowed_retries(host) for host in fleet.hosts) <= RETRY_SLACK


def test_hosts_that_share_a_rate_stay_the_same_while_few_hosts_are_listed(fleet):
    before = [host.warmup._share("a-0", "north") for host in fleet.hosts]
    list_hosts(fleet, 1)
    assert [host.warmup._share("a-0", "north") for host in fleet.hosts] == before


def test_host_that_stays_away_is_forgotten(fleet):
    host = fleet.hosts[0]
    list_hosts(fleet, 10)
    fleet.clock._now_ms += HOLD_MS + 1
    list_hosts(fleet, 10)
    assert host.budget.host_count == 10


def test_listed_host_that_does_not_accept_callers_does_not_count(fleet):
    fleet.view.hosts = tuple(
        attrs.evolve(record, accepting=False) for record in fleet.records[1:]
    )
    fleet.hosts[0].update(fleet.view)
    assert fleet.hosts[0].budget.host_count == 1
