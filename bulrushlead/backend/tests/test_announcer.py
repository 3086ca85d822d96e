"""A backend server announces itself to the first entry host that accepts it."""

import asyncio

import pytest

from bulrushlead.backend import Announcement, Announcer, BackendServer
from bulrushlead.clock import MonotonicClock

SERVER = BackendServer(
    name="stock-1",
    service="stock",
    region="fes",
    availability_zone="fes-a",
    address="127.0.0.1:8080",
    incarnation="1",
    slots=4,
    connections=390,
)


@pytest.fixture
async def answer_with():
    """Return a function that starts an entry host with one status for all calls."""
    servers = []

    async def start(status):
        calls = asyncio.Queue()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            calls.put_nowait(status)
            writer.write(b"HTTP/1.1 %03d X\r\ncontent-length: 0\r\n\r\n" % status)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}", calls

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("status", [0, 99, 404, 503, 600, 999])
async def test_an_announcement_without_a_success_goes_to_the_next_host(
    answer_with, status
):
    """Guards against taking status 000 for an acknowledgement."""
    first, calls = await answer_with(status)
    second, accepted = await answer_with(204)
    announcer = Announcer(
        lambda: Announcement(server=SERVER, sequence=0, reported_load=0.0),
        [first, second],
        MonotonicClock(),
    )
    await announcer.start()
    try:
        async with asyncio.timeout(2):
            await calls.get()
            await accepted.get()
    finally:
        await announcer.close()
