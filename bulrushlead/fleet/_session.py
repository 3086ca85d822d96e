"""A host's way to the leading coordinator, and the loop that asks for news."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from bulrushlead.clock import Clock
from bulrushlead.fleet._messages import FleetUpdate, HostReport, SyncRequest
from bulrushlead.fleet._search import LeaderSearch, hinted_leader
from bulrushlead.fleet._view import FleetView
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import LinkFactory, PeerLink

CALL_TIMEOUT_MS = 700  # an answer within a region takes a few milliseconds
WAIT_FOR_NEWS_MS = 400  # the leader's longest wait; also the rhythm of reports
RETRY_PAUSE_MS = 60  # before the next address is asked
RETRY_PAUSE_MAX_MS = 400
LOST_AFTER_MS = 1_500


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
        # Together: each of them may wait for a host that does not answer.
        await asyncio.gather(*(link.close() for link in self._links.values()))
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
                hint = hinted_leader(error)
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
            except Exception as error:
                was_searching = self.leader is None
                self.leader = None
                self._note_failed(error)
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
        addresses = sorted({*self.seeds, *self.view.control_addresses})
        self.rng.shuffle(addresses)
        search = LeaderSearch(
            self.clock, lambda address: self._sync(address, 0.0), addresses
        )
        found = await search.run()
        self.leader = found.address
        return found.update

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

    def _note_failed(self, error: Exception) -> None:
        if not isinstance(error, BulrushleadError):
            # Without its session a host would keep its first plan for ever.
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
        if self._connected and self.view.age_ms() > LOST_AFTER_MS:
            self._connected = False
            self._log.write(
                Event.SESSION_LOST, reason=str(error), age_ms=round(self.view.age_ms())
            )
