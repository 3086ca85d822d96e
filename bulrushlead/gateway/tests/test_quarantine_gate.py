"""How requests that servers may have ended under are placed, without network."""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import Refusal, ServerStats, Work
from bulrushlead.gateway._quarantine_gate import QuarantineGate
from bulrushlead.quarantine import CrashNotice, CrashObserver, SuspectNotice, Trial
from bulrushlead.results import ResultCode

WORK = Work("stock", "read", b"k", True, 300.0, 2_000.0)


class FakeDispatcher:
    def __init__(self, *versions):
        self.servers = [
            ServerStats(f"s{n}", 1, "a:1", "a", "north", "stock", 4, version=version)
            for n, version in enumerate(versions)
        ]

    def ready_servers(self, service):
        return self.servers


@pytest.fixture
def observer():
    return CrashObserver(ManualClock(1_000_000.0))


def learn_crashes(observer, count):
    crashes = {f"x{n}@1": CrashNotice(200.0, 100.0, "v1") for n in range(count)}
    observer.apply("one", {"f": SuspectNotice("stock", crashes)})


async def test_a_request_without_crashes_is_placed_as_usual(observer):
    gate = QuarantineGate(observer, FakeDispatcher("v1"))
    assert await gate.admit("f", WORK) is WORK


async def test_a_suspect_is_not_placed_at_the_owner_of_its_object(observer):
    """Guards against losing other requests of the object with it each time."""
    learn_crashes(observer, 1)
    work = await QuarantineGate(observer, FakeDispatcher("v1")).admit("f", WORK)
    assert not work.sticky


async def test_a_quarantined_request_is_refused_without_asking_for_a_trial(observer):
    learn_crashes(observer, 3)
    gate = QuarantineGate(observer, FakeDispatcher("v1"))
    refusal = await gate.admit("f", WORK)
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.REQUEST_QUARANTINED
    assert refusal.retry_after_ms > 0


async def test_a_trial_of_a_release_leaves_out_the_versions_that_ended(observer):
    """Guards against a trial that ends one more server of the faulty version."""
    learn_crashes(observer, 3)
    gate = QuarantineGate(observer, FakeDispatcher("v1", "v2"))

    async def grant(fingerprint):
        return Trial.RELEASE

    gate.request_trial = grant
    assert (await gate.admit("f", WORK)).excluded == {"s0"}
