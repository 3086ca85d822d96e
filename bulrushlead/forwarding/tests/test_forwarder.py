import asyncio
import json
import re

import attrs
import pytest
from multidict import CIMultiDict

from bulrushlead.backend import ClosePoint, ExecutionEnd, SampleServer
from bulrushlead.forwarding import Forwarder, ForwardError, ForwarderSettings
from bulrushlead.forwarding.tests.conftest import (
    CLOCK,
    build_request,
    describe,
)
from bulrushlead.results import Ran, ResultCode

EVERY_METHOD = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]


async def fail(forwarder, server, request):
    with pytest.raises(ForwardError) as caught:
        await forwarder.forward(server, request)
    return caught.value.code, caught.value.ran


def answering(text):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(text)
        await writer.drain()

    return script


async def test_a_complete_answer_is_passed_on(forwarder, sample):
    request = build_request("POST", body=b"12 bales", idempotency_key="k1")
    answer = await forwarder.forward(sample.describe_server(), request)
    execution = sample.execution_log[0]
    assert answer.status == 200
    assert json.loads(answer.body)["execution"] == execution.sequence
    assert (execution.method, execution.path) == ("POST", "/prices?kind=barley")
    assert (execution.key, execution.body) == ("k1", b"12 bales")


async def test_hop_by_hop_headers_stop_here(forwarder, raw_server):
    server = await raw_server(
        answering(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Hop\r\n"
            b"X-Hop: 1\r\nKeep-Alive: timeout=5\r\nBulrushlead-Ran: no\r\n"
            b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\nok"
        )
    )
    headers = CIMultiDict(
        {
            "Host": "entry",
            "Connection": "X-Mine",
            "X-Mine": "1",
            "Expect": "100-continue",
            "Idempotency-Key": "smuggled",
            "Bulrushlead-Timeout-Ms": "99999999",
            "Accept": "text/csv",
        }
    )
    answer = await forwarder.forward(server.description, build_request(headers=headers))
    assert list(answer.headers.items()) == [
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]
    sent = server.requests[0][0].lower()
    assert "accept: text/csv" in sent
    for absent in ("x-mine", "expect", "smuggled", "99999999", "host: entry", "cookie"):
        assert absent not in sent


