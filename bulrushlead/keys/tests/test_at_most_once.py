"""Compares the results that callers get with the executions on the server.

A request must not run twice, and no caller may get "not run" after it has run,
under random faults of hosts and control calls and real faults of a server.
"""

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
    """Several sends of one key through hosts that crash, with faulty control calls."""

    def __init__(self, planned_faults):
        self.clock = ManualClock()
        self.control = FakeControl()
        self.control.planned_faults.extend(planned_faults)
        self.incarnation = 0
        self.hosts = {name: self.build_host(name) for name in HOSTS}
        self.executions = 0
        self.results = []
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
            self.results.append(answer.body)
        except ForwardError as error:
            self.results.append((error.ran, self.executions))

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
    """An event of a schedule, and the pause after it."""

    kind: str
    host: str = "h1"
    end: str = ""
    pause_ms: int = 0


def draw_schedule(random):
    """Return random steps and the faults of the control calls."""
    steps = [
        Step(
            kind=random.choice(KINDS),
            host=random.choice(HOSTS),
            end=random.choice(ENDS),
            pause_ms=random.choice([0, 0, 1, 20, 50, 300, 800]),
        )
        for _ in range(random.randint(1, 8))
    ]
    planned_faults = [
        random.choice([None, None, *Fault]) for _ in range(random.randint(0, 12))
    ]
    return steps, planned_faults


@pytest.mark.parametrize("seed", range(8))
def test_no_schedule_runs_a_key_twice(seed):
    random = Random(seed)
    for _ in range(50):
        asyncio.run(run_schedule(*draw_schedule(random)))


def test_caller_gets_not_run_before_a_resend_may_run():
    """Recording the outcome first would let a resend run before the error returns."""
    refused, resend = Step("send", "h1", "refused", 50), Step("send", "h1", "ok")
    planned_faults = [None, Fault.REPLY_LOST, Fault.REPLY_LOST]
    asyncio.run(run_schedule([refused, resend], planned_faults))


async def run_schedule(steps, planned_faults):
    scenario = Scenario(planned_faults)
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
    trace = f"steps: {steps}, faults: {planned_faults}, results: {scenario.results}"
    assert scenario.executions <= 1, trace
    for result in scenario.results:
        if isinstance(result, tuple):
            ran, executions_then = result
            assert ran is not Ran.NO or executions_then == 0, trace
        else:
            assert result == b"1", trace


class LoopbackHarness:
    """Entry hosts and a real backend server on loopback."""

    async def start(self):
        # Deadlines on entry hosts pass only when a test advances this clock.
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

    def build_host(self, name):
        return KeyCoordinator(self.clock, self.control, KeySettings(name, "i1"))

    async def send_order(self, host, key, body=b"12 bales"):
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
async def harness():
    harness = LoopbackHarness()
    await harness.start()
    yield harness
    await harness.close()


@pytest.mark.parametrize(
    ("faults", "runs", "first_result", "resend_result"),
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
async def test_results_match_the_execution_log(
    harness, faults, runs, first_result, resend_result
):
    async def send(host):
        try:
            return (await harness.send_order(host, "k1")).status
        except ForwardError as error:
            return error.ran

    harness.server.faults = faults
    assert await send(harness.build_host("h1")) == first_result
    harness.server.faults = ServerFaults()
    assert await send(harness.build_host("h2")) == resend_result
    assert await send(harness.build_host("h1")) == resend_result
    assert len(harness.server.executions_of("k1")) == runs


async def gather_advancing_clock(harness, *orders):
    """Return the answers; advance the clock so that waiting hosts poll again."""
    gathered = asyncio.gather(*orders)
    while not gathered.done():
        await harness.clock.advance_ms(1)
    return await gathered


async def test_many_sends_of_many_keys_each_run_once(harness):
    hosts = [harness.build_host(f"h{number}") for number in range(4)]
    keys = [f"k{number}" for number in range(8)]
    sends = [(host, key) for key in keys for host in hosts]
    answers = await gather_advancing_clock(
        harness, *(harness.send_order(*send) for send in sends)
    )
    for (_, key), answer in zip(sends, answers, strict=True):
        [execution] = harness.server.executions_of(key)
        reported = json.loads(answer.body)
        assert (reported["key"], reported["execution"]) == (key, execution.sequence)


async def ran_of_error(order):
    with pytest.raises(ForwardError) as caught:
        await order
    return caught.value.ran


async def test_a_request_past_its_deadline_is_never_run_again(harness):
    harness.server.faults.gate = asyncio.Event()
    order = asyncio.create_task(harness.send_order(harness.build_host("h1"), "k1"))
    await harness.server.wait_running(1)
    await harness.clock.advance_ms(5_000)
    assert await ran_of_error(order) is Ran.UNKNOWN
    await harness.server.wait_running(0)
    harness.server.faults.gate.set()
    assert (
        await ran_of_error(harness.send_order(harness.build_host("h2"), "k1"))
        is Ran.UNKNOWN
    )
    assert len(harness.server.executions_of("k1")) == 1


async def test_an_entry_host_crash_during_a_run_leaves_it_unknown(harness):
    harness.server.faults.gate = asyncio.Event()
    host = harness.build_host("h1")
    order = asyncio.create_task(harness.send_order(host, "k1"))
    await harness.server.wait_running(1)
    await host.abort()
    await asyncio.wait({order})
    await harness.server.wait_running(0)
    harness.control.fail_over()
    harness.server.faults.gate.set()
    waiting = asyncio.create_task(harness.send_order(harness.build_host("h2"), "k1"))
    harness.control.apply(AbandonHost("h1", live_incarnation="i2"))
    [ran] = await gather_advancing_clock(harness, ran_of_error(waiting))
    assert ran is Ran.UNKNOWN
    assert [key.key for key in harness.control.state.list_unknown()] == ["k1"]
    assert len(harness.server.executions_of("k1")) == 1


async def test_a_leader_change_during_a_run_runs_nothing_twice(harness):
    harness.server.faults.gate = asyncio.Event()
    orders = [asyncio.create_task(harness.send_order(harness.build_host("h1"), "k1"))]
    await harness.server.wait_running(1)
    harness.control.fail_over()
    orders += [
        asyncio.create_task(harness.send_order(harness.build_host(f"h{n}"), "k1"))
        for n in (2, 3)
    ]
    harness.control.planned_faults.extend(
        [Fault.REPLY_LOST, Fault.TWICE, Fault.CALL_LOST]
    )
    harness.server.faults.gate.set()
    answers = await gather_advancing_clock(harness, *orders)
    assert answers[0] == answers[1] == answers[2]
    assert len(harness.server.executions_of("k1")) == 1
