"""What callers are told, compared with what ran, under random and real faults."""

import asyncio
import json
from random import Random

import attrs
import pytest
from multidict import CIMultiDict

from bulrushlead.backend import (
    ClosePoint,
    SampleServer,
    SampleServerSettings,
    ServerFaults,
)
from bulrushlead.clock import ManualClock, MonotonicClock
from bulrushlead.forwarding import (
    ForwardAnswer,
    Forwarder,
    ForwardError,
    ForwardRequest,
)
from bulrushlead.keys import (
    AbandonHost,
    KeyCoordinator,
    KeySettings,
    request_digest,
)
from bulrushlead.keys.tests.control import FakeControl, Fault
from bulrushlead.results import Ran, ResultCode

DIGEST = request_digest("POST", "/orders", b"")
HOSTS = ["h1", "h2"]
KINDS = ["send"] * 8 + ["crash", "abandon", "fail_over", "leave"]
ENDS = ["ok", "lost", "refused"]


class Scenario:
    """Several sends of one key over hosts that crash, with a faulty leader."""

    def __init__(self, plan):
        self.clock = ManualClock()
        self.control = FakeControl()
        self.control.plan.extend(plan)
        self.incarnation = 0
        self.hosts = {name: self.build_host(name) for name in HOSTS}
        self.executions = 0
        self.told = []
        self.callers = []

    def build_host(self, name):
        self.incarnation += 1
        settings = KeySettings(name, f"i{self.incarnation}", abandon_after_ms=3_000)
        return KeyCoordinator(self.clock, self.control, settings)

    def send(self, host, end):
        caller = asyncio.create_task(self.call(self.hosts[host], end))
        self.callers.append(caller)

    async def call(self, host, end):
        async def attempt():
            if end == "refused":
                raise ForwardError(ResultCode.BACKEND_REFUSED, "refused")
            self.executions += 1
            number = self.executions
            await self.clock.sleep_ms(300)
            if end == "lost":
                raise ForwardError(ResultCode.ANSWER_LOST, "broke")
            return ForwardAnswer(200, CIMultiDict(), b"%d" % number)

        deadline_ms = self.clock.now_ms() + 2_000
        try:
            answer = await host.run("k", "stock", DIGEST, attempt, deadline_ms)
            self.told.append(answer.body)
        except ForwardError as error:
            self.told.append((error.ran, self.executions))

    async def crash(self, name):
        await self.hosts[name].abort()
        self.hosts[name] = self.build_host(name)

    async def finish(self):
        await self.clock.advance_ms(10_000)
        await asyncio.gather(*self.callers, return_exceptions=True)
        for host in self.hosts.values():
            await host.abort()


@attrs.frozen
class Step:
    """What happens, and the time that passes before the next step."""

    kind: str
    host: str = "h1"
    end: str = ""
    pause_ms: int = 0


def draw_schedule(random):
    """Return random steps and the faults of the way to the leader."""
    steps = [
        Step(
            kind=random.choice(KINDS),
            host=random.choice(HOSTS),
            end=random.choice(ENDS),
            pause_ms=random.choice([0, 0, 1, 20, 50, 300, 800]),
        )
        for _ in range(random.randint(1, 8))
    ]
    plan = [random.choice([None, None, *Fault]) for _ in range(random.randint(0, 12))]
    return steps, plan


@pytest.mark.parametrize("seed", range(8))
def test_no_schedule_runs_a_key_twice(seed):
    random = Random(seed)
    for _ in range(50):
        asyncio.run(play(*draw_schedule(random)))


def test_not_run_is_told_before_a_resend_may_run():
    refused, resend = Step("send", "h1", "refused", 50), Step("send", "h1", "ok")
    plan = [None, Fault.REPLY_LOST, Fault.REPLY_LOST]
    asyncio.run(play([refused, resend], plan))


async def play(steps, plan):
    scenario = Scenario(plan)
    for step in steps:
        if step.kind == "send":
            scenario.send(step.host, step.end)
        elif step.kind == "crash":
            await scenario.crash(step.host)
        elif step.kind == "abandon":
            scenario.control.apply(AbandonHost(step.host))
        elif step.kind == "leave" and scenario.callers:
            scenario.callers.pop().cancel()
        elif step.kind == "fail_over":
            scenario.control.fail_over()
        await scenario.clock.advance_ms(step.pause_ms)
    await scenario.finish()
    trace = f"steps: {steps}, plan: {plan}, told: {scenario.told}"
    assert scenario.executions <= 1, trace
    for told in scenario.told:
        if isinstance(told, tuple):
            ran, executions_then = told
            assert ran is not Ran.NO or executions_then == 0, trace
        else:
            assert told == b"1", trace


