"""Tests of the admission queue: deadlines, order, and no lost or duplicated slot."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.declaration import RequestClass
from bulrushlead.limits import (
    AdmissionQueue,
    AdmissionRefusedError,
    AdmissionSettings,
)
from bulrushlead.results import Ran, ResultCode

INTERACTIVE, BULK = RequestClass.INTERACTIVE, RequestClass.BULK


class Slots:
    """Slot source whose number of free slots a test can change."""

    def __init__(self, count):
        self.free = count

    def try_acquire(self):
        if self.free < 1:
            return None
        self.free -= 1
        return object()

    def release(self, slot):
        self.free += 1


class Harness:
    """An admission queue on a manual clock."""

    def __init__(self, slots=1, **settings):
        self.clock = ManualClock()
        self.slots = Slots(slots)
        settings = {"arrival_slack": 0.0, **settings}
        self.queue = AdmissionQueue(self.clock, AdmissionSettings(**settings))

    def admit(self, request_class=INTERACTIVE, budget_ms=10_000.0, slots=None, lane=""):
        deadline_ms = self.clock.now_ms() + budget_ms
        return asyncio.ensure_future(
            self.queue.admit(request_class, deadline_ms, slots or self.slots, lane)
        )

    async def advance(self, duration_ms=0):
        await self.clock.advance_ms(duration_ms)


async def refusal(task):
    with pytest.raises(AdmissionRefusedError) as error:
        await task
    assert error.value.info.ran is Ran.NO
    return error.value


async def test_a_free_slot_admits_at_once_and_a_released_one_admits_the_next():
    harness = Harness()
    first, second = harness.admit(), harness.admit()
    await harness.advance()
    assert first.done()
    assert not second.done()
    harness.queue.leave(first.result(), 20.0)
    harness.queue.leave(first.result(), 20.0)
    await harness.advance()
    assert second.done()
    assert harness.slots.free == 0


async def test_on_wait_is_called_only_for_a_waiting_request():
    harness = Harness()
    calls = []
    for _ in range(2):
        task = harness.queue.admit(
            INTERACTIVE, 9_000.0, harness.slots, on_wait=lambda: calls.append(1)
        )
        asyncio.ensure_future(task)
        await harness.advance()
    assert len(calls) == 1
    assert harness.queue.waiting() == 1


async def test_a_request_that_cannot_finish_in_time_is_refused_on_arrival():
    harness = Harness(initial_service_ms=50.0)
    tasks = [harness.admit(budget_ms=220.0) for _ in range(6)]
    await harness.advance()
    assert [task.done() for task in tasks] == [True, False, False, False, True, True]
    refused = await refusal(tasks[-1])
    assert refused.code is ResultCode.OVERLOADED
    assert 0 < refused.retry_after_ms <= 5_000


async def test_arrival_slack_refuses_on_arrival_rather_than_after_a_wait():
    harness = Harness(initial_service_ms=50.0, arrival_slack=0.5)
    tasks = [harness.admit(budget_ms=220.0) for _ in range(6)]
    await harness.advance()
    assert [task.done() for task in tasks] == [True] + [False] * 2 + [True] * 3


async def test_bulk_wait_estimate_follows_the_observed_starts_per_bulk():
    harness = Harness(initial_service_ms=10.0, interactive_per_bulk=3)
    ticket = await harness.admit()
    tasks = [harness.admit(BULK)] + [harness.admit() for _ in range(3)]
    await harness.advance()
    for _ in range(4):
        harness.queue.leave(ticket, 10.0)
        await harness.advance()
        done = next(task for task in tasks if task.done())
        tasks.remove(done)
        ticket = done.result()
    # A start takes 10 ms. Four starts per bulk request and its own service time
    # take 50 ms.
    assert not harness.admit(BULK, budget_ms=55.0).done()
    refused = await refusal(harness.admit(BULK, budget_ms=45.0))
    assert refused.code is ResultCode.OVERLOADED


async def test_callers_refused_together_get_different_retry_delays():
    harness = Harness(max_waiting=0)
    harness.admit()
    await harness.advance()
    refused = [await refusal(harness.admit()) for _ in range(5)]
    assert len({round(item.retry_after_ms, 3) for item in refused}) == 5


async def test_a_deadline_shorter_than_the_service_time_has_its_own_code():
    harness = Harness(slots=5, initial_service_ms=50.0)
    harness.admit()
    await harness.advance()
    assert (await refusal(harness.admit(budget_ms=20.0))).code is (
        ResultCode.DEADLINE_TOO_SHORT
    )


async def test_an_estimate_that_is_too_high_is_corrected():
    harness = Harness(initial_service_ms=60_000.0)
    ticket = await harness.admit(budget_ms=100.0)
    harness.queue.leave(ticket, 10.0)
    assert harness.queue.expected_service_ms() == 10.0


async def test_a_waiter_is_refused_as_soon_as_the_estimate_exceeds_its_deadline():
    harness = Harness(slots=4, initial_service_ms=50.0)
    running = [await harness.admit() for _ in range(4)]
    waiting = [harness.admit(budget_ms=300.0) for _ in range(8)]
    await harness.advance()
    assert not any(task.done() for task in waiting)
    # The host loses three of its four slots, so that one request runs at a time.
    harness.slots.free = -3
    for ticket in running[:3]:
        harness.queue.leave(ticket, 50.0)
    await harness.advance(20)
    assert [task.done() for task in waiting] == [False] * 4 + [True] * 4
    assert (await refusal(waiting[-1])).code is ResultCode.OVERLOADED


async def test_a_waiter_is_refused_while_no_request_ends():
    harness = Harness(initial_service_ms=50.0)
    await harness.admit()
    waiting = harness.admit(budget_ms=200.0)
    await harness.advance(99)
    assert not waiting.done()
    await harness.advance(12)
    assert (await refusal(waiting)).code is ResultCode.OVERLOADED


async def test_the_queue_is_bounded_for_each_class():
    harness = Harness(max_waiting=2, initial_service_ms=1.0)
    harness.admit()
    tasks = [harness.admit(INTERACTIVE) for _ in range(3)]
    tasks += [harness.admit(BULK) for _ in range(3)]
    await harness.advance()
    assert [task.done() for task in tasks] == [False, False, True] * 2
    assert harness.queue.waiting() == 4


async def test_interactive_starts_first_and_bulk_is_not_starved():
    harness = Harness(initial_service_ms=1.0, interactive_per_bulk=3)
    ticket = await harness.admit()
    order = []

    async def request(name, kind):
        order.append((name, await harness.admit(kind)))

    kinds = [("b", BULK)] * 2 + [("i", INTERACTIVE)] * 6
    tasks = [asyncio.create_task(request(*kind)) for kind in kinds]
    await harness.advance()
    for _ in kinds:
        harness.queue.leave(ticket, 1.0)
        await harness.advance()
        ticket = order[-1][1]
    await asyncio.gather(*tasks)
    assert "".join(name for name, _ in order) == "iiibiiib"


async def test_lanes_do_not_block_one_another():
    harness = Harness()
    full, other = Slots(0), Slots(1)
    blocked = harness.admit(slots=full, lane="casa")
    admitted = harness.admit(slots=other, lane="fes")
    await harness.advance()
    assert not blocked.done()
    assert admitted.done()
    behind = harness.admit(slots=other, lane="fes")
    await harness.advance()
    other.free = 1
    harness.queue.wake()
    await harness.advance()
    assert behind.done()
    assert not blocked.done()
    full.free = 1
    harness.queue.wake()
    await harness.advance()
    assert blocked.done()


async def test_cancelling_leaves_the_queue_and_releases_a_slot_already_assigned():
    harness = Harness()
    ticket = await harness.admit()
    waiting, behind = harness.admit(), harness.admit()
    await harness.advance()
    waiting.cancel()
    await harness.advance()
    assert harness.queue.waiting() == 1
    harness.queue.leave(ticket)
    behind.cancel()
    await harness.advance()
    assert behind.cancelled()
    assert harness.slots.free == 1
    assert harness.queue.running() == 0


async def test_a_released_slot_skips_a_request_cancelled_just_before():
    harness = Harness()
    ticket = await harness.admit()
    waiting, behind = harness.admit(), harness.admit()
    await harness.advance()
    waiting.cancel()
    harness.queue.leave(ticket)
    await harness.advance()
    assert waiting.cancelled()
    assert behind.done()


async def test_no_request_starts_that_would_miss_its_deadline():
    # The sweep interval is too long for a sweep to refuse the request earlier.
    harness = Harness(initial_service_ms=50.0, sweep_interval_ms=1_000.0)
    ticket = await harness.admit()
    waiting = harness.admit(budget_ms=110.0)
    await harness.advance()
    harness.queue.wake()
    await harness.advance(70)
    harness.queue.leave(ticket)
    assert (await refusal(waiting)).code is ResultCode.OVERLOADED


async def test_closing_refuses_waiting_and_later_requests():
    harness = Harness()
    await harness.admit()
    waiting = harness.admit()
    await harness.advance()
    harness.queue.close()
    assert (await refusal(waiting)).code is ResultCode.STOPPING
    assert (await refusal(harness.admit())).code is ResultCode.STOPPING


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("ask", "bulk", "leave", "cancel", "wait", "grant")),
            st.integers(0, 200),
        ),
        max_size=60,
    )
)
def test_slots_and_places_are_never_lost_or_doubled(steps):
    asyncio.run(play(steps))


async def play(steps):
    harness = Harness(slots=2, initial_service_ms=10.0, max_waiting=8)
    total, tasks, open_tickets = 2, [], []
    for action, number in steps:
        if action in ("ask", "bulk"):
            kind = BULK if action == "bulk" else INTERACTIVE
            tasks.append(harness.admit(kind, budget_ms=number))
        elif action == "leave" and open_tickets:
            harness.queue.leave(open_tickets.pop(number % len(open_tickets)), number)
        elif action == "cancel" and tasks:
            tasks[number % len(tasks)].cancel()
        elif action == "grant":
            harness.slots.free += 1
            total += 1
            harness.queue.wake()
        if action != "cancel" or number % 2:
            await harness.advance(number if action == "wait" else 0)
        for task in [task for task in tasks if task.done()]:
            tasks.remove(task)
            if not task.cancelled() and not task.exception():
                open_tickets.append(task.result())
        assert harness.slots.free >= 0
        assert harness.queue.waiting() <= 16
        assert harness.slots.free + harness.queue.running() == total
    for task in tasks:
        task.cancel()
    await harness.advance()
    assert harness.queue.running() == len(open_tickets) + sum(
        not task.cancelled() and not task.exception() for task in tasks if task.done()
    )
    harness.queue.close()
    await harness.advance()
