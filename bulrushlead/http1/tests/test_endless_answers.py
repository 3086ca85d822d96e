"""Answers without end: bytes that come until this host closes the connection.

They must cost neither the memory of the host nor the connection of another caller.
"""

import asyncio

import pytest

from bulrushlead.http1 import ConnectionPool, ExchangeError, ExchangeFault
from bulrushlead.http1.tests.conftest import CLOCK, read_header_section
from bulrushlead.http1.tests.test_client import REQUEST, ok_answer

MAX_BYTES = 1024 * 1024
# What the kernels of both ends may hold beside what the host has read.
IN_TRANSIT_BYTES = 16 * 1024 * 1024
CHUNK = b"x" * 32 * 1024
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
ENDLESS = {
    "status-line": (b"HTTP/1.1 200 ", CHUNK),
    "no-answer": (b"", CHUNK),
    "zeros": (b"", bytes(32 * 1024)),
    "empty-lines": (b"", b"\r\n" * 16 * 1024),
    "one-field": (OK + b"X-Long: ", CHUNK),
    "field-name": (OK, CHUNK),
    "many-fields": (OK, b"X-Field: value\r\n" * 2_000),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000),
    "chunk-size": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 32 * 1024),
    "chunk-extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", CHUNK),
    "small-chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1;" + b"e" * 60 + b"\r\nx\r\n",
    ),
    "trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", CHUNK),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Field: value\r\n" * 2_000,
    ),
    "body": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"8000\r\n" + CHUNK + b"\r\n"),
    "body-without-length": (OK + b"\r\n", CHUNK),
    "body-with-length": (OK + b"Content-Length: 99999999999\r\n\r\n", CHUNK),
    "body-of-another-answer": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 99999999999\r\n\r\n",
        CHUNK,
    ),
    "other-answers": (b"", ok_answer(b"r0") * 300),
}


@pytest.fixture
async def pool():
    pool = ConnectionPool(CLOCK, b"request-id", max_buffered_bytes=MAX_BYTES)
    yield pool
    pool.close()


def endless(first, repeated, sent):
    """Return a script that sends bytes until the other end closes."""

    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                sent.append(len(repeated))
        except ConnectionError:
            sent.append(0)

    return script


@pytest.mark.parametrize("first, repeated", ENDLESS.values(), ids=ENDLESS)
async def test_an_answer_without_end_is_given_up(pool, raw_server, first, repeated):
    """Guards against buffering or reading on until the deadline or for good."""
    sent = []
    address = await raw_server(endless(first, repeated, sent))
    connection = await pool.connect(address, 1_000)
    async with asyncio.timeout(10):
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(REQUEST, b"r1", False)
    assert caught.value.fault is not ExchangeFault.NOT_SENT
    assert not connection.is_reusable
    async with asyncio.timeout(5):
        while not sent or sent[-1]:
            await asyncio.sleep(0.01)
    assert sum(sent) <= MAX_BYTES + IN_TRANSIT_BYTES
    assert pool.buffered_bytes == 0


async def test_answers_that_are_buffered_together_stay_within_the_bound(
    pool, raw_server
):
    """Guards against a host that buffers one large answer on each connection."""

    async def three_quarters(reader, writer):
        await read_header_section(reader)
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % MAX_BYTES)
        writer.write(bytes(MAX_BYTES * 3 // 4))
        await reader.read()

    address = await raw_server(three_quarters)
    connections = [await pool.connect(address, 1_000) for _ in range(4)]
    exchanges = [
        asyncio.ensure_future(connection.exchange(REQUEST, b"r1", False))
        for connection in connections
    ]
    while sum(exchange.done() for exchange in exchanges) < 3:
        assert pool.buffered_bytes <= MAX_BYTES
        await asyncio.sleep(0.01)
    for exchange in exchanges:
        exchange.cancel()
    results = await asyncio.gather(*exchanges, return_exceptions=True)
    faults = [r.fault for r in results if isinstance(r, ExchangeError)]
    assert faults == [ExchangeFault.TOO_LARGE] * 3
    assert pool.buffered_bytes == 0


async def test_an_ordinary_answer_in_small_chunks_is_complete(pool, raw_server):
    body = b"".join(b"1\r\n%c\r\n" % (97 + n % 26) for n in range(5_000))

    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n")

    address = await raw_server(script)
    connection = await pool.connect(address, 1_000)
    answer = await connection.exchange(REQUEST, b"r1", False)
    assert len(answer.body) == 5_000
    assert pool.buffered_bytes == 0
