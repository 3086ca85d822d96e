"""Handles one request: route, placement, attempts, answer."""

import math
import random

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher, Outcome, Refusal, Work
from bulrushlead.gateway._active_plan import ActivePlan
from bulrushlead.gateway._attempts import AttemptRunner
from bulrushlead.gateway._caller_gate import NO_REGION_RETRY_AFTER_MS, CallerGate
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._hedging import HedgedAttempts
from bulrushlead.gateway._quarantine_gate import QuarantineGate
from bulrushlead.gateway._refusals import (
    CUT_OFF,
    ENDS_FIRST,
    LOCAL_REFUSALS,
    REFUSED,
    SHED,
    STOPPING,
    not_run_answer,
)
from bulrushlead.gateway._relaying import (
    HostRelay,
    carried_state,
    carried_verdict,
    carried_work,
)
from bulrushlead.gateway._request_log import header_text, write_request_line
from bulrushlead.gateway._request_state import (
    MIN_ATTEMPT_MS,
    RequestState,
    allowed_time_ms,
)
from bulrushlead.http1 import Answer, ConnectionPool, Request
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.organisations import (
    Caller,
    OrganisationSettings,
    common_regions,
)
from bulrushlead.quarantine import CrashObserver
from bulrushlead.relay import Connectivity, RelayOrder, RelayVerdict
from bulrushlead.results import ResultCode
from bulrushlead.traffic import Route, TrafficPlan

# Unreachable servers tolerated per request. They do not count against the route's limit
# of attempts, since nothing was sent to them.
MAX_UNREACHABLE_SERVERS = 4
# The same while this host has had no contact with any server since the request began.
MAX_UNREACHABLE_WITHOUT_CONTACT = 2
# After a power loss of all hosts, the election and the new leader's first reply take
# about this long; a caller that retries earlier would be refused again.
FIRST_PLAN_MS = 1_500
# The same after FIRST_PLAN_MS: one round of the search for a leader.
NO_PLAN_RETRY_AFTER_MS = 400


