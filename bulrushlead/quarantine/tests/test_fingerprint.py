import pytest

from bulrushlead.http1 import Request
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


def test_a_fingerprint_does_not_show_the_body():
    assert "secret" not in fingerprint(body=b"secret")
