"""Client connections and their pool.

An answer must reach the request that it belongs to, and ``NOT_SENT`` must be reported
only for a request that was not sent: retries depend on both.
"""

import asyncio
import socket
import struct

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.http1 import ExchangeError, ExchangeFault, render_request
from bulrushlead.http1._client import MAX_FAILED_REQUESTS
from bulrushlead.http1.tests.conftest import read_header_section

ODD_ADDRESSES = ("127.0.0.1:99999", "127.0.0.1:x", "", "127.0.0.1:" + "9" * 5_000)
REQUEST = render_request(b"GET", b"/", [(b"request-id", b"r1")], b"")


def ok_answer(request_id, body=b"ok", extra_fields=b""):
    return b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
        request_id,
        len(body),
        extra_fields,
        body,
    )


def answer_with(*answers):
    async def script(reader, writer):
        for answer in answers:
            await read_header_section(reader)
            writer.write(answer)
        await reader.read()

    return script


async def exchange(pool, address, request_id=b"r1"):
    connection = pool.acquire_idle(address, 1_000, request_id)
    connection = connection or await pool.connect(address, 1_000)
    try:
        return await connection.exchange(REQUEST, request_id, False)
    finally:
        pool.release(address, connection)


async def exchange_fault(pool, address):
    with pytest.raises(ExchangeError) as caught:
        await exchange(pool, address)
    return caught.value.fault


async def test_a_connection_is_reused(pool, raw_server):
    address = await raw_server(answer_with(ok_answer(b"r1"), ok_answer(b"r2", b"two")))
    assert (await exchange(pool, address)).body == b"ok"
    assert (await exchange(pool, address, b"r2")).body == b"two"
    assert pool.n_connects == 1


async def test_a_late_second_answer_is_dropped(pool, raw_server):
    address = await raw_server(
        answer_with(
            ok_answer(b"r1"), ok_answer(b"r1", b"late") + ok_answer(b"r2", b"two")
        )
    )
    await exchange(pool, address)
    assert (await exchange(pool, address, b"r2")).body == b"two"


async def test_a_connection_with_extra_bytes_is_not_reused(pool, raw_server):
    address = await raw_server(
        answer_with(ok_answer(b"r1") + ok_answer(b"r1", b"extra"))
    )
    assert (await exchange(pool, address)).body == b"ok"
    assert pool.acquire_idle(address, 1_000, b"") is None


async def test_a_refusal_need_not_echo_the_identifier(pool, raw_server):
    refusal = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    address = await raw_server(answer_with(ok_answer(b"r1"), refusal))
    await exchange(pool, address)
    assert (await exchange(pool, address, b"r2")).status == 503


async def test_a_truncated_answer_is_an_error(pool, raw_server):
    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(ok_answer(b"r1", b"0123456789")[:-4])

    assert (
        await exchange_fault(pool, await raw_server(script)) is ExchangeFault.TRUNCATED
    )


async def test_malformed_bytes_are_an_error(pool, raw_server):
    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(b"\x00\x01 what\r\n\r\n")
        await reader.read()

    assert (
        await exchange_fault(pool, await raw_server(script)) is ExchangeFault.MALFORMED
    )


async def test_an_answer_without_length_ends_with_its_connection(pool, raw_server):
    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it")

    answer = await exchange(pool, await raw_server(script))
    assert answer.body == b"all of it"


async def test_an_answer_without_length_that_is_reset_is_truncated(pool, raw_server):
    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    assert (
        await exchange_fault(pool, await raw_server(script)) is ExchangeFault.TRUNCATED
    )


async def test_a_close_before_the_answer_is_an_error(pool, raw_server):
    async def script(reader, writer):
        await read_header_section(reader)

    assert await exchange_fault(pool, await raw_server(script)) is ExchangeFault.CLOSED


async def test_a_refused_connect_is_reported_as_not_sent(pool):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    assert await exchange_fault(pool, address) is ExchangeFault.NOT_SENT


