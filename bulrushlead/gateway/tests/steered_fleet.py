"""Gateways steered by a leader, with servers that requests can crash, on loopback.

The links between hosts and the leader are calls within the process; servers and callers
use real connections.
"""

import asyncio
import itertools
import random
import time

from bulrushlead.clock import MonotonicClock
from bulrushlead.coordinator import CoordinatorSettings
from bulrushlead.coordinator._messages import AnnounceBatch
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._state import OrderState
from bulrushlead.dispatch import DispatchSettings
from bulrushlead.fleet import Announcement, FleetView
from bulrushlead.gateway import Gateway, GatewaySettings
from bulrushlead.gateway.tests.harness import DIALECT
from bulrushlead.http1 import Request
from bulrushlead.metrics import CompactMeters
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import Route, ServicePolicy, ServiceShare, TrafficPlan
from bulrushlead.wire import PackedPayload, codec
from bulrushlead.wire._frame import unpack_frame

CLOCK = MonotonicClock()
ZONES = {"a": "north", "b": "north", "c": "south"}
HEARTBEAT_MS = 500
LINK_DELAY_S = 0.01  # one way, between a host and the leader
SLOTS = 4
WORK_RANGE_S = (0.02, 0.06)
CRASH_AFTER_S = 0.06  # after a server has begun to run a request that crashes it
RESTART_AFTER_S = 3.0
SHARES = (ServiceShare("stock", 1.0),)
ROUTES = (
    Route("read", "h", "/read/", SHARES, True, 2e3, 3e2, 2, max_attempts=2),
    Route("order", "h", "/order/", SHARES, False, 2e3, 3e2, 1, max_attempts=2),
)


class Leader:
    """A coordinator that leads; a successor starts with nothing."""

    def __init__(self, term, plan):
        settings = CoordinatorSettings(
            f"core-{term}",
            "a",
            "north",
            "10.0.0.1:7000",
            (),
            "",
            True,
            HEARTBEAT_MS,
            zone_regions=ZONES,
        )
        self.term = term
        self.replica_id = f"r{term}"
        self.members = ()
        self.leader_hint = None
        self.handlers = {}
        state = OrderState()
        state.plan = plan
        self.publisher = FleetPublisher(
            settings, CLOCK, FleetView(CLOCK), CompactMeters()
        )
        self.publisher.attach(self, state)
        self.publisher.register(self)
        self.publisher._on_leadership(True)

    def is_leader(self):
        return True

    def watch_leadership(self, callback):
        pass

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler


