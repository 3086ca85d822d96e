"""Calls to the replicated state, with retries and recording in the background."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bulrushlead.clock import Clock
from bulrushlead.keys._messages import FinishKey, KeyOutcome
from bulrushlead.keys._settings import KeyControl, KeySettings
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode


class KeyCalls:
    """Sends commands with retries and tracks the background tasks that do so.

    Commands of idempotency keys are safe to retry, because each names its attempt.

    Parameters
    ----------
    clock : Clock
        Source of time.
    control : KeyControl
        Sends commands to the replicated state.
    settings : KeySettings
        Timeouts and retry intervals.
    """

    def __init__(self, clock: Clock, control: KeyControl, settings: KeySettings):
        self.clock = clock
        self.control = control
        self.settings = settings
        self._tasks: set[asyncio.Task] = set()
        self._log = EventLogger("keys")

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a task that ``close()`` waits for."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    async def close(self) -> None:
        """Wait for all tasks; cancel them after ``close_timeout_ms``."""
        try:
            await self.clock.wait_for(
                self._wait_for_tasks(), self.settings.close_timeout_ms
            )
        except TimeoutError:
            await self.abort()

    async def abort(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def call_with_retries(
        self, command: Any, deadline_ms: float, is_cancelled: Callable[[], bool]
    ) -> Any:
        """Send a command, and retry until a reply arrives or the deadline passes.

        Parameters
        ----------
        command : message
            Command or query to send.
        deadline_ms : float
            Time after which a reply is useless, on this host's clock.
        is_cancelled : callable
            Returns whether the caller has stopped waiting; there are no retries
            after that.

        Raises
        ------
        BulrushleadError
            Error of the last call; the command may have been applied.
        """
        while True:
            remaining_ms = deadline_ms - self.clock.now_ms()
            try:
                return await self._call(command, remaining_ms)
            except BulrushleadError:
                pause_ms = self.settings.retry_interval_ms
                if is_cancelled() or remaining_ms <= pause_ms:
                    raise
                await self.clock.sleep_ms(pause_ms)

    def record(self, finish: FinishKey) -> asyncio.Task:
        """Record the outcome of an attempt in the background."""
        return self.spawn(self._record_with_retries(finish))

    async def record_and_wait(self, finish: FinishKey) -> None:
        """Record the outcome of an attempt; wait at most ``record_wait_ms``.

        Recording continues in the background after that time.
        """
        task = self.record(finish)
        try:
            await self.clock.wait_for(
                asyncio.shield(task), self.settings.record_wait_ms
            )
        except TimeoutError:
            return

    async def _call(self, command: Any, remaining_ms: float) -> Any:
        timeout_ms = min(self.settings.call_timeout_ms, remaining_ms)
        try:
            return await self.clock.wait_for(self.control.call(command), timeout_ms)
        except TimeoutError as error:
            raise BulrushleadError(
                ResultCode.PEER_TIMEOUT,
                f"no reply to {type(command).__name__} within {timeout_ms:.0f} ms",
            ) from error

    async def _record_with_retries(self, finish: FinishKey) -> None:
        for _ in range(self.settings.max_record_attempts):
            try:
                await self._call(finish, self.settings.call_timeout_ms)
            except BulrushleadError:
                await self.clock.sleep_ms(self.settings.retry_interval_ms)
            else:
                event = Event.KEY_FINISHED
                if finish.outcome is KeyOutcome.UNKNOWN:
                    event = Event.KEY_LOST
                self._log.write(
                    event,
                    key=finish.key,
                    service=finish.service,
                    outcome=finish.outcome.value,
                )
                return
        self._log.write(
            Event.KEY_LOST,
            key=finish.key,
            service=finish.service,
            detail="outcome not recorded",
        )

    async def _wait_for_tasks(self) -> None:
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _discard_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