async def test_a_cancelled_exchange_closes_its_connection(pool, raw_server):
    closed = asyncio.Event()
    started = asyncio.Event()

    async def script(reader, writer):
        await read_header_section(reader)
        started.set()
        await reader.read()
        closed.set()

    task = asyncio.create_task(exchange(pool, await raw_server(script)))
    await started.wait()
    task.cancel()
    await asyncio.wait_for(closed.wait(), 5)


async def test_an_announced_idle_time_limits_reuse(pool, raw_server):
    address = await raw_server(
        answer_with(ok_answer(b"r1", extra_fields=b"Keep-Alive: timeout=0\r\n"))
    )
    await exchange(pool, address)
    await asyncio.sleep(0.005)
    assert pool.acquire_idle(address, 60_000, b"") is None


async def test_a_connection_that_ends_with_its_answer_is_not_reused(pool, raw_server):
    address = await raw_server(
        answer_with(ok_answer(b"r1", extra_fields=b"Connection: close\r\n"))
    )
    await exchange(pool, address)
    assert pool.acquire_idle(address, 60_000, b"") is None


async def test_stale_connections_lower_the_idle_limit(pool):
    clock = pool.clock = ManualClock(100_000.0)
    initial_limit_ms = pool.idle_limit_ms()
    pool.record_stale_connection(600.0)
    assert pool.idle_limit_ms() == 300.0
    pool.record_stale_connection(100.0)
    assert pool.idle_limit_ms() == 200.0
    await clock.advance_ms(60_000)
    assert pool.idle_limit_ms() == initial_limit_ms


@pytest.mark.parametrize("now_ms", [0.0, 1e9, 1e15])
async def test_the_idle_limit_recovers_at_any_clock_reading(pool, now_ms):
    """Guards against an overflow long after the last stale connection."""
    clock = pool.clock = ManualClock(now_ms)
    initial_limit_ms = pool.idle_limit_ms()
    pool.record_stale_connection(600.0)
    await clock.advance_ms(1e13)
    assert pool.idle_limit_ms() == initial_limit_ms


async def test_connections_are_probed_and_two_probes_may_be_lost(pool, raw_server):
    """Guards against waiting on a silent connection until the deadline."""
    address = await raw_server(answer_with(ok_answer(b"r1")))
    connection = await pool.connect(address, 1_000)
    sock = connection._transport.get_extra_info("socket")
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    idle_s, interval_s, timeout_ms = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_USER_TIMEOUT,
        )
    )
    second_probe_ms = 1_000 * (idle_s + interval_s)
    assert second_probe_ms < timeout_ms <= 3_000


async def test_a_late_refusal_without_an_identifier_refuses_no_other_request(
    pool, raw_server
):
    """Guards against "not run" for a request that the server did run."""
    refusal = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    address = await raw_server(answer_with(refusal, refusal + ok_answer(b"r2", b"two")))
    assert (await exchange(pool, address)).status == 503
    assert pool.acquire_idle(address, 1_000, b"") is None


async def test_an_answer_that_switches_protocols_is_malformed(pool, raw_server):
    """Guards against an error outside of the exchange that received it."""
    switch = b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbytes"
    address = await raw_server(answer_with(switch))
    assert await exchange_fault(pool, address) is ExchangeFault.MALFORMED


