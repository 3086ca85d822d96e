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


class World:
    """Entry hosts, the key state between them, and what the server ran."""

    def __init__(self):
        self.clock = ManualClock()
        self.control = FakeControl()
        self.runs = 0
        self.began = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self.error = None

    def host(self, name="h1", incarnation="i1", **changes):
        settings = KeySettings(name, incarnation, **changes)
        return KeyCoordinator(self.clock, self.control, settings)

    async def attempt(self):
        if self.error is not None and self.error.ran is Ran.NO:
            raise self.error
        self.runs += 1
        number = self.runs
        self.began.set()
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

    async def fail(self, host, **options):
        with pytest.raises(ForwardError) as caught:
            await self.run(host, **options)
        return caught.value.code, caught.value.ran


@pytest.fixture
def world():
    return World()


async def test_a_resend_to_another_host_gets_the_first_answer(world):
    first = await world.run(world.host("h1"))
    again = await world.run(world.host("h2"))
    assert again == first
    assert world.runs == 1


@pytest.mark.parametrize("second", ["h1", "h2"])
async def test_two_sends_at_once_run_once(world, second):
    world.gate.clear()
    first_host = world.host("h1")
    second_host = first_host if second == "h1" else world.host("h2")
    first = world.start(first_host)
    await world.began.wait()
    other = world.start(second_host)
    await world.clock.advance_ms(200)
    assert not other.done()
    world.gate.set()
    await world.clock.advance_ms(500)
    assert await other == await first
    assert world.runs == 1


@pytest.mark.parametrize("fault", list(Fault))
async def test_faults_on_the_way_to_the_leader_run_nothing_twice(world, fault):
    # The plan meets the claim first, then the record of the end.
    world.control.plan.extend([fault, None, fault] if fault is not Fault.TWICE else [])
    answer = await world.run(world.host("h1"))
    await world.clock.advance_ms(2_000)
    world.control.fail_over()
    assert await world.run(world.host("h2"), deadline_ms=60_000) == answer
    assert world.runs == 1


async def test_another_body_is_refused(world):
    await world.run(world.host())
    other = request_digest("POST", "/orders", b"13 bales")
    assert await world.fail(world.host(), digest=other) == (
        ResultCode.KEY_REUSED,
        Ran.NO,
    )


async def test_an_attempt_that_did_not_run_frees_the_key(world):
    world.error = ForwardError(ResultCode.CONNECT_FAILED, "no connection")
    assert await world.fail(world.host()) == (ResultCode.CONNECT_FAILED, Ran.NO)
    world.error = None
    assert (await world.run(world.host("h2"))).body == b"order 1"


async def test_a_lost_answer_is_never_run_again(world):
    world.error = ForwardError(ResultCode.ANSWER_LOST, "connection to stock-7 broke")
    assert (await world.fail(world.host()))[0] is ResultCode.ANSWER_LOST
    world.error = None
    assert await world.fail(world.host("h2")) == (
        ResultCode.KEY_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
    )
    assert world.runs == 1
    assert "stock-7" in world.control.state.list_unknown()[0].note


async def test_an_error_of_unknown_kind_counts_as_possibly_run(world):
    world.error = ForwardError(ResultCode.INTERNAL, "bug")
    await world.fail(world.host())
    assert len(world.control.state.list_unknown()) == 1


async def test_a_claim_without_a_leader_runs_nothing(world):
    world.control.down = True
    host = world.host()
    assert await world.fail(host) == (ResultCode.KEY_CLAIM_FAILED, Ran.UNKNOWN)
    assert world.runs == 0


async def test_a_claim_that_took_hold_unseen_is_given_back(world):
    world.control.plan.append(Fault.REPLY_LOST)
    host = world.host()
    caller = world.start(host)
    await world.control.called.wait()
    caller.cancel()
    await world.clock.advance_ms(1_000)
    assert world.runs == 0
    assert (await world.run(world.host("h2"))).body == b"order 1"


@pytest.mark.parametrize("end", ["caller left", "deadline"])
async def test_a_claim_that_is_granted_too_late_starts_nothing(world, end):
    world.control.delay = asyncio.Event()
    caller = world.start(world.host(call_timeout_ms=DEADLINE_MS), deadline_ms=1_000)
    await world.control.called.wait()
    if end == "caller left":
        caller.cancel()
    else:
        # The host itself stood still, so that no timer fired before the reply.
        world.clock._now_ms = 1_000
    world.control.delay.set()
    await world.clock.advance_ms(10)
    assert caller.done()
    assert world.runs == 0
    assert (await world.run(world.host("h2"), deadline_ms=9_000)).body == b"order 1"


async def test_a_caller_who_leaves_does_not_lose_the_answer(world):
    world.gate.clear()
    caller = world.start(world.host("h1"))
    await world.began.wait()
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)
    world.gate.set()
    assert (await world.run(world.host("h2"))).body == b"order 1"
    assert world.runs == 1


async def crash(world, host):
    world.gate.clear()
    caller = world.start(host)
    await world.began.wait()
    await host.abort()
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)


