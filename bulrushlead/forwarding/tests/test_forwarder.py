"""Tests of `Forwarder` against real sockets, on both event loops.

They guard against incomplete answers that are forwarded as complete, requests that
aiohttp sends twice, requests sent after their deadline, answers that reach another
request, and requests reported as not run although they may have run.
"""

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
    build_backend_server,
    build_request,
)
from bulrushlead.results import Ran, ResultCode

EVERY_METHOD = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]


async def catch_failure(forwarder, server, request):
    with pytest.raises(ForwardError) as caught:
        await forwarder.forward(server, request)
    return caught.value.code, caught.value.ran


def answer_with(text):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(text)
        await writer.drain()

    return script


async def test_a_complete_answer_is_forwarded(forwarder, sample):
    request = build_request("POST", body=b"12 bales", idempotency_key="k1")
    answer = await forwarder.forward(sample.describe_server(), request)
    execution = sample.execution_log[0]
    assert answer.status == 200
    assert json.loads(answer.body)["execution"] == execution.sequence
    assert (execution.method, execution.path) == ("POST", "/prices?kind=barley")
    assert (execution.key, execution.body) == ("k1", b"12 bales")


async def test_hop_by_hop_headers_are_not_forwarded(forwarder, scripted_server):
    server = await scripted_server(
        answer_with(
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
    answer = await forwarder.forward(
        server.backend_server, build_request(headers=headers)
    )
    assert list(answer.headers.items()) == [
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]
    sent = server.requests[0][0].lower()
    assert "accept: text/csv" in sent
    for absent in ("x-mine", "expect", "smuggled", "99999999", "host: entry", "cookie"):
        assert absent not in sent


async def test_cookies_of_an_answer_are_not_sent_with_later_requests(
    forwarder, scripted_server
):
    server = await scripted_server(
        answer_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSet-Cookie: a=1\r\n\r\n")
    )
    # aiohttp stores no cookies of servers that are addressed by IP address.
    named_server = attrs.evolve(
        server.backend_server, address=f"localhost:{server.port}"
    )
    for _ in range(2):
        await forwarder.forward(named_server, build_request("POST"))
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
async def test_an_incomplete_answer_is_an_error(
    forwarder, scripted_server, method, text, code
):
    server = await scripted_server(answer_with(text))
    failure = await catch_failure(
        forwarder, server.backend_server, build_request(method)
    )
    assert failure == (ResultCode[code], Ran.UNKNOWN)
    assert len(server.requests) == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_each_status_code_that_is_invalid_is_an_error(
    forwarder, scripted_server, method
):
    """Guards against passing on answers with status 600 and above."""

    async def script(server, reader, writer):
        code = (await server.read_request(reader)).partition("code=")[2][:3]
        text = f"HTTP/1.1 {code} Odd\r\nContent-Length: 2\r\n\r\nok"
        writer.write(text.encode())

    server = await scripted_server(script)
    for code in (*range(100), *range(600, 1_000)):
        request = build_request(method, path_qs=f"/?code={code:03d}")
        failure = await catch_failure(forwarder, server.backend_server, request)
        assert failure == (ResultCode.ANSWER_MALFORMED, Ran.UNKNOWN)


@pytest.mark.parametrize("method", EVERY_METHOD)
@pytest.mark.parametrize("point", [ClosePoint.BEFORE_RUNNING, ClosePoint.AFTER_RUNNING])
async def test_a_broken_connection_causes_no_resend(forwarder, sample, method, point):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    sample.faults.close_at = point
    failure = await catch_failure(forwarder, server, build_request(method))
    assert failure == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    runs = 1 if point is ClosePoint.BEFORE_RUNNING else 2
    assert len(sample.execution_log) == runs


async def test_a_refusal_by_the_server_means_not_run(forwarder, sample):
    sample.faults.refuse = True
    for method in ("GET", "POST"):
        failure = await catch_failure(
            forwarder, sample.describe_server(), build_request(method)
        )
        assert failure == (ResultCode.BACKEND_REFUSED, Ran.NO)
    assert sample.execution_log == []


async def test_the_connection_of_a_refusal_is_reused(forwarder, scripted_server):
    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            writer.write(
                b"HTTP/1.1 503 Busy\r\nBulrushlead-Ran: no\r\n"
                b"Content-Length: 2\r\n\r\nno"
            )

    server = await scripted_server(script)
    for _ in range(3):
        failure = await catch_failure(
            forwarder, server.backend_server, build_request("GET")
        )
        assert failure == (ResultCode.BACKEND_REFUSED, Ran.NO)
    assert server.connections == 1


async def test_status_503_alone_does_not_mean_not_run(forwarder, sample):
    sample.faults.status = 503
    answer = await forwarder.forward(sample.describe_server(), build_request("POST"))
    assert answer.status == 503
    assert len(sample.execution_log) == 1


async def test_a_failed_connection_means_not_run(forwarder):
    failure = await catch_failure(
        forwarder, build_backend_server(1), build_request("POST")
    )
    assert failure == (ResultCode.CONNECT_FAILED, Ran.NO)


async def test_a_full_pool_means_not_run(sample):
    forwarder = Forwarder(
        CLOCK, ForwarderSettings(single_use_connections=1, connect_timeout_ms=20)
    )
    await forwarder.start()
    sample.faults.gate = asyncio.Event()
    server = sample.describe_server()
    first = asyncio.create_task(forwarder.forward(server, build_request("POST")))
    await sample.wait_running(1)
    failure = await catch_failure(forwarder, server, build_request("POST"))
    assert failure == (ResultCode.CONNECT_FAILED, Ran.NO)
    sample.faults.gate.set()
    assert (await first).status == 200
    assert len(sample.execution_log) == 1
    await forwarder.close()


async def test_the_deadline_cancels_the_request_on_the_server(
    manual_clock_forwarder, sample
):
    sample.faults.gate = asyncio.Event()
    request = build_request("POST", deadline_ms=100)
    caller = asyncio.create_task(
        catch_failure(manual_clock_forwarder, sample.describe_server(), request)
    )
    await sample.wait_running(1)
    await manual_clock_forwarder.clock.advance_ms(100)
    assert await caller == (ResultCode.DEADLINE_EXPIRED, Ran.UNKNOWN)
    await sample.wait_running(0)
    assert sample.execution_log[0].end is ExecutionEnd.CANCELLED


async def test_nothing_is_sent_after_the_deadline(forwarder, sample):
    request = build_request("POST", deadline_ms=CLOCK.now_ms())
    failure = await catch_failure(forwarder, sample.describe_server(), request)
    assert failure == (ResultCode.DEADLINE_TOO_SHORT, Ran.NO)
    assert sample.open_connections == 0


async def test_nothing_is_sent_if_the_process_paused_past_the_deadline(
    manual_clock_forwarder, sample
):
    request = build_request("POST", deadline_ms=100)
    server = sample.describe_server()
    caller = asyncio.create_task(catch_failure(manual_clock_forwarder, server, request))
    await asyncio.sleep(0)
    # Reaches the deadline without firing its timer, like a paused process.
    manual_clock_forwarder.clock._now_ms = 100
    assert await caller == (ResultCode.DEADLINE_TOO_SHORT, Ran.NO)
    assert sample.execution_log == []


@pytest.mark.parametrize("end", ["deadline", "cancelled"])
async def test_the_buffered_rest_of_an_abandoned_body_is_not_sent(
    manual_clock_forwarder, scripted_server, end
):
    request_started, resume, received = asyncio.Event(), asyncio.Event(), bytearray()

    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        request_started.set()
        await resume.wait()
        while chunk := await reader.read(1_000_000):
            received.extend(chunk)

    server = await scripted_server(script)
    body = bytes(32_000_000)
    request = build_request("POST", body=body, deadline_ms=100)
    caller = asyncio.create_task(
        manual_clock_forwarder.forward(server.backend_server, request)
    )
    await request_started.wait()
    if end == "deadline":
        await manual_clock_forwarder.clock.advance_ms(100)
    else:
        caller.cancel()
    await asyncio.wait({caller})
    resume.set()
    await server.closed.wait()
    assert len(received) < len(body)


async def test_cancellation_cancels_the_request_on_the_server(forwarder, sample):
    sample.faults.gate = asyncio.Event()
    caller = asyncio.create_task(
        forwarder.forward(sample.describe_server(), build_request("POST"))
    )
    await sample.wait_running(1)
    caller.cancel()
    await sample.wait_running(0)
    assert sample.execution_log[0].end is ExecutionEnd.CANCELLED


async def test_a_late_answer_is_not_read_by_another_request(
    manual_clock_forwarder, scripted_server
):
    request_started, release = asyncio.Event(), asyncio.Event()

    async def script(server, reader, writer):
        number = server.connections
        await server.read_request(reader)
        request_started.set()
        if number == 1:
            await release.wait()
        body = f"answer {number}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + body)
        await writer.drain()
        await reader.read()

    server = await scripted_server(script)
    late_request = build_request("GET", deadline_ms=50)
    caller = asyncio.create_task(
        catch_failure(manual_clock_forwarder, server.backend_server, late_request)
    )
    await request_started.wait()
    await manual_clock_forwarder.clock.advance_ms(50)
    assert await caller == (ResultCode.DEADLINE_EXPIRED, Ran.UNKNOWN)
    release.set()
    answer = await manual_clock_forwarder.forward(
        server.backend_server, build_request("GET")
    )
    assert answer.body == b"answer 2"


async def test_unsolicited_bytes_answer_no_request(forwarder, scripted_server, sample):
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

    server = await scripted_server(script)
    first = await forwarder.forward(server.backend_server, build_request("GET"))
    idle.set()
    await sent.wait()
    # The surplus bytes arrive during this round trip to another server.
    await forwarder.forward(sample.describe_server(), build_request("GET"))
    second = await forwarder.forward(server.backend_server, build_request("GET"))
    assert (first.body, second.body) == (b"answer 1", b"answer 2")


async def test_an_unsafe_request_uses_its_own_connection(forwarder, sample):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    await forwarder.forward(server, build_request("GET"))
    assert sample.open_connections == 1
    sample.faults.gate = asyncio.Event()
    posts = [
        asyncio.create_task(forwarder.forward(server, build_request("POST")))
        for _ in range(2)
    ]
    await sample.wait_running(2)
    assert sample.open_connections == 3
    sample.faults.gate.set()
    await asyncio.gather(*posts)


async def test_an_early_answer_stops_sending_the_body(scripted_server):
    resume = asyncio.Event()

    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
        await writer.drain()
        await resume.wait()

    server = await scripted_server(script)
    forwarder = Forwarder(CLOCK, ForwarderSettings(single_use_connections=1))
    await forwarder.start()
    request = build_request("POST", body=bytes(8_000_000))
    # The second request needs the only connection, which the first must release.
    for _ in range(2):
        answer = await forwarder.forward(server.backend_server, request)
        assert (answer.status, answer.body) == (413, b"no")
    resume.set()
    await forwarder.close()


async def test_a_request_with_a_partly_sent_body_may_have_run(
    forwarder, scripted_server
):
    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    server = await scripted_server(script)
    request = build_request("POST", body=bytes(8_000_000))
    failure = await catch_failure(forwarder, server.backend_server, request)
    assert failure == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    assert server.connections == 1


@pytest.mark.parametrize("path", ["prices", "/a b", "/a\r\nX: 1", "/a#b", ""])
async def test_an_invalid_path_is_refused(forwarder, sample, path):
    request = build_request("POST", path_qs=path)
    failure = await catch_failure(forwarder, sample.describe_server(), request)
    assert failure == (ResultCode.BAD_REQUEST, Ran.NO)


@pytest.mark.parametrize("path", ["/a/../b?x=%2F&y=a+b", "/%C3%A9//x", "/a%20b;c=1"])
async def test_a_path_is_forwarded_unchanged(forwarder, scripted_server, path):
    server = await scripted_server(answer_with(b"HTTP/1.1 204 No Content\r\n\r\n"))
    await forwarder.forward(server.backend_server, build_request(path_qs=path))
    assert server.requests[0][0].startswith(f"GET {path} HTTP/1.1\r\n")


async def test_the_forwarder_reconnects_after_a_server_restart(forwarder, sample):
    server = sample.describe_server()
    await forwarder.forward(server, build_request("GET"))
    restarted = SampleServer(sample.settings, CLOCK)
    await sample.close()
    restarted.bound_port = sample.bound_port
    await restarted.start()
    answer = await forwarder.forward(restarted.describe_server(), build_request("GET"))
    assert answer.status == 200
    await restarted.close()


async def test_a_redirect_is_not_followed(forwarder, scripted_server):
    server = await scripted_server(
        answer_with(
            b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
    )
    answer = await forwarder.forward(server.backend_server, build_request("POST"))
    assert (answer.status, answer.headers["Location"]) == (307, "/elsewhere")
    assert len(server.requests) == 1


async def test_the_remaining_time_is_forwarded(forwarder, scripted_server):
    server = await scripted_server(answer_with(b"HTTP/1.1 204 No Content\r\n\r\n"))
    request = build_request(deadline_ms=CLOCK.now_ms() + 9_000)
    await forwarder.forward(server.backend_server, request)
    head = server.requests[0][0].lower()
    [sent_ms] = re.findall(r"bulrushlead-timeout-ms: (\d+)\r\n", head)
    assert 0 < int(sent_ms) <= 9_000
