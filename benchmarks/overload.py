"""Measures goodput under overload: admission queue against a FIFO queue.

Runs on a manual clock, so that the results depend on the seed alone. Run
``python -m benchmarks.overload --help`` from the root of the project.
"""

import asyncio
import json
import random
from collections import deque
from pathlib import Path

import attrs
import defopt

from bulrushlead.clock import ManualClock
from bulrushlead.declaration import RequestClass
from bulrushlead.limits import (
    AdmissionQueue,
    AdmissionRefusedError,
    AdmissionSettings,
    Ticket,
)
from bulrushlead.results import ResultCode

SLOTS = 16
MEAN_SERVICE_MS = 50.0
SERVICE_SIGMA = 0.5
BULK_SHARE = 0.3
TIMEOUT_MS = {RequestClass.INTERACTIVE: 300.0, RequestClass.BULK: 2_000.0}
LOADS = (0.5, 0.8, 0.95, 1.0, 1.2, 2.0, 5.0)
SETTLE_ROUNDS = 6  # event loop iterations after each step of the manual clock
RESULTS = Path("benchmarks/results")


@attrs.define
class CountedSlots:
    """A fixed number of slots."""

    free: int = SLOTS

    def try_acquire(self) -> object | None:
        """Acquire a slot if one is free."""
        if self.free < 1:
            return None
        self.free -= 1
        return self

    def release(self, slot: object) -> None:
        """Release a slot."""
        self.free += 1


class FifoQueue:
    """Baseline: starts requests in order of arrival, whatever their deadline.

    Parameters
    ----------
    clock : ManualClock
        Clock of the run.
    max_waiting : int or None
        Bound of the queue; None for no bound.
    """

    def __init__(self, clock: ManualClock, max_waiting: int | None):
        self.clock = clock
        self.max_waiting = max_waiting
        self._waiting: deque[asyncio.Future] = deque()

    async def admit(self, request_class, deadline_ms, source) -> Ticket:
        """Wait for a slot."""
        slot = source.try_acquire() if not self._waiting else None
        if slot is None:
            if self.max_waiting is not None and len(self._waiting) >= self.max_waiting:
                raise AdmissionRefusedError(
                    ResultCode.OVERLOADED, "the queue is full", 0.0
                )
            future = asyncio.get_running_loop().create_future()
            self._waiting.append(future)
            await future
            slot = source.try_acquire()
        return Ticket(slot, source, "", self.clock.now_ms(), 0.0)

    def leave(self, ticket: Ticket, service_time_ms: float) -> None:
        """Release a slot, and start the next request."""
        ticket.source.release(ticket.slot)
        if self._waiting:
            self._waiting.popleft().set_result(None)

    def close(self) -> None:
        """Cancel all waiting requests."""
        for future in self._waiting:
            future.cancel()


@attrs.frozen
class Figures:
    """Results of one policy at one load.

    Parameters
    ----------
    policy : str
        Name of the policy.
    load : float
        Offered load over the capacity of the slots.
    goodput_per_s : float
        Answers within their deadline, per second.
    interactive_percent, bulk_percent : float
        Answers within their deadline over requests of the class.
    late_percent : float
        Requests that ran and missed their deadline.
    refused_later_percent : float
        Requests that were refused after they had waited, not on arrival.
    refused_last_percent : float
        Requests that were refused after more than half of their timeout.
    waited_p99_ms : float
        99th percentile of the wait of requests that started, in milliseconds.
    """

    policy: str
    load: float
    goodput_per_s: float
    interactive_percent: float
    bulk_percent: float
    late_percent: float
    refused_later_percent: float
    refused_last_percent: float
    waited_p99_ms: float


