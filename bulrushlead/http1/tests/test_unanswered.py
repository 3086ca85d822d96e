"""Lines about requests that were received and got no answer."""

import asyncio
import json
import socket
import struct

import pytest

from bulrushlead.http1 import Answer
from bulrushlead.logs import Event, LogFormat, build_handler

GET = b"GET /a HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
NEXT = b"GET /b HTTP/1.1\r\nhost: h\r\nid: r2\r\n\r\n"
BIG_BYTES = 16 * 1024 * 1024  # more than the buffers of both sockets hold


class Lines(list):
    """The fields of each log line."""

    def write(self, text):
        self.append(json.loads(text))

    def flush(self):
        pass

    def unanswered(self):
        return [
            (line["request_id"], line["cause"], line["sent_on"], line["answered"])
            for line in self
            if line["event"] == Event.REQUEST_UNANSWERED
        ]


@pytest.fixture
def lines():
    lines = Lines()
    with build_handler(LogFormat.JSON, lines).applicationbound():
        yield lines


class Waiting:
    """Handler of requests that wait until they may be answered."""

    def __init__(self, body=b"ok"):
        self.body = body
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def __call__(self, request):
        request.sent_on = request.target == b"/a"
        self.started.set()
        await self.may_answer.wait()
        return Answer(200, [], self.body)


@pytest.fixture
async def begin(serve):
    """Return a function that sends requests and returns once one is in progress."""

    async def send(data, handler):
        server = await serve(handler)
        server.unanswered.id_header = b"id"
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data)
        await handler.started.wait()
        await asyncio.sleep(0.01)
        return server, reader, writer

    return send


async def wait_for_lines(server):
    async with asyncio.timeout(5):
        while server.connections:
            await asyncio.sleep(0.01)


async def test_a_stop_names_each_request_that_it_breaks_off(begin, lines):
    """Guards against requests of which no line says that a stop has cut them."""
    server, _, writer = await begin(GET + NEXT, Waiting())
    assert server.count_in_progress() == 2
    await server.close()
    await wait_for_lines(server)
    cause = "this process stops"
    assert lines.unanswered() == [
        ("r1", cause, True, False),
        ("r2", cause, False, False),
    ]
    assert server.unanswered.count == 2
    writer.close()


async def test_a_caller_that_closes_first_is_named_as_the_cause(begin, lines):
    """Guards against lines that do not tell a caller's close from one of the host."""
    server, _, writer = await begin(GET, Waiting())
    writer.close()
    await wait_for_lines(server)
    assert lines.unanswered() == [("r1", "the caller closed", True, False)]
    assert (server.unanswered.count, server.unanswered.broken_off) == (1, 0)


async def test_a_reset_connection_is_named_as_the_cause(begin, lines):
    """Guards against lines that do not tell a reset from a close."""
    server, _, writer = await begin(GET, Waiting())
    linger = struct.pack("ii", 1, 0)
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    await wait_for_lines(server)
    ((request_id, cause, sent_on, answered),) = lines.unanswered()
    assert (request_id, sent_on, answered) == ("r1", True, False)
    assert cause.startswith("connection lost: ")


async def test_an_answer_that_is_not_sent_whole_is_counted(begin, lines):
    """Guards against answers that are ready but lost, of which no line tells."""
    handler = Waiting(b"x" * BIG_BYTES)
    server, reader, writer = await begin(GET, handler)
    writer.transport.pause_reading()
    handler.may_answer.set()
    await asyncio.sleep(0.1)
    assert server.count_in_progress() == 1
    writer.transport.abort()
    await wait_for_lines(server)
    ((request_id, _, sent_on, answered),) = lines.unanswered()
    assert (request_id, sent_on, answered) == ("r1", True, True)


async def test_answered_requests_leave_no_such_line(begin, lines):
    """Guards against lines about requests that were answered whole."""
    handler = Waiting(b"x" * BIG_BYTES)
    server, reader, writer = await begin(GET + NEXT, handler)
    handler.may_answer.set()
    for _ in range(2):
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        await reader.readexactly(BIG_BYTES)
    writer.close()
    await wait_for_lines(server)
    assert not lines.unanswered()
    assert server.unanswered.count == server.count_in_progress() == 0
