"""Open connections to backend servers, kept between requests."""

import asyncio
import socket

from bulrushlead.clock import Clock
from bulrushlead.http1._client import ClientConnection, ExchangeError, ExchangeFault

MAX_IDLE_MS = 8_000  # below the usual idle time-out of ten seconds
MIN_IDLE_MS = 200  # shorter pauses are part of one burst of requests
FORGOTTEN_SHARE = 0.5  # of the pause after which a connection was found forgotten
MAX_DOUBLINGS = 8  # from the shortest pause to beyond the longest
RECOVERY_MS = 5_000  # without another one, the longest pause doubles
KEEP_ALIVE_SHARE = 0.7  # of an announced idle time; the rest covers the way there
MAX_IDLE_PER_ADDRESS = 16
UNACKNOWLEDGED_TIMEOUT_MS = 2_000  # then the kernel gives a silent connection up


class ConnectionPool:
    """Keeps idle connections by address, latest used first.

    Parameters
    ----------
    clock : Clock
        Source of time.
    id_header : bytes
        See ``ClientConnection``.
    """

    def __init__(self, clock: Clock, id_header: bytes):
        self.clock = clock
        self.id_header = id_header
        self.opened = 0
        self._limit_ms = float(MAX_IDLE_MS)
        self._limited_ms = 0.0
        self._idle: dict[str, list[ClientConnection]] = {}

    def take_idle(self, address: str, max_idle_ms: float) -> ClientConnection | None:
        """Return an idle connection that is young enough, or None."""
        connections = self._idle.get(address)
        now_ms = self.clock.now_ms()
        while connections:
            connection = connections.pop()
            limit_ms = min(max_idle_ms, self.idle_limit_ms())
            if connection.keep_alive_ms is not None:
                limit_ms = min(limit_ms, connection.keep_alive_ms * KEEP_ALIVE_SHARE)
            idle_ms = now_ms - connection.idle_since_ms
            if connection.is_reusable and idle_ms <= limit_ms:
                return connection
            if not connection.is_reusable or idle_ms > MAX_IDLE_MS:
                connection.close()
                continue
            connections.append(connection)
            return None
        return None

    async def connect(self, address: str, timeout_ms: float) -> ClientConnection:
        """Open a connection.

        Raises
        ------
        ExchangeError
            With ``NOT_SENT`` if the address cannot be reached in time.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            transport, connection = await self.clock.wait_for(
                loop.create_connection(
                    lambda: ClientConnection(self.id_header), host, int(port)
                ),
                timeout_ms,
            )
        except TimeoutError as error:
            detail = f"{address} did not accept within {timeout_ms:.0f} ms"
            raise ExchangeError(ExchangeFault.NOT_SENT, detail) from error
        except OSError as error:
            detail = f"{address}: {error}"
            raise ExchangeError(ExchangeFault.NOT_SENT, detail) from error
        _set_options(transport)
        return connection

    def give_back(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it."""
        connections = self._idle.setdefault(address, [])
        if not connection.is_reusable or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since_ms = self.clock.now_ms()
        connections.append(connection)

    def idle_limit_ms(self) -> float:
        """Return the longest pause after which a connection is used again."""
        if self._limit_ms >= MAX_IDLE_MS:
            return MAX_IDLE_MS
        doublings = (self.clock.now_ms() - self._limited_ms) / RECOVERY_MS
        return min(MAX_IDLE_MS, self._limit_ms * 2 ** min(doublings, MAX_DOUBLINGS))

    def note_forgotten(self, idle_ms: float) -> None:
        """Learn that a connection was reset by its first bytes after a pause.

        Parameters
        ----------
        idle_ms : float
            How long it had been idle, in milliseconds.
        """
        limit_ms = max(MIN_IDLE_MS, idle_ms * FORGOTTEN_SHARE)
        self._limit_ms = min(self.idle_limit_ms(), limit_ms)
        self._limited_ms = self.clock.now_ms()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)


def _set_options(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
