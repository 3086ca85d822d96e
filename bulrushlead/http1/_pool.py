"""Pool of persistent connections to backend servers."""

import asyncio
import socket
from collections.abc import Callable

from bulrushlead.clock import Clock
from bulrushlead.http1._budget import MAX_BUFFERED_BYTES, ByteBudget
from bulrushlead.http1._client import ClientConnection
from bulrushlead.http1._faults import ExchangeError, ExchangeFault
from bulrushlead.http1._pacing import TurnQueue

CONNECT_TIMEOUT_MS = 400  # several round trips to the farthest region
MAX_IDLE_MS = 8_000  # below the usual server idle timeout of ten seconds
MIN_IDLE_MS = 200  # shorter idle times occur within a burst of requests
STALE_IDLE_FRACTION = 0.5  # of the idle time after which a connection was stale
# Enough to grow from MIN_IDLE_MS beyond MAX_IDLE_MS. Without this bound, the power of
# two would overflow after a long time without a stale connection.
MAX_DOUBLINGS = 8
LIMIT_DOUBLING_MS = 5_000  # the limit doubles in this time without a stale connection
KEEP_ALIVE_FRACTION = 0.7  # of the announced idle time; the rest covers network latency
MAX_IDLE_PER_ADDRESS = 16
# After this time without an acknowledgement the kernel closes the connection. It also
# decides when keep-alive probes give up, whatever their count, so that it must leave
# room for more than one of them: a lossy link loses some.
UNACKNOWLEDGED_TIMEOUT_MS = 2_500
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1


class ConnectionPool:
    """Idle connections by address; the most recently used is reused first.

    A connection that was idle for long may be stale: its other end no longer has it
    and resets it when the next request arrives. The pool lowers its limit on idle
    time after each such reset and raises it again over time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    id_header : bytes
        See ``ClientConnection``.
    max_buffered_bytes : int, optional
        Largest size of all answers together that are being received, in bytes.

    Attributes
    ----------
    n_connects : int
        Attempts to open a connection so far.
    on_silent : callable or None
        See ``ClientConnection``.
    """

    def __init__(
        self,
        clock: Clock,
        id_header: bytes,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ):
        self.clock = clock
        self.id_header = id_header
        self.n_connects = 0
        self.on_silent: Callable[[str], None] | None = None
        self._buffer = ByteBudget(max_buffered_bytes)
        self._turns = TurnQueue()
        self._base_limit_ms = float(MAX_IDLE_MS)
        self._limit_set_ms = 0.0
        self._idle: dict[str, list[ClientConnection]] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes of answers that are being received."""
        return self._buffer.used_bytes

    def acquire_idle(
        self, address: str, max_idle_ms: float, request_id: bytes
    ) -> ClientConnection | None:
        """Return a connection that was idle for a short enough time, or None.

        Parameters
        ----------
        address : str
            Address of the backend server, as ``host:port``.
        max_idle_ms : float
            Longest idle time that the request allows, in milliseconds.
        request_id : bytes
            Identifier of the request; see ``ClientConnection.may_carry``.
        """
        connections = self._idle.get(address, [])
        now_ms = self.clock.now_ms()
        for connection in reversed(connections.copy()):
            limit_ms = min(max_idle_ms, self.idle_limit_ms())
            if connection.keep_alive_ms is not None:
                limit_ms = min(limit_ms, connection.keep_alive_ms * KEEP_ALIVE_FRACTION)
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.is_reusable or idle_ms > MAX_IDLE_MS:
                connections.remove(connection)
                connection.close()
            elif idle_ms > limit_ms:
                return None
            elif connection.may_carry(request_id):
                connections.remove(connection)
                return connection
        return None

    async def connect(self, address: str, timeout_ms: float) -> ClientConnection:
        """Open a connection.

        Raises
        ------
        ExchangeError
            With ``NOT_SENT`` if no connection is established in time.
        """
        loop = asyncio.get_running_loop()
        self.n_connects += 1
        try:
            host, _, port = address.rpartition(":")
            transport, connection = await self.clock.wait_for(
                loop.create_connection(
                    lambda: ClientConnection(
                        self.id_header,
                        self._buffer,
                        address,
                        self.on_silent,
                        self._turns,
                    ),
                    host,
                    int(port),
                ),
                timeout_ms,
            )
        except TimeoutError as error:
            detail = f"{address} did not accept a connection within {timeout_ms:.0f} ms"
            raise ExchangeError(ExchangeFault.NOT_SENT, detail) from error
        except (OSError, ValueError, OverflowError) as error:
            detail = f"{address}: {error}"
            raise ExchangeError(ExchangeFault.NOT_SENT, detail) from error
        _set_options(transport)
        return connection

    def release(self, address: str, connection: ClientConnection) -> None:
        """Store a connection for the next request, or close it."""
        connections = self._idle.setdefault(address, [])
        if not connection.is_reusable or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since_ms = self.clock.now_ms()
        connections.append(connection)

    def idle_limit_ms(self) -> float:
        """Return the longest idle time after which a connection is reused."""
        if self._base_limit_ms >= MAX_IDLE_MS:
            return MAX_IDLE_MS
        doublings = (self.clock.now_ms() - self._limit_set_ms) / LIMIT_DOUBLING_MS
        return min(
            MAX_IDLE_MS, self._base_limit_ms * 2 ** min(doublings, MAX_DOUBLINGS)
        )

    def record_stale_connection(self, idle_ms: float) -> None:
        """Lower the idle limit after a connection was reset by its first request.

        Parameters
        ----------
        idle_ms : float
            How long the connection had been idle, in milliseconds.
        """
        limit_ms = max(MIN_IDLE_MS, idle_ms * STALE_IDLE_FRACTION)
        self._base_limit_ms = min(self.idle_limit_ms(), limit_ms)
        self._limit_set_ms = self.clock.now_ms()

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_address(address)


def _set_options(transport: asyncio.Transport) -> None:
    """Let the kernel close connections whose other end has gone silent.

    Data that is not acknowledged is covered by ``TCP_USER_TIMEOUT``. A connection that
    goes silent while it waits for an answer, or is idle, needs probes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
