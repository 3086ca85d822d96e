"""Several gateways on loopback, some of which lose their links to all servers."""

import asyncio
import errno
import random

from bulrushlead.clock import MonotonicClock
from bulrushlead.dispatch import DispatchSettings
from bulrushlead.fleet import (
    FleetUpdate,
    HostRecord,
    ServerRecord,
    ServerState,
    SyncPosition,
)
from bulrushlead.gateway import Gateway, GatewaySettings
from bulrushlead.gateway.tests.harness import DIALECT, ROUTES, ScriptedServer
from bulrushlead.http1 import ConnectionPool, ExchangeError, ExchangeFault, Request
from bulrushlead.traffic import ServicePolicy, TrafficPlan

CLOCK = MonotonicClock()
REGIONS = {"a": "north", "b": "north", "c": "south"}


class CutPool(ConnectionPool):
    """Connections to servers, over links that a test can cut.

    Attributes
    ----------
    new : str
        What new connections do: ``open``, ``hang``, are ``refused`` by the server's
        host, or find it ``unreachable``.
    """

    def __init__(self, clock, id_header):
        super().__init__(clock, id_header)
        self.new = "open"
        self.opened = []

    async def connect(self, address, timeout_ms):
        if self.new == "hang":
            await self.clock.sleep_ms(timeout_ms)
            raise ExchangeError(ExchangeFault.NOT_SENT, "timed out")
        if self.new == "refused":
            raise ExchangeError(ExchangeFault.NOT_SENT, "refused") from (
                ConnectionRefusedError(errno.ECONNREFUSED, "refused")
            )
        if self.new == "unreachable":
            raise ExchangeError(ExchangeFault.NOT_SENT, "unreachable") from (
                OSError(errno.EHOSTUNREACH, "unreachable")
            )
        connection = await super().connect(address, timeout_ms)
        self.opened.append(connection)
        return connection

    def cut(self, new, open_connections):
        """Cut the links; open connections ``live`` on, ``hang`` or are ``reset``."""
        self.new = new
        for connection in self.opened:
            if connection._transport.is_closing():
                continue
            if open_connections == "hang":
                connection._transport.pause_reading()
            elif open_connections == "reset":
                connection._transport.abort()

    def heal(self):
        self.new = "open"
        for connection in self.opened:
            if not connection._transport.is_closing():
                connection._transport.resume_reading()
        self.opened = []


class HostFleet:
    """Gateways that know the same servers and each other.

    Parameters
    ----------
    zones : str
        Availability zone of each host, one letter each.
    scripts : list of callable
        Script of each server; see ``ScriptedServer``.
    """

    def __init__(self, zones, scripts, routes=ROUTES):
        self.zones = zones
        self.routes = routes
        self.servers = [ScriptedServer(f"s{i}", s) for i, s in enumerate(scripts)]
        self.gateways = []
        self.cut_off = set()
        self.revision = 0
        self.sent = 0

    async def start(self):
        for server in self.servers:
            await server.start()
        for number, zone in enumerate(self.zones):
            self.gateways.append(await self._start_gateway(number, zone))
        self.publish()

    async def close(self):
        for gateway in self.gateways:
            await gateway.close()
        for server in self.servers:
            server.close()

    async def _start_gateway(self, number, zone):
        settings = GatewaySettings(
            host_id=f"e{number}",
            zone=zone,
            region=REGIONS[zone],
            front_address="127.0.0.1:0",
            readiness_address="127.0.0.1:0",
            seeds=(),
            peer_address="127.0.0.1:0",
            dispatch=DispatchSettings(
                f"e{number}", zone, REGIONS[zone], REGIONS, 0.2, 60, 10_000, 5
            ),
        )
        gateway = Gateway(settings, DIALECT, CLOCK, None, random.Random(number))
        pool = CutPool(CLOCK, DIALECT.request_id)
        pool.on_silent = gateway.pool.on_silent
        gateway.pool = gateway.prober.pool = gateway.forwarder._runner.pool = pool
        gateway.forwarder._runner.crash_check.pool = pool
        for part in (gateway.front, gateway.peer_server, gateway.prober):
            await part.start()
        return gateway

    def publish(self, **changes):
        """Send all hosts the fleet as a leader does, after all hosts reported."""
        self.revision += 1
        update = FleetUpdate(
            term=1,
            position=SyncPosition("e", self.revision, host_revision=self.revision),
            servers=tuple(
                ServerRecord(
                    server.server_id,
                    1,
                    "stock",
                    server.address,
                    "abc"[number % 3],
                    4,
                    ServerState.READY,
                    revision=self.revision,
                )
                for number, server in enumerate(self.servers)
            ),
            plan=TrafficPlan(1, self.routes, (ServicePolicy("stock"),)),
            hosts=tuple(self._host_record(gateway) for gateway in self.gateways),
            **changes,
        )
        for gateway in self.gateways:
            gateway.view.apply(update)
            gateway._on_update(update)

    def _host_record(self, gateway):
        report = gateway._report()
        return HostRecord(
            report.host_id,
            report.address,
            report.zone,
            report.region,
            report.accepting,
            f"127.0.0.1:{gateway.peer_server.port}",
            report.reaches_servers,
        )

    def cut(self, numbers, new="hang", open_connections="hang"):
        """Cut hosts off from all servers."""
        for number in numbers:
            self.gateways[number].pool.cut(new, open_connections)
        self.cut_off = set(numbers)

    def heal(self):
        for number in self.cut_off:
            self.gateways[number].pool.heal()
        self.cut_off = set()

    async def send(
        self,
        number,
        path=b"/read/",
        method=b"GET",
        deadline_ms=2_000,
        key=None,
        extra=(),
    ):
        """Send one request to a host and return the answer."""
        self.sent += 1
        headers = [
            (b"host", b"h"),
            (b"id", b"r1"),
            (b"key", key or b"%d" % self.sent),
            (b"deadline", b"%d" % deadline_ms),
            *extra,
        ]
        request = Request(method, path + b"x", headers, b"", CLOCK.now_ms())
        return await self.gateways[number].forwarder.answer(request)

    async def send_everywhere(self, duration_ms, interval_ms=20, **options):
        """Send requests to all hosts for a while and return the answers by host."""
        tasks = {number: [] for number in range(len(self.gateways))}
        end_ms = CLOCK.now_ms() + duration_ms
        while CLOCK.now_ms() < end_ms:
            for number, sent in tasks.items():
                sent.append(asyncio.create_task(self.send(number, **options)))
            await CLOCK.sleep_ms(interval_ms)
        return {number: await asyncio.gather(*sent) for number, sent in tasks.items()}


def served_share(answers):
    """Return the share of answers with success."""
    return sum(answer.status == 200 for answer in answers) / len(answers)
