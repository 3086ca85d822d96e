"""Which requests have the highest rank of their service."""

import attrs
import pytest

from bulrushlead.gateway._active_plan import ActivePlan
from bulrushlead.organisations import ANYONE, Caller
from bulrushlead.traffic import Organisation, Route, ServiceShare, TrafficPlan

SHARES = (ServiceShare("stock", 1.0),)
READ = Route("read", "h", "/read/", SHARES, True, 3e3, 3e2, 2)
ORDER = Route("order", "h", "/order/", SHARES, False, 3e3, 3e2, 1)
FIRST = Organisation("first", priority=1)
LAST = Organisation("last", priority=5)
PLAIN = Organisation("plain")


def urgent(route, organisation, *organisations):
    plan = ActivePlan(TrafficPlan(1, (READ, ORDER), organisations=organisations))
    caller = Caller(organisation) if organisation is not None else ANYONE
    return plan.is_urgent(route, "stock", caller)


@pytest.mark.parametrize("route, is_urgent", [(ORDER, True), (READ, False)])
def test_without_organisations_the_rank_of_the_route_counts(route, is_urgent):
    assert urgent(route, None) is is_urgent


@pytest.mark.parametrize("route", [ORDER, READ])
def test_the_rank_of_the_organisation_replaces_that_of_the_route(route):
    assert urgent(route, FIRST, FIRST, LAST)
    assert not urgent(route, LAST, FIRST, LAST)


def test_an_organisation_without_a_rank_keeps_that_of_the_route():
    assert urgent(ORDER, PLAIN, PLAIN, LAST)
    assert not urgent(READ, PLAIN, PLAIN, LAST)


def test_a_route_that_no_request_ranks_by_makes_nobody_less_urgent():
    """Guards against refusing all organisations first for a rank that nobody has."""
    assert urgent(READ, LAST, LAST)


def test_the_rank_of_a_public_route_counts():
    public = attrs.evolve(ORDER, public=True)
    plan = ActivePlan(TrafficPlan(1, (READ, public), organisations=(LAST,)))
    assert plan.is_urgent(public, "stock", ANYONE)
    assert not plan.is_urgent(READ, "stock", Caller(LAST))