class RequestForwarder:
    """Forwards callers' requests to backend servers and returns their answers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dialect : Dialect
        Names of header fields.
    dispatcher : Dispatcher
        Selects servers and refuses requests.
    pool : ConnectionPool
        Connections to servers.
    rng : random.Random
        Source of keys for requests with neither a key nor an identifier.
    meters : CompactMeters, optional
        Metrics in which requests are counted.
    connectivity : Connectivity, optional
        Whether this host reaches servers.
    relay : HostRelay, optional
        Passes requests on to other hosts; without one none is passed on.
    organisations : OrganisationSettings, optional
        How long keys may be used without news, and how exactly quotas hold.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        rng: random.Random,
        meters: CompactMeters | None = None,
        connectivity: Connectivity | None = None,
        relay: HostRelay | None = None,
        organisations: OrganisationSettings | None = None,
    ):
        self.clock = clock
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.rng = rng
        self.meters = meters or CompactMeters()
        self.connectivity = connectivity or Connectivity(clock)
        self.relay = relay
        self.observer = CrashObserver(clock)
        self.gate = QuarantineGate(self.observer, dispatcher)
        self.callers = CallerGate(
            clock, dialect, organisations or OrganisationSettings(), rng
        )
        self._runner = AttemptRunner(
            clock,
            dialect,
            dispatcher,
            pool,
            self.meters,
            self.connectivity,
            self.observer,
        )
        self._runner.may_send = self.callers.may_send
        self._attempts = HedgedAttempts(clock, dispatcher, self.observer, self._runner)
        self._started_ms = clock.now_ms()
        self._stopping = False
        self._ends_ms = math.inf
        self._plan: ActivePlan | None = None
        self._log = EventLogger("gateway")

    def set_plan(self, plan: TrafficPlan) -> None:
        """Apply a plan to all later requests."""
        self._plan = ActivePlan(plan)
        self.callers.set_plan(plan)

    def begin_stop(self, ends_ms: float) -> None:
        """Send on only requests whose time ends before that of this host.

        Parameters
        ----------
        ends_ms : float
            When the requests in progress are broken off, in milliseconds of this
            host's clock.
        """
        self._ends_ms = ends_ms

    def stop(self) -> None:
        """Refuse all later requests."""
        self._stopping = True

    async def close(self) -> None:
        """End the checks of servers that are in progress."""
        await self._runner.crash_check.close()

    async def answer(self, request: Request) -> Answer:
        """Return the answer to a caller's request."""
        if self._stopping:
            return self._refuse(request, STOPPING)
        if self._plan is None:
            age_ms = self.clock.now_ms() - self._started_ms
            refusal = Refusal(
                ResultCode.NO_CONFIGURATION,
                max(NO_PLAN_RETRY_AFTER_MS, FIRST_PLAN_MS - age_ms),
                f"no plan received {age_ms:.0f} ms after the start",
            )
            return self._refuse(request, refusal)
        route = self._plan.find_route(request.header(b"host") or b"", request.target)
        if route is None:
            detail = f"no route in plan {self._plan.version}"
            self._record_refusal(request, ResultCode.NOT_FOUND, detail)
            return Answer(404)
        caller = self.callers.identify(request, route)
        if isinstance(caller, Refusal):
            return self._refuse(request, caller)
        regions = common_regions(route.allowed_regions, caller)
        if regions is None:
            refusal = Refusal(
                ResultCode.NO_COMMON_REGION,
                NO_REGION_RETRY_AFTER_MS,
                f"{caller.name} may not run in the regions of {route.name}",
            )
            return self._refuse(request, refusal)
        return await self._forward(request, route, caller, regions)

    async def _forward(
        self, request: Request, route: Route, caller: Caller, regions: tuple[str, ...]
    ) -> Answer:
        service = self._plan.next_service(route)
        request_id = request.header(self.dialect.request_id) or b""
        self.dispatcher.budget.record_request(service)
        allowed_ms = allowed_time_ms(request.header(self.dialect.deadline_ms), route)
        state = RequestState(
            request,
            request_id,
            route,
            request.received_ms + allowed_ms,
            caller=caller,
        )
        key = request.header(self.dialect.affinity_key)
        work = Work(
            service=service,
            route=route.name,
            key=key or request_id or self.rng.randbytes(8),
            sticky=route.sticky and key is not None,
            target_latency_ms=route.target_latency_ms,
            remaining_ms=state.deadline_ms - self.clock.now_ms(),
            urgent=self._plan.is_urgent(route, service, caller),
            allowed_regions=regions,
            route_digest=route.digest,
        )
        return await self._handle(state, work)

    async def carry(
        self, request: Request, order: RelayOrder
    ) -> tuple[Answer, RelayVerdict]:
        """Send a request that another host received; return the verdict for it."""
        if self._stopping:
            return Answer(503), RelayVerdict.DECLINED
        caller = self.callers.identify_carried(order)
        if not isinstance(caller, Caller):
            return Answer(503), RelayVerdict.DECLINED
        state = carried_state(request, order, caller)
        state.request_id = request.header(self.dialect.request_id) or b""
        if self._ends_first(state):
            return Answer(503), RelayVerdict.DECLINED
        work = carried_work(order)
        if not order.previous_attempts:
            self.dispatcher.budget.record_request(work.service)
        elif not self._attempts.may_retry(state, work, order.previous_attempts):
            return Answer(503), RelayVerdict.DECLINED
        answer = await self._handle(state, work, order.previous_attempts)
        verdict = carried_verdict(state)
        if verdict is RelayVerdict.DECLINED and not order.previous_attempts:
            self.dispatcher.budget.withdraw_request(work.service)
        return answer, verdict

    async def _handle(self, state: RequestState, work: Work, sent: int = 0) -> Answer:
        """Return the answer to a request, and write its log line."""
        plan_version = -1 if self._plan is None else self._plan.version
        status = 0
        try:
            answer = await self._admit(state, work, sent)
            status = answer.status
            return answer
        finally:
            self.callers.settle(state)
            total_ms = self.clock.now_ms() - state.request.received_ms
            service = work.service
            self.meters.count(Metric.REQUESTS_TOTAL, service=service, code=str(status))
            self.meters.observe(Metric.REQUEST_DURATION_MS, total_ms, service=service)
            write_request_line(
                self._log,
                state,
                work,
                status=status,
                total_ms=total_ms,
                key=state.request.header(self.dialect.affinity_key),
                plan_version=plan_version,
                fleet_age_ms=self.dispatcher.fleet_age_ms(),
            )

    async def _admit(self, state: RequestState, work: Work, sent: int) -> Answer:
        """Count a request against its quota and send it, or let another host do so."""
        if self._ends_first(state):
            return self._refusal_answer(state, ENDS_FIRST)
        if (refusal := self.callers.refusal(state.caller)) is not None:
            relayed = await self._relay(state, work, sent)
            return relayed or self._refusal_answer(state, refusal)
        if state.caller.digest:
            refusal = self.callers.quota_refusal(state.caller)
            if refusal is not None:
                relayed = None
                if self.callers.may_pass_on(refusal):
                    state.may_be_elsewhere = True
                    relayed = await self._relay(state, work, sent, to_keeper=True)
                return relayed or self._refusal_answer(state, refusal, 429)
            state.is_counted = True
        return await self._try_servers(state, work, sent)

    async def _try_servers(self, state: RequestState, work: Work, sent: int) -> Answer:
        """Send attempts to one server after another until one answers.

        A request that this host cannot send goes to another host once.
        """
        started_ms = self.clock.now_ms()
        unreachable = 0
        last: Answer | None = None
        refusal: Refusal | None = None
        while True:
            work = attrs.evolve(
                work, remaining_ms=state.deadline_ms - self.clock.now_ms()
            )
            if work.remaining_ms < MIN_ATTEMPT_MS:
                return last or self._timeout_answer(state)
            withdrawn = self.callers.refusal(state.caller)
            if withdrawn is not None:
                return last or self._refusal_answer(state, withdrawn)
            if not sent and self._ends_first(state):
                return last or self._refusal_answer(state, ENDS_FIRST)
            if self._suspects_links(unreachable, started_ms):
                relayed = await self._relay(state, work, sent)
                if relayed is not None:
                    return relayed
                if self.connectivity.is_isolated():
                    return last or self._refusal_answer(state, refusal or CUT_OFF)
            admitted = await self.gate.admit(state.fingerprint, work)
            if isinstance(admitted, Refusal):
                return last or self._refusal_answer(state, admitted)
            placement = self.dispatcher.place(admitted)
            if isinstance(placement, Refusal):
                relayed = None
                if self._may_reach_others(placement, work):
                    relayed = await self._relay(state, work, sent)
                return (
                    relayed or last or self._refusal_answer(state, refusal or placement)
                )
            if sent:
                self.dispatcher.budget.record_retry(work.service)
            result, servers = await self._attempts.run(state, work, placement, sent + 1)
            if result.final:
                return result.answer
            last = result.answer or last
            if result.outcome is Outcome.UNREACHABLE:
                unreachable += 1
            else:
                sent += len(servers)
            if result.outcome in (Outcome.REFUSED, Outcome.SHED):
                refusal = SHED if result.outcome is Outcome.SHED else REFUSED
            if state.may_have_run and not state.route.idempotent:
                return last or Answer(502)
            if sent and not await self._attempts.may_retry_once_checked(
                state, work, sent
            ):
                return last or self._refusal_answer(state, refusal or REFUSED)
            work = attrs.evolve(work, excluded=work.excluded | servers)
            if unreachable > MAX_UNREACHABLE_SERVERS:
                relayed = await self._relay(state, work, sent)
                return (
                    relayed or last or self._refusal_answer(state, refusal or REFUSED)
                )

    def _ends_first(self, state: RequestState) -> bool:
        """Return whether this host may stop before a request has its answer."""
        return state.deadline_ms > self._ends_ms

    def _suspects_links(self, unreachable: int, started_ms: float) -> bool:
        """Return whether this host, and not the servers, seems to be cut off."""
        return self.connectivity.is_cut_off or (
            unreachable >= MAX_UNREACHABLE_WITHOUT_CONTACT
            and not self.connectivity.was_connected_since(started_ms)
        )

    def _may_reach_others(self, refusal: Refusal, work: Work) -> bool:
        """Return whether another host may reach servers that this one does not."""
        return (
            refusal.code is ResultCode.NO_BACKEND_SERVER
            and self.connectivity.has_failures
            and self.dispatcher.has_unreachable(work.service)
        )

    async def _relay(
        self, state: RequestState, work: Work, sent: int, to_keeper: bool = False
    ) -> Answer | None:
        """Return the answer of another host, or None if none takes the request.

        With ``to_keeper``, the keeper of the caller's organisation is asked first.
        """
        if self.relay is None:
            return None
        # Lost connections do not rule out a first try: they may be the fault of
        # this host's own links.
        observer = self.observer
        may_send = observer.may_repeat if sent or to_keeper else observer.may_pass_on
        if not may_send(state.fingerprint):
            return None
        preferred = self.relay.carriers.keeper(state.caller.name) if to_keeper else ""
        result = await self.relay.send(state, work, sent, preferred)
        return None if result is None else result.answer

    def _refusal_answer(
        self, state: RequestState, refusal: Refusal, status: int = 503
    ) -> Answer:
        if state.may_have_run:
            return Answer(502)
        if refusal.code in LOCAL_REFUSALS:
            state.may_be_elsewhere = True
        state.refusal = (
            f"{refusal.code.value} {refusal.code.name}: {refusal.detail}; "
            f"retry after {refusal.retry_after_ms:.0f} ms"
        )
        self.meters.count(Metric.REFUSALS_TOTAL, code=refusal.code.name)
        return not_run_answer(refusal.retry_after_ms, status)

    def _timeout_answer(self, state: RequestState) -> Answer:
        return Answer(504) if state.may_have_run else not_run_answer(MIN_ATTEMPT_MS)

    def _refuse(self, request: Request, refusal: Refusal) -> Answer:
        self._record_refusal(request, refusal.code, refusal.detail)
        if refusal.code is ResultCode.UNKNOWN_KEY:
            return Answer(401)  # another key is needed, not another time
        return not_run_answer(refusal.retry_after_ms)

    def _record_refusal(self, request: Request, code: ResultCode, detail: str) -> None:
        self.meters.count(Metric.REFUSALS_TOTAL, code=code.name)
        self._log.write(
            Event.REQUEST_REFUSED,
            request_id=header_text(request.header(self.dialect.request_id)),
            refusal=f"{code.value} {code.name}: {detail}",
        )
