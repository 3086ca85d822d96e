"""Requests that offer to go on with another protocol."""

import asyncio

import pytest

from bulrushlead.http1 import RequestLimits
from bulrushlead.http1.tests.conftest import send_and_read_all

GET_AND_CLOSE = b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


OFFER = b"host: h\r\nconnection: keep-alive, upgrade\r\nUpgrade: h2c\r\n"
GET = b"GET /a HTTP/1.1\r\n" + OFFER
POST = b"POST /a HTTP/1.1\r\n" + OFFER


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (GET + b"\r\n", b""),
        (POST + b"content-length: 3\r\n\r\nabc", b"abc"),
        (POST + b"content-length: 5\r\n\r\nGET /", b"GET /"),
        (POST + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", b"abc"),
        (b"CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n", None),
    ],
    ids=["get", "post", "request in a body", "chunked", "connect"],
)
@pytest.mark.parametrize("step", [1, 7, 1_000])
async def test_a_request_for_another_protocol_is_answered(serve, data, body, step):
    """Guards against requests without an answer: callers may offer an upgrade."""
    server = await serve()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    data += GET_AND_CLOSE
    for start in range(0, len(data), step):
        writer.write(data[start : start + step])
        await asyncio.sleep(0)
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    first, *others = received.split(b"HTTP/1.1 ")[1:]
    if body is None:
        assert first.startswith(b"400 ")
        assert not others
    else:
        assert first.startswith(b"200 ")
        assert first.endswith(b"\r\n\r\n/a" + body)
        assert [other[:3] for other in others] == [b"200"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (GET + b"x: " + b"y" * 3_000 + b"\r\n\r\n", b"431"),
        (POST + b"content-length: 99\r\n\r\n" + b"x" * 99, b"413"),
        (GET * 2 + b"\r\n", b"400"),
    ],
)
async def test_limits_hold_for_such_a_request(serve, data, status):
    """Guards against a second parse that bounds neither the head nor the body."""
    server = await serve(limits=RequestLimits(2_000, 50))
    received = await asyncio.wait_for(send_and_read_all(server, data), 5)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert received.count(b"HTTP/1.1 ") == 1
