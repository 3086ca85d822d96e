import asyncio
import contextlib

import pytest
import uvloop
from multidict import CIMultiDict

from bulrushlead.backend import BackendServer, SampleServer, SampleServerSettings
from bulrushlead.clock import ManualClock, MonotonicClock
from bulrushlead.forwarding import Forwarder, ForwarderSettings, ForwardRequest

CLOCK = MonotonicClock()
DEFAULT_TIMEOUT_MS = 60_000


def pytest_asyncio_loop_factories(config, item):
    """Run each test on both event loops, whose connection errors differ."""
    return {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


class ScriptedServer:
    """TCP server that runs a script with the streams of each connection."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.script(self, reader, writer)
        writer.close()
        self.closed.set()

    async def read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        self.requests.append((head, body))
        return head

    @property
    def backend_server(self):
        return build_backend_server(self.port)


def build_backend_server(port, name="raw"):
    return BackendServer(
        name=name,
        service="stock",
        region="fes",
        availability_zone="fes-a",
        address=f"127.0.0.1:{port}",
        incarnation="1",
        slots=4,
        connections=390,
    )


def build_request(method="GET", **changes):
    fields = {
        "path_qs": "/prices?kind=barley",
        "headers": CIMultiDict(),
        "body": b"",
        "deadline_ms": CLOCK.now_ms() + DEFAULT_TIMEOUT_MS,
        "retryable": method in ("GET", "HEAD", "OPTIONS"),
    }
    return ForwardRequest(method=method, **{**fields, **changes})


@pytest.fixture
async def forwarder():
    forwarder = Forwarder(CLOCK, ForwarderSettings(max_answer_bytes=100_000))
    await forwarder.start()
    yield forwarder
    await forwarder.close()


@pytest.fixture
async def manual_clock_forwarder():
    """Forwarder whose deadlines pass only when the test advances the clock."""
    forwarder = Forwarder(ManualClock())
    await forwarder.start()
    yield forwarder
    await forwarder.close()


@pytest.fixture
async def scripted_server():
    started = []

    async def start(script):
        server = ScriptedServer(script)
        await server.start()
        started.append(server)
        return server

    yield start
    for server in started:
        await server.close()


@pytest.fixture
async def sample():
    server = SampleServer(
        SampleServerSettings("stock-1", "stock", "fes", "fes-a", slots=4), CLOCK
    )
    await server.start()
    yield server
    await server.close()
