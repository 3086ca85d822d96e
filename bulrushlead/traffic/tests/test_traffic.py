"""Tests of the route table, the weighted split and the validation of plans."""

import collections

import attrs
import pytest

from bulrushlead.results import FaultsError
from bulrushlead.traffic import (
    Route,
    RouteTable,
    ServicePolicy,
    ServiceShare,
    TrafficPlan,
    WeightedSplit,
    check_plan,
)
from bulrushlead.wire import codec

ROUTE = Route(
    "stock", "a.example", "/stock/", (ServiceShare("s1", 1.0),), True, 2e3, 3e2
)
PLAN = TrafficPlan(3, (ROUTE,), (ServicePolicy("s1"), ServicePolicy("s2")))


def with_route(**changes):
    return attrs.evolve(PLAN, routes=(attrs.evolve(ROUTE, **changes),))


def test_longest_matching_prefix_is_selected():
    inner = attrs.evolve(ROUTE, name="inner", path_prefix="/stock/barley/")
    table = RouteTable(attrs.evolve(PLAN, routes=(ROUTE, inner)))
    assert table.find(b"a.example", b"/stock/barley/1?x=/stock/").name == "inner"
    assert table.find(b"A.example:80", b"/stock/oats").name == "stock"
    assert table.find(b"a.example", b"/stock") is None
    assert table.find(b"b.example", b"/stock/oats") is None


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (0, 5), (70, 29, 1)])
def test_split_matches_the_weights(weights):
    shares = tuple(ServiceShare(f"s{i}", w) for i, w in enumerate(weights))
    split = WeightedSplit(shares)
    counts = collections.Counter(split.next_service() for _ in range(300))
    for share in shares:
        expected = 300 * share.weight / sum(weights)
        assert abs(counts[share.service] - expected) <= 1


def test_valid_plan_passes_and_round_trips_through_the_codec():
    check_plan(PLAN)
    assert codec.decode(codec.encode(PLAN)) == PLAN


@pytest.mark.parametrize(
    "changes",
    [
        {"path_prefix": "stock/"},
        {"timeout_ms": 0.0},
        {"target_latency_ms": 62_000.0},
        {"shares": (ServiceShare("unknown", 1.0),)},
        {"shares": (ServiceShare("s1", -1.0), ServiceShare("s2", 2.0))},
        {"shares": (ServiceShare("s1", 0.0),)},
        {"shares": ()},
    ],
)
def test_plan_with_a_fault_is_refused(changes):
    with pytest.raises(FaultsError):
        check_plan(with_route(**changes))


@pytest.mark.parametrize(
    "changes",
    [
        {"name": "twin"},
        {"shares": (ServiceShare("s2", 1.0),)},
        {"shares": (ServiceShare("s1", 2.0),)},
        {"idempotent": False},
        {"timeout_ms": 1e3},
        {"max_attempts": 2},
        {"allowed_regions": ("north",)},
        {"public": True},
    ],
)
def test_two_routes_with_the_same_host_and_path_are_refused(changes):
    """Guards against accepting a route that never takes effect, by its name."""
    twin = attrs.evolve(ROUTE, **changes)
    with pytest.raises(FaultsError, match="stock"):
        check_plan(attrs.evolve(PLAN, routes=(ROUTE, twin)))


def test_a_route_that_is_given_twice_is_allowed():
    check_plan(attrs.evolve(PLAN, routes=(ROUTE, attrs.evolve(ROUTE))))


def test_routes_with_one_name_are_allowed():
    """Guards against refusing names that nothing declares to be unique."""
    other = attrs.evolve(ROUTE, host="b.example", shares=(ServiceShare("s2", 1.0),))
    check_plan(attrs.evolve(PLAN, routes=(ROUTE, other)))


def test_target_latency_slightly_above_the_timeout_is_allowed():
    check_plan(with_route(target_latency_ms=60_000.0))
