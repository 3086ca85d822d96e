import asyncio

import pytest
from multidict import CIMultiDict

from bulrushlead.clock import ManualClock
from bulrushlead.forwarding import ForwardAnswer, ForwardError
from bulrushlead.keys import (
    AbandonHost,
    AbandonKey,
    ClaimKey,
    FinishKey,
    KeyCoordinator,
    KeyOutcome,
    KeySettings,
    request_digest,
)
from bulrushlead.keys.tests.control import FakeControl, Fault
from bulrushlead.results import Ran, ResultCode

DIGEST = request_digest("POST", "/orders", b"12 bales")
DEADLINE_MS = 5_000


class Harness:
    """Entry hosts on one fake key state; ``runs`` counts executed requests."""

    def __init__(self):
        self.clock = ManualClock()
        self.control = FakeControl()
        self.runs = 0
        self.attempt_started = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self.error = None

    def build_host(self, name="h1", incarnation="i1", **changes):
        settings = KeySettings(name, incarnation, **changes)
        return KeyCoordinator(self.clock, self.control, settings)

    async def attempt(self):
        if self.error is not None and self.error.ran is Ran.NO:
            raise self.error
        self.runs += 1
        number = self.runs
        self.attempt_started.set()
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        return ForwardAnswer(201, CIMultiDict(A="1"), f"order {number}".encode())

    def start(self, host, digest=DIGEST, deadline_ms=DEADLINE_MS):
        return asyncio.create_task(
            host.run("k", "stock", digest, self.attempt, deadline_ms)
        )

    async def run(self, host, **options):
        task = self.start(host, **options)
        for _ in range(200):
            if task.done():
                break
            await self.clock.advance_ms(50)
        return await task

    async def run_expecting_error(self, host, **options):
        with pytest.raises(ForwardError) as caught:
            await self.run(host, **options)
        return caught.value.code, caught.value.ran


@pytest.fixture
def harness():
    return Harness()


async def test_a_resend_to_another_host_gets_the_first_answer(harness):
    first = await harness.run(harness.build_host("h1"))
    again = await harness.run(harness.build_host("h2"))
    assert again == first
    assert harness.runs == 1


@pytest.mark.parametrize("second", ["h1", "h2"])
async def test_concurrent_sends_run_once(harness, second):
    harness.gate.clear()
    first_host = harness.build_host("h1")
    second_host = first_host if second == "h1" else harness.build_host("h2")
    first = harness.start(first_host)
    await harness.attempt_started.wait()
    other = harness.start(second_host)
    await harness.clock.advance_ms(200)
    assert not other.done()
    harness.gate.set()
    await harness.clock.advance_ms(500)
    assert await other == await first
    assert harness.runs == 1


@pytest.mark.parametrize("fault", list(Fault))
async def test_faults_of_control_calls_run_nothing_twice(harness, fault):
    # If the first fault loses the reply to the claim, the retry has no fault and
    # the second fault hits the record of the outcome.
    harness.control.planned_faults.extend(
        [fault, None, fault] if fault is not Fault.TWICE else []
    )
    answer = await harness.run(harness.build_host("h1"))
    await harness.clock.advance_ms(2_000)
    harness.control.fail_over()
    assert await harness.run(harness.build_host("h2"), deadline_ms=60_000) == answer
    assert harness.runs == 1


async def test_another_body_is_refused(harness):
    await harness.run(harness.build_host())
    other = request_digest("POST", "/orders", b"13 bales")
    assert await harness.run_expecting_error(harness.build_host(), digest=other) == (
        ResultCode.KEY_REUSED,
        Ran.NO,
    )


async def test_an_attempt_that_did_not_run_frees_the_key(harness):
    harness.error = ForwardError(ResultCode.CONNECT_FAILED, "no connection")
    assert await harness.run_expecting_error(harness.build_host()) == (
        ResultCode.CONNECT_FAILED,
        Ran.NO,
    )
    harness.error = None
    assert (await harness.run(harness.build_host("h2"))).body == b"order 1"


async def test_a_lost_answer_is_never_run_again(harness):
    harness.error = ForwardError(ResultCode.ANSWER_LOST, "connection to stock-7 broke")
    assert (await harness.run_expecting_error(harness.build_host()))[
        0
    ] is ResultCode.ANSWER_LOST
    harness.error = None
    assert await harness.run_expecting_error(harness.build_host("h2")) == (
        ResultCode.KEY_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
    )
    assert harness.runs == 1
    assert "stock-7" in harness.control.state.list_unknown()[0].note


