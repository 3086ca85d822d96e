"""Requests in small pieces: what a host keeps of them, and for how long they hold it.

The counterpart of ``test_small_pieces`` for callers; figures are scaled likewise.
"""

import asyncio
import gc
import tracemalloc
from unittest.mock import Mock

import httptools
import pytest

from bulrushlead.http1 import Answer, HttpServer, RequestLimits, ServerConnection
from bulrushlead.http1._budget import ByteBudget
from bulrushlead.http1.tests.conftest import CLOCK, send_and_read_all
from bulrushlead.http1.tests.test_small_pieces import (
    BUDGET_BYTES,
    MAX_CALLBACKS_PER_TURN,
    MAX_KEPT_BYTES,
    MAX_READ_BYTES,
    N_CONNECTIONS,
    READ_BYTES,
    SHORT_FIELDS,
    FakeTransport,
    feed,
)

POST = b"POST /p HTTP/1.1\r\nhost: h\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS = {
    "chunks-of-1-byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks-of-2-bytes": (CHUNKED, b"2\r\nxy\r\n"),
    "chunks-of-40-bytes": (CHUNKED, b"28\r\n" + bytes(40) + b"\r\n"),
    "chunk-extension": (CHUNKED + b"1;a=", b"e" * READ_BYTES),
    "short-fields": (POST, SHORT_FIELDS),
    "short-trailers": (CHUNKED + b"0\r\n", SHORT_FIELDS),
    "long-trailer": (CHUNKED + b"0\r\nx-long: ", b"x" * READ_BYTES),
    "target": (b"GET /", b"x" * READ_BYTES),
    "empty-lines": (b"", b"\r\n" * 1_000),
}


class ClosableTransport(FakeTransport):
    """``FakeTransport`` that counts what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.ended = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.ended = True

    def close(self):
        self.closed = True


class Held:
    """Server whose handler answers when the test says so."""

    def __init__(self, budget_bytes=BUDGET_BYTES):
        self.requests = []
        self.may_answer = asyncio.Event()
        limits = RequestLimits(max_header_bytes=16 * 1024)
        self.server = HttpServer("127.0.0.1", 0, self.hold, CLOCK, limits)
        self.server.bodies = ByteBudget(budget_bytes)

    async def hold(self, request):
        self.requests.append(request)
        await self.may_answer.wait()
        return Answer(200, [], b"done")

    def connect(self):
        connection = ServerConnection(self.server)
        transport = ClosableTransport()
        connection.connection_made(transport)
        return connection, transport

    @property
    def used_bytes(self):
        return self.server.bodies.used_bytes


@pytest.mark.parametrize("first, repeated", ENDLESS.values(), ids=ENDLESS)
async def test_requests_without_end_stay_within_the_memory_of_a_host(first, repeated):
    """Guards against callers that end a host, as a faulty server could.

    Trailers had no limit at all, and each piece of a body was an object of its own.
    """
    held = Held()
    opened = [held.connect() for _ in range(N_CONNECTIONS)]
    read = repeated * (READ_BYTES // len(repeated) + 1)
    n_read_bytes = 0
    gc.collect()
    tracemalloc.start()
    try:
        for connection, _ in opened:
            if first:
                connection.data_received(first)
        while not all(t.ended or b" 503 " in t.written for _, t in opened):
            for connection, transport in opened:
                if not transport.paused and not transport.closed:
                    connection.data_received(read)
                    n_read_bytes += len(read)
            await asyncio.sleep(0)
            assert tracemalloc.get_traced_memory()[1] < MAX_KEPT_BYTES
            assert n_read_bytes < N_CONNECTIONS * MAX_READ_BYTES
    finally:
        tracemalloc.stop()
    for connection, _ in opened:
        connection.connection_lost(None)
    assert held.used_bytes == 0


@pytest.mark.parametrize("is_complete", [False, True])
async def test_large_heads_together_have_a_bound(is_complete):
    """Guards against a thousand callers with thousands of short fields each.

    Those without room are told so, while ordinary requests are answered.
    """
    held = Held()
    opened = [held.connect() for _ in range(300)]
    head = b"GET /a HTTP/1.1\r\nhost: h\r\n" + SHORT_FIELDS[: 9 * 1_500]
    gc.collect()
    tracemalloc.start()
    try:
        for connection, transport in opened:
            await feed(connection, transport, head + b"\r\n" * is_complete)
        await asyncio.sleep(0)
        gc.collect()
        assert tracemalloc.get_traced_memory()[0] < MAX_KEPT_BYTES
    finally:
        tracemalloc.stop()
    refused = [t for _, t in opened if t.written.startswith(b"HTTP/1.1 503 ")]
    assert 0 < len(refused) < 300
    assert len(held.requests) == (300 - len(refused)) * is_complete
    connection, transport = held.connect()
    held.may_answer.set()
    connection.data_received(b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n")
    for _ in range(5):
        await asyncio.sleep(0)
    assert transport.written.endswith(b"done")
    for connection, _ in opened:
        connection.connection_lost(None)
    assert held.used_bytes == 0


@pytest.mark.parametrize("n_bytes", [100, 40_000, 200_000])
async def test_a_request_in_small_chunks_leaves_turns_and_arrives_whole(n_bytes):
    """Guards against an event loop that one caller's chunks of one byte hold."""
    held = Held()
    connection, transport = held.connect()
    body = bytes(97 + n % 26 for n in range(n_bytes))
    size = 1 if n_bytes < 50_000 else 100
    pieces = [body[at : at + size] for at in range(0, n_bytes, size)]
    data = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    count = Mock(wraps=connection.on_body)
    connection.on_body = count
    connection._parser = httptools.HttpRequestParser(connection)
    connection.data_received(CHUNKED + data + b"0\r\n\r\n")
    assert count.call_count <= MAX_CALLBACKS_PER_TURN
    n_turns = 0
    while not held.requests:
        n_turns += 1
        assert n_turns < 1_000
        await asyncio.sleep(0)
    assert held.requests[0].body == body
    held.may_answer.set()
    for _ in range(5):
        await asyncio.sleep(0)
    assert transport.written.endswith(b"done")
    assert not transport.paused
    assert held.used_bytes == 0