class LeaderLink:
    """Carries calls to whoever leads, encoded as on the wire."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def call(self, request, timeout_ms):
        await asyncio.sleep(LINK_DELAY_S)
        if self.fleet.leader is None:
            raise BulrushleadError(ResultCode.PEER_UNREACHABLE, "no leader")
        leader = self.fleet.leader
        request = codec.decode(codec.encode(request))
        reply = await leader.handlers[type(request)](request)
        await asyncio.sleep(LINK_DELAY_S)
        if leader is not self.fleet.leader:
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "the leader has changed")
        if isinstance(reply, PackedPayload):
            return codec.decode(unpack_frame(reply.frame(1))[1])
        return codec.decode(codec.encode(reply))

    async def close(self):
        pass


class CrashableServer:
    """A backend server that some requests crash; it comes back after some seconds.

    Parameters
    ----------
    fleet : SteeredFleet
        Its fleet, which knows the requests that crash servers.
    number : int
        Position, which decides the zone.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.zone = "abc"[number % 3]
        self.rng = random.Random(number)
        self.port = 0
        self.version = "v1"
        self.is_running = False
        self.is_silent = False
        self.incarnation = itertools.count()
        self.sequence = itertools.count()
        self._writers = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self.is_running, self.is_silent = True, False
        self.server_id = f"s{self.number}-{next(self.incarnation)}"
        self.born_ms = round(time.time() * 1_000)
        self.slots = asyncio.Semaphore(SLOTS)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._send_heartbeats())

    def close(self):
        self.is_running = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def crash(self, cause=None, is_silent=False):
        """End at once, or stay connected without another answer; return later."""
        if not self.is_running or self.is_silent:
            return
        self.fleet.crashes.append((CLOCK.now_ms(), cause))
        if is_silent:
            self.is_silent = True
        else:
            self.close()
        self.fleet.spawn(self._restart())

    def reset_connections(self):
        """Reset all open connections; new ones are accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _restart(self):
        await asyncio.sleep(RESTART_AFTER_S)
        if self.is_silent:
            self.close()
        await self.start()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self):
        while not self.is_silent:
            self.fleet.announce(self)
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
                body = await reader.readexactly(int(length or 0))
                await self._answer(head, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, writer):
        target = head.split(b" ")[1]
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if fields[b"expect"] != self.server_id.encode():
            writer.write(b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n")
            return
        crashes = self.fleet.crashes_servers(target, body, self.version)
        if crashes:
            self.fleet.arrivals.append((CLOCK.now_ms(), target, body))
        async with self.slots:
            if crashes:
                await asyncio.sleep(CRASH_AFTER_S)
                self.crash((target, body), self.fleet.is_silent)
            else:
                await asyncio.sleep(self.rng.uniform(*WORK_RANGE_S))
            if self.is_silent:
                await asyncio.sleep(60)
        writer.write(
            b"HTTP/1.1 200 X\r\nid: %s\r\ncontent-length: 2\r\n\r\nok" % fields[b"id"]
        )


class SteeredFleet:
    """Gateways, servers and a leader.

    Parameters
    ----------
    hosts, servers : int
        Numbers of gateways and of backend servers.

    Attributes
    ----------
    bad : set of tuple of bytes
        Target and body of each request that crashes servers.
    fixed_version : str
        Version of the servers that these requests do not crash.
    arrivals : list of tuple
        Time, target and body of each such request that reached a server.
    crashes : list of tuple
        Time of each crash, in milliseconds, and the target and body that caused it.
    """

    def __init__(self, hosts, servers):
        self.plan = TrafficPlan(1, ROUTES, (ServicePolicy("stock"),))
        self.leader = Leader(1, self.plan)
        self.servers = [CrashableServer(self, number) for number in range(servers)]
        self.gateways = [self._build_gateway(number) for number in range(hosts)]
        self.bad = set()
        self.fixed_version = ""
        self.is_silent = False
        self.arrivals = []
        self.crashes = []
        self.request_ids = itertools.count()
        self._tasks = set()

    async def start(self):
        for server in self.servers:
            await server.start()
        for gateway in self.gateways:
            await self._start_gateway(gateway)
        self.spawn(self._check_silence())
        async with asyncio.timeout(5):
            while not all(
                len(gateway.view.servers) == len(self.servers)
                for gateway in self.gateways
            ):
                await asyncio.sleep(0.05)

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.close()
        for server in self.servers:
            server.close()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _build_gateway(self, number):
        zone = "abc"[number % 3]
        settings = GatewaySettings(
            host_id=f"e{number}",
            zone=zone,
            region=ZONES[zone],
            front_address="127.0.0.1:0",
            readiness_address="127.0.0.1:0",
            seeds=("leader",),
            dispatch=DispatchSettings(
                f"e{number}", zone, ZONES[zone], ZONES, 0.2, 60, 10_000, 5
            ),
        )
        return Gateway(
            settings,
            DIALECT,
            CLOCK,
            lambda address: LeaderLink(self),
            random.Random(number),
        )

    async def _start_gateway(self, gateway):
        await gateway.prober.start()
        await gateway.session.start()

    async def restart_gateway(self, number):
        """Replace a gateway by a new process, which knows nothing."""
        await self.gateways[number].close()
        self.gateways[number] = self._build_gateway(number)
        await self._start_gateway(self.gateways[number])
        async with asyncio.timeout(5):
            while self.gateways[number].view.plan is None:
                await asyncio.sleep(0.05)

    async def change_leader(self, pause_s=0.5):
        term = self.leader.term + 1
        self.leader = None
        await asyncio.sleep(pause_s)
        self.leader = Leader(term, self.plan)

    async def _check_silence(self):
        while True:
            await asyncio.sleep(0.25)
            if self.leader is not None:
                self.leader.publisher.check_silence()

    def announce(self, server):
        heartbeat = Announcement(
            server.server_id,
            server.born_ms,
            next(server.sequence),
            "stock",
            f"127.0.0.1:{server.port}",
            server.zone,
            server.version,
            SLOTS,
        )
        if self.leader is not None:
            handler = self.leader.handlers[AnnounceBatch]
            self.spawn(handler(AnnounceBatch((heartbeat,))))

    def crashes_servers(self, target, body, version):
        return version != self.fixed_version and (target, body) in self.bad

    async def send(self, number, target, body=b""):
        """Send one request to a host and return the answer."""
        headers = [
            (b"host", b"h"),
            (b"id", b"r%d" % next(self.request_ids)),
            (b"key", b"k%d" % (hash(target) % 20)),
            (b"deadline", b"2000"),
        ]
        method = b"POST" if body else b"GET"
        request = Request(method, target, headers, body, CLOCK.now_ms())
        return await self.gateways[number].forwarder.answer(request)

    async def send_for(self, duration_s, interval_s, requests, hosts=None):
        """Send requests in turn, to the hosts in turn, and return the answers."""
        hosts = itertools.cycle(hosts or range(len(self.gateways)))
        requests = itertools.cycle(requests)
        end_ms = CLOCK.now_ms() + duration_s * 1_000
        tasks = []
        while CLOCK.now_ms() < end_ms:
            tasks.append(self.spawn(self.send(next(hosts), *next(requests))))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    def arrivals_after_third_crash(self, request, tolerance_ms):
        """Count how often a request reached servers later than its third crash."""
        crashed_ms = sorted(ms for ms, cause in self.crashes if cause == request)
        if len(crashed_ms) < 3:
            return 0
        return sum(
            ms > crashed_ms[2] + tolerance_ms
            for ms, target, body in self.arrivals
            if (target, body) == request
        )