async def test_an_unexpected_error_leaves_the_outcome_unknown(harness):
    harness.error = ForwardError(ResultCode.INTERNAL, "bug")
    await harness.run_expecting_error(harness.build_host())
    assert len(harness.control.state.list_unknown()) == 1


async def test_a_claim_without_a_leader_runs_nothing(harness):
    harness.control.is_down = True
    host = harness.build_host()
    assert await harness.run_expecting_error(host) == (
        ResultCode.KEY_CLAIM_FAILED,
        Ran.UNKNOWN,
    )
    assert harness.runs == 0


async def test_a_claim_whose_reply_was_lost_is_released(harness):
    harness.control.planned_faults.append(Fault.REPLY_LOST)
    host = harness.build_host()
    caller = harness.start(host)
    await harness.control.called.wait()
    caller.cancel()
    await harness.clock.advance_ms(1_000)
    assert harness.runs == 0
    assert (await harness.run(harness.build_host("h2"))).body == b"order 1"


@pytest.mark.parametrize("end", ["caller left", "deadline"])
async def test_a_claim_that_is_granted_too_late_starts_no_attempt(harness, end):
    harness.control.reply_gate = asyncio.Event()
    caller = harness.start(
        harness.build_host(call_timeout_ms=DEADLINE_MS), deadline_ms=1_000
    )
    await harness.control.called.wait()
    if end == "caller left":
        caller.cancel()
    else:
        # Set the time without firing timers, as after a pause of the host process.
        harness.clock._now_ms = 1_000
    harness.control.reply_gate.set()
    await harness.clock.advance_ms(10)
    assert caller.done()
    assert harness.runs == 0
    assert (
        await harness.run(harness.build_host("h2"), deadline_ms=9_000)
    ).body == b"order 1"


async def test_a_cancelled_caller_does_not_lose_the_answer(harness):
    harness.gate.clear()
    caller = harness.start(harness.build_host("h1"))
    await harness.attempt_started.wait()
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)
    harness.gate.set()
    assert (await harness.run(harness.build_host("h2"))).body == b"order 1"
    assert harness.runs == 1


async def crash(harness, host):
    harness.gate.clear()
    caller = harness.start(host)
    await harness.attempt_started.wait()
    await host.abort()
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)


