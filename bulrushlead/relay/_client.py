"""Sends requests to the hosts that carry them."""

import itertools

import attrs

from bulrushlead.clock import Clock
from bulrushlead.fleet import HostRecord
from bulrushlead.http1 import (
    CONNECT_TIMEOUT_MS,
    Answer,
    ConnectionPool,
    ExchangeError,
    ExchangeFault,
    Request,
    forwardable_headers,
    render_request,
)
from bulrushlead.relay._carriers import CarrierTable
from bulrushlead.relay._messages import (
    EXCHANGE_HEADER,
    ORDER_HEADER,
    VERDICT_HEADER,
    RelayOrder,
    RelayVerdict,
    encode_order,
    without_relay_headers,
)

MAX_IDLE_MS = 8_000  # below the time after which the other host closes connections
_SENT_VERDICTS = {
    verdict.value.encode(): verdict
    for verdict in (RelayVerdict.DECLINED, RelayVerdict.REFUSED, RelayVerdict.ENDED)
}


@attrs.frozen(eq=False)
class RelayReply:
    """Answer of a carrying host.

    Parameters
    ----------
    verdict : RelayVerdict
        What became of the request.
    answer : Answer or None
        Answer for the caller; None if there is none.
    detail : str
        Cause of a failure, for the log line.
    """

    verdict: RelayVerdict
    answer: Answer | None = None
    detail: str = ""


class RelayClient:
    """Exchanges with carrying hosts.

    Connections are opened only when there is something to carry.

    Parameters
    ----------
    clock : Clock
        Source of time.
    carriers : CarrierTable
        Learns which hosts could not be reached.
    """

    def __init__(self, clock: Clock, carriers: CarrierTable):
        self.clock = clock
        self.carriers = carriers
        self._pool = ConnectionPool(clock, EXCHANGE_HEADER)
        self._exchange_ids = itertools.count(1)

    def close_idle(self) -> None:
        """Close the idle connections, as there is nothing to carry any more."""
        self._pool.close()

    async def exchange(
        self, host: HostRecord, request: Request, order: RelayOrder
    ) -> RelayReply:
        """Ask a host to carry a request, and return its reply.

        A cancellation closes the connection, so that the carrying host notices.
        """
        address = host.peer_address
        exchange_id = b"%d" % next(self._exchange_ids)
        connection = self._pool.acquire_idle(address, MAX_IDLE_MS, exchange_id)
        deadline_ms = self.clock.now_ms() + order.remaining_ms
        if connection is None:
            try:
                connection = await self._pool.connect(
                    address, min(CONNECT_TIMEOUT_MS, order.remaining_ms)
                )
            except ExchangeError as error:
                self.carriers.record_failure(host.host_id)
                return RelayReply(RelayVerdict.DECLINED, detail=error.detail)
        remaining_ms = deadline_ms - self.clock.now_ms()
        order = attrs.evolve(order, remaining_ms=remaining_ms)
        headers = without_relay_headers(forwardable_headers(request.headers))
        headers.append((EXCHANGE_HEADER, exchange_id))
        headers.append((ORDER_HEADER, encode_order(order)))
        data = render_request(request.method, request.target, headers, request.body)
        request.sent_on = True
        try:
            answer = await self.clock.wait_for(
                connection.exchange(data, exchange_id, request.method == b"HEAD"),
                remaining_ms,
            )
        except ExchangeError as error:
            if error.fault is ExchangeFault.NOT_SENT:
                return RelayReply(RelayVerdict.DECLINED, detail=error.detail)
            self.carriers.record_failure(host.host_id)
            return RelayReply(RelayVerdict.LOST, detail=str(error))
        except TimeoutError:
            connection.close()
            return RelayReply(RelayVerdict.OVERDUE)
        self._pool.release(address, connection)
        verdict = _SENT_VERDICTS.get(answer.header(VERDICT_HEADER) or b"")
        if verdict is None:
            return RelayReply(RelayVerdict.LOST, detail="answer without a verdict")
        headers = without_relay_headers(forwardable_headers(answer.headers))
        return RelayReply(
            verdict, Answer(answer.status, headers, answer.body, answer.reason)
        )
