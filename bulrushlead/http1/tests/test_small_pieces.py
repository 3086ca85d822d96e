"""Answers in small pieces: what a host keeps of them, and for how long they hold it.

A byte of an answer that is an object of its own takes 50 bytes of memory, so that a
bound on the sum of lengths bounds nothing. Figures are scaled to a budget of 2 MiB.
"""

import asyncio
import gc
import tracemalloc

import pytest

from bulrushlead.http1 import (
    ClientConnection,
    ConnectionPool,
    ExchangeError,
    ExchangeFault,
)
from bulrushlead.http1._budget import ByteBudget
from bulrushlead.http1.tests.conftest import CLOCK, read_header_section
from bulrushlead.http1.tests.test_client import REQUEST, ok_answer

BUDGET_BYTES = 2 * 1024 * 1024
N_CONNECTIONS = 16
READ_BYTES = 64 * 1024
# A host of 200 MB has a budget of 32 MiB. Answers being received may take half of it.
MAX_KEPT_BYTES = 3 * BUDGET_BYTES
# Bytes of one answer that a host reads before it gives up.
MAX_READ_BYTES = 4 * BUDGET_BYTES
MAX_CALLBACKS_PER_TURN = 7_000  # some 2 ms

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_FIELDS = b"".join(b"%03x:%03x\r\n" % (n, n) for n in range(4_096))
ENDLESS = {
    "chunks-of-1-byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks-of-2-bytes": (CHUNKED, b"2\r\nxy\r\n"),
    "chunks-of-40-bytes": (CHUNKED, b"28\r\n" + bytes(40) + b"\r\n"),
    "chunks-of-100-bytes": (CHUNKED, b"64\r\n" + bytes(100) + b"\r\n"),
    "chunk-extensions": (CHUNKED, b"1;a=b\r\nx\r\n"),
    "short-fields": (OK, SHORT_FIELDS),
    "short-trailers": (CHUNKED + b"0\r\n", SHORT_FIELDS),
    "interim-answers": (b"", b"HTTP/1.1 102 P\r\n" + SHORT_FIELDS[:99] + b"\r\n"),
    "other-answers": (b"", ok_answer(b"r0", b"x")),
    "chunks-of-another-answer": (CHUNKED.replace(b"r1", b"r0"), b"1\r\nx\r\n"),
}
# Heads that never end and that a host may not give up for their size.
STALLED_HEADS = {
    "short-fields": OK + SHORT_FIELDS[: 240 * 9],
    "long-field": OK + b"X-Long: " + b"x" * 60_000,
    "interim-answers": b"HTTP/1.1 102 P\r\na:b\r\n\r\n" * 2_000 + OK,
}


class FakeTransport:
    """Transport without a socket; the test passes the bytes to its protocol."""

    def __init__(self):
        self.closed = False
        self.paused = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def abort(self):
        self.closed = True


def begin_exchange(buffer, address="192.0.2.1:80"):
    """Return a connection, its transport and the exchange in progress on it."""
    connection = ClientConnection(b"request-id", buffer, address)
    transport = FakeTransport()
    connection.connection_made(transport)
    return connection, transport, start(connection)


def start(connection):
    return asyncio.ensure_future(connection.exchange(REQUEST, b"r1", False))


async def feed(connection, transport, data):
    """Pass bytes to a connection in reads, as fast as it takes them."""
    for at in range(0, len(data), READ_BYTES):
        while transport.paused:
            await asyncio.sleep(0)
        if transport.closed:
            return
        connection.data_received(data[at : at + READ_BYTES])
    while transport.paused:
        await asyncio.sleep(0)


async def fault_of(exchange):
    with pytest.raises(ExchangeError) as caught:
        await exchange
    return caught.value.fault


