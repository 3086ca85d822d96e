"""Requests on connections on which more arrives than the request in progress."""

import asyncio

import pytest

from bulrushlead.http1 import Answer, RequestLimits
from bulrushlead.http1._budget import ByteBudget

GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
GET_AND_CLOSE = b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
ANSWERED = b"HTTP/1.1 200 "


async def slow(request):
    await asyncio.sleep(0.1)
    return Answer(200, [], request.target)


async def send_and_read_answers(server, first, then):
    """Send bytes while a request is in progress; return what the caller receives."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(first)
    await asyncio.sleep(0.02)
    writer.write(then)
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return received


@pytest.mark.parametrize(
    ("first", "then", "last"),
    [
        (GET, b"\0garbage\r\n\r\n", b"400"),
        (GET, GET * 18, b"400"),
        (GET, POST % 99 + b"x" * 99, b"413"),
        (GET, b"GET /b HTTP/1.1\r\nx: " + b"y" * 3_000 + b"\r\n\r\n", b"431"),
        (GET_AND_CLOSE, GET, b""),
    ],
    ids=["garbage", "too many", "large body", "large head", "after the last"],
)
async def test_what_follows_a_request_does_not_break_it_off(serve, first, then, last):
    """Guards against requests that ran, and whose answer is lost to later bytes."""
    server = await serve(slow, RequestLimits(2_000, 50))
    received = await send_and_read_answers(server, first, then)
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    n_answered = 17 if then == GET * 18 else 1
    assert statuses == [b"200"] * n_answered + [last] * bool(last)


async def test_a_body_without_room_does_not_break_off_the_request_before(serve):
    """Guards against requests that ran, and whose answer a refused body costs."""
    server = await serve(slow, RequestLimits(2_000, 1_000))
    server.bodies = ByteBudget(100)
    received = await send_and_read_answers(server, GET, POST % 500 + b"x" * 500)
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"503"]


async def test_a_stop_answers_each_request_that_was_received(serve):
    """Guards against requests that wait behind the last one that a stop answers."""
    server = await serve(slow)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET * 3)
    await asyncio.sleep(0.02)
    server.drain()
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    assert received.count(ANSWERED) == 3
    assert received.count(b"connection: close") == 1
