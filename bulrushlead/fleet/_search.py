"""Finds out which coordinator leads."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import FleetUpdate
from bulrushlead.results import BulrushleadError, ResultCode

WIDTH = 4  # coordinators asked at once; a leader's hint comes on top
HINT_HEAD_START_MS = 100  # a round trip between regions, before others are asked
# For those that do not answer, once all others have said that they do not lead: in an
# election, the next round finds the new leader sooner than a silent host answers.
SILENT_PATIENCE_MS = 250


@attrs.frozen
class Leader:
    """The coordinator that answered as the leader.

    Parameters
    ----------
    address : str
        Where it answers other hosts.
    update : FleetUpdate
        Its answer.
    """

    address: str
    update: FleetUpdate


class LeaderSearch:
    """One round over the coordinators, several at once.

    In a partition, those on the other side answer too, and some do not answer at all:
    asking one after the other would take seconds. A coordinator that another one names
    as the leader is asked at once, and waited for until its call has timed out: a new
    connection to another region takes several round trips.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ask : callable
        Asks one address; its own time-out bounds the answer.
    addresses : iterable of str
        Whom to ask, in this order.
    """

    def __init__(
        self,
        clock: Clock,
        ask: Callable[[str], Awaitable[FleetUpdate]],
        addresses: Iterable[str],
    ):
        self.clock = clock
        self._ask = ask
        self._left = list(addresses)
        self._asked: set[str] = set()
        self._hinted: set[str] = set()
        self._pending: dict[asyncio.Task, str] = {}
        self._head_start_over = False

    async def run(self) -> Leader:
        """Return the leader.

        Raises
        ------
        BulrushleadError
            ``CONTROL_UNREACHABLE`` if none of them leads.
        """
        try:
            while self._ask_more():
                done = await self._wait()
                if not done and not self._left and not self._waits_for_hinted():
                    break
                # Without an answer, the leader that was named may be gone.
                self._head_start_over = not done
                for task in done:
                    leader = self._take(task)
                    if leader is not None:
                        return leader
        finally:
            for task in self._pending:
                task.cancel()
            await asyncio.gather(*self._pending, return_exceptions=True)
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"none of {len(self._asked)} coordinators leads; the next search follows",
        )

    def _ask_more(self) -> bool:
        """Ask more addresses; return whether any call is in progress."""
        for address in self._hinted - self._asked:
            self._start(address)
        if self._head_start_over or not self._waits_for_hinted():
            while self._left and len(self._pending) < WIDTH:
                address = self._left.pop(0)
                if address not in self._asked:
                    self._start(address)
        return bool(self._pending)

    def _waits_for_hinted(self) -> bool:
        return any(address in self._hinted for address in self._pending.values())

    def _start(self, address: str) -> None:
        self._asked.add(address)
        self._pending[asyncio.ensure_future(self._ask(address))] = address

    def _patience_ms(self) -> float | None:
        if self._waits_for_hinted():
            return HINT_HEAD_START_MS if self._left else None
        return None if self._left else SILENT_PATIENCE_MS

    async def _wait(self) -> set[asyncio.Task]:
        """Return the calls that ended, none if the time for them ran out."""
        patience_ms = self._patience_ms()
        timers = set()
        if patience_ms is not None:
            timers.add(asyncio.ensure_future(self.clock.sleep_ms(patience_ms)))
        try:
            done, _ = await asyncio.wait(
                {*self._pending, *timers}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for timer in timers:
                timer.cancel()
        return done - timers

    def _take(self, task: asyncio.Task) -> Leader | None:
        address = self._pending.pop(task)
        error = task.exception()
        if error is None:
            return Leader(address, task.result())
        if not isinstance(error, BulrushleadError):
            raise error
        if (hint := hinted_leader(error)) is not None:
            self._hinted.add(hint)
        return None


def hinted_leader(error: BulrushleadError) -> str | None:
    """Return the leader that a refusal names, or None."""
    if error.code is not ResultCode.NOT_LEADER:
        return None
    address = error.detail.rpartition("ask ")[2]
    return address if address.rpartition(":")[2].isdecimal() else None