async def test_trailers_are_no_header_fields(serve):
    """Guards against trailers that add fields after the limits were checked."""
    seen = []

    async def note(request):
        seen.append(request.headers)
        return Answer(200)

    data = CHUNKED.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
    data += b"1\r\nx\r\n0\r\nx-late: 1\r\n\r\n"
    assert b" 200 " in await send_and_read_all(await serve(note), data)
    assert b"x-late" not in dict(seen[0])


async def test_an_expectation_is_met_before_a_body_that_is_too_large(serve):
    """The caller sends its body, and learns that it is too large, as before."""
    server = await serve(limits=RequestLimits(max_body_bytes=10))
    head = POST + b"expect: 100-continue\r\ncontent-length: 20\r\n\r\n"
    received = await send_and_read_all(server, head + bytes(20))
    assert received.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 ")


@pytest.mark.parametrize("n_requests", [12, 200])
async def test_answers_wait_for_a_caller_that_does_not_read(serve, n_requests):
    """Guards against one caller for whom a host keeps answers without a bound.

    One that has sent no more than it may gets them all once it reads.
    """
    n_answers = 0

    async def large(request):
        nonlocal n_answers
        n_answers += 1
        return Answer(200, [], bytes(4_000_000))

    server = await serve(large)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for number in range(n_requests):
        is_last = number == n_requests - 1
        field = b"connection: close\r\n" * is_last
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n%s\r\n" % field)
        await asyncio.sleep(0.002)
    n_before = n_answers
    assert 0 < n_before < 10  # those that the kernel holds, and one
    if n_requests == 12:
        received = await reader.read()
        assert received.count(b"HTTP/1.1 200 ") == 12
        assert len(received) > 12 * 4_000_000
    writer.close()
