"""Carries the requests of hosts that reach no backend server."""

from collections.abc import Awaitable, Callable

from bulrushlead.http1 import Answer, Request
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.relay._messages import (
    EXCHANGE_HEADER,
    ORDER_HEADER,
    VERDICT_HEADER,
    RelayOrder,
    RelayVerdict,
    decode_order,
    without_relay_headers,
)
from bulrushlead.results import BulrushleadError

# Bounds the share of a small host that serves callers of others; its own callers are
# not bounded by it.
MAX_CARRIED_REQUESTS = 200

Carry = Callable[[Request, RelayOrder], Awaitable[tuple[Answer, RelayVerdict]]]


class RelayService:
    """Handles requests that other hosts received.

    Parameters
    ----------
    carry : callable
        Coroutine function from a request and its order to the answer and the verdict.
    meters : CompactMeters
        Metrics in which requests are counted.

    Attributes
    ----------
    in_progress : int
        Requests that are being carried.
    """

    def __init__(self, carry: Carry, meters: CompactMeters):
        self.carry = carry
        self.meters = meters
        self.in_progress = 0
        self._log = EventLogger("relay")

    async def answer(self, request: Request) -> Answer:
        """Return the answer to another host, with its verdict."""
        exchange_id = request.header(EXCHANGE_HEADER)
        answer, verdict = await self._carry_or_decline(request)
        self.meters.count(Metric.CARRIED_REQUESTS_TOTAL, verdict=verdict.value)
        headers = without_relay_headers(answer.headers)
        headers.append((VERDICT_HEADER, verdict.value.encode()))
        if exchange_id is not None:
            headers.append((EXCHANGE_HEADER, exchange_id))
        return Answer(answer.status, headers, answer.body, answer.reason)

    async def _carry_or_decline(self, request: Request) -> tuple[Answer, RelayVerdict]:
        try:
            order = decode_order(request.header(ORDER_HEADER))
        except BulrushleadError as error:
            self._log.write(Event.MESSAGE_REFUSED, reason=str(error))
            return Answer(400), RelayVerdict.DECLINED
        if self.in_progress >= MAX_CARRIED_REQUESTS:
            return Answer(503), RelayVerdict.DECLINED
        request.headers = without_relay_headers(request.headers)
        self.in_progress += 1
        try:
            return await self.carry(request, order)
        finally:
            self.in_progress -= 1
