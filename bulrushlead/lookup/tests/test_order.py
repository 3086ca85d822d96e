import math

import attrs
import pytest

from bulrushlead.declaration import Link
from bulrushlead.lookup import EntryHostOrder, EntryHostView, HostState

N_CALLERS = 20_000
CALLERS = [f"198.51.{n >> 8}.{n & 255}".encode() for n in range(N_CALLERS)]


def make_host(name, capacity_rps=100, region="casa", state=HostState.SERVING):
    return EntryHostView(name, "192.0.2.1:80", region, region, capacity_rps, state)


def first_names(hosts):
    order = EntryHostOrder(hosts)
    return [order.order(caller, "casa", 1)[0].name for caller in CALLERS]


def margin(share):
    """Return five standard deviations of a share observed over all callers."""
    return 5 * math.sqrt(share * (1 - share) / N_CALLERS)


def test_callers_spread_in_proportion_to_capacity():
    hosts = [make_host("a", 100), make_host("b", 200), make_host("c", 500)]
    names = first_names(hosts)
    for host in hosts:
        share = host.capacity_rps / 800
        assert abs(names.count(host.name) / N_CALLERS - share) <= margin(share)


@pytest.mark.parametrize("n_hosts", [3, 11])
def test_removing_a_host_moves_only_its_own_callers(n_hosts):
    hosts = [make_host(f"e{index}") for index in range(n_hosts)]
    before = first_names(hosts)
    after = first_names(hosts[1:])
    for old, new in zip(before, after, strict=True):
        assert old == "e0" or new == old
    moved = before.count("e0") / N_CALLERS
    assert moved <= 1 / n_hosts + margin(1 / n_hosts)


@pytest.mark.parametrize("state", [HostState.DRAINING, HostState.GONE])
def test_hosts_that_do_not_serve_are_omitted(state):
    hosts = [make_host("a"), make_host("b", state=state), make_host("c")]
    order = EntryHostOrder(hosts)
    for caller in CALLERS[:200]:
        assert {host.name for host in order.order(caller, "casa", 3)} == {"a", "c"}


def test_removing_a_host_keeps_the_order_of_the_others():
    hosts = [make_host(f"e{index}") for index in range(5)]
    order, without = EntryHostOrder(hosts), EntryHostOrder(hosts[1:])
    for caller in CALLERS[:500]:
        full = order.order(caller, "casa", 5)
        rest = tuple(host for host in full if host.name != "e0")
        assert without.order(caller, "casa", 5) == rest


def test_home_region_comes_first_then_others_by_latency():
    links = [Link("casa", "fes", 1, 35.0), Link("casa", "agadir", 1, 20.0)]
    hosts = [
        make_host("f", region="fes"),
        make_host("x", region="elsewhere"),
        make_host("g", region="agadir"),
        make_host("c", region="casa"),
    ]
    order = EntryHostOrder(hosts, links)
    names = [host.name for host in order.order(b"caller", "casa", 9)]
    assert names == ["c", "g", "f", "x"]
    drained = attrs.evolve(hosts[3], state=HostState.DRAINING)
    order = EntryHostOrder([*hosts[:3], drained], links)
    assert [host.name for host in order.order(b"caller", "casa", 1)] == ["g"]


def test_callers_without_home_region_spread_over_all_hosts():
    hosts = [make_host("a", region="fes"), make_host("b", region="casa")]
    order = EntryHostOrder(hosts)
    firsts = {order.order(caller, "", 1)[0].name for caller in CALLERS[:100]}
    assert firsts == {"a", "b"}
    assert EntryHostOrder([]).order(b"caller", "casa", 2) == ()
