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
    """Answers when told to; counts what runs at the same time."""

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


class World:
    """One entry host's steering with granted shares and a fake forwarder."""

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
            kick=lambda: None,
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

    async def passes(self, count=5):
        for _ in range(count):
            await asyncio.sleep(0)


async def test_a_request_takes_a_slot_and_returns_it():
    world = World()
    world.forwarder.gate.clear()
    task = world.send()
    await world.passes()
    assert world.holder.free_slots("s1") == 0
    world.forwarder.gate.set()
    assert await task == ANSWER
    assert world.holder.free_slots("s1") == 1


@pytest.mark.parametrize("passes", range(8))
async def test_a_caller_that_leaves_at_any_moment_frees_the_slot(passes):
    world = World()
    world.forwarder.gate.clear()
    first, second = world.send(), world.send()
    await world.passes()
    second.cancel()
    first.cancel()
    third = world.send()
    await world.passes(passes)
    third.cancel()
    await asyncio.gather(first, second, third, return_exceptions=True)
    await world.passes()
    assert world.holder.free_slots("s1") == 1
    assert world.steering.running() == 0


async def test_a_lost_answer_keeps_the_slot_until_the_deadline():
    world = World()
    world.forwarder.error = ForwardError(ResultCode.ANSWER_LOST, "broke")
    with pytest.raises(ForwardError):
        await world.send("POST", timeout_ms=800.0)
    assert world.holder.free_slots("s1") == 0
    await world.clock.advance_ms(799)
    assert world.holder.free_slots("s1") == 0
    await world.clock.advance_ms(2)
    assert world.holder.free_slots("s1") == 1


async def test_nothing_starts_after_the_lease_ran_out():
    world = World()
    await world.clock.advance_ms(LEASE_MS + 1)
    with pytest.raises(BulrushleadError) as caught:
        await world.send()
    assert caught.value.code is ResultCode.NO_LEASE
    assert caught.value.info.ran is Ran.NO
    assert world.forwarder.servers == []


async def test_a_keyed_request_refused_before_its_claim_is_unknown():
    world = World()
    await world.clock.advance_ms(LEASE_MS + 1)
    with pytest.raises(ForwardError) as caught:
        await world.send("POST", key="k")
    assert caught.value.ran is Ran.UNKNOWN


async def test_a_full_host_refuses_at_once_what_cannot_finish_in_time():
    world = World()
    world.forwarder.gate.clear()
    running = world.send(timeout_ms=900.0)
    await world.passes()
    late = world.send(timeout_ms=60.0)
    await world.passes()
    with pytest.raises(AdmissionRefusedError) as caught:
        await late
    assert caught.value.retry_after_ms >= 0
    running.cancel()


async def test_a_repeatable_request_moves_to_another_server_with_its_slot():
    world = World(slots=(("s1", "casa", 1), ("s2", "casa", 1)))

    async def fail_once(server, request):
        world.forwarder.servers.append(server.name)
        if len(world.forwarder.servers) == 1:
            raise ForwardError(ResultCode.CONNECT_FAILED, "refused")
        return ANSWER

    world.forwarder.forward = fail_once
    assert await world.send() == ANSWER
    assert sorted(world.forwarder.servers) == ["s1", "s2"]
    assert [world.holder.free_slots(name) for name in ("s1", "s2")] == [1, 1]


async def test_another_region_is_used_only_within_the_link_both_ways():
    world = World(slots=(("s9", "fes", 4),))
    world.forwarder.gate.clear()
    tasks = [world.send() for _ in range(4)]
    await world.passes(10)
    # Two answers of 500 bytes fill the 1,000 bytes of the way back.
    assert world.forwarder.servers == ["s9", "s9"]
    for task in tasks:
        task.cancel()


async def test_failed_attempts_count_on_the_link_as_if_fully_sent():
    world = World(slots=(("s9", "fes", 4),))
    world.forwarder.error = ForwardError(ResultCode.DEADLINE_EXPIRED, "late")
    for _ in range(2):
        with pytest.raises(ForwardError):
            await world.send("POST")
    assert world.limits.reserve_link("fes", 100, 500) is None


async def test_a_caller_that_hangs_up_does_not_shrink_a_shift():
    declaration = attrs.evolve(DECLARATION, shifts=(SHIFT,))
    world = World(declaration, (("s1", "casa", 50), ("s9", "fes", 50)))
    (gate,) = world.limits.gates()
    observed = []
    gate.observe = lambda latency_ms, ok, *, shifted: observed.append(ok)
    world.forwarder.gate.clear()
    task = world.send()
    await world.passes()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert observed == []
    world.forwarder.gate.set()
    await world.send()
    assert observed == [True]


async def test_a_burst_keeps_its_slots_wanted_after_it_has_passed():
    world = World(slots=(("s1", "casa", 4),))
    world.forwarder.gate.clear()
    tasks = [world.send() for _ in range(4)]
    await world.passes()
    world.forwarder.gate.set()
    await asyncio.gather(*tasks)
    world.steering.wake()
    (demand,) = world.holder.build_request().demands
    assert (demand.service, demand.region, demand.waiting) == ("stock", "casa", 4)
    await world.clock.advance_ms(60_000)
    world.steering.wake()
    assert world.holder.build_request().demands == ()
