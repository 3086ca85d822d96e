"""Heartbeats of backend servers, on their way to the leader."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.coordinator._messages import AnnounceBatch
from bulrushlead.fleet import Announcement
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode

DELIVERY_TIMEOUT_MS = 800  # servers give up a call after a second


@attrs.define(eq=False)
class _Round:
    """One attempt to deliver what is queued."""

    finished: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_delivered: bool = False


class HeartbeatQueue:
    """Newest heartbeat of each server that the leader does not have yet.

    Parameters
    ----------
    clock : Clock
        Source of time.
    send : callable
        Sends a batch to the leader; returns once the leader has recorded it.
    """

    def __init__(
        self, clock: Clock, send: Callable[[AnnounceBatch], Awaitable[object]]
    ):
        self.clock = clock
        self._send = send
        self._pending: dict[str, tuple[Announcement, float]] = {}
        self._next_round = _Round()
        self._failure: BulrushleadError | None = None  # of the last round
        self._events = EventLogger("coordinator")

    def newest(self, server_id: str) -> Announcement | None:
        """Return the queued heartbeat of a server, or None."""
        queued = self._pending.get(server_id)
        return None if queued is None else queued[0]

    def add(self, heartbeat: Announcement) -> None:
        """Queue a heartbeat, unless a newer one of the server is queued."""
        newest = self.newest(heartbeat.server_id)
        if newest is None or (newest.born_ms, newest.sequence) < (
            heartbeat.born_ms,
            heartbeat.sequence,
        ):
            self._pending[heartbeat.server_id] = (heartbeat, self.clock.now_ms())

    async def deliver(self, heartbeat: Announcement) -> None:
        """Queue a heartbeat, and return once the leader has recorded it.

        A server with an acknowledgement does not ask another host, so that a host that
        is cut off from the leader must not give one. Such a heartbeat stays queued.

        Raises
        ------
        BulrushleadError
            ``CONTROL_UNREACHABLE`` if the leader did not record it in time, or did not
            record the last batch.
        """
        self.add(heartbeat)
        if self._failure is not None:
            # The leader's own code may refuse the heartbeat of another server as
            # invalid, and would make this one look invalid as well.
            raise _not_recorded(f"the last batch failed: {self._failure}")
        delivery = self._next_round
        try:
            await self.clock.wait_for(delivery.finished.wait(), DELIVERY_TIMEOUT_MS)
        except TimeoutError as error:
            raise _not_recorded(f"no answer in {DELIVERY_TIMEOUT_MS} ms") from error
        if not delivery.is_delivered:
            raise _not_recorded("its batch failed")

    async def forward(self) -> None:
        """Send what is queued to the leader; after a failure, it stays queued."""
        if not self._pending:
            return
        pending, self._pending = self._pending, {}
        delivery, self._next_round = self._next_round, _Round()
        now_ms = self.clock.now_ms()
        heartbeats = [
            attrs.evolve(heartbeat, age_ms=now_ms - received_ms)
            for heartbeat, received_ms in pending.values()
        ]
        try:
            await self._send(AnnounceBatch(tuple(heartbeats)))
        except BulrushleadError as error:
            self._failure = error
            self._events.write(
                Event.HEARTBEATS_DELAYED,
                count=len(heartbeats),
                code=error.code.value,
                detail=error.detail,
            )
            for server_id, queued in pending.items():
                self._pending.setdefault(server_id, queued)
        else:
            self._failure = None
            delivery.is_delivered = True
        finally:
            delivery.finished.set()


def _not_recorded(detail: str) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.CONTROL_UNREACHABLE,
        f"the leader did not record the heartbeat ({detail}); ask another host",
    )
