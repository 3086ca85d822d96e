"""Calls to the replicated state, with resending and recording in background."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bulrushlead.clock import Clock
from bulrushlead.keys._messages import FinishKey, KeyOutcome
from bulrushlead.keys._settings import KeyControl, KeySettings
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode


class KeyCalls:
    """Sends commands until there is a reply, and owns the tasks that do so.

    Every command of this slice may be sent twice: it names its attempt.

    Parameters
    ----------
    clock : Clock
        Source of time.
    control : KeyControl
        Way to the replicated state.
    settings : KeySettings
        Times of the calls.
    """

    def __init__(self, clock: Clock, control: KeyControl, settings: KeySettings):
        self.clock = clock
        self.control = control
        self.settings = settings
        self._tasks: set[asyncio.Task] = set()
        self._log = EventLogger("keys")

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task that ``close()`` waits for."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    async def close(self) -> None:
        """Wait for all tasks, but no longer than ``close_timeout_ms``."""
        try:
            await self.clock.wait_for(self._all_done(), self.settings.close_timeout_ms)
        except TimeoutError:
            await self.abort()

    async def abort(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def call_until(
        self, command: Any, deadline_ms: float, is_given_up: Callable[[], bool]
    ) -> Any:
        """Call until there is a reply or the deadline has passed.

        Parameters
        ----------
        command : message
            What to send.
        deadline_ms : float
            When a reply is no longer of use.
        is_given_up : callable
            Whether nobody waits for the reply any more.

        Raises
        ------
        BulrushleadError
            Of the last call; the command may have taken effect.
        """
        while True:
            remaining_ms = deadline_ms - self.clock.now_ms()
            try:
                return await self._call(command, remaining_ms)
            except BulrushleadError:
                pause_ms = self.settings.resend_interval_ms
                if is_given_up() or remaining_ms <= pause_ms:
                    raise
                await self.clock.sleep_ms(pause_ms)

    def record(self, end: FinishKey) -> asyncio.Task:
        """Record the end of an attempt in the background."""
        return self.spawn(self._record_until(end))

    async def record_and_wait(self, end: FinishKey) -> None:
        """Record the end of an attempt; wait ``record_wait_ms`` at the most."""
        task = self.record(end)
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

    async def _record_until(self, end: FinishKey) -> None:
        for _ in range(self.settings.record_attempts):
            try:
                await self._call(end, self.settings.call_timeout_ms)
            except BulrushleadError:
                await self.clock.sleep_ms(self.settings.resend_interval_ms)
            else:
                event = Event.KEY_FINISHED
                if end.outcome is KeyOutcome.UNKNOWN:
                    event = Event.KEY_LOST
                self._log.write(
                    event, key=end.key, service=end.service, outcome=end.outcome.value
                )
                return
        self._log.write(
            Event.KEY_LOST, key=end.key, service=end.service, detail="not recorded"
        )

    async def _all_done(self) -> None:
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _forget_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
