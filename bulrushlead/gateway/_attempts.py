"""One attempt of a request at one backend server."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher, Outcome, Placement, ServerStats, Work
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
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.traffic import Route

CONNECT_TIMEOUT_MS = 400  # several round trips to the farthest region
NON_IDEMPOTENT_IDLE_MS = (
    4_000  # a request that is lost on a forgotten connection stays lost
)
IDEMPOTENT_IDLE_MS = 8_000  # a safe request can be sent again
STALE_CONNECTION_RESET_MS = (
    100  # a round trip: a reset that fast is no crash during work
)
DEADLINE_MARGIN_MS = 10  # the server's own time-out answer arrives before ours
MIN_ATTEMPT_MS = 20  # less is no real try
MIN_WORK_SHARE = 0.2  # of an answer's time, when its queueing was overestimated
MISDIRECTED_STATUS = 421
# Answers that say "not run" in HTTP; a server must mark them itself to be believed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.define(eq=False)
class Trace:
    """State of a request over all its attempts.

    Parameters
    ----------
    request : Request
        The caller's request.
    request_id : bytes
        Its identifier.
    route : Route
        Its route.
    end_ms : float
        When its answer must be sent, in milliseconds of the own clock.
    attempts : list of str
        What the log line tells of each attempt.
    refusal : str
        Why it was refused, if it was.
    may_have_run : bool
        Whether a server may have begun to work on it.
    abandoned : bool
        Whether its caller has gone.
    """

    request: Request
    request_id: bytes
    route: Route
    end_ms: float
    attempts: list[str] = attrs.field(factory=list)
    refusal: str = ""
    may_have_run: bool = False
    abandoned: bool = False


@attrs.frozen(eq=False)
class AttemptResult:
    """How an attempt ended.

    Parameters
    ----------
    outcome : Outcome
        What it says about the server.
    answer : Answer or None
        Answer for the caller, if no other attempt does better.
    final : bool
        Whether the caller gets this answer in any case.
    was_run : bool
        Whether the server may have begun to work on the request.
    detail : str
        Cause of a failure.
    """

    outcome: Outcome
    answer: Answer | None = None
    final: bool = False
    may_have_run: bool = False
    detail: str = ""


class AttemptRunner:
    """Sends requests to servers and judges what comes back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dialect : Dialect
        Names of header fields.
    dispatcher : Dispatcher
        Learns from the outcome.
    pool : ConnectionPool
        Connections to servers.
    meters : CompactMeters
        Where attempts are counted.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        meters: CompactMeters,
    ):
        self.clock = clock
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.pool = pool
        self.meters = meters

    async def run(
        self, trace: Trace, work: Work, placement: Placement
    ) -> AttemptResult:
        """Send a request to a server and return how that ended."""
        server = placement.server
        attempt = self.dispatcher.record_sent(placement)
        started_ms = self.clock.now_ms()
        result = AttemptResult(Outcome.ABANDONED, may_have_run=True)
        try:
            result = await self._exchange(trace, server)
        finally:
            now_ms = self.clock.now_ms()
            elapsed_ms = now_ms - started_ms
            server.record_outcome(result.outcome, now_ms, attempt)
            self.meters.count(
                Metric.ATTEMPTS_TOTAL,
                service=server.service,
                outcome=result.outcome.value,
            )
            if result.outcome is Outcome.ANSWERED:
                self._record_duration(work, placement, elapsed_ms)
            trace.may_have_run = trace.may_have_run or result.may_have_run
            trace.attempts.append(
                f"{server.server_id} rank={placement.rank} load={placement.load:.1f} "
                f"wait={placement.wait_ms:.0f} work={placement.work_ms:.0f} "
                f"took={elapsed_ms:.0f} {result.outcome.value} {result.detail}"
            )
        return result

    def _record_duration(
        self, work: Work, placement: Placement, elapsed_ms: float
    ) -> None:
        work_ms = max(elapsed_ms - placement.wait_ms, MIN_WORK_SHARE * elapsed_ms)
        is_first = work.sticky and placement.rank == 0
        self.dispatcher.estimates.record_answer(
            work.route, work.service, is_first, work_ms
        )

    async def _exchange(self, trace: Trace, server: ServerStats) -> AttemptResult:
        request, idempotent = trace.request, trace.route.idempotent
        idle_ms = IDEMPOTENT_IDLE_MS if idempotent else NON_IDEMPOTENT_IDLE_MS
        connection = self.pool.take_idle(server.address, idle_ms)
        if connection is None:
            left_ms = trace.end_ms - self.clock.now_ms()
            try:
                connection = await self.pool.connect(
                    server.address, min(CONNECT_TIMEOUT_MS, left_ms)
                )
            except ExchangeError as error:
                return AttemptResult(Outcome.UNREACHABLE, detail=error.detail)
        left_ms = trace.end_ms - self.clock.now_ms()
        if left_ms < MIN_ATTEMPT_MS or trace.abandoned:
            self.pool.give_back(server.address, connection)
            return AttemptResult(Outcome.ABANDONED)
        headers = self._server_headers(request.headers, server.server_id, left_ms)
        data = render_request(request.method, request.target, headers, request.body)
        sent_ms = self.clock.now_ms()
        pause_ms = sent_ms - connection.idle_since_ms if connection.exchanges else None
        try:
            answer = await self.clock.wait_for(
                connection.exchange(data, trace.request_id, request.method == b"HEAD"),
                left_ms,
            )
        except ExchangeError as error:
            if error.fault is ExchangeFault.NOT_SENT:
                return AttemptResult(Outcome.UNREACHABLE, detail=error.detail)
            is_immediate = self.clock.now_ms() - sent_ms < STALE_CONNECTION_RESET_MS
            if (
                pause_ms is not None
                and is_immediate
                and error.fault is ExchangeFault.CLOSED
            ):
                self.pool.note_forgotten(pause_ms)
            return AttemptResult(
                Outcome.LOST, Answer(502), may_have_run=True, detail=str(error)
            )
        except TimeoutError:
            connection.close()
            return AttemptResult(Outcome.OVERDUE, Answer(504), may_have_run=True)
        self.pool.give_back(server.address, connection)
        return self._classify(answer, trace, server)

    def _classify(
        self, answer: Answer, trace: Trace, server: ServerStats
    ) -> AttemptResult:
        load = answer.header(self.dialect.load)
        if load is not None:
            _record_reported_load(server, load, self.clock.now_ms())
        if answer.header(self.dialect.not_run) is not None:
            # A server that says it has free slots is not full, whatever ails it.
            is_full = load is None or server.reported_load >= server.slots
            outcome = Outcome.REFUSED if is_full else Outcome.SHED
            return AttemptResult(outcome, detail=str(answer.status))
        if answer.status == MISDIRECTED_STATUS:
            return AttemptResult(Outcome.MISDIRECTED)
        detail = str(answer.status)
        if answer.status in NOT_RUN_STATUSES:
            # Without the server's own mark it may have run.
            return AttemptResult(
                Outcome.FAILED, Answer(502), may_have_run=True, detail=detail
            )
        forwarded = Answer(
            answer.status,
            forwardable_headers(answer.headers),
            answer.body,
            answer.reason,
        )
        if answer.status >= 500:
            return AttemptResult(
                Outcome.FAILED,
                forwarded,
                final=not trace.route.idempotent,
                may_have_run=True,
                detail=detail,
            )
        return AttemptResult(
            Outcome.ANSWERED, forwarded, final=True, may_have_run=True, detail=detail
        )

    def _server_headers(
        self, headers: HeaderList, server_id: str, left_ms: float
    ) -> HeaderList:
        dialect = self.dialect
        replaced = (dialect.deadline_ms, dialect.expected_server)
        sent_headers = [h for h in forwardable_headers(headers) if h[0] not in replaced]
        deadline_ms = max(1, int(left_ms - DEADLINE_MARGIN_MS))
        sent_headers.append((dialect.deadline_ms, b"%d" % deadline_ms))
        sent_headers.append((dialect.expected_server, server_id.encode()))
        return sent_headers


def _record_reported_load(server: ServerStats, value: bytes, now_ms: float) -> None:
    parts = value.split(b",")
    try:
        running, waiting = float(parts[0]), float(parts[1])
    except (ValueError, IndexError):
        return  # a server's load is only a hint
    server.record_load(running + waiting, now_ms)