class Run:
    """Simulates one policy under one load.

    Parameters
    ----------
    policy : str
        ``"admission"``, ``"fifo"`` or ``"bounded fifo"``.
    load : float
        Offered load over capacity.
    seed : int
        Seed of arrivals and service times.
    duration_ms : float
        Simulated time.
    """

    def __init__(self, policy: str, load: float, seed: int, duration_ms: float):
        self.policy = policy
        self.load = load
        self.seed = seed
        self.duration_ms = duration_ms
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._slots = CountedSlots()
        self._queue = self._build_queue()
        self._offered = dict.fromkeys(RequestClass, 0)
        self._good = dict.fromkeys(RequestClass, 0)
        self._late = 0
        self._refused_later = 0
        self._refused_last = 0
        self._waited_ms: list[float] = []

    def _build_queue(self):
        if self.policy == "admission":
            return AdmissionQueue(self._clock, AdmissionSettings())
        bound = AdmissionSettings().max_waiting if self.policy != "fifo" else None
        return FifoQueue(self._clock, bound)

    async def run(self) -> Figures:
        """Offer the load, and return the results."""
        arrivals = asyncio.create_task(self._arrive())
        await self._clock.advance_ms(self.duration_ms, SETTLE_ROUNDS)
        arrivals.cancel()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        self._queue.close()
        await asyncio.sleep(0)
        return self._summarise()

    async def _arrive(self) -> None:
        gap_ms = MEAN_SERVICE_MS / SLOTS / self.load
        while True:
            await self._clock.sleep_ms(self._random.expovariate(1.0 / gap_ms))
            is_bulk = self._random.random() < BULK_SHARE
            kind = RequestClass.BULK if is_bulk else RequestClass.INTERACTIVE
            service_ms = (
                self._random.lognormvariate(0.0, SERVICE_SIGMA) * MEAN_SERVICE_MS
            )
            asyncio.create_task(self._request(kind, service_ms))  # noqa: RUF006

    async def _request(self, kind: RequestClass, service_ms: float) -> None:
        arrived_ms = self._clock.now_ms()
        deadline_ms = arrived_ms + TIMEOUT_MS[kind]
        self._offered[kind] += 1
        try:
            ticket = await self._queue.admit(kind, deadline_ms, self._slots)
        except AdmissionRefusedError:
            waited_ms = self._clock.now_ms() - arrived_ms
            self._refused_later += waited_ms > 0
            self._refused_last += waited_ms > TIMEOUT_MS[kind] / 2
            return
        self._waited_ms.append(self._clock.now_ms() - arrived_ms)
        await self._clock.sleep_ms(service_ms)
        self._queue.leave(ticket, service_ms)
        if self._clock.now_ms() <= deadline_ms:
            self._good[kind] += 1
        else:
            self._late += 1

    def _summarise(self) -> Figures:
        offered = sum(self._offered.values())
        return Figures(
            policy=self.policy,
            load=self.load,
            goodput_per_s=sum(self._good.values()) / self.duration_ms * 1_000,
            interactive_percent=self._percent(RequestClass.INTERACTIVE),
            bulk_percent=self._percent(RequestClass.BULK),
            late_percent=100.0 * self._late / offered,
            refused_later_percent=100.0 * self._refused_later / offered,
            refused_last_percent=100.0 * self._refused_last / offered,
            waited_p99_ms=percentile(self._waited_ms, 0.99),
        )

    def _percent(self, kind: RequestClass) -> float:
        return 100.0 * self._good[kind] / max(1, self._offered[kind])


def percentile(values: list[float], share: float) -> float:
    """Return the percentile of ``values`` at ``share``; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * share)] if ordered else 0.0


def to_markdown(results: list[Figures], command: str) -> str:
    """Return the results as a Markdown table."""
    peak = max(row.goodput_per_s for row in results)
    lines = [
        f"Command: `{command}`",
        "",
        "| policy | load | goodput /s | of peak | interactive in time | "
        "bulk in time | ran and late | refused after a wait | refused in the second "
        "half of their time | wait p99 |",
        "| --- " * 10 + "|",
    ]
    lines += [
        f"| {row.policy} | {row.load:g} | {row.goodput_per_s:.1f} "
        f"| {100 * row.goodput_per_s / peak:.1f} % "
        f"| {row.interactive_percent:.1f} % | {row.bulk_percent:.1f} % "
        f"| {row.late_percent:.2f} % | {row.refused_later_percent:.2f} % "
        f"| {row.refused_last_percent:.2f} % | {row.waited_p99_ms:.1f} ms |"
        for row in results
    ]
    return "\n".join(lines) + "\n"


def main(*, seed: int = 1, duration_s: int = 20) -> None:
    """Measure goodput under overload.

    Parameters
    ----------
    seed : int
        Seed of arrivals and service times.
    duration_s : int
        Simulated time for each policy and load, in seconds.
    """
    results = [
        asyncio.run(Run(policy, load, seed, duration_s * 1_000.0).run())
        for policy in ("admission", "bounded fifo", "fifo")
        for load in LOADS
    ]
    command = f"python -m benchmarks.overload --seed {seed} --duration-s {duration_s}"
    text = to_markdown(results, command)
    print(text)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "overload.md").write_text(text)
    document = {"command": command, "results": [attrs.asdict(row) for row in results]}
    (RESULTS / "overload.json").write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    defopt.run(main)
