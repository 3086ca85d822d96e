"""Estimates of message sizes on links between regions."""

from collections.abc import Mapping

from bulrushlead.declaration import Service
from bulrushlead.forwarding import ForwardAnswer

HEADER_SEPARATOR_BYTES = 4
START_LINE_BYTES = 256
DECAY_PER_ANSWER = 0.99


class AnswerSizes:
    """Largest answer to expect from each service.

    Notes
    -----
    A larger answer raises the estimate at once; it falls slowly, so that the
    bytes reserved on a link stay above what most answers need.
    """

    def __init__(self):
        self._recent_bytes: dict[str, float] = {}

    def expected(self, service: Service) -> int:
        """Return the bytes to reserve for an answer of a service."""
        recent = self._recent_bytes.get(service.name, 0.0)
        return max(service.expected_answer_bytes, int(recent))

    def note_answer(self, service: Service, answer: ForwardAnswer) -> int:
        """Learn from an answer and return its size in bytes."""
        size = _headers_bytes(answer.headers) + len(answer.body)
        recent = self._recent_bytes.get(service.name, 0.0) * DECAY_PER_ANSWER
        self._recent_bytes[service.name] = max(recent, float(size))
        return size

    def request_bytes(self, headers: Mapping[str, str], body: bytes) -> int:
        """Return the size of a request in bytes."""
        return _headers_bytes(headers) + len(body)


def _headers_bytes(headers: Mapping[str, str]) -> int:
    return START_LINE_BYTES + sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES
        for name, value in headers.items()
    )
