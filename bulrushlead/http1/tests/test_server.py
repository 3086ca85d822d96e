"""HTTP server: order of answers, limits, timeouts, cancellation and draining."""

import asyncio
import socket

import pytest

from bulrushlead.http1 import Answer, RequestLimits
from bulrushlead.http1._budget import ByteBudget
from bulrushlead.http1.tests.conftest import read_header_section, send_and_read_all

GET = b"GET /a?b=1 HTTP/1.1\r\nhost: h\r\n"
GET_AND_CLOSE = GET + b"connection: close\r\n\r\n"


async def test_a_request_is_answered_with_a_length(serve):
    received = await send_and_read_all(await serve(), GET_AND_CLOSE)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"content-length: 6\r\n" in received
    assert received.endswith(b"\r\n\r\n/a?b=1")


async def test_requests_of_one_connection_are_answered_in_order(serve):
    async def slow_first(request):
        if request.target == b"/1":
            await asyncio.sleep(0.02)
        return Answer(200, [], request.target)

    server = await serve(slow_first)
    first = b"GET /1 HTTP/1.1\r\nhost: h\r\n\r\n"
    received = await send_and_read_all(server, first + GET_AND_CLOSE)
    assert received.index(b"\r\n\r\n/1") < received.index(b"\r\n\r\n/a?b=1")


async def test_a_chunked_body_arrives_whole(serve):
    data = (
        b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
        b"connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert (await send_and_read_all(await serve(), data)).endswith(b"/pabcde")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (GET + b"x: " + b"a" * 3_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99\r\n\r\n" + b"a" * 99, 413),
        (
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /smuggled HTTP/1.1\r\n\r\n",
            400,
        ),
    ],
)
async def test_invalid_or_oversized_requests_are_refused(serve, data, status):
    server = await serve(limits=RequestLimits(2_000, 50))
    received = await send_and_read_all(server, data)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert received.count(b"HTTP/1.1") == 1


async def test_a_closed_connection_cancels_its_request(serve):
    cancelled = asyncio.Event()
    started = asyncio.Event()

    async def wait(request):
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server = await serve(wait)
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET + b"\r\n")
    await started.wait()
    writer.close()
    await asyncio.wait_for(cancelled.wait(), 5)


async def test_a_draining_server_closes_connections_after_the_next_answer(serve):
    server = await serve()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET + b"\r\n")
    assert b"connection: close" not in await read_header_section(reader)
    await reader.readexactly(6)
    server.drain()
    writer.write(GET + b"\r\n")
    assert b"connection: close" in await read_header_section(reader)
    assert await reader.read() == b"/a?b=1"
    writer.close()


async def test_closing_idle_connections_leaves_requests_in_progress(serve):
    may_finish = asyncio.Event()
    started = asyncio.Event()

    async def wait(request):
        started.set()
        await may_finish.wait()
        return Answer(200, [], b"done")

    server = await serve(wait)
    idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", server.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET_AND_CLOSE)
    await started.wait()
    assert not server.close_idle(0.0)
    assert await idle_reader.read() == b""
    may_finish.set()
    assert (await reader.read()).endswith(b"done")
    idle_writer.close()
    writer.close()


async def test_open_connections_outlive_the_listener(serve):
    server = await serve()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(0.01)
    await server.stop_listening()
    writer.write(GET_AND_CLOSE)
    assert (await reader.read()).endswith(b"/a?b=1")
    with pytest.raises(OSError):
        await asyncio.open_connection("127.0.0.1", server.port)
    writer.close()


async def test_an_idle_connection_is_closed_after_the_timeout(serve):
    server = await serve(limits=RequestLimits(idle_timeout_ms=10))
    assert await send_and_read_all(server, b"") == b""


async def test_a_slow_header_section_is_refused(serve):
    server = await serve(limits=RequestLimits(header_timeout_ms=10))
    assert (await send_and_read_all(server, b"GET / HTT")).startswith(b"HTTP/1.1 408 ")


async def test_a_head_request_is_answered_without_a_body(serve):
    received = await send_and_read_all(
        await serve(), b"HEAD /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
    )
    assert received.endswith(b"\r\n\r\n")
    assert b"content-length: 2\r\n" in received


async def send_body(server, size, chunked=False):
    """Send a body, then read the status of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    head = b"POST /p HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
    if chunked:
        writer.write(head + b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(size // 1_000):
            writer.write(b"3e8\r\n%s\r\n" % (b"x" * 1_000))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    else:
        writer.write(head + b"content-length: %d\r\n\r\n" % size + b"x" * size)
    await writer.drain()
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("chunked", [False, True])
async def test_bodies_together_have_a_bound(serve, chunked):
    """Guards against large bodies that end each host that takes them.

    A caller whose host has run out of memory sends the same body to the next host.
    """
    held = []
    release = asyncio.Event()

    async def hold(request):
        held.append(len(request.body))
        await release.wait()
        return Answer(200)

    server = await serve(hold)
    server.bodies = ByteBudget(2_500_000)
    sent = [
        asyncio.create_task(send_body(server, 1_000_000, chunked)) for _ in range(4)
    ]
    async with asyncio.timeout(5):
        while sum(task.done() for task in sent) + len(held) < 4:
            await asyncio.sleep(0.01)
    assert held == [1_000_000] * 2
    release.set()
    answers = await asyncio.gather(*sent)
    refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503")]
    assert len(refused) == 2
    assert all(b"retry-after: " in answer for answer in refused)
    assert server.bodies.used_bytes == 0


async def test_a_caller_that_leaves_gives_its_room_back(serve):
    server = await serve()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 5000\r\n\r\nxx")
    async with asyncio.timeout(5):
        while not server.bodies.used_bytes:
            await asyncio.sleep(0.01)
        writer.close()
        while server.bodies.used_bytes:
            await asyncio.sleep(0.01)


async def test_a_refusal_reaches_a_caller_that_is_still_sending(serve):
    """Guards against a reset that loses the refusal: its cause is unread bytes."""
    server = await serve(limits=RequestLimits(2_000, 50))
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99\r\n\r\n")
        for _ in range(20):
            sock.sendall(b"x" * 40)
            await asyncio.sleep(0.01)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = await asyncio.wait_for(loop.sock_recv(sock, 1_000), 5)
    assert received.startswith(b"HTTP/1.1 413 ")


async def test_a_connection_with_unread_bytes_is_not_idle(serve):
    """Guards against requests that a busy process has not read, and resets."""
    server = await serve()
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        await asyncio.sleep(0.05)
        sock.sendall(GET_AND_CLOSE)
        assert not server.close_idle(0)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = await asyncio.wait_for(loop.sock_recv(sock, 1_000), 5)
    assert received.startswith(b"HTTP/1.1 200 ")


async def test_an_answer_that_ends_a_connection_reaches_its_caller(serve):
    """Guards against a reset that loses the answer: its cause is unread bytes."""
    server = await serve()
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        await asyncio.sleep(0.05)
        sock.sendall(GET_AND_CLOSE)
        (connection,) = server.connections
        connection.data_received(GET_AND_CLOSE)
        await asyncio.sleep(0.05)
        assert sock.recv(1_000).startswith(b"HTTP/1.1 200 ")
        assert sock.recv(1_000) == b""
