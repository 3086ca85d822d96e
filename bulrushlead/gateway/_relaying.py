"""Requests that this host passes on to another host, and those that it carries."""

import asyncio

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher, Outcome, Work
from bulrushlead.gateway._request_state import (
    MIN_ATTEMPT_MS,
    AttemptResult,
    RequestState,
)
from bulrushlead.http1 import Answer, Request
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.organisations import Caller
from bulrushlead.relay import (
    CarrierTable,
    Connectivity,
    RelayClient,
    RelayOrder,
    RelayReply,
    RelayVerdict,
)
from bulrushlead.traffic import Organisation, Route

MAX_CARRIERS = 3  # hosts that may decline a request before it is refused
_OUTCOMES = {
    RelayVerdict.REFUSED: Outcome.REFUSED,
    RelayVerdict.ENDED: Outcome.ANSWERED,
    RelayVerdict.LOST: Outcome.LOST,
    RelayVerdict.OVERDUE: Outcome.OVERDUE,
}


class HostRelay:
    """Passes requests on to hosts that reach servers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Its retry budget counts the requests that this host sends itself.
    connectivity : Connectivity
        Whether this host reaches servers.
    carriers : CarrierTable
        Hosts that may carry requests.
    client : RelayClient
        Exchanges with them.
    meters : CompactMeters
        Metrics in which requests are counted.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        connectivity: Connectivity,
        carriers: CarrierTable,
        client: RelayClient,
        meters: CompactMeters,
    ):
        self.clock = clock
        self.dispatcher = dispatcher
        self.connectivity = connectivity
        self.carriers = carriers
        self.client = client
        self.meters = meters
        self._finishing: set[asyncio.Task] = set()

    async def send(
        self, state: RequestState, work: Work, sent: int, preferred: str = ""
    ) -> AttemptResult | None:
        """Let another host send a request.

        Parameters
        ----------
        state : RequestState
            State of the request; it is passed on once at most, and never if another
            host passed it to this one.
        work : Work
            The request to place.
        sent : int
            Servers that have got it already.
        preferred : str
            Host to ask first.

        Returns
        -------
        AttemptResult or None
            The final result, or None if no host has accepted the request.
        """
        if state.may_not_relay:
            return None
        state.may_not_relay = True
        task = asyncio.ensure_future(self._try_hosts(state, work, sent, preferred))
        if state.route.idempotent:
            return await task
        # A non-idempotent request continues even if its caller disconnects.
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            state.caller_disconnected = True
            raise

    async def _try_hosts(
        self, state: RequestState, work: Work, sent: int, preferred: str
    ) -> AttemptResult | None:
        declined: set[str] = set()
        while len(declined) < MAX_CARRIERS and not state.caller_disconnected:
            remaining_ms = state.deadline_ms - self.clock.now_ms()
            if remaining_ms < MIN_ATTEMPT_MS:
                return None
            host = self.carriers.choose(work.allowed_regions, declined, preferred)
            if host is None:
                return None
            started_ms = self.clock.now_ms()
            order = self._order(state, work, sent, remaining_ms)
            reply = await self.client.exchange(host, state.request, order)
            took_ms = self.clock.now_ms() - started_ms
            self.meters.count(
                Metric.RELAYED_REQUESTS_TOTAL, verdict=reply.verdict.value
            )
            state.attempts.append(
                f"via {host.host_id} took={took_ms:.0f} {reply.verdict.value} "
                f"{reply.detail}".rstrip()
            )
            if reply.verdict is RelayVerdict.DECLINED:
                declined.add(host.host_id)
                continue
            if not sent:
                # The carrying host counts it, since it sends the attempts.
                self.dispatcher.budget.withdraw_request(work.service)
            return self._result(state, reply, host.host_id)
        return None

    def _order(
        self, state: RequestState, work: Work, sent: int, remaining_ms: float
    ) -> RelayOrder:
        return RelayOrder(
            host_id=self.carriers.host_id,
            region=self.carriers.region,
            service=work.service,
            route=work.route,
            key=work.key,
            sticky=work.sticky,
            urgent=work.urgent,
            idempotent=state.route.idempotent,
            target_latency_ms=work.target_latency_ms,
            remaining_ms=remaining_ms,
            max_attempts=state.route.max_attempts,
            previous_attempts=sent,
            excluded=tuple(state.sent_servers),
            allowed_regions=work.allowed_regions,
            organisation=state.caller.name,
            credential=b"" if state.is_counted else state.caller.digest,
            route_digest=work.route_digest,
        )

    def _result(
        self, state: RequestState, reply: RelayReply, host_id: str
    ) -> AttemptResult:
        outcome = _OUTCOMES[reply.verdict]
        if reply.verdict is RelayVerdict.REFUSED and not state.may_have_run:
            state.refusal = f"refused by {host_id}, which carried the request"
            return AttemptResult(outcome, reply.answer, final=True)
        answer = reply.answer
        if reply.verdict is RelayVerdict.OVERDUE:
            answer = Answer(504)
        elif reply.verdict is not RelayVerdict.ENDED:
            answer = Answer(502)
        state.may_have_run = True
        return AttemptResult(outcome, answer, final=True, may_have_run=True)


def carried_state(request: Request, order: RelayOrder, caller: Caller) -> RequestState:
    """Return the state of a request that another host passed on.

    Parameters
    ----------
    request : Request
        The request.
    order : RelayOrder
        How to handle it.
    caller : Caller
        Who sent it, if this host had to find out; else the order names it.
    """
    if caller.organisation is None and order.organisation:
        caller = Caller(Organisation(order.organisation))
    route = Route(
        order.route,
        host="",
        path_prefix="",
        shares=(),
        idempotent=order.idempotent,
        timeout_ms=order.remaining_ms,
        target_latency_ms=order.target_latency_ms,
        max_attempts=order.max_attempts,
        sticky=order.sticky,
        allowed_regions=order.allowed_regions,
    )
    return RequestState(
        request,
        request_id=b"",
        route=route,
        deadline_ms=request.received_ms + order.remaining_ms,
        sent_servers=list(order.excluded),
        may_not_relay=True,
        received_by=order.host_id,
        caller=caller,
    )


def carried_work(order: RelayOrder) -> Work:
    """Return the work of a request that another host passed on."""
    return Work(
        service=order.service,
        route=order.route,
        key=order.key,
        sticky=order.sticky,
        target_latency_ms=order.target_latency_ms,
        remaining_ms=order.remaining_ms,
        urgent=order.urgent,
        allowed_regions=order.allowed_regions,
        excluded=frozenset(order.excluded),
        region=order.region,
        route_digest=order.route_digest,
    )


def carried_verdict(state: RequestState) -> RelayVerdict:
    """Return what to tell the host that passed a request on."""
    if state.may_have_run:
        return RelayVerdict.ENDED
    return RelayVerdict.DECLINED if state.may_be_elsewhere else RelayVerdict.REFUSED
