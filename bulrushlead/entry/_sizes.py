"""Estimates of message sizes on links between regions."""

from collections.abc import Mapping

from bulrushlead.declaration import Service
from bulrushlead.forwarding import ForwardAnswer

HEADER_SEPARATOR_BYTES = 4
START_LINE_BYTES = 256  # allowance for the request or status line
DECAY_PER_ANSWER = 0.99  # factor of the peak for each further answer


class AnswerSizes:
    """Estimate of the largest answers of each service.

    Notes
    -----
    A larger answer raises the estimate at once. The estimate decays slowly, so
    that the bytes reserved on a link suffice for most answers.
    """

    def __init__(self):
        self._peak_bytes: dict[str, float] = {}

    def expected_bytes(self, service: Service) -> int:
        """Return the number of bytes to reserve for an answer of a service."""
        peak_bytes = self._peak_bytes.get(service.name, 0.0)
        return max(service.expected_answer_bytes, int(peak_bytes))

    def record_answer(self, service: Service, answer: ForwardAnswer) -> int:
        """Update the estimate with an answer and return the answer's size in bytes."""
        size = _headers_bytes(answer.headers) + len(answer.body)
        peak_bytes = self._peak_bytes.get(service.name, 0.0) * DECAY_PER_ANSWER
        self._peak_bytes[service.name] = max(peak_bytes, float(size))
        return size

    def request_bytes(self, headers: Mapping[str, str], body: bytes) -> int:
        """Return the size of a request in bytes."""
        return _headers_bytes(headers) + len(body)


def _headers_bytes(headers: Mapping[str, str]) -> int:
    return START_LINE_BYTES + sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES
        for name, value in headers.items()
    )
