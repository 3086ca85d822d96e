import asyncio

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.dispatch import ServerStats
from bulrushlead.gateway._crash_check import CrashCheck, ServerFate
from bulrushlead.gateway.tests.harness import ScriptedServer, good
from bulrushlead.http1 import ConnectionPool, ExchangeError, ExchangeFault

CLOCK = MonotonicClock()


class HangingPool(ConnectionPool):
    async def connect(self, address, timeout_ms):
        raise ExchangeError(ExchangeFault.NOT_SENT, "timed out") from TimeoutError()


async def closing_at_once(reader, writer):
    writer.close()


@pytest.fixture
async def server():
    server = ScriptedServer("s1", good)
    await server.start()
    yield server
    server.close()


async def check(address, pool=None):
    check = CrashCheck(CLOCK, pool or ConnectionPool(CLOCK, b"id"))
    results = asyncio.Queue()
    check.on_result = lambda server, fate: results.put_nowait(fate)
    server = ServerStats("s1", 1, address, "a", "north", "stock", 4)
    check.start(server, "f")
    check.start(server, "f")
    fate = await results.get()
    await asyncio.sleep(0)
    assert results.empty()
    await check.close()
    return fate


async def test_a_server_without_a_listener_has_ended(server):
    server.close()
    await server._server.wait_closed()
    assert await check(server.address) is ServerFate.ENDED


async def test_a_running_server_has_not_ended_with_its_connection(server):
    """Guards against taking a reset connection for a crash."""
    assert await check(server.address) is ServerFate.RUNNING


async def test_a_server_behind_a_proxy_that_closes_at_once_has_ended():
    proxy = await asyncio.start_server(closing_at_once, "127.0.0.1", 0)
    host, port = proxy.sockets[0].getsockname()
    assert await check(f"{host}:{port}") is ServerFate.ENDED
    proxy.close()


async def test_a_server_that_cannot_be_reached_may_be_cut_off(server):
    """Guards against taking a cut network for a crash."""
    pool = HangingPool(CLOCK, b"id")
    assert await check(server.address, pool) is ServerFate.SILENT