@pytest.mark.parametrize("request_id", [b"r1", b"r0"])
@pytest.mark.parametrize("reason", [b"", b" Odd"])
async def test_each_status_code_outside_its_range_is_malformed(
    pool, raw_server, reason, request_id
):
    """Guards against waiting for the answer after status 000, and delivering 999."""
    codes = [f"{code:03d}".encode() for code in range(1_000)]

    async def script(reader, writer):
        code = (await read_header_section(reader)).rpartition(b"code: ")[2][:3]
        head = ok_answer(request_id, b"", b"Not-Executed: 1\r\n")
        writer.write(head.replace(b"200 OK", code + reason) + ok_answer(b"r1"))

    address = await raw_server(script)
    for code in codes:
        connection = await pool.connect(address, 1_000)
        data = render_request(b"GET", b"/", [(b"code", code)], b"")
        if b"100" <= code < b"600" and code != b"101":
            answer = await connection.exchange(data, b"r1", False)
            is_final = code >= b"200" and request_id == b"r1"
            assert answer.status == (int(code) if is_final else 200)
        else:
            with pytest.raises(ExchangeError) as caught:
                async with asyncio.timeout(1):
                    await connection.exchange(data, b"r1", False)
            assert caught.value.fault is ExchangeFault.MALFORMED
            assert not connection.is_reusable
        connection.close()


async def test_a_copy_of_a_refusal_refuses_no_second_try(pool, raw_server):
    """Guards against "not run" for a request that is sent again, and runs.

    The server writes its refusal once more where the answer to the second try is due.
    """
    refusal = b"HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"
    address = await raw_server(
        answer_with(refusal, ok_answer(b"r2"), refusal + ok_answer(b"r1"))
    )
    assert (await exchange(pool, address)).status == 503
    assert (await exchange(pool, address, b"r2")).body == b"ok"
    assert pool.n_connects == 1
    assert pool.acquire_idle(address, 1_000, b"r1") is None
    connection = pool.acquire_idle(address, 1_000, b"r3")
    with pytest.raises(ExchangeError) as caught:
        await connection.exchange(REQUEST, b"r1", False)
    assert caught.value.fault is ExchangeFault.NOT_SENT
    pool.release(address, connection)
    assert (await exchange(pool, address)).status == 503  # on a new connection
    assert pool.n_connects == 2


async def test_a_connection_of_many_failures_ends(pool, raw_server):
    """Guards against a list of failed requests that grows without a bound."""
    n_requests = MAX_FAILED_REQUESTS + 1
    ids = [b"r%d" % number for number in range(n_requests)]
    failure = b"HTTP/1.1 500 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
    address = await raw_server(answer_with(*(failure % one for one in ids)))
    for one in ids[:-1]:
        await exchange(pool, address, one)
    assert pool.n_connects == 1
    assert pool.acquire_idle(address, 1_000, ids[-1]) is None


def cuts_of(answer):
    return [answer[:n_bytes] for n_bytes in range(len(answer))]


LONG_BODY = b"0123456789abcdef"
CUT_ANSWERS = {
    "length": ok_answer(b"r1", LONG_BODY),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n"
    ),
    "bare line feeds": ok_answer(b"r1", LONG_BODY).replace(b"\r\n", b"\n"),
}


@pytest.mark.parametrize("end", ("fin", "reset"))
@pytest.mark.parametrize("name", CUT_ANSWERS)
async def test_an_answer_that_is_cut_anywhere_is_not_delivered(
    pool, raw_server, name, end
):
    """Guards against an empty or short body that is framed as whole.

    The server stops after each byte of the head and the body in turn, and closes.
    """
    cuts = iter(cuts_of(CUT_ANSWERS[name]))

    async def script(reader, writer):
        await read_header_section(reader)
        writer.write(next(cuts))
        await writer.drain()
        if end == "reset":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    address = await raw_server(script)
    for _ in cuts_of(CUT_ANSWERS[name]):
        assert await exchange_fault(pool, address) in (
            ExchangeFault.CLOSED,
            ExchangeFault.TRUNCATED,
            ExchangeFault.MALFORMED,
        )


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_an_address_that_is_none_is_not_connected_to(pool, address):
    """Guards against one odd entry in a list that fails requests to others."""
    with pytest.raises(ExchangeError) as caught:
        await pool.connect(address, 1_000)
    assert caught.value.fault is ExchangeFault.NOT_SENT
