"""Fixtures: HTTP servers, raw TCP servers and a connection pool."""

import asyncio

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.http1 import Answer, ConnectionPool, HttpServer, RequestLimits

CLOCK = MonotonicClock()


async def echo(request):
    return Answer(200, [(b"x-method", request.method)], request.target + request.body)


@pytest.fixture
async def serve():
    """Return a function that starts a server; servers are closed after the test."""
    servers = []

    async def start(handler=echo, limits=None):
        server = HttpServer("127.0.0.1", 0, handler, CLOCK, limits or RequestLimits())
        await server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        await server.close()


@pytest.fixture
async def raw_server():
    """Return a function that starts a server running a script per connection."""
    servers = []

    async def start(script):
        async def run(reader, writer):
            try:
                await script(reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(run, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    yield start
    for server in servers:
        server.close()


@pytest.fixture
async def pool():
    pool = ConnectionPool(CLOCK, b"request-id")
    yield pool
    pool.close()


async def read_header_section(reader):
    return await reader.readuntil(b"\r\n\r\n")


async def send_and_read_all(server, data):
    """Send bytes and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    received = await reader.read()
    writer.close()
    return received
