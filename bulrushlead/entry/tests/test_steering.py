"""Tests of `Steering` with real leases, limits and router, and a fake forwarder.

They guard against slots that leak or are released too early, against requests that
start without a lease, and against links and shifts that exceed their limits.
"""

import asyncio
import random
from types import SimpleNamespace

import attrs
import pytest
from multidict import CIMultiDict

from bulrushlead.backend import BackendServer
from bulrushlead.clock import ManualClock
from bulrushlead.declaration import Declaration, Link, Service, Shift
from bulrushlead.entry import (
    IncomingRequest,
    Placer,
    Steering,
    SteeringParts,
    TrafficLimits,
)
from bulrushlead.forwarding import ForwardAnswer, ForwardError
from bulrushlead.leases import (
    LeaseGrant,
    LeaseHolder,
    LimitKey,
    RateShare,
    SlotShare,
)
from bulrushlead.limits import AdmissionRefusedError
from bulrushlead.metrics import Meters
from bulrushlead.results import BulrushleadError, Ran, ResultCode
from bulrushlead.routing import LatencyAware, Router, RouterSettings

LEASE_MS = 10_000
SHIFT = Shift("move", "stock", "casa", "fes", 50.0, 1_000, 50.0, 100)
DECLARATION = Declaration(
    services=(Service("stock", timeout_ms=1_000, expected_answer_bytes=500),),
    links=(Link("casa", "fes", 10_000), Link("fes", "casa", 1_000)),
)
ANSWER = ForwardAnswer(200, CIMultiDict(), b"done")