async def test_a_crashed_host_leaves_the_outcome_unknown(harness):
    await crash(harness, harness.build_host("h1"))
    assert await harness.run_expecting_error(harness.build_host("h2")) == (
        ResultCode.KEY_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
    )
    assert harness.control.state.list_unknown() == ()
    harness.control.apply(AbandonHost("h1"))
    error = await harness.run_expecting_error(
        harness.build_host("h2"), deadline_ms=60_000
    )
    assert error == (ResultCode.KEY_OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert len(harness.control.state.list_unknown()) == 1
    assert harness.runs == 1


async def test_a_restarted_host_abandons_its_former_attempts(harness):
    await crash(harness, harness.build_host("h1", "i1"))
    await harness.run_expecting_error(harness.build_host("h1", "i2"))
    assert harness.control.count(AbandonKey) == 1
    assert len(harness.control.state.list_unknown()) == 1
    assert harness.runs == 1


async def test_resends_abandon_a_crashed_holder_after_abandon_after_ms(harness):
    await crash(harness, harness.build_host("h1"))
    other = harness.build_host("h2", abandon_after_ms=8_000)
    await harness.run_expecting_error(other, deadline_ms=harness.clock.now_ms() + 5_000)
    assert harness.control.count(AbandonKey) == 0
    await harness.run_expecting_error(other, deadline_ms=harness.clock.now_ms() + 5_000)
    assert harness.control.count(AbandonKey) == 1
    assert harness.runs == 1


async def test_a_holder_that_was_abandoned_too_early_still_answers(harness):
    harness.gate.clear()
    host = harness.build_host("h1")
    first = harness.start(host)
    await harness.attempt_started.wait()
    harness.control.apply(AbandonHost("h1"))
    assert (await harness.run_expecting_error(harness.build_host("h2")))[
        1
    ] is Ran.UNKNOWN
    harness.gate.set()
    await harness.clock.advance_ms(500)
    answer = await first
    assert await harness.run(harness.build_host("h2"), deadline_ms=60_000) == answer
    assert harness.runs == 1


async def test_an_attempt_abandoned_before_its_start_is_claimed_again(harness):
    harness.control.planned_faults.append(Fault.REPLY_LOST)
    caller = harness.start(harness.build_host("h1"))
    await harness.control.called.wait()
    await harness.clock.advance_ms(10)
    harness.control.apply(AbandonHost("h1"))
    await harness.clock.advance_ms(500)
    assert (await caller).body == b"order 1"
    assert harness.runs == 1


async def test_a_request_with_an_unrecorded_answer_counts_as_run(harness):
    await harness.run(harness.build_host(max_recorded_answer_bytes=3))
    assert await harness.run_expecting_error(harness.build_host("h2")) == (
        ResultCode.KEY_ANSWER_NOT_KEPT,
        Ran.YES,
    )
    assert harness.runs == 1


async def test_an_outcome_is_recorded_after_control_recovers(harness):
    harness.gate.clear()
    host = harness.build_host("h1")
    first = harness.start(host)
    await harness.attempt_started.wait()
    harness.control.is_down = True
    harness.gate.set()
    await harness.clock.advance_ms(300)
    answer = await first
    harness.control.is_down = False
    await harness.clock.advance_ms(100)
    await host.close()
    assert harness.control.calls[-1].outcome is KeyOutcome.ANSWERED
    assert await harness.run(harness.build_host("h2")) == answer


@pytest.mark.parametrize("error", [None, ResultCode.ANSWER_LOST])
async def test_a_result_that_waits_for_its_record_returns_at_the_deadline(
    harness, error
):
    harness.gate.clear()
    if error:
        harness.error = ForwardError(error, "connection to stock-7 broke")
    caller = harness.start(harness.build_host(), deadline_ms=1_000)
    await harness.attempt_started.wait()
    harness.control.is_down = True
    await harness.clock.advance_ms(900)
    harness.gate.set()
    await harness.clock.advance_ms(100)
    assert caller.done()
    if error:
        assert caller.exception().code is error
    else:
        assert caller.result().body == b"order 1"


@pytest.mark.parametrize("key", ["", "k" * 257])
async def test_a_key_of_bad_length_is_refused(harness, key):
    with pytest.raises(ForwardError) as caught:
        await harness.build_host().run(
            key, "stock", DIGEST, harness.attempt, DEADLINE_MS
        )
    assert caught.value.code is ResultCode.BAD_REQUEST
    assert harness.control.calls == []


async def test_closing_waits_for_the_attempt_and_its_record(harness):
    harness.gate.clear()
    host = harness.build_host("h1")
    caller = harness.start(host)
    await harness.attempt_started.wait()
    closing = asyncio.create_task(host.close())
    await harness.clock.advance_ms(100)
    assert not closing.done()
    harness.gate.set()
    await harness.clock.advance_ms(100)
    assert closing.done()
    assert (await caller).body == b"order 1"
    assert harness.control.count(FinishKey) == 1


async def test_an_own_claim_that_was_applied_late_is_used(harness):
    """A delayed copy of a waiting host's claim is applied after the key is freed."""
    harness.gate.clear()
    first = harness.start(harness.build_host("h1"))
    await harness.attempt_started.wait()
    second = harness.start(harness.build_host("h2"))
    await harness.clock.advance_ms(5)
    holder_claim, waiting_claim = [
        c for c in harness.control.calls if isinstance(c, ClaimKey)
    ]
    harness.control.apply(
        FinishKey("k", "stock", holder_claim.attempt_id, KeyOutcome.NOT_RUN)
    )
    harness.control.apply(waiting_claim)
    harness.gate.set()
    await harness.clock.advance_ms(1_000)
    assert second.done()
    assert (await second).body == b"order 2"
    await first


async def test_the_claim_precedes_the_attempt_and_needs_one_call(harness):
    calls_at_start = []

    async def attempt():
        calls_at_start.append([type(call) for call in harness.control.calls])
        return await harness.attempt()

    await harness.build_host().run("k", "stock", DIGEST, attempt, DEADLINE_MS)
    assert calls_at_start == [[ClaimKey]]
    assert harness.control.count(FinishKey) == 1
