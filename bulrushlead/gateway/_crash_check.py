"""Tells a server that has ended from a connection that was lost."""

import asyncio
from collections.abc import Callable
from enum import Enum

from bulrushlead.clock import Clock
from bulrushlead.dispatch import ServerStats
from bulrushlead.http1 import CONNECT_TIMEOUT_MS, ConnectionPool, ExchangeError
from bulrushlead.logs import Event, EventLogger

# Something in front of a server may accept a connection before it learns that the
# server has ended. It closes it within a round trip to the farthest region.
SETTLE_MS = 150
SETTLE_STEP_MS = 5.0  # what a host learns at once can spare another server


class ServerFate(Enum):
    """What a check of a server that lost a request has shown."""

    ENDED = "ended"  # nothing listens at its address
    RUNNING = "running"  # it accepts connections
    SILENT = "silent"  # neither: it has ended, or the network between is cut


class CrashCheck:
    """Opens one connection to a server that has lost requests of this host.

    Nothing is sent on it; if it stays open, the pool keeps it. Requests that are lost
    at one server together cause one check.

    Parameters
    ----------
    clock : Clock
        Source of time.
    pool : ConnectionPool
        Opens the connection.

    Attributes
    ----------
    on_result : callable or None
        Called with the server and its ``ServerFate``.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool):
        self.clock = clock
        self.pool = pool
        self.on_result: Callable[[ServerStats, ServerFate], None] | None = None
        self._tasks: dict[tuple[str, int], asyncio.Task] = {}
        self._log = EventLogger("gateway")

    def start(self, server: ServerStats, fingerprint: str) -> None:
        """Check a server that has lost a request, unless a check is in progress."""
        key = (server.server_id, server.born_ms)
        if key not in self._tasks:
            self._tasks[key] = asyncio.ensure_future(self._run(server, fingerprint))
            self._tasks[key].add_done_callback(lambda _: self._tasks.pop(key))

    async def close(self) -> None:
        """End all checks without a result."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, server: ServerStats, fingerprint: str) -> None:
        started_ms = self.clock.now_ms()
        fate, detail = await self._probe(server.address)
        self._log.write(
            Event.BACKEND_ENDED if fate is ServerFate.ENDED else Event.CONNECTION_LOST,
            server_id=server.server_id,
            born_ms=server.born_ms,
            fate=fate.value,
            detail=detail,
            took_ms=round(self.clock.now_ms() - started_ms),
            fingerprint=fingerprint,
        )
        if self.on_result is not None:
            self.on_result(server, fate)

    async def _probe(self, address: str) -> tuple[ServerFate, str]:
        try:
            connection = await self.pool.connect(address, CONNECT_TIMEOUT_MS)
        except ExchangeError as error:
            is_closed = isinstance(
                error.__cause__, ConnectionRefusedError | ConnectionResetError
            )
            fate = ServerFate.ENDED if is_closed else ServerFate.SILENT
            return fate, error.detail
        open_until_ms = self.clock.now_ms() + SETTLE_MS
        while connection.is_reusable and self.clock.now_ms() < open_until_ms:
            await self.clock.sleep_ms(SETTLE_STEP_MS)
        is_open = connection.is_reusable
        self.pool.release(address, connection)
        if is_open:
            return ServerFate.RUNNING, "accepts connections"
        return ServerFate.ENDED, "closes connections at once"