class FakeForwarder:
    """Answers or fails when ``gate`` is set; records the servers of the attempts."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.error = None
        self.servers = []

    async def forward(self, server, request):
        self.servers.append(server.name)
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        return ANSWER


class SteeringHarness:
    """The steering of an entry host with granted shares and a fake forwarder."""

    def __init__(self, declaration=DECLARATION, slots=(("s1", "casa", 1),)):
        self.clock = ManualClock()
        self.holder = LeaseHolder(self.clock, "e1", "run")
        self.limits = TrafficLimits(self.clock, self.holder, "casa")
        self.session = SimpleNamespace(
            servers={
                name: BackendServer(
                    name, "stock", region, f"{region}-a", "192.0.2.1:1", "i", 4, 10
                )
                for name, region, _ in slots
            },
            declaration=declaration,
            is_valid=self.holder.is_valid,
            request_sync=lambda: None,
        )
        self.forwarder = FakeForwarder()
        self.router = Router(
            self.clock, random.Random(1), RouterSettings(), LatencyAware()
        )
        self.grant(slots)
        self.limits.set_configuration(declaration)
        placer = Placer(
            self.session,
            self.holder,
            self.limits,
            self.router,
            self.clock,
            "casa",
            "casa-a",
        )
        parts = SteeringParts(
            self.session,
            self.holder,
            self.limits,
            self.router,
            placer,
            self.forwarder,
            None,
            Meters(),
            lambda address: "casa",
        )
        self.steering = Steering(self.clock, "casa", parts)
        self.steering.set_configuration(declaration)

    def grant(self, slots):
        rates = (
            RateShare(LimitKey.for_link("casa", "fes"), 10_000),
            RateShare(LimitKey.for_link("fes", "casa"), 1_000),
            RateShare(LimitKey.for_shift("move", "stock", "casa", "fes"), 1_000),
        )
        request = self.holder.build_request()
        self.holder.apply_grant(
            LeaseGrant(
                "e1",
                "run",
                1,
                request.sequence,
                LEASE_MS,
                tuple(SlotShare(name, "i", count, 5) for name, _, count in slots),
                rates,
            )
        )

    def send(self, method="GET", key=None, timeout_ms=1_000.0):
        incoming = IncomingRequest(
            "stock", method, "/x", CIMultiDict(), b"", "192.0.2.9", timeout_ms, key
        )
        return asyncio.ensure_future(self.steering.serve(incoming))

    async def run_event_loop(self, n_iterations=5):
        for _ in range(n_iterations):
            await asyncio.sleep(0)


async def test_a_request_reserves_and_releases_a_slot():
    harness = SteeringHarness()
    harness.forwarder.gate.clear()
    task = harness.send()
    await harness.run_event_loop()
    assert harness.holder.free_slots("s1") == 0
    harness.forwarder.gate.set()
    assert await task == ANSWER
    assert harness.holder.free_slots("s1") == 1


@pytest.mark.parametrize("n_iterations", range(8))
async def test_cancellation_at_any_point_releases_the_slot(n_iterations):
    harness = SteeringHarness()
    harness.forwarder.gate.clear()
    first, second = harness.send(), harness.send()
    await harness.run_event_loop()
    second.cancel()
    first.cancel()
    third = harness.send()
    await harness.run_event_loop(n_iterations)
    third.cancel()
    await asyncio.gather(first, second, third, return_exceptions=True)
    await harness.run_event_loop()
    assert harness.holder.free_slots("s1") == 1
    assert harness.steering.running() == 0


async def test_a_lost_answer_reserves_the_slot_until_the_deadline():
    harness = SteeringHarness()
    harness.forwarder.error = ForwardError(ResultCode.ANSWER_LOST, "broke")
    with pytest.raises(ForwardError):
        await harness.send("POST", timeout_ms=800.0)
    assert harness.holder.free_slots("s1") == 0
    await harness.clock.advance_ms(799)
    assert harness.holder.free_slots("s1") == 0
    await harness.clock.advance_ms(2)
    assert harness.holder.free_slots("s1") == 1


async def test_no_request_starts_after_the_lease_expired():
    harness = SteeringHarness()
    await harness.clock.advance_ms(LEASE_MS + 1)
    with pytest.raises(BulrushleadError) as caught:
        await harness.send()
    assert caught.value.code is ResultCode.NO_LEASE
    assert caught.value.info.ran is Ran.NO
    assert harness.forwarder.servers == []


async def test_a_keyed_request_refused_before_its_claim_may_have_run():
    harness = SteeringHarness()
    await harness.clock.advance_ms(LEASE_MS + 1)
    with pytest.raises(ForwardError) as caught:
        await harness.send("POST", key="k")
    assert caught.value.ran is Ran.UNKNOWN


async def test_a_full_host_refuses_at_once_if_the_deadline_cannot_be_met():
    harness = SteeringHarness()
    harness.forwarder.gate.clear()
    running = harness.send(timeout_ms=900.0)
    await harness.run_event_loop()
    late = harness.send(timeout_ms=60.0)
    await harness.run_event_loop()
    with pytest.raises(AdmissionRefusedError) as caught:
        await late
    assert caught.value.retry_after_ms >= 0
    running.cancel()


async def test_a_retry_releases_the_slot_of_the_failed_server():
    harness = SteeringHarness(slots=(("s1", "casa", 1), ("s2", "casa", 1)))

    async def fail_once(server, request):
        harness.forwarder.servers.append(server.name)
        if len(harness.forwarder.servers) == 1:
            raise ForwardError(ResultCode.CONNECT_FAILED, "refused")
        return ANSWER

    harness.forwarder.forward = fail_once
    assert await harness.send() == ANSWER
    assert sorted(harness.forwarder.servers) == ["s1", "s2"]
    assert [harness.holder.free_slots(name) for name in ("s1", "s2")] == [1, 1]


async def test_another_region_is_limited_by_the_link_in_both_directions():
    harness = SteeringHarness(slots=(("s9", "fes", 4),))
    harness.forwarder.gate.clear()
    tasks = [harness.send() for _ in range(4)]
    await harness.run_event_loop(10)
    # Two answers of 500 bytes use up the 1,000 bytes/s from fes to casa.
    assert harness.forwarder.servers == ["s9", "s9"]
    for task in tasks:
        task.cancel()


async def test_failed_attempts_count_with_all_reserved_link_bytes():
    harness = SteeringHarness(slots=(("s9", "fes", 4),))
    harness.forwarder.error = ForwardError(ResultCode.DEADLINE_EXPIRED, "late")
    for _ in range(2):
        with pytest.raises(ForwardError):
            await harness.send("POST")
    assert harness.limits.reserve_link("fes", 100, 500) is None


async def test_cancellation_by_the_caller_is_not_observed_by_a_shift():
    declaration = attrs.evolve(DECLARATION, shifts=(SHIFT,))
    harness = SteeringHarness(declaration, (("s1", "casa", 50), ("s9", "fes", 50)))
    (gate,) = harness.limits.gates()
    observed = []
    gate.observe = lambda latency_ms, ok, *, shifted: observed.append(ok)
    harness.forwarder.gate.clear()
    task = harness.send()
    await harness.run_event_loop()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert observed == []
    harness.forwarder.gate.set()
    await harness.send()
    assert observed == [True]


async def test_slot_demand_remains_after_a_burst_and_decays():
    harness = SteeringHarness(slots=(("s1", "casa", 4),))
    harness.forwarder.gate.clear()
    tasks = [harness.send() for _ in range(4)]
    await harness.run_event_loop()
    harness.forwarder.gate.set()
    await asyncio.gather(*tasks)
    harness.steering.wake()
    (demand,) = harness.holder.build_request().demands
    assert (demand.service, demand.region, demand.waiting) == ("stock", "casa", 4)
    await harness.clock.advance_ms(60_000)
    harness.steering.wake()
    assert harness.holder.build_request().demands == ()
