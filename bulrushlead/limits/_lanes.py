"""Waiting requests of one class, in order of arrival by lane."""

import asyncio
from collections.abc import Iterator

import attrs

from bulrushlead.declaration import RequestClass


@attrs.define(eq=False)
class Waiter:
    """A waiting request.

    Parameters
    ----------
    arrival_number : int
        Sequence number of its arrival.
    request_class : RequestClass
        Class of the request.
    lane : str
        Queue that the request waits in; its requests use the same backend
        servers.
    deadline_ms : float
        Time on the clock at which the caller needs the answer.
    source : SlotSource
        Supplies the slot.
    future : asyncio.Future
        Receives the ticket or the refusal.
    """

    arrival_number: int
    request_class: RequestClass
    lane: str
    deadline_ms: float
    source: object
    future: asyncio.Future


class WaitingLanes:
    """First-in-first-out queues of one request class, one for each lane."""

    def __init__(self):
        self._lanes: dict[str, dict[int, Waiter]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, waiter: Waiter) -> None:
        """Append a waiter to its lane."""
        self._lanes.setdefault(waiter.lane, {})[waiter.arrival_number] = waiter
        self._count += 1

    def discard(self, waiter: Waiter) -> bool:
        """Remove a waiter, and return whether it was waiting."""
        lane = self._lanes.get(waiter.lane)
        if lane is None or lane.pop(waiter.arrival_number, None) is None:
            return False
        if not lane:
            del self._lanes[waiter.lane]
        self._count -= 1
        return True

    def heads(self) -> list[Waiter]:
        """Return the first waiter of every lane, in order of arrival."""
        heads = [next(iter(lane.values())) for lane in self._lanes.values()]
        return sorted(heads, key=lambda waiter: waiter.arrival_number)

    def length(self, lane: str) -> int:
        """Return the number of requests waiting in a lane."""
        return len(self._lanes.get(lane, ()))

    def lanes(self) -> Iterator[list[Waiter]]:
        """Yield a copy of each lane, so that waiters can be removed meanwhile."""
        for lane in list(self._lanes.values()):
            yield list(lane.values())
