"""Keys: who holds them, and how long a host may rely on them without news."""

import pytest

from bulrushlead.organisations import (
    ANYONE,
    Access,
    OrganisationSettings,
    common_regions,
)
from bulrushlead.organisations._access import RECENT_MS
from bulrushlead.organisations.tests.model import SteppedClock
from bulrushlead.results import ResultCode
from bulrushlead.traffic import Organisation, TrafficPlan, key_digest

LEASE_MS = 4_500.0
LABS = Organisation("labs", (key_digest(b"k1"), key_digest(b"k2")), None, 0.0, 0.0)


@pytest.fixture
def access():
    access = Access(SteppedClock(1_000.0), OrganisationSettings(LEASE_MS))
    access.set_plan(TrafficPlan(1, organisations=(LABS,)))
    access.confirm(1_000.0)
    return access


@pytest.mark.parametrize("key", [b"k1", b"k2", b" k1\t"])
def test_every_key_of_an_organisation_identifies_it(access, key):
    assert access.identify([key], False).name == "labs"


@pytest.mark.parametrize(
    "keys",
    [[], [b""], [b"k3"], [b"K1"], [b"k1", b"k1"], [b"k1", b"k3"], [b"k1,k2"]],
    ids=["none", "empty", "unknown", "case", "twice", "two", "list"],
)
def test_anything_but_one_known_key_is_unknown(access, keys):
    assert access.identify(keys, False) is ResultCode.UNKNOWN_KEY


def test_public_routes_need_no_key(access):
    assert access.identify([b"k3"], True) is ANYONE


def test_without_organisations_nobody_needs_a_key(access):
    access.set_plan(TrafficPlan(2))
    assert access.identify([], False) is ANYONE


def test_a_host_with_old_news_does_not_call_a_key_unknown(access):
    """Guards against 401 for a key that was added a moment ago."""
    access.clock.advance(RECENT_MS + 1)
    assert access.identify([b"k3"], False) is ResultCode.KEYS_UNCONFIRMED


def test_a_key_may_be_used_until_the_lease_ends(access):
    caller = access.identify([b"k1"], False)
    access.clock.advance(LEASE_MS - 1)
    assert access.is_current(caller)
    access.clock.advance(1)
    assert not access.is_current(caller)
    access.confirm(access.clock.now_ms())
    assert access.is_current(caller)


def test_the_lease_counts_from_the_question(access):
    """Guards against a late answer that extends the lease."""
    caller = access.identify([b"k1"], False)
    access.clock.advance(LEASE_MS + 100)
    access.confirm(1_500.0)
    assert access.is_current(caller)
    access.confirm(1_200.0)  # an earlier question, answered later
    access.clock.advance(400)
    assert not access.is_current(caller)


def test_a_request_that_waited_is_stopped_when_its_key_is_withdrawn(access):
    caller = access.identify([b"k1"], False)
    withdrawn = Organisation("labs", LABS.key_digests[1:])
    access.set_plan(TrafficPlan(2, organisations=(withdrawn,)))
    assert not access.is_current(caller)
    assert access.identify([b"k1"], False) is ResultCode.UNKNOWN_KEY
    assert access.identify([b"k2"], False).name == "labs"


def test_without_strict_withdrawal_keys_hold_without_news():
    access = Access(SteppedClock(0.0), OrganisationSettings())
    access.set_plan(TrafficPlan(1, organisations=(LABS,)))
    access.confirm(0.0)
    access.clock.advance(60_000.0)
    assert access.is_current(access.identify([b"k1"], False))


@pytest.mark.parametrize(
    "route, own, both",
    [
        ((), (), ()),
        (("n",), (), ("n",)),
        ((), ("s",), ("s",)),
        (("n", "s"), ("s", "e"), ("s",)),
        (("n",), ("s",), None),
    ],
)
def test_regions_of_route_and_organisation_both_bind(access, route, own, both):
    organisation = Organisation("labs", LABS.key_digests, allowed_regions=own)
    access.set_plan(TrafficPlan(2, organisations=(organisation,)))
    caller = access.identify([b"k1"], False)
    assert common_regions(route, caller) == both