async def test_cookies_of_one_answer_reach_no_other_request(forwarder, raw_server):
    server = await raw_server(
        answering(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSet-Cookie: a=1\r\n\r\n")
    )
    # aiohttp keeps no cookies of servers that are named by an IP number.
    named = attrs.evolve(server.description, address=f"localhost:{server.port}")
    for _ in range(2):
        await forwarder.forward(named, build_request("POST"))
    assert "cookie" not in server.requests[1][0].lower()


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "ANSWER_TRUNCATED"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "ANSWER_TRUNCATED",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
            "ANSWER_TRUNCATED",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nno end", "ANSWER_MALFORMED"),
        (b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nno end", "ANSWER_MALFORMED"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "ANSWER_MALFORMED",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
            "ANSWER_MALFORMED",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", "ANSWER_MALFORMED"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "ANSWER_LOST"),
        (b"garbage\r\n\r\n", "ANSWER_MALFORMED"),
        (b"", "ANSWER_LOST"),
        (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
            b"Connection: upgrade\r\n\r\n",
            "ANSWER_MALFORMED",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Bulrushlead-Attempt-Id: another\r\n\r\nok",
            "ANSWER_MALFORMED",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n", "ANSWER_TOO_LARGE"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186A1\r\n"
            + b"x" * 100_001
            + b"\r\n0\r\n\r\n",
            "ANSWER_TOO_LARGE",
        ),
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_an_incomplete_answer_is_never_passed_on(
    forwarder, raw_server, method, text, code
):
    server = await raw_server(answering(text))
    seen = await fail(forwarder, server.description, build_request(method))
    assert seen == (ResultCode[code], Ran.UNKNOWN)
    assert len(server.requests) == 1


@pytest.mark.parametrize("method", EVERY_METHOD)
@pytest.mark.parametrize("point", [ClosePoint.BEFORE_RUNNING, ClosePoint.AFTER_RUNNING])
async def test_nothing_is_sent_again_when_the_connection_breaks(
    forwarder, sample, method, point
):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    sample.faults.close_at = point
    seen = await fail(forwarder, server, build_request(method))
    assert seen == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    runs = 1 if point is ClosePoint.BEFORE_RUNNING else 2
    assert len(sample.execution_log) == runs


async def test_refusal_by_the_server_is_not_run(forwarder, sample):
    sample.faults.refuse = True
    for method in ("GET", "POST"):
        seen = await fail(forwarder, sample.describe_server(), build_request(method))
        assert seen == (ResultCode.BACKEND_REFUSED, Ran.NO)
    assert sample.execution_log == []


async def test_a_refusal_leaves_its_connection_in_the_pool(forwarder, raw_server):
    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            writer.write(
                b"HTTP/1.1 503 Busy\r\nBulrushlead-Ran: no\r\n"
                b"Content-Length: 2\r\n\r\nno"
            )

    server = await raw_server(script)
    for _ in range(3):
        seen = await fail(forwarder, server.description, build_request("GET"))
        assert seen == (ResultCode.BACKEND_REFUSED, Ran.NO)
    assert server.connections == 1


async def test_a_status_503_alone_does_not_say_not_run(forwarder, sample):
    sample.faults.status = 503
    answer = await forwarder.forward(sample.describe_server(), build_request("POST"))
    assert answer.status == 503
    assert len(sample.execution_log) == 1


async def test_no_connection_is_not_run(forwarder):
    seen = await fail(forwarder, describe(1), build_request("POST"))
    assert seen == (ResultCode.CONNECT_FAILED, Ran.NO)


async def test_a_full_pool_is_not_run(sample):
    forwarder = Forwarder(
        CLOCK, ForwarderSettings(single_use_connections=1, connect_timeout_ms=20)
    )
    await forwarder.start()
    sample.faults.gate = asyncio.Event()
    server = sample.describe_server()
    first = asyncio.create_task(forwarder.forward(server, build_request("POST")))
    await sample.wait_running(1)
    seen = await fail(forwarder, server, build_request("POST"))
    assert seen == (ResultCode.CONNECT_FAILED, Ran.NO)
    sample.faults.gate.set()
    assert (await first).status == 200
    assert len(sample.execution_log) == 1
    await forwarder.close()


async def test_the_deadline_cancels_the_work_of_the_server(timed_forwarder, sample):
    sample.faults.gate = asyncio.Event()
    request = build_request("POST", deadline_ms=100)
    caller = asyncio.create_task(
        fail(timed_forwarder, sample.describe_server(), request)
    )
    await sample.wait_running(1)
    await timed_forwarder.clock.advance_ms(100)
    assert await caller == (ResultCode.DEADLINE_EXPIRED, Ran.UNKNOWN)
    await sample.wait_running(0)
    assert sample.execution_log[0].end is ExecutionEnd.CANCELLED


async def test_a_deadline_that_has_passed_sends_nothing(forwarder, sample):
    request = build_request("POST", deadline_ms=CLOCK.now_ms())
    seen = await fail(forwarder, sample.describe_server(), request)
    assert seen == (ResultCode.DEADLINE_TOO_SHORT, Ran.NO)
    assert sample.open_connections == 0


async def test_a_process_that_stood_still_sends_nothing_late(timed_forwarder, sample):
    request = build_request("POST", deadline_ms=100)
    server = sample.describe_server()
    caller = asyncio.create_task(fail(timed_forwarder, server, request))
    await asyncio.sleep(0)
    timed_forwarder.clock._now_ms = 100  # No timer has fired yet.
    assert await caller == (ResultCode.DEADLINE_TOO_SHORT, Ran.NO)
    assert sample.execution_log == []


@pytest.mark.parametrize("end", ["deadline", "cancelled"])
async def test_the_rest_of_an_abandoned_body_is_not_sent(
    timed_forwarder, raw_server, end
):
    begun, over, received = asyncio.Event(), asyncio.Event(), bytearray()

    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begun.set()
        await over.wait()
        while chunk := await reader.read(1_000_000):
            received.extend(chunk)

    server = await raw_server(script)
    body = bytes(32_000_000)
    request = build_request("POST", body=body, deadline_ms=100)
    caller = asyncio.create_task(timed_forwarder.forward(server.description, request))
    await begun.wait()
    if end == "deadline":
        await timed_forwarder.clock.advance_ms(100)
    else:
        caller.cancel()
    await asyncio.wait({caller})
    over.set()
    await server.closed.wait()
    assert len(received) < len(body)


async def test_a_caller_who_leaves_frees_the_slot(forwarder, sample):
    sample.faults.gate = asyncio.Event()
    caller = asyncio.create_task(
        forwarder.forward(sample.describe_server(), build_request("POST"))
    )
    await sample.wait_running(1)
    caller.cancel()
    await sample.wait_running(0)
    assert sample.execution_log[0].end is ExecutionEnd.CANCELLED


async def test_an_answer_that_comes_late_meets_no_other_request(
    timed_forwarder, raw_server
):
    begun, release = asyncio.Event(), asyncio.Event()

    async def script(server, reader, writer):
        number = server.connections
        await server.read_request(reader)
        begun.set()
        if number == 1:
            await release.wait()
        body = f"answer {number}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + body)
        await writer.drain()
        await reader.read()

    server = await raw_server(script)
    late = build_request("GET", deadline_ms=50)
    caller = asyncio.create_task(fail(timed_forwarder, server.description, late))
    await begun.wait()
    await timed_forwarder.clock.advance_ms(50)
    assert await caller == (ResultCode.DEADLINE_EXPIRED, Ran.UNKNOWN)
    release.set()
    answer = await timed_forwarder.forward(server.description, build_request("GET"))
    assert answer.body == b"answer 2"


async def test_bytes_that_nobody_asked_for_answer_no_request(
    forwarder, raw_server, sample
):
    idle, sent = asyncio.Event(), asyncio.Event()

    async def script(server, reader, writer):
        number = server.connections
        while True:
            await server.read_request(reader)
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer {number}"
            writer.write(answer.encode())
            await writer.drain()
            await idle.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus")
            await writer.drain()
            sent.set()

    server = await raw_server(script)
    first = await forwarder.forward(server.description, build_request("GET"))
    idle.set()
    await sent.wait()
    # A round trip elsewhere: by its end the surplus bytes have been received.
    await forwarder.forward(sample.describe_server(), build_request("GET"))
    second = await forwarder.forward(server.description, build_request("GET"))
    assert (first.body, second.body) == (b"answer 1", b"answer 2")


async def test_a_request_that_is_not_repeatable_gets_its_own_connection(
    forwarder, sample
):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    await forwarder.forward(server, build_request("GET"))
    assert sample.open_connections == 1
    sample.faults.gate = asyncio.Event()
    orders = [
        asyncio.create_task(forwarder.forward(server, build_request("POST")))
        for _ in range(2)
    ]
    await sample.wait_running(2)
    assert sample.open_connections == 3
    sample.faults.gate.set()
    await asyncio.gather(*orders)


async def test_an_answer_before_the_body_was_read_ends_the_sending(raw_server):
    over = asyncio.Event()

    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
        await writer.drain()
        await over.wait()

    server = await raw_server(script)
    forwarder = Forwarder(CLOCK, ForwarderSettings(single_use_connections=1))
    await forwarder.start()
    request = build_request("POST", body=bytes(8_000_000))
    for _ in range(2):
        answer = await forwarder.forward(server.description, request)
        assert (answer.status, answer.body) == (413, b"no")
    over.set()
    await forwarder.close()


async def test_a_body_cut_off_on_its_way_may_have_run(forwarder, raw_server):
    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    server = await raw_server(script)
    request = build_request("POST", body=bytes(8_000_000))
    seen = await fail(forwarder, server.description, request)
    assert seen == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    assert server.connections == 1


@pytest.mark.parametrize("path", ["prices", "/a b", "/a\r\nX: 1", "/a#b", ""])
async def test_a_bad_path_is_refused(forwarder, sample, path):
    request = build_request("POST", path_qs=path)
    seen = await fail(forwarder, sample.describe_server(), request)
    assert seen == (ResultCode.BAD_REQUEST, Ran.NO)


@pytest.mark.parametrize("path", ["/a/../b?x=%2F&y=a+b", "/%C3%A9//x", "/a%20b;c=1"])
async def test_a_path_passes_unchanged(forwarder, raw_server, path):
    server = await raw_server(answering(b"HTTP/1.1 204 No Content\r\n\r\n"))
    await forwarder.forward(server.description, build_request(path_qs=path))
    assert server.requests[0][0].startswith(f"GET {path} HTTP/1.1\r\n")


async def test_the_forwarder_starts_again_after_a_server_restart(forwarder, sample):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    again = SampleServer(sample.settings, CLOCK)
    await sample.close()
    again.bound_port = sample.bound_port
    await again.start()
    answer = await forwarder.forward(again.describe_server(), build_request("GET"))
    assert answer.status == 200
    await again.close()


async def test_a_redirect_is_an_answer_like_any_other(forwarder, raw_server):
    server = await raw_server(
        answering(
            b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
    )
    answer = await forwarder.forward(server.description, build_request("POST"))
    assert (answer.status, answer.headers["Location"]) == (307, "/elsewhere")
    assert len(server.requests) == 1


async def test_the_remaining_time_passes_on(forwarder, raw_server):
    server = await raw_server(answering(b"HTTP/1.1 204 No Content\r\n\r\n"))
    request = build_request(deadline_ms=CLOCK.now_ms() + 9_000)
    await forwarder.forward(server.description, request)
    head = server.requests[0][0].lower()
    [sent_ms] = re.findall(r"bulrushlead-timeout-ms: (\d+)\r\n", head)
    assert 0 < int(sent_ms) <= 9_000