async def test_a_host_that_died_leaves_the_outcome_unknown(world):
    await crash(world, world.host("h1"))
    assert await world.fail(world.host("h2")) == (
        ResultCode.KEY_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
    )
    assert world.control.state.list_unknown() == ()
    world.control.apply(AbandonHost("h1"))
    seen = await world.fail(world.host("h2"), deadline_ms=60_000)
    assert seen == (ResultCode.KEY_OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert len(world.control.state.list_unknown()) == 1
    assert world.runs == 1


async def test_a_restarted_host_gives_up_its_own_former_run(world):
    await crash(world, world.host("h1", "i1"))
    await world.fail(world.host("h1", "i2"))
    assert world.control.count(AbandonKey) == 1
    assert len(world.control.state.list_unknown()) == 1
    assert world.runs == 1


async def test_resends_give_up_a_silent_holder_after_the_longest_duration(world):
    await crash(world, world.host("h1"))
    other = world.host("h2", abandon_after_ms=8_000)
    await world.fail(other, deadline_ms=world.clock.now_ms() + 5_000)
    assert world.control.count(AbandonKey) == 0
    await world.fail(other, deadline_ms=world.clock.now_ms() + 5_000)
    assert world.control.count(AbandonKey) == 1
    assert world.runs == 1


async def test_a_holder_that_was_given_up_too_early_still_answers(world):
    world.gate.clear()
    host = world.host("h1")
    first = world.start(host)
    await world.began.wait()
    world.control.apply(AbandonHost("h1"))
    assert (await world.fail(world.host("h2")))[1] is Ran.UNKNOWN
    world.gate.set()
    await world.clock.advance_ms(500)
    answer = await first
    assert await world.run(world.host("h2"), deadline_ms=60_000) == answer
    assert world.runs == 1


async def test_an_attempt_given_up_before_it_began_is_claimed_anew(world):
    world.control.plan.append(Fault.REPLY_LOST)
    caller = world.start(world.host("h1"))
    await world.control.called.wait()
    await world.clock.advance_ms(10)
    world.control.apply(AbandonHost("h1"))
    await world.clock.advance_ms(500)
    assert (await caller).body == b"order 1"
    assert world.runs == 1


async def test_an_answer_too_large_to_keep_is_known_to_have_run(world):
    await world.run(world.host(max_kept_answer_bytes=3))
    assert await world.fail(world.host("h2")) == (
        ResultCode.KEY_ANSWER_NOT_KEPT,
        Ran.YES,
    )
    assert world.runs == 1


async def test_an_outcome_is_recorded_when_control_comes_back(world):
    world.gate.clear()
    host = world.host("h1")
    first = world.start(host)
    await world.began.wait()
    world.control.down = True
    world.gate.set()
    await world.clock.advance_ms(300)
    answer = await first
    world.control.down = False
    await world.clock.advance_ms(100)
    await host.close()
    assert world.control.calls[-1].outcome is KeyOutcome.ANSWERED
    assert await world.run(world.host("h2")) == answer


@pytest.mark.parametrize("error", [None, ResultCode.ANSWER_LOST])
async def test_a_result_that_waits_for_its_record_is_told_at_the_deadline(world, error):
    world.gate.clear()
    if error:
        world.error = ForwardError(error, "connection to stock-7 broke")
    caller = world.start(world.host(), deadline_ms=1_000)
    await world.began.wait()
    world.control.down = True
    await world.clock.advance_ms(900)
    world.gate.set()
    await world.clock.advance_ms(100)
    assert caller.done()
    if error:
        assert caller.exception().code is error
    else:
        assert caller.result().body == b"order 1"


@pytest.mark.parametrize("key", ["", "k" * 257])
async def test_a_key_of_bad_length_is_refused(world, key):
    with pytest.raises(ForwardError) as caught:
        await world.host().run(key, "stock", DIGEST, world.attempt, DEADLINE_MS)
    assert caught.value.code is ResultCode.BAD_REQUEST
    assert world.control.calls == []


async def test_closing_waits_for_the_attempt_and_its_record(world):
    world.gate.clear()
    host = world.host("h1")
    caller = world.start(host)
    await world.began.wait()
    closing = asyncio.create_task(host.close())
    await world.clock.advance_ms(100)
    assert not closing.done()
    world.gate.set()
    await world.clock.advance_ms(100)
    assert closing.done()
    assert (await caller).body == b"order 1"
    assert world.control.count(FinishKey) == 1


async def test_an_own_claim_that_took_hold_late_is_used(world):
    """The holder ends as not run; a copy of the waiting claim arrives by itself."""
    world.gate.clear()
    first = world.start(world.host("h1"))
    await world.began.wait()
    second = world.start(world.host("h2"))
    await world.clock.advance_ms(5)
    held, waiting = [c for c in world.control.calls if isinstance(c, ClaimKey)]
    world.control.apply(FinishKey("k", "stock", held.attempt_id, KeyOutcome.NOT_RUN))
    world.control.apply(waiting)
    world.gate.set()
    await world.clock.advance_ms(1_000)
    assert second.done()
    assert (await second).body == b"order 2"
    await first


async def test_the_claim_comes_before_the_attempt_and_costs_one_call(world):
    calls_at_start = []

    async def attempt():
        calls_at_start.append([type(call) for call in world.control.calls])
        return await world.attempt()

    await world.host().run("k", "stock", DIGEST, attempt, DEADLINE_MS)
    assert calls_at_start == [[ClaimKey]]
    assert world.control.count(FinishKey) == 1
