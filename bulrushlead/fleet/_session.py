"""Session of a host with the leading coordinator."""

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
# Longest time that the leader waits for a change before it answers; also the interval
# of host reports.
SYNC_WAIT_MS = 400
RETRY_BACKOFF_MS = 60  # before the next attempt; doubles up to the maximum
MAX_RETRY_BACKOFF_MS = 400
SESSION_LOST_AFTER_MS = 1_500  # shorter losses are not logged


class LeaderSession:
    """Finds the leader, sends it reports of this host and applies its updates.

    Parameters
    ----------
    clock : Clock
        Source of time.
    seeds : tuple of str
        Configured addresses of coordinators, used in addition to those that the
        leader sends.
    link_factory : callable
        Creates the link to an address.
    view : FleetView
        View to which the updates are applied.
    report : callable
        Returns the ``HostReport`` of this host.
    on_update : callable
        Called with each update after it has been applied.
    rng : random.Random
        Chooses the order in which coordinators are called.
    """

    def __init__(
        self,
        clock: Clock,
        seeds: tuple[str, ...],
        link_factory: LinkFactory,
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
        self._link_factory = link_factory
        self._links: dict[str, PeerLink] = {}
        self._task: asyncio.Task | None = None
        self._connected = False
        self._log = EventLogger("session")

    async def start(self) -> None:
        """Start the sync loop."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the sync loop and close the links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        # Concurrently: each link may wait for a host that does not answer.
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()

    async def call_leader(self, request: Any, timeout_ms: float) -> Any:
        """Call the leader, trying other coordinators until the timeout.

        Raises
        ------
        BulrushleadError
            ``CONTROL_UNREACHABLE`` if no leader was found,
            ``CHANGE_OUTCOME_UNKNOWN`` if the request may have been accepted, or
            the error that the leader returned.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        address = self.leader or self._next_address(None)
        backoff_ms = RETRY_BACKOFF_MS
        while (remaining_ms := deadline_ms - self.clock.now_ms()) > 0 and address:
            try:
                return await self.link_to(address).call(request, remaining_ms)
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
            await self.clock.sleep_ms(backoff_ms)
            backoff_ms = min(2 * backoff_ms, MAX_RETRY_BACKOFF_MS)
            address = hint or self.leader or self._next_address(address)
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"no coordinator answered as the leader within {timeout_ms:.0f} ms",
        )

    def link_to(self, address: str) -> PeerLink:
        """Return the link to a coordinator."""
        if address not in self._links:
            self._links[address] = self._link_factory(address)
        return self._links[address]

    async def _run(self) -> None:
        backoff_ms = RETRY_BACKOFF_MS
        while True:
            try:
                asked_ms = self.clock.now_ms()
                if self.leader is not None:
                    update = await self._sync(self.leader, SYNC_WAIT_MS)
                else:
                    update = await self._find_leader()
            except Exception as error:
                was_searching = self.leader is None
                self.leader = None
                self._record_failure(error)
                if was_searching:
                    await self.clock.sleep_ms(backoff_ms)
                    backoff_ms = min(2 * backoff_ms, MAX_RETRY_BACKOFF_MS)
                continue
            backoff_ms = RETRY_BACKOFF_MS
            self._apply_update(update, asked_ms)

    def _apply_update(self, update: FleetUpdate, asked_ms: float) -> None:
        try:
            if self.view.apply(update):
                self.view.confirmed_ms = asked_ms
                self.on_update(update)
        except Exception as error:
            # A faulty update must not stop the updates after it.
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
        self._record_success()

    async def _sync(self, address: str, wait_ms: float) -> FleetUpdate:
        request = SyncRequest(self.view.position, self.report(), wait_ms)
        return await self.link_to(address).call(request, CALL_TIMEOUT_MS + wait_ms)

    async def _find_leader(self) -> FleetUpdate:
        addresses = sorted({*self.seeds, *self.view.control_addresses})
        self.rng.shuffle(addresses)
        search = LeaderSearch(
            self.clock, lambda address: self._sync(address, 0.0), addresses
        )
        leader = await search.run()
        self.leader = leader.address
        return leader.update

    def _next_address(self, last: str | None) -> str | None:
        addresses = sorted({*self.seeds, *self.view.control_addresses})
        others = [address for address in addresses if address != last]
        return self.rng.choice(others or addresses)

    def _record_success(self) -> None:
        if not self._connected:
            self._connected = True
            self._log.write(
                Event.SESSION_OPENED,
                leader=self.leader,
                plan_version=self.view.position.plan_version,
                servers=len(self.view.servers),
            )

    def _record_failure(self, error: Exception) -> None:
        if not isinstance(error, BulrushleadError):
            # Logged instead of raised: a host whose loop ends gets no further plan.
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
        if self._connected and self.view.age_ms() > SESSION_LOST_AFTER_MS:
            self._connected = False
            self._log.write(
                Event.SESSION_LOST, reason=str(error), age_ms=round(self.view.age_ms())
            )
