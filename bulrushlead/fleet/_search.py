"""Search for the leading coordinator."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import FleetUpdate
from bulrushlead.results import BulrushleadError, ResultCode

MAX_CONCURRENT_CALLS = 4  # calls to hinted leaders are not limited
# A hinted leader has a round trip between regions to answer before further coordinators
# are called.
HINT_DELAY_MS = 100
# Time limit for unanswered calls once every coordinator has been called. During an
# election, the next search finds the new leader sooner than a silent host answers.
UNANSWERED_TIMEOUT_MS = 250


@attrs.frozen
class Leader:
    """Coordinator that answered as the leader.

    Parameters
    ----------
    address : str
        Peer address of the coordinator.
    update : FleetUpdate
        Answer of the coordinator.
    """

    address: str
    update: FleetUpdate


class LeaderSearch:
    """One search for the leader, which calls several coordinators concurrently.

    In a network partition, coordinators on the other side refuse and some do not answer
    at all, so sequential calls would take seconds. A coordinator that another one names
    as the leader is called at once. The search waits for it until its call has timed
    out, because a new connection to another region takes several round trips.

    Parameters
    ----------
    clock : Clock
        Source of time.
    call : callable
        Sends a sync request to one address; limits the time of the call itself.
    addresses : iterable of str
        Addresses to call, in this order.
    """

    def __init__(
        self,
        clock: Clock,
        call: Callable[[str], Awaitable[FleetUpdate]],
        addresses: Iterable[str],
    ):
        self.clock = clock
        self._call = call
        self._remaining = list(addresses)
        self._called: set[str] = set()
        self._hinted: set[str] = set()
        self._pending: dict[asyncio.Task, str] = {}
        self._hint_delay_over = False

    async def run(self) -> Leader:
        """Return the leader.

        Raises
        ------
        BulrushleadError
            ``CONTROL_UNREACHABLE`` if no coordinator answers as the leader.
        """
        try:
            while self._start_calls():
                done = await self._wait()
                if not done and not self._remaining and not self._is_hinted_pending():
                    break
                # If no call ended, the hinted leader may have failed.
                self._hint_delay_over = not done
                for task in done:
                    leader = self._process_result(task)
                    if leader is not None:
                        return leader
        finally:
            for task in self._pending:
                task.cancel()
            await asyncio.gather(*self._pending, return_exceptions=True)
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"none of {len(self._called)} coordinators is the leader; the search is "
            "retried",
        )

    def _start_calls(self) -> bool:
        """Start further calls; return whether any call is in progress."""
        for address in self._hinted - self._called:
            self._start_call(address)
        if self._hint_delay_over or not self._is_hinted_pending():
            while self._remaining and len(self._pending) < MAX_CONCURRENT_CALLS:
                address = self._remaining.pop(0)
                if address not in self._called:
                    self._start_call(address)
        return bool(self._pending)

    def _is_hinted_pending(self) -> bool:
        return any(address in self._hinted for address in self._pending.values())

    def _start_call(self, address: str) -> None:
        self._called.add(address)
        self._pending[asyncio.ensure_future(self._call(address))] = address

    def _wait_timeout_ms(self) -> float | None:
        if self._is_hinted_pending():
            return HINT_DELAY_MS if self._remaining else None
        return None if self._remaining else UNANSWERED_TIMEOUT_MS

    async def _wait(self) -> set[asyncio.Task]:
        """Return the calls that have ended; empty if the wait timed out."""
        timeout_ms = self._wait_timeout_ms()
        timers = set()
        if timeout_ms is not None:
            timers.add(asyncio.ensure_future(self.clock.sleep_ms(timeout_ms)))
        try:
            done, _ = await asyncio.wait(
                {*self._pending, *timers}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for timer in timers:
                timer.cancel()
        return done - timers

    def _process_result(self, task: asyncio.Task) -> Leader | None:
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
    """Return the address of the leader that a refusal names, or None."""
    if error.code is not ResultCode.NOT_LEADER:
        return None
    address = error.detail.rpartition("ask ")[2]
    return address if address.rpartition(":")[2].isdecimal() else None