@pytest.mark.parametrize("first, repeated", ENDLESS.values(), ids=ENDLESS)
async def test_small_pieces_without_end_stay_within_the_memory_of_a_host(
    first, repeated
):
    """Guards against 585 MB for 32 MiB of budget: each piece was an object of its own.

    One faulty server sends on many connections until each of them is closed.
    """
    buffer = ByteBudget(BUDGET_BYTES)
    opened = [begin_exchange(buffer) for _ in range(N_CONNECTIONS)]
    read = repeated * (READ_BYTES // len(repeated) + 1)
    await asyncio.sleep(0)
    n_read_bytes = 0
    gc.collect()
    tracemalloc.start()
    try:
        for connection, _, _ in opened:
            if first:
                connection.data_received(first)
        while not all(transport.closed for _, transport, _ in opened):
            for connection, transport, _ in opened:
                if not transport.paused and not transport.closed:
                    connection.data_received(read)
                    n_read_bytes += len(read)
            await asyncio.sleep(0)
            assert tracemalloc.get_traced_memory()[1] < MAX_KEPT_BYTES
            assert n_read_bytes < N_CONNECTIONS * MAX_READ_BYTES
        gc.collect()
    finally:
        tracemalloc.stop()
    for _, _, exchange in opened:
        await fault_of(exchange)
    assert buffer.used_bytes == 0


@pytest.mark.parametrize("head", STALLED_HEADS.values(), ids=STALLED_HEADS)
async def test_heads_that_do_not_end_count_as_what_they_take(head):
    """Guards against 115 MB in heads beside the budget, which counted bodies only."""
    buffer = ByteBudget(BUDGET_BYTES)
    opened = [begin_exchange(buffer) for _ in range(300)]
    await asyncio.sleep(0)
    gc.collect()
    tracemalloc.start()
    try:
        for connection, transport, _ in opened:
            await feed(connection, transport, bytes(bytearray(head)))
        gc.collect()
        assert tracemalloc.get_traced_memory()[0] < MAX_KEPT_BYTES
    finally:
        tracemalloc.stop()
    exchanges = [exchange for _, _, exchange in opened]
    for exchange in exchanges:
        exchange.cancel()
    await asyncio.gather(*exchanges, return_exceptions=True)
    assert buffer.used_bytes == 0


@pytest.mark.parametrize("n_connections", [1, 8])
@pytest.mark.parametrize("size", [1, 40])
async def test_small_pieces_leave_turns_to_other_tasks(
    raw_server, monkeypatch, n_connections, size
):
    """Guards against an event loop that was held for 7 s by chunks of two bytes.

    The largest number of pieces between two turns of another task is counted.
    """
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
    counts = []
    on_body = ClientConnection.on_body

    def count(connection, body):
        counts[-1] += 1
        on_body(connection, body)

    monkeypatch.setattr(ClientConnection, "on_body", count)

    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(CHUNKED + chunk * (2_000_000 // len(chunk)) + b"0\r\n\r\n")
        await reader.read()

    async def take_turns():
        while True:
            counts.append(0)
            await asyncio.sleep(0)

    address = await raw_server(script)
    pool = ConnectionPool(CLOCK, b"request-id", max_buffered_bytes=BUDGET_BYTES)
    connections = [await pool.connect(address, 1_000) for _ in range(n_connections)]
    ticks = asyncio.ensure_future(take_turns())
    async with asyncio.timeout(20):
        await asyncio.gather(*map(start, connections), return_exceptions=True)
    ticks.cancel()
    pool.close()
    assert sum(counts) > 1_000 * n_connections
    assert max(counts) <= MAX_CALLBACKS_PER_TURN * n_connections


async def test_a_sound_server_has_room_while_another_fills_the_budget():
    """Guards against one faulty server that takes the memory for all other answers."""
    buffer = ByteBudget(BUDGET_BYTES)
    faulty = [begin_exchange(buffer, "192.0.2.1:80") for _ in range(8)]
    connection, transport, sound = begin_exchange(buffer, "192.0.2.2:80")
    await asyncio.sleep(0)
    head = OK + b"Content-Length: 99999999\r\n\r\n"
    for at in range(8):
        piece = head + bytes(BUDGET_BYTES // 8 - 4_096)
        await feed(faulty[at][0], faulty[at][1], piece)
    body = bytes(range(256)) * (BUDGET_BYTES * 3 // 8 // 256)
    await feed(connection, transport, ok_answer(b"r1", body))
    assert (await sound).body == body
    gone = [transport.closed for _, transport, _ in faulty]
    assert 0 < sum(gone) <= 5
    assert buffer.used_bytes <= BUDGET_BYTES
    for connection, _, _ in faulty:
        connection.connection_lost(None)
    faults = [await fault_of(exchange) for _, _, exchange in faulty]
    assert faults.count(ExchangeFault.TOO_LARGE) == sum(gone)
    assert buffer.used_bytes == 0


async def test_the_answers_of_one_server_do_not_end_each_other():
    """The next piece of one answer must not end an older one of the same server."""
    buffer = ByteBudget(BUDGET_BYTES)
    first, second = begin_exchange(buffer), begin_exchange(buffer)
    await asyncio.sleep(0)
    answer = ok_answer(b"r1", bytes(BUDGET_BYTES * 3 // 4))
    await feed(*first[:2], answer[:-1])
    await feed(*second[:2], answer)
    assert await fault_of(second[2]) is ExchangeFault.TOO_LARGE
    await feed(*first[:2], answer[-1:])
    assert len((await first[2]).body) == BUDGET_BYTES * 3 // 4


HALF_AN_ANSWER = CHUNKED + b"4\r\nabcd\r\n" * 5_000
ENDS = {
    "finished": lambda c, e: c.data_received(b"0\r\n\r\n"),
    "truncated": lambda c, e: c.connection_lost(None),
    "malformed": lambda c, e: c.data_received(b"nonsense\r\n"),
    "cancelled": lambda c, e: e.cancel(),
    "cancelled-and-lost": lambda c, e: (e.cancel(), c.connection_lost(None)),
    "closed": lambda c, e: (c.close(), c.connection_lost(None)),
    "end-of-input": lambda c, e: (c.eof_received(), c.connection_lost(None)),
}


@pytest.mark.parametrize("is_whole", [False, True])
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
async def test_an_exchange_returns_its_memory_however_it_ends(end, is_whole):
    """Guards against a budget that shrinks, or grows, with each answer given up.

    The exchange ends once while a part of what was read has not been parsed, and once
    while another one on the same budget goes on.
    """
    buffer = ByteBudget(BUDGET_BYTES)
    other, other_transport, other_exchange = begin_exchange(buffer)
    connection, transport, exchange = begin_exchange(buffer)
    await asyncio.sleep(0)
    await feed(other, other_transport, HALF_AN_ANSWER)
    other_bytes = buffer.used_bytes
    assert other_bytes >= 20_000
    if is_whole:
        await feed(connection, transport, HALF_AN_ANSWER)
    else:
        connection.data_received(HALF_AN_ANSWER)
    assert buffer.used_bytes > other_bytes + 1_000
    end(connection, exchange)
    await asyncio.gather(exchange, return_exceptions=True)
    for _ in range(20):
        await asyncio.sleep(0)
    assert exchange.done()
    assert buffer.used_bytes == other_bytes
    other.data_received(b"0\r\n\r\n")
    assert (await other_exchange).body == b"abcd" * 5_000
    assert buffer.used_bytes == 0


@pytest.mark.parametrize("read_bytes", [1, 7, 1_024, 32_768, 32_769, 1 << 20])
async def test_an_answer_arrives_whole_however_it_is_cut(read_bytes):
    """Pieces below and above the size from which they are kept as they are."""
    sizes = [1, 2, 1_023, 1_024, 1, 1_025, 5_000, 3, 40_000, 1, 1]
    pieces = [bytes([65 + at]) * size for at, size in enumerate(sizes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    answer = CHUNKED + chunks + b"0\r\n\r\n"
    connection, transport, exchange = begin_exchange(ByteBudget(BUDGET_BYTES))
    await asyncio.sleep(0)
    for at in range(0, len(answer), read_bytes):
        connection.data_received(answer[at : at + read_bytes])
        while transport.paused:
            await asyncio.sleep(0)
    assert (await exchange).body == b"".join(pieces)
    assert not transport.closed


async def test_an_answer_is_whole_if_the_connection_ends_before_it_is_parsed():
    """What was read before the end counts; what is missing is not made up."""
    for missing, is_whole in ((0, True), (1, False)):
        connection, transport, exchange = begin_exchange(ByteBudget(BUDGET_BYTES))
        await asyncio.sleep(0)
        answer = HALF_AN_ANSWER + b"0\r\n\r\n"
        connection.data_received(answer[: len(answer) - missing])
        assert not exchange.done()
        connection.connection_lost(None)
        if is_whole:
            assert (await exchange).body == b"abcd" * 5_000
        else:
            assert await fault_of(exchange) is ExchangeFault.TRUNCATED


async def test_bytes_behind_an_answer_reach_no_later_one():
    """Bytes that are parsed a turn later must not be taken for the next answer."""
    connection, transport, exchange = begin_exchange(ByteBudget(BUDGET_BYTES))
    await asyncio.sleep(0)
    extra = ok_answer(b"r1", bytes(40_000)) + ok_answer(b"r1", b"stale")
    connection.data_received(extra)
    assert len((await exchange).body) == 40_000
    assert not connection.is_reusable
    for _ in range(5):
        await asyncio.sleep(0)
    assert not connection.is_reusable
