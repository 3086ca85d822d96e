"""A test harness: a gateway's forwarder with scripted servers on loopback."""

import asyncio
import random

import attrs

from bulrushlead.clock import MonotonicClock
from bulrushlead.dispatch import Dispatcher, DispatchSettings, Placement, Work
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    HostRecord,
    ServerRecord,
    ServerState,
    SyncPosition,
)
from bulrushlead.gateway import Dialect, RequestForwarder
from bulrushlead.gateway._request_state import RequestState
from bulrushlead.http1 import ConnectionPool, Request
from bulrushlead.traffic import Route, ServicePolicy, ServiceShare, TrafficPlan

CLOCK = MonotonicClock()
DIALECT = Dialect(
    b"id", b"deadline", b"key", b"expect", b"not-run", b"load", b"draining", b"limit"
)
SHARES = (ServiceShare("stock", 1.0),)
ROUTES = (
    Route("read", "h", "/read/", SHARES, True, 3e3, 3e2, 2, max_attempts=2),
    Route("order", "h", "/order/", SHARES, False, 3e3, 3e2, 1, max_attempts=2),
    Route("short", "h", "/short/", SHARES, True, 150.0, 100.0, 2),
)


class ScriptedServer:
    """A fake backend server that answers each request by a script.

    A script is called with the server, the request's head and the writer; it returns
    the bytes of the answer, or None to close the connection without an answer.
    """

    def __init__(self, server_id, script):
        self.server_id = server_id
        self.script = script
        self.heads = []
        self.closed = asyncio.Event()
        self.reader = None  # of the newest connection
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.reader = reader
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                answer = await self.script(self, head, writer)
                if answer is None:
                    break
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.closed.set()
        finally:
            writer.close()


def answer(status=200, body=b"ok", **fields):
    lines = b"".join(
        name.replace("_", "-").encode() + b": " + value + b"\r\n"
        for name, value in fields.items()
    )
    return b"HTTP/1.1 %03d X\r\nid: r1\r\n%scontent-length: %d\r\n\r\n%s" % (
        status,
        lines,
        len(body),
        body,
    )


async def good(server, head, writer):
    return answer(body=server.server_id.encode())


async def full(server, head, writer):
    return answer(503, b"", not_run=b"1")


async def misdirected(server, head, writer):
    return answer(421, b"")


async def draining(server, head, writer):
    return answer(body=server.server_id.encode(), draining=b"1")


async def pausing(server, head, writer):
    return answer(503, b"", not_run=b"1", retry_after=b"5")


def limited(next_limit):
    """Return a script whose answers name the limits that a function returns."""

    async def script(server, head, writer):
        limit = next_limit()
        fields = {} if limit is None else {"limit": limit}
        return answer(body=server.server_id.encode(), **fields)

    return script


async def misdirected_to_draining(server, head, writer):
    return answer(421, b"", draining=b"1", retry_after=b"5")


async def failing(server, head, writer):
    return answer(500, b"oops")


async def disconnecting(server, head, writer):
    return None


async def false_refusal(server, head, writer):
    return answer(503, b"")


async def silent(server, head, writer):
    await asyncio.sleep(30)
    return answer()


def _headers(deadline_ms):
    return [
        (b"host", b"h"),
        (b"id", b"r1"),
        (b"deadline", b"%d" % deadline_ms),
        (b"expect", b"somebody"),
    ]


@attrs.define(eq=False)
class ForwarderHarness:
    """A forwarder, its dispatcher and its fake servers."""

    forwarder: RequestForwarder
    dispatcher: Dispatcher
    view: FleetView
    pool: ConnectionPool
    servers: list[ScriptedServer]

    async def send_request(self, path, deadline_ms=2_000, method=b"GET"):
        return await self.forwarder.answer(
            Request(method, path, _headers(deadline_ms), b"", CLOCK.now_ms())
        )

    def start_attempt(self, path):
        """Start an attempt at the only server, whatever the dispatcher would do."""
        (server,) = self.dispatcher._servers.values()
        now_ms = CLOCK.now_ms()
        request = Request(b"GET", path, _headers(2_000), b"", now_ms)
        state = RequestState(request, b"r1", ROUTES[0], now_ms + 2_000)
        work = Work("stock", "read", path, True, 300.0, 2_000.0)
        placement = Placement(server, 0, 0.0, 300.0, 300.0)
        return self.forwarder._runner.start(state, work, placement)

    def requests_received(self):
        return sum(len(server.heads) for server in self.servers)

    def close(self):
        self.pool.close()
        for server in self.servers:
            server.close()


async def build_harness(*scripts, routes=ROUTES, cold_per_s=0.0):
    """Start one server for each script and return the harness.

    With ``cold_per_s``, the servers are cold and tolerate that many requests a second.
    """
    servers = [ScriptedServer(f"s{i}", script) for i, script in enumerate(scripts)]
    for server in servers:
        await server.start()
    view = FleetView(CLOCK)
    dispatcher = Dispatcher(
        CLOCK,
        DispatchSettings("e1", "a", "north", {"a": "north"}, 0.2, 60, 10_000, 5),
    )
    pool = ConnectionPool(CLOCK, DIALECT.request_id)
    forwarder = RequestForwarder(CLOCK, DIALECT, dispatcher, pool, random.Random(2))
    plan = TrafficPlan(1, routes, (ServicePolicy("stock", warmup_per_s=cold_per_s),))
    view.apply(
        FleetUpdate(
            term=1,
            position=SyncPosition("e", 1),
            servers=tuple(
                ServerRecord(
                    s.server_id,
                    1,
                    "stock",
                    s.address,
                    "a",
                    4,
                    ServerState.READY,
                    cold_left_ms=60_000.0 if cold_per_s else 0.0,
                )
                for s in servers
            ),
            plan=plan,
            hosts=(HostRecord("e1", "127.0.0.1:1", "a", "north", True),),
        )
    )
    dispatcher.update(view)
    forwarder.set_plan(plan)
    return ForwarderHarness(forwarder, dispatcher, view, pool, servers)
