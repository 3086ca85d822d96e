"""The way of one request: route, placement, attempts, answer."""

import asyncio
import random

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher, Outcome, Placement, Refusal, Work
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.http1 import (
    Answer,
    ConnectionPool,
    ExchangeError,
    ExchangeFault,
    HeaderList,
    Request,
    forwardable_headers,
    render_request,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import CODES, ResultCode
from bulrushlead.traffic import Route, RouteTable, TrafficPlan, WeightedSplit

CONNECT_TIMEOUT_MS = 400  # several round trips to the farthest region
UNSAFE_IDLE_MS = 1_000  # older idle connections may be forgotten at the other end
SAFE_IDLE_MS = 6_000
DEADLINE_MARGIN_MS = 10  # the server's own time-out answer arrives before ours
MIN_ATTEMPT_MS = 20  # less is no real try
PATIENCE_FACTOR = 3.0  # of the expected time, before an idempotent one is repeated
PATIENCE_MIN_MS = 250
NO_PLAN_RETRY_AFTER_MS = 500
# Answers that say "not run" in HTTP; a server must mark them itself to be believed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.define(eq=False)
class _Trace:
    """What the log line of a request tells."""

    request_id: bytes
    route: Route
    service: str
    attempts: list[str] = attrs.field(factory=list)
    was_sent: bool = False


class RequestForwarder:
    """Answers callers' requests with the help of backend servers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dialect : Dialect
        Names of header fields.
    dispatcher : Dispatcher
        Chooses servers and refuses requests.
    pool : ConnectionPool
        Connections to servers.
    rng : random.Random
        Spreads requests without a key.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        rng: random.Random,
    ):
        self.clock = clock
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.pool = pool
        self.rng = rng
        self._plan: TrafficPlan | None = None
        self._table: RouteTable | None = None
        self._splits: dict[str, WeightedSplit] = {}
        self._urgent: dict[str, int] = {}
        self._finishing: set[asyncio.Task] = set()
        self._log = EventLogger("gateway")

    def set_plan(self, plan: TrafficPlan) -> None:
        """Put a plan in force for the requests that begin from now on."""
        self._plan = plan
        self._table = RouteTable(plan)
        self._splits = {
            route.name: WeightedSplit(route.shares) for route in plan.routes
        }
        self._urgent = {}
        for route in plan.routes:
            for share in route.shares:
                known = self._urgent.get(share.service, route.priority)
                self._urgent[share.service] = min(known, route.priority)

    async def answer(self, request: Request) -> Answer:
        """Return the answer of a caller's request."""
        if self._table is None:
            return self._refuse(request, ResultCode.NO_CONFIGURATION, 500.0, "no plan")
        route = self._table.find(request.header(b"host") or b"", request.target)
        if route is None:
            self._log.write(
                Event.REQUEST_REFUSED,
                request_id=_text(request.header(self.dialect.request_id)),
                code=ResultCode.NOT_FOUND.value,
                plan_version=self._plan.version,
            )
            return Answer(404)
        return await self._forward(request, route)

    async def _forward(self, request: Request, route: Route) -> Answer:
        service = self._splits[route.name].next_service()
        request_id = request.header(self.dialect.request_id) or b""
        trace = _Trace(request_id, route, service)
        self.dispatcher.budget.note_request(service)
        now_ms = self.clock.now_ms()
        allowed_ms = min(self._caller_ms(request, route), route.timeout_ms)
        end_ms = request.received_ms + allowed_ms
        key = request.header(self.dialect.affinity_key)
        work = Work(
            service=service,
            route=route.name,
            key=key or request_id or self.rng.randbytes(8),
            sticky=route.sticky and key is not None,
            target_ms=route.target_latency_ms,
            remaining_ms=end_ms - now_ms,
            urgent=route.priority <= self._urgent[service],
            allowed_regions=route.allowed_regions,
        )
        answer = await self._try_servers(request, work, trace, end_ms)
        self._log.write(
            Event.REQUEST_DONE,
            request_id=_text(request_id),
            route=route.name,
            key=_text(key),
            status=answer.status,
            total_ms=round(self.clock.now_ms() - request.received_ms, 1),
            attempts=trace.attempts,
            plan_version=self._plan.version,
        )
        return answer

    async def _try_servers(
        self, request: Request, work: Work, trace: _Trace, end_ms: float
    ) -> Answer:
        route = trace.route
        attempts = 0
        last: Answer | None = None
        while True:
            remaining_ms = end_ms - self.clock.now_ms()
            if remaining_ms < MIN_ATTEMPT_MS:
                return last or self._timed_out(trace)
            work = attrs.evolve(work, remaining_ms=remaining_ms)
            placement = self.dispatcher.place(work)
            if isinstance(placement, Refusal):
                trace.attempts.append(f"refused {placement.code.name}")
                return last or self._give_up(trace, placement)
            attempts += 1
            if attempts > 1:
                self.dispatcher.budget.note_repeat(work.service)
            may_repeat = (
                attempts < route.max_attempts
                and self.dispatcher.budget.allows(work.service)
            )
            result = await self._attempt(
                request, work, trace, placement, end_ms, may_repeat
            )
            if result.final:
                return result.answer
            last = result.answer
            if not may_repeat:
                return last or self._give_up(trace, None)
            if trace.was_sent and not route.idempotent:
                return last or Answer(502)
            work = attrs.evolve(
                work, excluded=work.excluded | {placement.server.server_id}
            )

    async def _attempt(
        self,
        request: Request,
        work: Work,
        trace: _Trace,
        placement: Placement,
        end_ms: float,
        may_repeat: bool,
    ) -> "_Result":
        route, server = trace.route, placement.server
        self.dispatcher.note_sent(placement)
        begun_ms = self.clock.now_ms()
        outcome = Outcome.ABANDONED
        try:
            run = self._exchange(request, trace, placement, end_ms, may_repeat)
            if route.idempotent:
                result, outcome = await run
            else:
                # The server goes on with work that must not be repeated, even if
                # the caller has gone.
                task = asyncio.ensure_future(run)
                self._finishing.add(task)
                task.add_done_callback(self._finishing.discard)
                result, outcome = await asyncio.shield(task)
        finally:
            now_ms = self.clock.now_ms()
            server.note_outcome(outcome, now_ms)
            elapsed_ms = now_ms - begun_ms
            trace.attempts.append(
                f"{server.server_id} rank={placement.rank} "
                f"wait={placement.wait_ms:.0f} work={placement.work_ms:.0f} "
                f"took={elapsed_ms:.0f} {outcome.value}"
            )
        if outcome is Outcome.ANSWERED:
            self._learn(work, placement, elapsed_ms, now_ms)
        return result

    def _learn(
        self, work: Work, placement: Placement, elapsed_ms: float, now_ms: float
    ) -> None:
        work_ms = max(elapsed_ms - placement.wait_ms, 0.2 * elapsed_ms)
        is_first = work.sticky and placement.rank == 0
        self.dispatcher.estimates.note(work.route, work.service, is_first, work_ms)
        usual_ms = max(1.0, placement.wait_ms + placement.fresh_ms)
        placement.server.note_duration(elapsed_ms / usual_ms, now_ms)

    async def _exchange(
        self,
        request: Request,
        trace: _Trace,
        placement: Placement,
        end_ms: float,
        may_repeat: bool,
    ) -> tuple["_Result", Outcome]:
        server = placement.server
        idempotent = trace.route.idempotent
        try:
            idle_ms = SAFE_IDLE_MS if idempotent else UNSAFE_IDLE_MS
            connection = self.pool.take_idle(server.address, idle_ms)
            if connection is None:
                left_ms = end_ms - self.clock.now_ms()
                connection = await self.pool.connect(
                    server.address, min(CONNECT_TIMEOUT_MS, left_ms)
                )
        except ExchangeError:
            return _Result(), Outcome.UNREACHABLE
        left_ms = end_ms - self.clock.now_ms()
        if left_ms < MIN_ATTEMPT_MS:
            self.pool.give_back(server.address, connection)
            return _Result(), Outcome.ABANDONED
        headers = self._server_headers(request.headers, server.server_id, left_ms)
        data = render_request(request.method, request.target, headers, request.body)
        patience_ms = left_ms
        if may_repeat and idempotent:
            expected_ms = placement.wait_ms + placement.fresh_ms
            patience_ms = max(PATIENCE_MIN_MS, PATIENCE_FACTOR * expected_ms)
            if patience_ms + expected_ms > left_ms:
                patience_ms = left_ms
        trace.was_sent = True
        try:
            answer = await self.clock.wait_for(
                connection.exchange(data, trace.request_id, request.method == b"HEAD"),
                patience_ms,
            )
        except ExchangeError as error:
            if error.fault is ExchangeFault.NOT_SENT:
                trace.was_sent = False
                return _Result(), Outcome.UNREACHABLE
            return _Result(Answer(502)), Outcome.LOST
        except TimeoutError:
            connection.close()
            return _Result(Answer(504)), Outcome.OVERDUE
        self.pool.give_back(server.address, connection)
        return self._judge(answer, trace, server)

    def _judge(
        self, answer: Answer, trace: _Trace, server
    ) -> tuple["_Result", Outcome]:
        load = answer.header(self.dialect.load)
        if load is not None:
            _note_load(server, load, self.clock.now_ms())
        if answer.header(self.dialect.not_run) is not None:
            trace.was_sent = False
            return _Result(), Outcome.REFUSED
        if answer.status == 421:
            trace.was_sent = False
            return _Result(), Outcome.MISDIRECTED
        if answer.status in NOT_RUN_STATUSES:
            # Without the server's own mark it may have run.
            return _Result(Answer(502)), Outcome.FAILED
        final = Answer(
            answer.status,
            forwardable_headers(answer.headers),
            answer.body,
            answer.reason,
        )
        if answer.status >= 500:
            return _Result(final, final=not trace.route.idempotent), Outcome.FAILED
        return _Result(final, final=True), Outcome.ANSWERED

    def _server_headers(
        self, headers: HeaderList, server_id: str, left_ms: float
    ) -> HeaderList:
        dialect = self.dialect
        own = (dialect.deadline_ms, dialect.expected_server)
        kept = [h for h in forwardable_headers(headers) if h[0] not in own]
        deadline_ms = max(1, int(left_ms - DEADLINE_MARGIN_MS))
        kept.append((dialect.deadline_ms, b"%d" % deadline_ms))
        kept.append((dialect.expected_server, server_id.encode()))
        return kept

    def _caller_ms(self, request: Request, route: Route) -> float:
        value = request.header(self.dialect.deadline_ms)
        try:
            return float(value) if value is not None else route.timeout_ms
        except ValueError:
            return route.timeout_ms

    def _give_up(self, trace: _Trace, refusal: Refusal | None) -> Answer:
        if trace.was_sent:
            return Answer(502)
        retry_after_ms = refusal.retry_after_ms if refusal else 300.0
        code = refusal.code if refusal else ResultCode.BACKEND_REFUSED
        self._log.write(
            Event.REQUEST_REFUSED,
            request_id=_text(trace.request_id),
            code=code.value,
            retry_after_ms=round(retry_after_ms),
            detail=refusal.detail if refusal else "refused by the server",
        )
        return _not_run(retry_after_ms)

    def _timed_out(self, trace: _Trace) -> Answer:
        return Answer(504) if trace.was_sent else _not_run(MIN_ATTEMPT_MS)

    def _refuse(
        self, request: Request, code: ResultCode, retry_after_ms: float, detail: str
    ) -> Answer:
        self._log.write(
            Event.REQUEST_REFUSED,
            request_id=_text(request.header(self.dialect.request_id)),
            code=code.value,
            detail=f"{CODES[code].summary} {detail}",
        )
        return _not_run(retry_after_ms)


@attrs.frozen(eq=False)
class _Result:
    """Answer of an attempt, if any, and whether the caller must get it."""

    answer: Answer | None = None
    final: bool = False


def _not_run(retry_after_ms: float) -> Answer:
    return Answer(503, [(b"retry-after", b"%.2f" % (retry_after_ms / 1000.0))])


def _note_load(server, value: bytes, now_ms: float) -> None:
    parts = value.split(b",")
    try:
        running, waiting = float(parts[0]), float(parts[1])
    except (ValueError, IndexError):
        return  # a server's load is only a hint
    server.note_load(running + waiting, now_ms)


def _text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")