class Site:
    """Two entry hosts and a real backend server on loopback."""

    async def start(self):
        # Entry hosts' deadlines pass only when a test says so.
        self.clock = ManualClock()
        self.server = SampleServer(
            SampleServerSettings("stock-1", "stock", "fes", "fes-a", slots=8),
            MonotonicClock(),
        )
        await self.server.start()
        self.forwarder = Forwarder(self.clock)
        await self.forwarder.start()
        self.control = FakeControl()

    async def close(self):
        await self.forwarder.close()
        await self.server.close()

    def host(self, name):
        return KeyCoordinator(self.clock, self.control, KeySettings(name, "i1"))

    async def order(self, host, key, body=b"12 bales"):
        request = ForwardRequest(
            method="POST",
            path_qs="/orders",
            headers=CIMultiDict(),
            body=body,
            deadline_ms=self.clock.now_ms() + 5_000,
            idempotency_key=key,
        )
        digest = request_digest("POST", "/orders", body)

        async def attempt():
            return await self.forwarder.forward(self.server.describe_server(), request)

        return await host.run(key, "stock", digest, attempt, request.deadline_ms)


@pytest.fixture
async def site():
    site = Site()
    await site.start()
    yield site
    await site.close()


@pytest.mark.parametrize(
    ("faults", "runs", "first_told", "then_told"),
    [
        (ServerFaults(), 1, 200, 200),
        (ServerFaults(status=500), 1, 500, 500),
        (ServerFaults(refuse=True), 1, Ran.NO, 200),
        (ServerFaults(truncate=True), 1, Ran.UNKNOWN, Ran.UNKNOWN),
        (
            ServerFaults(close_at=ClosePoint.BEFORE_RUNNING),
            0,
            Ran.UNKNOWN,
            Ran.UNKNOWN,
        ),
        (
            ServerFaults(close_at=ClosePoint.AFTER_RUNNING),
            1,
            Ran.UNKNOWN,
            Ran.UNKNOWN,
        ),
    ],
)
async def test_callers_are_told_what_the_execution_log_holds(
    site, faults, runs, first_told, then_told
):
    async def told(host):
        try:
            return (await site.order(host, "k1")).status
        except ForwardError as error:
            return error.ran

    site.server.faults = faults
    assert await told(site.host("h1")) == first_told
    site.server.faults = ServerFaults()
    assert await told(site.host("h2")) == then_told
    assert await told(site.host("h1")) == then_told
    assert len(site.server.executions_of("k1")) == runs


async def while_time_passes(site, *orders):
    """Return the answers, moving the clock so that waiting hosts ask again."""
    together = asyncio.gather(*orders)
    while not together.done():
        await site.clock.advance_ms(1)
    return await together


async def test_many_sends_of_many_keys_each_run_once(site):
    hosts = [site.host(f"h{number}") for number in range(4)]
    keys = [f"k{number}" for number in range(8)]
    sends = [(host, key) for key in keys for host in hosts]
    answers = await while_time_passes(site, *(site.order(*send) for send in sends))
    for (_, key), answer in zip(sends, answers, strict=True):
        [execution] = site.server.executions_of(key)
        told = json.loads(answer.body)
        assert (told["key"], told["execution"]) == (key, execution.sequence)


async def refused(order):
    with pytest.raises(ForwardError) as caught:
        await order
    return caught.value.ran


async def test_a_deadline_in_the_middle_of_a_run_is_never_run_again(site):
    site.server.faults.gate = asyncio.Event()
    order = asyncio.create_task(site.order(site.host("h1"), "k1"))
    await site.server.wait_running(1)
    await site.clock.advance_ms(5_000)
    assert await refused(order) is Ran.UNKNOWN
    await site.server.wait_running(0)
    site.server.faults.gate.set()
    assert await refused(site.order(site.host("h2"), "k1")) is Ran.UNKNOWN
    assert len(site.server.executions_of("k1")) == 1


async def test_an_entry_host_that_dies_in_the_middle_of_a_run(site):
    site.server.faults.gate = asyncio.Event()
    host = site.host("h1")
    order = asyncio.create_task(site.order(host, "k1"))
    await site.server.wait_running(1)
    await host.abort()
    await asyncio.wait({order})
    await site.server.wait_running(0)
    site.control.fail_over()
    site.server.faults.gate.set()
    waiting = asyncio.create_task(site.order(site.host("h2"), "k1"))
    site.control.apply(AbandonHost("h1", live_incarnation="i2"))
    [ran] = await while_time_passes(site, refused(waiting))
    assert ran is Ran.UNKNOWN
    assert [key.key for key in site.control.state.list_unknown()] == ["k1"]
    assert len(site.server.executions_of("k1")) == 1


async def test_a_leader_change_in_the_middle_of_a_run(site):
    site.server.faults.gate = asyncio.Event()
    orders = [asyncio.create_task(site.order(site.host("h1"), "k1"))]
    await site.server.wait_running(1)
    site.control.fail_over()
    orders += [
        asyncio.create_task(site.order(site.host(f"h{n}"), "k1")) for n in (2, 3)
    ]
    site.control.plan.extend([Fault.REPLY_LOST, Fault.TWICE, Fault.CALL_LOST])
    site.server.faults.gate.set()
    answers = await while_time_passes(site, *orders)
    assert answers[0] == answers[1] == answers[2]
    assert len(site.server.executions_of("k1")) == 1
