"""Order of wake-ups, timeouts and cancellation under both clocks."""

import asyncio

import pytest

from bulrushlead.clock import ManualClock, MonotonicClock


async def test_manual_clock_wakes_sleepers_in_order():
    clock = ManualClock()
    woken = []

    async def sleeper(duration_ms):
        await clock.sleep_ms(duration_ms)
        woken.append((duration_ms, clock.now_ms()))

    tasks = [asyncio.create_task(sleeper(d)) for d in (30, 10, 20)]
    await clock.advance_ms(25)
    assert woken == [(10, 10), (20, 20)]
    assert clock.now_ms() == 25
    await clock.advance_ms(5)
    await asyncio.gather(*tasks)
    assert woken[-1] == (30, 30)


async def test_manual_clock_wait_for_times_out_and_cancels():
    clock = ManualClock()
    event = asyncio.Event()
    waiting = asyncio.create_task(clock.wait_for(event.wait(), 50))
    await clock.advance_ms(49)
    assert not waiting.done()
    await clock.advance_ms(1)
    with pytest.raises(TimeoutError):
        await waiting


async def test_monotonic_clock_increases():
    clock = MonotonicClock()
    first_ms = clock.now_ms()
    await clock.sleep_ms(1)
    assert clock.now_ms() > first_ms


@pytest.mark.parametrize("clock", [MonotonicClock(), ManualClock()])
async def test_cancellation_together_with_the_result_is_not_lost(clock):
    # asyncio.wait_for returns the result and loses the cancellation if both
    # arrive in the same loop iteration: the task below then never ends.
    event = asyncio.Event()
    rounds = []

    async def run():
        while True:
            rounds.append(1)
            await clock.wait_for(event.wait(), 60_000)
            event.clear()

    task = asyncio.create_task(run())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    event.set()
    # After one loop iteration the waiter has its result but has not run.
    await asyncio.sleep(0)
    task.cancel()
    for _ in range(10):
        await asyncio.sleep(0)
    assert task.cancelled()
