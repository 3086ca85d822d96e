"""Calls of hosts and operators about requests under which servers ended."""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._state import OrderState
from bulrushlead.coordinator._suspect_calls import SuspectCalls
from bulrushlead.coordinator.tests.test_publisher import (
    SETTINGS,
    FakeLeaderLog,
    announce,
    sync,
)
from bulrushlead.fleet import FleetView
from bulrushlead.metrics import CompactMeters
from bulrushlead.quarantine import (
    CrashNotice,
    ListQuarantine,
    ReleaseRequest,
    SuspectNotice,
    SuspectReport,
    TrialRequest,
)
from bulrushlead.results import BulrushleadError, ResultCode

THREE_CRASHES = {f"b{n}@1": CrashNotice(200.0 - n, 100.0 - n, "v0") for n in range(3)}
REPORT = SuspectReport("e1", {"bad": SuspectNotice("stock", THREE_CRASHES)})


@pytest.fixture
def publisher():
    clock = ManualClock(1_000_000.0)
    publisher = FleetPublisher(SETTINGS, clock, FleetView(clock), CompactMeters())
    log = FakeLeaderLog()
    publisher.attach(log, OrderState())
    log.callback(True)
    return publisher


@pytest.fixture
def calls(publisher):
    return SuspectCalls(publisher)


async def test_a_report_reaches_all_hosts_with_their_next_update(publisher, calls):
    _, update = await sync(publisher, "e2")
    await calls.handle_report(REPORT)
    _, update = await sync(publisher, "e2", update.position)
    assert set(update.suspects) == {"bad"}
    _, update = await sync(publisher, "e2", update.position)
    assert not update.suspects


async def test_a_host_that_starts_learns_all(publisher, calls):
    await calls.handle_report(REPORT)
    _, update = await sync(publisher, "e3")
    assert set(update.suspects) == {"bad"}


async def test_a_follower_knows_what_its_leader_knew(publisher, calls):
    """Guards against a successor that lets a refused request start anew."""
    await calls.handle_report(REPORT)
    _, update = await sync(publisher, "core-2")
    clock = ManualClock(1_000_000.0)
    follower = FleetPublisher(SETTINGS, clock, FleetView(clock), CompactMeters())
    follower.apply_published(update)
    assert follower.suspects.quarantined == {"bad"}


async def test_one_host_gets_the_trial_at_servers_of_another_version(publisher, calls):
    """Guards against two hosts that send a refused request at the same time."""
    await calls.handle_report(REPORT)
    assert (await calls.handle_trial_request(TrialRequest("e1", "bad"))).trial == ""
    await announce(publisher, 1)  # version v1
    assert (await calls.handle_trial_request(TrialRequest("e1", "bad"))).trial
    assert (await calls.handle_trial_request(TrialRequest("e2", "bad"))).trial == ""


async def test_operators_list_and_release_refused_requests(publisher, calls):
    await calls.handle_report(REPORT)
    reply = await calls.handle_list(ListQuarantine())
    assert set(reply.requests["bad"].crashes) == set(THREE_CRASHES)
    await calls.handle_release(ReleaseRequest("bad"))
    assert not (await calls.handle_list(ListQuarantine())).requests
    with pytest.raises(BulrushleadError) as caught:
        await calls.handle_release(ReleaseRequest("bad"))
    assert caught.value.code is ResultCode.NOT_FOUND
