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
    """Source with a number of slots that a test can change."""

    def __init__(self, count):
        self.free = count

    def try_acquire(self):
        if self.free < 1:
            return None
        self.free -= 1
        return object()

    def release(self, slot):
        self.free += 1


class Bench:
    def __init__(self, slots=1, **settings):
        self.clock = ManualClock()
        self.slots = Slots(slots)
        settings = {"arrival_slack": 0.0, **settings}
        self.queue = AdmissionQueue(self.clock, AdmissionSettings(**settings))

    def ask(self, request_class=INTERACTIVE, budget_ms=10_000.0, slots=None, lane=""):
        deadline_ms = self.clock.now_ms() + budget_ms
        return asyncio.ensure_future(
            self.queue.admit(request_class, deadline_ms, slots or self.slots, lane)
        )

    async def settle(self, duration_ms=0):
        await self.clock.advance_ms(duration_ms)


async def refusal(task):
    with pytest.raises(AdmissionRefusedError) as error:
        await task
    assert error.value.info.ran is Ran.NO
    return error.value


async def test_a_free_slot_is_given_at_once_and_the_next_when_it_returns():
    bench = Bench()
    first, second = bench.ask(), bench.ask()
    await bench.settle()
    assert first.done()
    assert not second.done()
    bench.queue.leave(first.result(), 20.0)
    bench.queue.leave(first.result(), 20.0)
    await bench.settle()
    assert second.done()
    assert bench.slots.free == 0


async def test_only_a_request_that_waits_is_told_so():
    bench = Bench()
    calls = []
    for _ in range(2):
        task = bench.queue.admit(
            INTERACTIVE, 9_000.0, bench.slots, on_wait=lambda: calls.append(1)
        )
        asyncio.ensure_future(task)
        await bench.settle()
    assert len(calls) == 1
    assert bench.queue.waiting() == 1


async def test_a_request_that_cannot_finish_in_time_is_refused_on_arrival():
    bench = Bench(initial_service_ms=50.0)
    tasks = [bench.ask(budget_ms=220.0) for _ in range(6)]
    await bench.settle()
    assert [task.done() for task in tasks] == [True, False, False, False, True, True]
    refused = await refusal(tasks[-1])
    assert refused.code is ResultCode.OVERLOADED
    assert 0 < refused.retry_after_ms <= 5_000


async def test_the_slack_refuses_on_arrival_rather_than_later():
    bench = Bench(initial_service_ms=50.0, arrival_slack=0.5)
    tasks = [bench.ask(budget_ms=220.0) for _ in range(6)]
    await bench.settle()
    assert [task.done() for task in tasks] == [True] + [False] * 2 + [True] * 3


async def test_bulk_expects_the_turns_that_bulk_has_seen():
    bench = Bench(initial_service_ms=10.0, interactive_turns=3)
    ticket = await bench.ask()
    tasks = [bench.ask(BULK)] + [bench.ask() for _ in range(3)]
    await bench.settle()
    for _ in range(4):
        bench.queue.leave(ticket, 10.0)
        await bench.settle()
        done = next(task for task in tasks if task.done())
        tasks.remove(done)
        ticket = done.result()
    assert not bench.ask(BULK, budget_ms=55.0).done()
    refused = await refusal(bench.ask(BULK, budget_ms=45.0))
    assert refused.code is ResultCode.OVERLOADED


async def test_callers_that_are_refused_together_come_back_apart():
    bench = Bench(max_waiting=0)
    bench.ask()
    await bench.settle()
    refused = [await refusal(bench.ask()) for _ in range(5)]
    assert len({round(item.retry_after_ms, 3) for item in refused}) == 5


async def test_a_deadline_shorter_than_the_service_time_is_told_apart():
    bench = Bench(slots=5, initial_service_ms=50.0)
    bench.ask()
    await bench.settle()
    assert (await refusal(bench.ask(budget_ms=20.0))).code is (
        ResultCode.DEADLINE_TOO_SHORT
    )


async def test_an_estimate_that_is_too_high_heals_by_itself():
    bench = Bench(initial_service_ms=60_000.0)
    ticket = await bench.ask(budget_ms=100.0)
    bench.queue.leave(ticket, 10.0)
    assert bench.queue.expected_service_ms() == 10.0


async def test_a_waiter_is_refused_as_soon_as_the_estimate_worsens():
    bench = Bench(slots=4, initial_service_ms=50.0)
    running = [await bench.ask() for _ in range(4)]
    waiting = [bench.ask(budget_ms=300.0) for _ in range(8)]
    await bench.settle()
    assert not any(task.done() for task in waiting)
    bench.slots.free = -3
    for ticket in running[:3]:
        bench.queue.leave(ticket, 50.0)
    await bench.settle(20)
    assert [task.done() for task in waiting] == [False] * 4 + [True] * 4
    assert (await refusal(waiting[-1])).code is ResultCode.OVERLOADED


