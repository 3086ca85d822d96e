"""HTTP server on one address: its listening socket and its connections."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from bulrushlead.clock import Clock
from bulrushlead.http1._budget import MAX_BODY_BYTES, ByteBudget
from bulrushlead.http1._limits import RequestLimits
from bulrushlead.http1._messages import Answer, Request
from bulrushlead.http1._pacing import TurnQueue
from bulrushlead.http1._server import ServerConnection
from bulrushlead.http1._unanswered import STOP_CAUSE, UnansweredRequests
from bulrushlead.logs import EventLogger

TIMEOUT_CHECK_MS = 500  # precision of the idle and header timeouts
LISTEN_BACKLOG = 1024

Handler = Callable[[Request], Awaitable[Answer]]


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    address, port : str, int
        Address to listen on; with port 0 the operating system chooses a port.
    handler : callable
        Coroutine function from ``Request`` to ``Answer``; cancelled when the
        caller closes its connection.
    clock : Clock
        Source of time.
    limits : RequestLimits, optional
        Limits on requests; may be replaced while the server runs.

    Attributes
    ----------
    draining : bool
        Whether the server closes each connection after its next answer.
    unanswered : UnansweredRequests
        Requests that were received whole and got no whole answer.
    bodies : ByteBudget
        Bound on the bodies and large heads of all requests in progress; servers of one
        process may share it.
    turns : TurnQueue
        Turns in which requests in many pieces are parsed.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: Handler,
        clock: Clock,
        limits: RequestLimits | None = None,
    ):
        self.address = address
        self.port = port
        self.handler = handler
        self.clock = clock
        self.limits = limits or RequestLimits()
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.bodies = ByteBudget(MAX_BODY_BYTES)
        self.turns = TurnQueue()
        self.log = EventLogger("http1")
        self.unanswered = UnansweredRequests(clock, self.log)
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task | None = None

    @classmethod
    def at(
        cls,
        address: str,
        handler: Handler,
        clock: Clock,
        limits: RequestLimits | None = None,
    ) -> "HttpServer":
        """Return a server that will listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), handler, clock, limits)

    async def start(self) -> None:
        """Listen for connections."""
        loop = asyncio.get_running_loop()
        self._socket = _bind(self.address, self.port)
        self.port = self._socket.getsockname()[1]
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=self._socket, backlog=LISTEN_BACKLOG
        )
        self._timeout_task = loop.create_task(self._check_timeouts())

    def drain(self) -> None:
        """Close each connection after its next answer; still accept new ones."""
        self.draining = True

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open.

        Those that the kernel has accepted already are taken over, since closing the
        listening socket would reset them with their requests.
        """
        if self._server is None:
            return
        listener = self._socket.dup()
        self._close_listener()
        loop = asyncio.get_running_loop()
        for sock in _accept_waiting(listener):
            await loop.connect_accepted_socket(lambda: ServerConnection(self), sock)

    def close_idle(self, idle_ms: float) -> bool:
        """Close the connections on which nothing happened for a time.

        Parameters
        ----------
        idle_ms : float
            Milliseconds for which a connection has been open, or idle after its last
            answer; on a shorter one a request may have arrived that is not read yet.

        Returns
        -------
        bool
            Whether all connections are closed.
        """
        for connection in list(self.connections):
            connection.close_if_idle(idle_ms)
        return not self.connections

    def count_in_progress(self) -> int:
        """Return how many requests were received whole and have no whole answer."""
        return sum(len(one.unanswered_requests()) for one in self.connections)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
            self._timeout_task = None
        self._close_listener()
        for connection in list(self.connections):
            connection.close(STOP_CAUSE)
        await asyncio.sleep(0)

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = self._socket = None

    async def _check_timeouts(self) -> None:
        while True:
            await self.clock.sleep_ms(TIMEOUT_CHECK_MS)
            now_ms = self.clock.now_ms()
            for connection in list(self.connections):
                connection.check_timeouts(now_ms)


def _bind(address: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address and does not block.

    Raises
    ------
    OSError
        If the address is not available.
    """
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Close a listening socket; return the connections that wait to be accepted."""
    accepted = []
    try:
        while True:
            accepted.append(listener.accept()[0])
    except OSError:
        pass  # BlockingIOError: no connection is left
    finally:
        listener.close()
    for sock in accepted:
        sock.setblocking(False)
    return accepted
