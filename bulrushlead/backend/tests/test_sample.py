"""Tests of the sample backend server and of its announcements.

Tests of complete deployments rely on the slot limit, the cancellation and the execution
log of this server. If one of these is faulty, those tests miss requests that ran
although their answer said "not run".
"""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from bulrushlead.backend import (
    RAN_HEADER,
    TIMEOUT_MS_HEADER,
    Announcement,
    ExecutionEnd,
    SampleServer,
    SampleServerSettings,
)
from bulrushlead.clock import MonotonicClock
from bulrushlead.wire import codec


def build_settings(**overrides):
    fields = {
        "name": "stock-1",
        "service": "stock",
        "region": "fes",
        "availability_zone": "fes-a",
    }
    return SampleServerSettings(**{**fields, **overrides})


@pytest.fixture
async def server():
    server = SampleServer(build_settings(slots=1), MonotonicClock())
    await server.start()
    yield server
    await server.close()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def test_request_without_free_slot_is_refused_and_not_run(server, session):
    server.faults.gate = asyncio.Event()
    url = f"http://127.0.0.1:{server.bound_port}/a"
    first = asyncio.create_task(session.post(url))
    await server.wait_running(1)
    refused = await session.post(url)
    assert (refused.status, refused.headers[RAN_HEADER]) == (503, "no")
    server.faults.gate.set()
    assert (await first).status == 200
    assert len(server.execution_log) == 1


async def test_caller_disconnect_frees_the_slot(server, session):
    server.faults.gate = asyncio.Event()
    url = f"http://127.0.0.1:{server.bound_port}/a"
    caller = asyncio.create_task(session.get(url))
    await server.wait_running(1)
    caller.cancel()
    await server.wait_running(0)
    assert server.execution_log[0].end is ExecutionEnd.CANCELLED


async def test_execution_past_its_timeout_is_cancelled(server, session):
    server.faults.gate = asyncio.Event()
    url = f"http://127.0.0.1:{server.bound_port}/a"
    async with session.get(url, headers={TIMEOUT_MS_HEADER: "5"}) as answer:
        assert answer.status == 504
    assert server.execution_log[0].end is ExecutionEnd.CANCELLED


class FakeEntryHost:
    def __init__(self):
        self.received = asyncio.Queue()
        self.status = 200

    async def handle(self, request):
        plain = await request.json()
        await self.received.put(codec.from_plain(plain, Announcement))
        return web.Response(status=self.status)


@pytest.fixture
async def entry_hosts():
    hosts, runners = [], []
    for _ in range(2):
        host = FakeEntryHost()
        runner = web.ServerRunner(web.Server(host.handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host.address = f"127.0.0.1:{runner.addresses[0][1]}"
        hosts.append(host)
        runners.append(runner)
    yield hosts
    for runner in runners:
        await runner.cleanup()


async def test_announcer_fails_over_to_the_next_entry_host(entry_hosts):
    entry_hosts[0].status = 503
    addresses = ("127.0.0.1:1", entry_hosts[0].address, entry_hosts[1].address)
    server = SampleServer(
        build_settings(entry_hosts=addresses, announce_interval_ms=1), MonotonicClock()
    )
    await server.start()
    first = await entry_hosts[1].received.get()
    second = await entry_hosts[1].received.get()
    await server.close()
    assert first.server == server.describe_server()
    assert second.sequence > first.sequence
    # One attempt only: the later announcements start with the host that accepted.
    assert entry_hosts[0].received.qsize() == 1


async def test_drain_is_announced_without_waiting_for_interval(entry_hosts):
    server = SampleServer(
        build_settings(
            entry_hosts=(entry_hosts[0].address,), announce_interval_ms=3.6e6
        ),
        MonotonicClock(),
    )
    server.faults.reported_load = 0.25
    await server.start()
    first = await entry_hosts[0].received.get()
    assert (first.server.draining, first.reported_load) == (False, 0.25)
    await server.drain()
    second = await entry_hosts[0].received.get()
    await server.close()
    assert second.server.draining
