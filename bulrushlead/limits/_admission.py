"""Deadline-aware admission of the requests of one service."""

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeVar

from bulrushlead.clock import Clock
from bulrushlead.declaration import RequestClass
from bulrushlead.limits._estimate import MovingEstimate
from bulrushlead.limits._lanes import Waiter, WaitingLanes
from bulrushlead.limits._refusal import AdmissionRefusedError
from bulrushlead.limits._settings import AdmissionSettings
from bulrushlead.limits._ticket import SlotSource, Ticket
from bulrushlead.results import ResultCode

T = TypeVar("T")

RETRY_SPREAD = 0.5
"""Largest part by which a time to come back is lengthened at random."""

GOLDEN_RATIO = 0.6180339887498949


class AdmissionQueue:
    """Starts each request while it can still finish, and refuses the others.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    settings : AdmissionSettings
        Bounds and weights.

    Notes
    -----
    One queue serves one service. The expected wait of a request is the number
    of requests before it, times the mean service time, divided by the number of
    requests running in its lane. A request whose wait and service time do not
    fit before its deadline is refused at once, on arrival or as soon as the
    estimate worsens; it has not run.

    While requests of both classes wait, one bulk request starts after every
    ``interactive_turns`` interactive ones.

    With nothing running there is nothing to learn from, so one request is
    admitted whatever the estimate says.
    """

    def __init__(self, clock: Clock, settings: AdmissionSettings):
        self.clock = clock
        self.settings = settings
        self._service_ms = MovingEstimate(
            settings.initial_service_ms, deviations=settings.deviations
        )
        self._waiting = {kind: WaitingLanes() for kind in RequestClass}
        self._running: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._turns_since_bulk = 0
        self._starts_per_bulk = MovingEstimate(1.0)
        self._swept_at_ms = float("-inf")
        self._timer: asyncio.Task | None = None
        self._spread = 0.0
        self._is_closed = False

    async def admit(
        self,
        request_class: RequestClass,
        deadline_ms: float,
        source: SlotSource[T],
        lane: str = "",
        on_wait: Callable[[], None] | None = None,
    ) -> Ticket[T]:
        """Wait for a slot.

        Parameters
        ----------
        request_class : RequestClass
            Class of the request.
        deadline_ms : float
            Time on the clock when the caller must have the answer.
        source : SlotSource
            Where the request gets its slot; asked only when it is its turn.
        lane : str, default=""
            Requests of one lane want the same backend servers, for example
            those of one region; lanes do not block one another.
        on_wait : callable, optional
            Called once if the request has to wait, for example to ask for more
            slots.

        Returns
        -------
        Ticket
            To be given to ``leave``.

        Raises
        ------
        AdmissionRefusedError
            ``OVERLOADED`` or ``DEADLINE_TOO_SHORT`` as soon as the request
            cannot finish in time, ``STOPPING`` after ``close``.
        """
        self._check_open()
        self._check_deadline(deadline_ms)
        waiter = Waiter(
            number=next(self._numbers),
            request_class=request_class,
            lane=lane,
            deadline_ms=deadline_ms,
            source=source,
            future=asyncio.get_running_loop().create_future(),
        )
        arrived_at_ms = self.clock.now_ms()
        if not self._start_at_once(waiter):
            self._enqueue(waiter)
            if on_wait is not None:
                on_wait()
        try:
            ticket = await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        ticket.waited_ms = ticket.started_at_ms - arrived_at_ms
        return ticket

    def leave(self, ticket: Ticket, service_time_ms: float | None = None) -> None:
        """Return the slot of a request that has ended, and start the next.

        Parameters
        ----------
        ticket : Ticket
            From ``admit``; leaving twice has no effect.
        service_time_ms : float, optional
            How long the backend server took; None if the request failed in a
            way that says nothing about it.
        """
        if not ticket.is_open:
            return
        ticket.is_open = False
        ticket.source.release(ticket.slot)
        self._running[ticket.lane] -= 1
        if self._running[ticket.lane] == 0:
            del self._running[ticket.lane]
        if service_time_ms is not None:
            self._service_ms.observe(service_time_ms)
        self.wake()

    def wake(self) -> None:
        """Start waiting requests; to be called when slots were granted."""
        self._sweep()
        blocked: set[str] = set()
        while (waiter := self._next_waiter(blocked)) is not None:
            if waiter.future.done():
                self._waiting[waiter.request_class].discard(waiter)
            elif self._too_late(waiter.deadline_ms):
                self._refuse(waiter)
            elif self._start(waiter):
                self._count_turn(waiter)
            else:
                blocked.add(waiter.lane)

    def waiting(self, request_class: RequestClass | None = None) -> int:
        """Return how many requests wait, of one class or in all."""
        if request_class is not None:
            return len(self._waiting[request_class])
        return sum(len(lanes) for lanes in self._waiting.values())

    def waiting_in(self, lane: str) -> int:
        """Return how many requests wait in a lane, as demand for slots."""
        return sum(lanes.length(lane) for lanes in self._waiting.values())

    def running_in(self, lane: str) -> int:
        """Return how many requests run in a lane."""
        return self._running.get(lane, 0)

    def running(self) -> int:
        """Return how many requests run."""
        return sum(self._running.values())

    def expected_service_ms(self) -> float:
        """Return the service time that must fit before a deadline."""
        return self._service_ms.upper()

    def close(self) -> None:
        """Refuse everything that waits and everything that comes."""
        self._is_closed = True
        for lanes in self._waiting.values():
            for lane in lanes.lanes():
                for waiter in lane:
                    self._fail(waiter, self._stopping())
        if self._timer is not None:
            self._timer.cancel()

    def _check_open(self) -> None:
        if self._is_closed:
            raise self._stopping()

    def _check_deadline(self, deadline_ms: float) -> None:
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms <= 0 or (self._running and self._too_late(deadline_ms)):
            raise AdmissionRefusedError(
                ResultCode.DEADLINE_TOO_SHORT,
                f"{left_ms:.0f} ms are left and the service takes "
                f"{self.expected_service_ms():.0f} ms; allow more time",
                0.0,
            )

    def _too_late(self, deadline_ms: float) -> bool:
        return self.clock.now_ms() + self.expected_service_ms() > deadline_ms

    def _start_at_once(self, waiter: Waiter) -> bool:
        ahead = self._waiting[waiter.request_class].length(waiter.lane)
        interactive = self._waiting[RequestClass.INTERACTIVE].length(waiter.lane)
        return ahead == 0 and interactive == 0 and self._start(waiter)

    def _start(self, waiter: Waiter) -> bool:
        slot = waiter.source.try_acquire()
        if slot is None:
            return False
        self._waiting[waiter.request_class].discard(waiter)
        self._running[waiter.lane] = self._running.get(waiter.lane, 0) + 1
        ticket = Ticket(slot, waiter.source, waiter.lane, self.clock.now_ms(), 0.0)
        waiter.future.set_result(ticket)
        return True

    def _enqueue(self, waiter: Waiter) -> None:
        lanes = self._waiting[waiter.request_class]
        position = lanes.length(waiter.lane)
        slack_ms = self.settings.arrival_slack * self._wait_ms(waiter, position)
        is_late = self._late_ms(waiter, position, slack_ms) > 0
        if len(lanes) >= self.settings.max_waiting or is_late:
            raise self._overloaded(waiter, position)
        lanes.add(waiter)
        if self._timer is None or self._timer.done():
            self._timer = asyncio.get_running_loop().create_task(self._watch())

    def _late_ms(self, waiter: Waiter, position: int, slack_ms: float = 0.0) -> float:
        """Return by how much a waiter at ``position`` would miss its deadline."""
        finish_ms = (
            self.clock.now_ms()
            + slack_ms
            + self._wait_ms(waiter, position)
            + self.expected_service_ms()
        )
        return max(0.0, finish_ms - waiter.deadline_ms)

    def _wait_ms(self, waiter: Waiter, position: int) -> float:
        turn_ms = self._service_ms.mean() / max(1, self._running.get(waiter.lane, 0))
        return (position + 1) * turn_ms * self._dilution(waiter)

    def _dilution(self, waiter: Waiter) -> float:
        """Return how many requests start for each one of the waiter's class."""
        if waiter.request_class is RequestClass.BULK:
            return self._starts_per_bulk.mean()
        turns = self.settings.interactive_turns
        other = self._waiting[RequestClass.BULK]
        return (turns + 1.0) / turns if other.length(waiter.lane) else 1.0

    def _next_waiter(self, blocked: set[str]) -> Waiter | None:
        bulk_first = self._turns_since_bulk >= self.settings.interactive_turns
        order = (RequestClass.INTERACTIVE, RequestClass.BULK)
        for kind in reversed(order) if bulk_first else order:
            for waiter in self._waiting[kind].heads():
                if waiter.lane not in blocked:
                    return waiter
        return None

    def _count_turn(self, waiter: Waiter) -> None:
        if waiter.request_class is RequestClass.BULK:
            self._starts_per_bulk.observe(self._turns_since_bulk + 1)
            self._turns_since_bulk = 0
        elif self._waiting[RequestClass.BULK]:
            self._turns_since_bulk += 1

    def _sweep(self) -> None:
        """Refuse every waiter that would miss its deadline by the estimate."""
        now_ms = self.clock.now_ms()
        if now_ms - self._swept_at_ms < self.settings.sweep_interval_ms:
            return
        self._swept_at_ms = now_ms
        for lanes in self._waiting.values():
            for lane in lanes.lanes():
                position = 0
                for waiter in lane:
                    if self._late_ms(waiter, position):
                        self._refuse(waiter, position)
                    else:
                        position += 1

    async def _watch(self) -> None:
        """Sweep while requests wait and none of them leaves."""
        while self.waiting() > 0:
            await self.clock.sleep_ms(self.settings.sweep_interval_ms)
            self.wake()

    def _refuse(self, waiter: Waiter, position: int = 0) -> None:
        self._fail(waiter, self._overloaded(waiter, position))

    def _fail(self, waiter: Waiter, error: AdmissionRefusedError) -> None:
        self._waiting[waiter.request_class].discard(waiter)
        if not waiter.future.done():
            waiter.future.set_exception(error)

    def _abandon(self, waiter: Waiter) -> None:
        """Free the place, or the slot, of a request whose caller is gone."""
        if self._waiting[waiter.request_class].discard(waiter):
            return
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            self.leave(future.result())

    def _overloaded(self, waiter: Waiter, position: int) -> AdmissionRefusedError:
        wait_ms = self._wait_ms(waiter, position)
        return AdmissionRefusedError(
            ResultCode.OVERLOADED,
            f"{position} requests wait and the expected wait is {wait_ms:.0f} ms; "
            "try again later",
            self._retry_after_ms(waiter, position),
        )

    def _retry_after_ms(self, waiter: Waiter, position: int) -> float:
        """Return when the backlog will have shrunk by what was missing.

        Refused callers are told times that differ, so that they do not come
        back together.
        """
        self._spread = (self._spread + GOLDEN_RATIO) % 1.0
        base_ms = max(self._late_ms(waiter, position), self._service_ms.mean())
        spread_ms = base_ms * (1.0 + RETRY_SPREAD * self._spread)
        return min(spread_ms, self.settings.max_retry_after_ms)

    def _stopping(self) -> AdmissionRefusedError:
        return AdmissionRefusedError(
            ResultCode.STOPPING,
            "this entry host is stopping; use another one",
            0.0,
        )
