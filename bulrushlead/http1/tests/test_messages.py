"""Header fields that are forwarded, and rendering of answers."""

from bulrushlead.http1 import Answer, forwardable_headers, render_answer


def test_hop_by_hop_fields_are_not_forwarded():
    headers = [
        (b"connection", b"x-hop, close"),
        (b"x-hop", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"transfer-encoding", b"chunked"),
        (b"Content-Length", b"3"),
        (b"x-kept", b"1"),
    ]
    assert forwardable_headers(headers) == [(b"x-kept", b"1")]


def test_an_answer_without_content_has_no_length():
    assert b"content-length" not in render_answer(Answer(204), keep_alive=True)


def test_the_reason_phrase_of_a_server_is_forwarded():
    rendered = render_answer(Answer(200, reason=b"Fine"), keep_alive=True)
    assert rendered.startswith(b"HTTP/1.1 200 Fine\r\n")
