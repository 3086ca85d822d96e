import asyncio

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.http1 import Answer, HttpServer, Request
from bulrushlead.quarantine import request_fingerprint

HEADERS = [(b"host", b"h"), (b"request-id", b"1"), (b"deadline-ms", b"900")]


def fingerprint(method=b"POST", target=b"/a/x", headers=HEADERS, body=b"body"):
    return request_fingerprint(Request(method, target, list(headers), body))


@pytest.mark.parametrize(
    "headers",
    [
        [(b"host", b"h"), (b"request-id", b"2"), (b"deadline-ms", b"700")],
        [(b"host", b"H"), (b"transfer-encoding", b"chunked")],
    ],
    ids=["identifier-and-deadline", "chunked"],
)
def test_a_request_that_is_sent_again_keeps_its_fingerprint(headers):
    """Guards against counting each repeat as another request."""
    assert fingerprint(headers=headers) == fingerprint()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"PUT"},
        {"target": b"/a/y"},
        {"target": b"/a/x?q"},
        {"body": b"other"},
        {"body": b""},
        {"headers": [(b"host", b"other")]},
        {"headers": [*HEADERS, (b"authorization", b"Bearer other")]},
        {"target": b"/a/", "body": b"xbody"},
    ],
)
def test_other_requests_have_other_fingerprints(changes):
    """Guards against refusing sound requests that resemble a bad one."""
    assert fingerprint(**changes) != fingerprint()


async def test_a_body_that_arrives_in_chunks_keeps_its_fingerprint():
    """Guards against counting one body with and without a length as two."""
    received = []

    async def record(request):
        received.append(request)
        return Answer(200)

    server = HttpServer("127.0.0.1", 0, record, MonotonicClock())
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    head = b"POST /a/x HTTP/1.1\r\nhost: h\r\n"
    writer.write(head + b"content-length: 4\r\n\r\nbody")
    writer.write(head + b"transfer-encoding: chunked\r\n\r\n2\r\nbo\r\n")
    await writer.drain()
    await asyncio.sleep(0.01)
    writer.write(b"2\r\ndy\r\n0\r\n\r\n")
    for _ in range(2):
        await reader.readuntil(b"\r\n\r\n")
    await server.close()
    writer.close()
    assert {request_fingerprint(request) for request in received} == {fingerprint()}


def test_a_fingerprint_does_not_show_the_body():
    assert "secret" not in fingerprint(body=b"secret")


def test_keys_of_one_organisation_give_the_same_fingerprint():
    """Guards against a request that counts as new after its caller changes the key."""

    def of(organisation, credentials=b""):
        headers = [*HEADERS, (b"authorization", credentials)]
        request = Request(b"POST", b"/a/x", headers, b"body")
        return request_fingerprint(request, organisation)

    assert of("labs", b"one") == of("labs", b"two")
    assert of("labs") != of("mills")
    assert of("") != of("labs")
    # A caller must not be able to look like an organisation.
    assert of("labs") != of("", b"labs")
