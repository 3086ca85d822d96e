"""Calls of operators about organisations."""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.coordinator._organisation_calls import OrganisationCalls
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._state import AcceptPlan, OrderState
from bulrushlead.coordinator.tests.test_publisher import (
    SETTINGS,
    FakeLeaderLog,
    sync_usage,
    usage,
)
from bulrushlead.fleet import FleetView
from bulrushlead.metrics import CompactMeters
from bulrushlead.organisations import FindKey, ListOrganisations
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import Organisation, TrafficPlan, key_digest
from bulrushlead.wire import codec

LABS = Organisation("labs", (key_digest(b"k1"),), None, 10.0, 5.0)
MILLS = Organisation("mills", (key_digest(b"k2"),))


@pytest.fixture
def state():
    return OrderState()


@pytest.fixture
def publisher(state):
    clock = ManualClock(1_000_000.0)
    publisher = FleetPublisher(SETTINGS, clock, FleetView(clock), CompactMeters())
    log = FakeLeaderLog()
    publisher.attach(log, state)
    log.callback(True)
    return publisher


async def test_organisations_are_listed_with_their_use(publisher, state):
    plan = TrafficPlan(4, organisations=(LABS, MILLS))
    state.apply(1, codec.encode(AcceptPlan(plan, b"{}")))
    await sync_usage(publisher, "e1", usage(400, (400,) + (0,) * 10))
    reply = await OrganisationCalls(publisher).handle_list(ListOrganisations())
    assert reply.plan_version == 4
    labs, mills = reply.organisations["labs"], reply.organisations["mills"]
    assert (labs.rate_per_s, labs.burst, labs.hosts, labs.keys) == (10.0, 5.0, 1, 1)
    assert labs.demand_per_s > 10.0 > labs.fraction
    assert mills.rate_per_s == 0.0
    assert b"k1" not in codec.encode(reply)


async def test_the_holder_of_a_key_is_found_by_its_digest(publisher, state):
    calls = OrganisationCalls(publisher)
    with pytest.raises(BulrushleadError) as raised:
        await calls.handle_find_key(FindKey(key_digest(b"k1")))
    assert raised.value.code is ResultCode.NOT_FOUND
    plan = TrafficPlan(4, organisations=(LABS, MILLS))
    state.apply(1, codec.encode(AcceptPlan(plan, b"{}")))
    holder = await calls.handle_find_key(FindKey(key_digest(b"k2")))
    assert (holder.organisation, holder.plan_version) == ("mills", 4)
    with pytest.raises(BulrushleadError):
        await calls.handle_find_key(FindKey(key_digest(b"k3")))


async def test_a_follower_answers_neither_call(publisher):
    publisher._log.is_leader = lambda: False
    publisher._log.leader_hint = "10.0.0.9:7000"
    for call in (
        OrganisationCalls(publisher).handle_list(ListOrganisations()),
        OrganisationCalls(publisher).handle_find_key(FindKey(b"x")),
    ):
        with pytest.raises(BulrushleadError) as raised:
            await call
        assert raised.value.code is ResultCode.NOT_LEADER