async def test_a_waiter_is_refused_while_no_request_ends():
    bench = Bench(initial_service_ms=50.0)
    await bench.ask()
    waiting = bench.ask(budget_ms=200.0)
    await bench.settle(99)
    assert not waiting.done()
    await bench.settle(12)
    assert (await refusal(waiting)).code is ResultCode.OVERLOADED


async def test_the_queue_is_bounded_for_each_class():
    bench = Bench(max_waiting=2, initial_service_ms=1.0)
    bench.ask()
    tasks = [bench.ask(INTERACTIVE) for _ in range(3)]
    tasks += [bench.ask(BULK) for _ in range(3)]
    await bench.settle()
    assert [task.done() for task in tasks] == [False, False, True] * 2
    assert bench.queue.waiting() == 4


async def test_interactive_goes_first_and_bulk_is_not_starved():
    bench = Bench(initial_service_ms=1.0, interactive_turns=3)
    ticket = await bench.ask()
    order = []

    async def request(name, kind):
        order.append((name, await bench.ask(kind)))

    kinds = [("b", BULK)] * 2 + [("i", INTERACTIVE)] * 6
    tasks = [asyncio.create_task(request(*kind)) for kind in kinds]
    await bench.settle()
    for _ in kinds:
        bench.queue.leave(ticket, 1.0)
        await bench.settle()
        ticket = order[-1][1]
    await asyncio.gather(*tasks)
    assert "".join(name for name, _ in order) == "iiibiiib"


async def test_lanes_do_not_block_one_another():
    bench = Bench()
    full, other = Slots(0), Slots(1)
    blocked = bench.ask(slots=full, lane="casa")
    passing = bench.ask(slots=other, lane="fes")
    await bench.settle()
    assert not blocked.done()
    assert passing.done()
    behind = bench.ask(slots=other, lane="fes")
    await bench.settle()
    other.free = 1
    bench.queue.wake()
    await bench.settle()
    assert behind.done()
    assert not blocked.done()
    full.free = 1
    bench.queue.wake()
    await bench.settle()
    assert blocked.done()


async def test_cancelling_frees_the_place_and_a_slot_given_meanwhile():
    bench = Bench()
    ticket = await bench.ask()
    waiting, behind = bench.ask(), bench.ask()
    await bench.settle()
    waiting.cancel()
    await bench.settle()
    assert bench.queue.waiting() == 1
    bench.queue.leave(ticket)
    behind.cancel()
    await bench.settle()
    assert behind.cancelled()
    assert bench.slots.free == 1
    assert bench.queue.running() == 0


async def test_a_slot_goes_past_a_caller_who_has_just_left():
    bench = Bench()
    ticket = await bench.ask()
    waiting, behind = bench.ask(), bench.ask()
    await bench.settle()
    waiting.cancel()
    bench.queue.leave(ticket)
    await bench.settle()
    assert waiting.cancelled()
    assert behind.done()


async def test_no_request_starts_that_would_end_too_late():
    bench = Bench(initial_service_ms=50.0, sweep_interval_ms=1_000.0)
    ticket = await bench.ask()
    waiting = bench.ask(budget_ms=110.0)
    await bench.settle()
    bench.queue.wake()
    await bench.settle(70)
    bench.queue.leave(ticket)
    assert (await refusal(waiting)).code is ResultCode.OVERLOADED


async def test_closing_refuses_everything_that_waits_and_comes():
    bench = Bench()
    await bench.ask()
    waiting = bench.ask()
    await bench.settle()
    bench.queue.close()
    assert (await refusal(waiting)).code is ResultCode.STOPPING
    assert (await refusal(bench.ask())).code is ResultCode.STOPPING


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
    bench = Bench(slots=2, initial_service_ms=10.0, max_waiting=8)
    total, tasks, open_tickets = 2, [], []
    for action, number in steps:
        if action in ("ask", "bulk"):
            kind = BULK if action == "bulk" else INTERACTIVE
            tasks.append(bench.ask(kind, budget_ms=number))
        elif action == "leave" and open_tickets:
            bench.queue.leave(open_tickets.pop(number % len(open_tickets)), number)
        elif action == "cancel" and tasks:
            tasks[number % len(tasks)].cancel()
        elif action == "grant":
            bench.slots.free += 1
            total += 1
            bench.queue.wake()
        if action != "cancel" or number % 2:
            await bench.settle(number if action == "wait" else 0)
        for task in [task for task in tasks if task.done()]:
            tasks.remove(task)
            if not task.cancelled() and not task.exception():
                open_tickets.append(task.result())
        assert bench.slots.free >= 0
        assert bench.queue.waiting() <= 16
        assert bench.slots.free + bench.queue.running() == total
    for task in tasks:
        task.cancel()
    await bench.settle()
    assert bench.queue.running() == len(open_tickets) + sum(
        not task.cancelled() and not task.exception() for task in tasks if task.done()
    )
    bench.queue.close()
    await bench.settle()
