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

RETRY_JITTER = 0.5
"""Largest fraction by which a retry delay is lengthened."""

GOLDEN_RATIO = 0.6180339887498949
"""Fractional part of the golden ratio; its multiples modulo 1 spread evenly."""


class AdmissionQueue:
    """Admits requests that can finish before their deadline and refuses the others.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    settings : AdmissionSettings
        Limits and weights of the queue.

    Notes
    -----
    One queue serves one service. The expected wait of a request is the expected
    number of starts in its lane until it has started itself, times the mean
    service time, divided by the number of requests running in the lane. A request
    whose wait and service time do not fit before its deadline is refused before it
    runs: on arrival, or as soon as the estimate exceeds the deadline.

    While requests of both classes wait, one bulk request starts after every
    ``interactive_per_bulk`` interactive ones.

    If no request runs, an arriving one that gets a slot at once is admitted
    whatever the estimate is: without completed requests an estimate that is too
    high would never be corrected.
    """

    def __init__(self, clock: Clock, settings: AdmissionSettings):
        self.clock = clock
        self.settings = settings
        self._service_ms = MovingEstimate(
            settings.initial_service_ms, deviations=settings.deviations
        )
        self._waiting = {kind: WaitingLanes() for kind in RequestClass}
        self._running: dict[str, int] = {}
        self._arrival_numbers = itertools.count(1)
        self._interactive_since_bulk = 0
        self._starts_per_bulk = MovingEstimate(1.0)
        self._swept_ms = float("-inf")
        self._sweep_task: asyncio.Task | None = None
        self._jitter = 0.0
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
            Time on the clock at which the caller needs the answer.
        source : SlotSource
            Supplies the slot; called only when the request is next to start.
        lane : str, default=""
            Queue that the request waits in. Requests of one lane use the same
            backend servers, for example those of one region; lanes do not block
            one another.
        on_wait : callable, optional
            Called once if the request has to wait, for example to request more
            slots.

        Returns
        -------
        Ticket
            Holds the slot until it is passed to ``leave``.

        Raises
        ------
        AdmissionRefusedError
            ``DEADLINE_TOO_SHORT`` if the time left on arrival is too short even
            without a wait, ``OVERLOADED`` if the queue is full or as soon as the
            expected wait is too long, ``STOPPING`` after ``close``.
        """
        self._check_open()
        self._check_deadline(deadline_ms)
        waiter = Waiter(
            arrival_number=next(self._arrival_numbers),
            request_class=request_class,
            lane=lane,
            deadline_ms=deadline_ms,
            source=source,
            future=asyncio.get_running_loop().create_future(),
        )
        arrived_ms = self.clock.now_ms()
        if not self._start_at_once(waiter):
            self._enqueue(waiter)
            if on_wait is not None:
                on_wait()
        try:
            ticket = await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        ticket.waited_ms = ticket.started_ms - arrived_ms
        return ticket

    def leave(self, ticket: Ticket, service_time_ms: float | None = None) -> None:
        """Release the slot of a request that has ended, and start the next one.

        Parameters
        ----------
        ticket : Ticket
            Ticket from ``admit``; a second call with it has no effect.
        service_time_ms : float, optional
            Time that the backend server took; None if the request failed in a
            way that does not show the service time.
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
        """Start waiting requests; call this when slots were granted."""
        self._sweep()
        blocked: set[str] = set()
        while (waiter := self._next_waiter(blocked)) is not None:
            if waiter.future.done():
                self._waiting[waiter.request_class].discard(waiter)
            elif self._misses_deadline(waiter.deadline_ms):
                self._refuse(waiter)
            elif self._start(waiter):
                self._count_start(waiter)
            else:
                blocked.add(waiter.lane)

    def waiting(self, request_class: RequestClass | None = None) -> int:
        """Return the number of waiting requests, of one class or of all."""
        if request_class is not None:
            return len(self._waiting[request_class])
        return sum(len(lanes) for lanes in self._waiting.values())

    def waiting_in(self, lane: str) -> int:
        """Return the number of requests waiting in a lane, its demand for slots."""
        return sum(lanes.length(lane) for lanes in self._waiting.values())

    def running_in(self, lane: str) -> int:
        """Return the number of requests running in a lane."""
        return self._running.get(lane, 0)

    def running(self) -> int:
        """Return the number of running requests."""
        return sum(self._running.values())

    def expected_service_ms(self) -> float:
        """Return the service time, in ms, that must fit before a deadline."""
        return self._service_ms.upper()

    def close(self) -> None:
        """Refuse all waiting requests and every later one."""
        self._is_closed = True
        for lanes in self._waiting.values():
            for lane in lanes.lanes():
                for waiter in lane:
                    self._fail(waiter, self._stopping())
        if self._sweep_task is not None:
            self._sweep_task.cancel()

    def _check_open(self) -> None:
        if self._is_closed:
            raise self._stopping()

    def _check_deadline(self, deadline_ms: float) -> None:
        remaining_ms = deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0 or (self._running and self._misses_deadline(deadline_ms)):
            raise AdmissionRefusedError(
                ResultCode.DEADLINE_TOO_SHORT,
                f"{remaining_ms:.0f} ms are left and the service takes "
                f"{self.expected_service_ms():.0f} ms; allow more time",
                0.0,
            )

    def _misses_deadline(self, deadline_ms: float) -> bool:
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
        is_late = self._lateness_ms(waiter, position, slack_ms) > 0
        if len(lanes) >= self.settings.max_waiting or is_late:
            raise self._overloaded(waiter, position)
        lanes.add(waiter)
        if self._sweep_task is None or self._sweep_task.done():
            self._sweep_task = asyncio.get_running_loop().create_task(
                self._sweep_periodically()
            )

    def _lateness_ms(
        self, waiter: Waiter, position: int, slack_ms: float = 0.0
    ) -> float:
        """Return by how many ms a waiter at ``position`` would miss its deadline."""
        finish_ms = (
            self.clock.now_ms()
            + slack_ms
            + self._wait_ms(waiter, position)
            + self.expected_service_ms()
        )
        return max(0.0, finish_ms - waiter.deadline_ms)

    def _wait_ms(self, waiter: Waiter, position: int) -> float:
        start_interval_ms = self._service_ms.mean() / max(
            1, self._running.get(waiter.lane, 0)
        )
        return (position + 1) * start_interval_ms * self._wait_factor(waiter)

    def _wait_factor(self, waiter: Waiter) -> float:
        """Return how many requests start per request of the waiter's class."""
        if waiter.request_class is RequestClass.BULK:
            return self._starts_per_bulk.mean()
        per_bulk = self.settings.interactive_per_bulk
        other = self._waiting[RequestClass.BULK]
        return (per_bulk + 1.0) / per_bulk if other.length(waiter.lane) else 1.0

    def _next_waiter(self, blocked: set[str]) -> Waiter | None:
        bulk_first = self._interactive_since_bulk >= self.settings.interactive_per_bulk
        order = (RequestClass.INTERACTIVE, RequestClass.BULK)
        for kind in reversed(order) if bulk_first else order:
            for waiter in self._waiting[kind].heads():
                if waiter.lane not in blocked:
                    return waiter
        return None

    def _count_start(self, waiter: Waiter) -> None:
        if waiter.request_class is RequestClass.BULK:
            self._starts_per_bulk.observe(self._interactive_since_bulk + 1)
            self._interactive_since_bulk = 0
        elif self._waiting[RequestClass.BULK]:
            self._interactive_since_bulk += 1

    def _sweep(self) -> None:
        """Refuse every waiter whose estimated finish is after its deadline."""
        now_ms = self.clock.now_ms()
        if now_ms - self._swept_ms < self.settings.sweep_interval_ms:
            return
        self._swept_ms = now_ms
        for lanes in self._waiting.values():
            for lane in lanes.lanes():
                position = 0
                for waiter in lane:
                    if self._lateness_ms(waiter, position):
                        self._refuse(waiter, position)
                    else:
                        position += 1

    async def _sweep_periodically(self) -> None:
        """Call ``wake`` at intervals, to refuse late waiters while no request ends."""
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
        """Remove a cancelled request from the queue, or release its slot."""
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
        """Return the retry delay for the caller of a refused waiter, in ms.

        Up to ``max_retry_after_ms``, the delay is at least the waiter's lateness, by
        which the backlog has to shrink. The delays of callers refused together
        differ, so that their retries do not arrive at the same time.
        """
        self._jitter = (self._jitter + GOLDEN_RATIO) % 1.0
        base_ms = max(self._lateness_ms(waiter, position), self._service_ms.mean())
        delay_ms = base_ms * (1.0 + RETRY_JITTER * self._jitter)
        return min(delay_ms, self.settings.max_retry_after_ms)

    def _stopping(self) -> AdmissionRefusedError:
        return AdmissionRefusedError(
            ResultCode.STOPPING,
            "this entry host is stopping; use another one",
            0.0,
        )
