"""Clocks that every duration and timeout in the system is measured with."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Awaitable
from typing import Protocol, TypeVar

T = TypeVar("T")


def decayed(value: float, age_ms: float, half_life_ms: float) -> float:
    """Return a value after exponential decay with a half-life.

    Parameters
    ----------
    value : float
        Value at age 0.
    age_ms : float
        Age of the value, in milliseconds.
    half_life_ms : float
        Time in which the value halves, in milliseconds.

    Returns
    -------
    float
        ``value * 0.5 ** (age_ms / half_life_ms)``.
    """
    return value * 0.5 ** (age_ms / half_life_ms)


class Clock(Protocol):
    """Monotonic time of one process.

    Notes
    -----
    Readings of two processes are not comparable: no part of the system relies
    on synchronised clocks.
    """

    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary fixed point."""
        ...

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        ...

    async def wait_for(self, awaitable: Awaitable[T], timeout_ms: float) -> T:
        """Return the result of ``awaitable``, or raise ``TimeoutError``."""
        ...


class MonotonicClock:
    """Clock of the running process, unaffected by changes of wall time.

    Notes
    -----
    It reads ``CLOCK_BOOTTIME``, which includes the time for which the host was
    suspended. Otherwise a holder that did not notice a suspension would go on
    using a lease that expired during it.
    """

    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary fixed point."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)

    async def wait_for(self, awaitable: Awaitable[T], timeout_ms: float) -> T:
        """Return the result of ``awaitable``, or raise ``TimeoutError``.

        Parameters
        ----------
        awaitable : Awaitable
            Awaited; cancelled when ``timeout_ms`` has passed.
        timeout_ms : float
            Time allowed, in milliseconds.

        Raises
        ------
        TimeoutError
            If ``awaitable`` has not finished within ``timeout_ms``.
        """
        # asyncio.wait_for loses a cancellation that arrives in the same loop
        # iteration as the result, and the cancelled task then never ends.
        async with asyncio.timeout(max(0.0, timeout_ms) / 1000.0):
            return await awaitable


class ManualClock:
    """Clock for tests that advances only by ``advance_ms``.

    Parameters
    ----------
    start_ms : float, default=0.0
        First reading, in milliseconds.
    """

    def __init__(self, start_ms: float = 0.0):
        self.start_ms = start_ms
        self._now_ms = start_ms
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []
        self._sequence = itertools.count()

    def now_ms(self) -> float:
        """Return the current reading in milliseconds."""
        return self._now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task until the clock has advanced by ``duration_ms``."""
        if duration_ms <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), future))
        await future

    async def wait_for(self, awaitable: Awaitable[T], timeout_ms: float) -> T:
        """Return the result of ``awaitable``, or raise ``TimeoutError``."""
        task = asyncio.ensure_future(awaitable)
        timer = asyncio.ensure_future(self.sleep_ms(timeout_ms))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise TimeoutError(f"not finished within {timeout_ms} ms")
        finally:
            task.cancel()
            timer.cancel()

    def next_due_ms(self) -> float | None:
        """Return the earliest wake-up time, or None if no task sleeps."""
        while self._sleepers and self._sleepers[0][2].done():
            heapq.heappop(self._sleepers)
        return self._sleepers[0][0] if self._sleepers else None

    async def advance_ms(self, duration_ms: float, settle_rounds: int = 20) -> None:
        """Advance the clock and wake sleepers in the order of their wake-up times.

        Parameters
        ----------
        duration_ms : float
            Time to advance by, in milliseconds.
        settle_rounds : int, default=20
            Event loop iterations run before the first wake-up and after each one,
            so that the tasks can proceed.
        """
        target_ms = self._now_ms + duration_ms
        await self._settle(settle_rounds)
        while (due_ms := self.next_due_ms()) is not None and due_ms <= target_ms:
            self._now_ms = max(self._now_ms, due_ms)
            _, _, future = heapq.heappop(self._sleepers)
            future.set_result(None)
            await self._settle(settle_rounds)
        self._now_ms = target_ms

    async def _settle(self, rounds: int) -> None:
        for _ in range(rounds):
            await asyncio.sleep(0)
