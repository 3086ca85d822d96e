"""A host's way to the leading coordinator, and the loop that asks for news."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import FleetUpdate, HostReport, SyncRequest
from bulrushlead.fleet._view import FleetView
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import LinkFactory, PeerLink

CALL_TIMEOUT_MS = 700  # an answer within a region takes a few milliseconds
WAIT_FOR_NEWS_MS = 400  # the leader's longest wait; also the rhythm of reports
RETRY_PAUSE_MS = 60  # before the next address is asked
RETRY_PAUSE_MAX_MS = 400
LOST_AFTER_MS = 1_500
HINT_PATIENCE_MS = 100  # a round trip between regions
SEARCH_WIDTH = 4  # coordinators asked at once while the leader is unknown


class LeaderSession:
    """Finds the leader, reports this host to it and takes its updates.

    Parameters
    ----------
    clock : Clock
        Source of time.
    seeds : tuple of str
        Addresses to begin with.
    links : callable
        Makes the link to an address.
    view : FleetView
        What the updates change.
    report : callable
        Returns the ``HostReport`` of this host.
    on_update : callable
        Called after each update.
    rng : random.Random
        Chooses whom to ask next.
    """

    def __init__(
        self,
        clock: Clock,
        seeds: tuple[str, ...],
        links: LinkFactory,
        view: FleetView,
        report: Callable[[], HostReport],
        on_update: Callable[[FleetUpdate], None],
        rng: random.Random,
    ):
        self.clock = clock
        self.seeds = seeds
        self.view = view
        self.report = report
        self.on_update = on_update
        self.rng = rng
        self.leader: str | None = None
        self._make_link = links
        self._links: dict[str, PeerLink] = {}
        self._task: asyncio.Task | None = None
        self._connected = False
        self._log = EventLogger("session")

    async def start(self) -> None:
        """Begin to ask for news."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop asking and close the links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for link in self._links.values():
            await link.close()
        self._links.clear()

    async def call_leader(self, request: Any, timeout_ms: float) -> Any:
        """Call the leader, looking for it as long as the time allows.

        Raises
        ------
        BulrushleadError
            ``CONTROL_UNREACHABLE`` if no leader was found,
            ``CHANGE_OUTCOME_UNKNOWN`` if the request may have been accepted, or
            the leader's own error.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        address = self.leader or self._next_address(None)
        pause_ms = RETRY_PAUSE_MS
        while (left_ms := deadline_ms - self.clock.now_ms()) > 0 and address:
            try:
                return await self.link_to(address).call(request, left_ms)
            except BulrushleadError as error:
                if error.code is ResultCode.PEER_TIMEOUT:
                    raise BulrushleadError(
                        ResultCode.CHANGE_OUTCOME_UNKNOWN,
                        f"{error.detail}; send the same change again",
                    ) from error
                if error.code not in (
                    ResultCode.NOT_LEADER,
                    ResultCode.NO_QUORUM,
                    ResultCode.PEER_UNREACHABLE,
                ):
                    raise
                hint = _hint(error)
            await self.clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, RETRY_PAUSE_MAX_MS)
            address = hint or self.leader or self._next_address(address)
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"no coordinator answered as the leader within {timeout_ms:.0f} ms",
        )

    def link_to(self, address: str) -> PeerLink:
        """Return the link to a coordinator."""
        if address not in self._links:
            self._links[address] = self._make_link(address)
        return self._links[address]

    async def _run(self) -> None:
        pause_ms = RETRY_PAUSE_MS
        while True:
            try:
                if self.leader is not None:
                    update = await self._sync(self.leader, WAIT_FOR_NEWS_MS)
                else:
                    update = await self._find_leader()
            except BulrushleadError as error:
                was_searching = self.leader is None
                self.leader = None
                self._note_failed(error.detail)
                if was_searching:
                    await self.clock.sleep_ms(pause_ms)
                    pause_ms = min(2 * pause_ms, RETRY_PAUSE_MAX_MS)
                continue
            pause_ms = RETRY_PAUSE_MS
            self._take(update)

    def _take(self, update: FleetUpdate) -> None:
        try:
            if self.view.apply(update):
                self.on_update(update)
        except Exception as error:
            # One bad update must not end the way of all later ones.
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
        self._note_connected()

    async def _sync(self, address: str, wait_ms: float) -> FleetUpdate:
        request = SyncRequest(self.view.position, self.report(), wait_ms)
        return await self.link_to(address).call(request, CALL_TIMEOUT_MS + wait_ms)

    async def _find_leader(self) -> FleetUpdate:
        """Ask several coordinators at once until one answers as the leader.

        In a partition, those on the other side answer too, and some do not answer
        at all: asking one after the other would take seconds.
        """
        left = sorted({*self.seeds, *self.view.control_addresses})
        self.rng.shuffle(left)
        asked: set[str] = set()
        hints: set[str] = set()
        while left or hints:
            batch = sorted(hints) or left[:SEARCH_WIDTH]
            asked.update(batch)
            found, hints = await self._ask_together(batch)
            if found is not None:
                return found
            hints -= asked
            left = [address for address in left if address not in asked]
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"none of {len(asked)} coordinators leads; the next search follows",
        )

    async def _ask_together(
        self, addresses: list[str]
    ) -> tuple[FleetUpdate | None, set[str]]:
        """Return the leader's update, or None and the leaders that others named."""
        tasks = {asyncio.ensure_future(self._sync(a, 0.0)): a for a in addresses}
        pending = set(tasks)
        hints: set[str] = set()
        try:
            while pending:
                # Others may name a leader that is none any more, so the leader
                # itself gets the chance to answer.
                timeout_s = HINT_PATIENCE_MS / 1000.0 if hints else None
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                for task in done:
                    error = task.exception()
                    if error is None:
                        self.leader = tasks[task]
                        return task.result(), hints
                    if not isinstance(error, BulrushleadError):
                        raise error
                    if (hint := _hint(error)) is not None:
                        hints.add(hint)
        finally:
            for task in pending:
                task.cancel()
            # Those that failed meanwhile have nothing more to say.
            await asyncio.gather(*tasks, return_exceptions=True)
        return None, hints

    def _next_address(self, last: str | None) -> str | None:
        addresses = sorted({*self.seeds, *self.view.control_addresses})
        others = [address for address in addresses if address != last]
        return self.rng.choice(others or addresses)

    def _note_connected(self) -> None:
        if not self._connected:
            self._connected = True
            self._log.write(
                Event.SESSION_OPENED,
                leader=self.leader,
                plan_version=self.view.position.plan_version,
                servers=len(self.view.servers),
            )

    def _note_failed(self, reason: str) -> None:
        if self._connected and self.view.age_ms() > LOST_AFTER_MS:
            self._connected = False
            self._log.write(
                Event.SESSION_LOST, reason=reason, age_ms=round(self.view.age_ms())
            )


def _hint(error: BulrushleadError) -> str | None:
    """Return the leader that a refusal names, or None."""
    if error.code is not ResultCode.NOT_LEADER:
        return None
    address = error.detail.rpartition("ask ")[2]
    return address if address.rpartition(":")[2].isdecimal() else None
