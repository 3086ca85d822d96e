"""One attempt of a request at one backend server."""

import asyncio
from collections.abc import Callable

from bulrushlead.clock import Clock
from bulrushlead.dispatch import (
    Dispatcher,
    Outcome,
    Placement,
    ServerStats,
    Work,
    parse_limit_per_s,
    parse_pause_ms,
)
from bulrushlead.gateway._crash_check import CrashCheck, ServerFate
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._request_state import (
    MIN_ATTEMPT_MS,
    AttemptResult,
    RequestState,
)
from bulrushlead.gateway._server_headers import server_headers
from bulrushlead.http1 import (
    CONNECT_TIMEOUT_MS,
    Answer,
    ClientConnection,
    ConnectionPool,
    ExchangeError,
    ExchangeFault,
    forwardable_headers,
    render_request,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.quarantine import CrashObserver, Run, RunEnd
from bulrushlead.relay import Connectivity

# Longest idle time of a connection that is reused. The server may have closed an idle
# connection, and a non-idempotent request that is lost on it cannot be retried.
NON_IDEMPOTENT_MAX_IDLE_MS = 4_000
IDEMPOTENT_MAX_IDLE_MS = 8_000  # an idempotent request can be retried
# About one round trip. If a reused connection is closed sooner than this after a
# request, the pool counts it as stale: probably the server closed it while it was idle,
# and did not crash during the request. The request still may have run.
MAX_STALE_CLOSE_MS = 100
# Least share of an answer's duration that counts as work; the rest is the expected
# wait, which may be overestimated.
MIN_WORK_SHARE = 0.2
MISDIRECTED_STATUS = 421
PAUSING_STATUS = 503  # may carry the time for which the server wants no request
# Statuses of refusals in HTTP. Only the server's not-run header field confirms that the
# request did not run. 421 is classified earlier, as misdirected.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
ANSWERS = frozenset({Outcome.ANSWERED, Outcome.FAILED, Outcome.REFUSED, Outcome.SHED})
RUN_ENDS = {
    Outcome.ANSWERED: RunEnd.COMPLETED,
    Outcome.FAILED: RunEnd.COMPLETED,
    Outcome.REFUSED: RunEnd.NOT_RUN,
    Outcome.SHED: RunEnd.NOT_RUN,
    Outcome.MISDIRECTED: RunEnd.NOT_RUN,
    Outcome.UNREACHABLE: RunEnd.NOT_RUN,
    Outcome.LOST: RunEnd.LOST,
    Outcome.OVERDUE: RunEnd.UNANSWERED,
    Outcome.ABANDONED: RunEnd.UNANSWERED,
}


class AttemptRunner:
    """Sends requests to servers and classifies their answers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dialect : Dialect
        Names of the header fields used with callers and servers.
    dispatcher : Dispatcher
        Counts attempts that are sent, and records the durations of answers.
    pool : ConnectionPool
        Connections to servers.
    meters : CompactMeters
        Metrics in which attempts are counted.
    connectivity : Connectivity
        Learns whether connections to servers can be opened.
    observer : CrashObserver
        Learns how each attempt ended.

    Attributes
    ----------
    may_send : callable
        Returns whether a request may still be sent once its connection is open.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        meters: CompactMeters,
        connectivity: Connectivity,
        observer: CrashObserver,
    ):
        self.clock = clock
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.pool = pool
        self.meters = meters
        self.connectivity = connectivity
        self.observer = observer
        self.may_send: Callable[[RequestState], bool] = lambda state: True
        self.crash_check = CrashCheck(clock, pool)
        self.crash_check.on_result = self._on_fate
        self._log = EventLogger("gateway")

    def start(
        self, state: RequestState, work: Work, placement: Placement
    ) -> asyncio.Task[AttemptResult]:
        """Start sending a request to a server; the task returns the attempt's result.

        The attempt counts from this call on, not from the first step of the task, so
        that requests placed before that step find it in the server's load and rates.
        """
        server = placement.server
        state.sent_servers.append(server.server_id)
        attempt = self.dispatcher.record_sent(placement)
        run = Run(
            state.fingerprint,
            server.service,
            server.server_id,
            server.born_ms,
            server.version,
            self.clock.now_ms(),
        )
        self.observer.begin(run)
        task = asyncio.ensure_future(self._run(state, work, placement, attempt, run))

        def discard(_: asyncio.Task) -> None:
            # A task that is cancelled before its first step records no outcome.
            server.discard_attempt(attempt)
            self.observer.end(run, RunEnd.NOT_RUN)

        task.add_done_callback(discard)
        return task

    async def _run(
        self,
        state: RequestState,
        work: Work,
        placement: Placement,
        attempt: int,
        run: Run,
    ) -> AttemptResult:
        server = placement.server
        limits = self.dispatcher.limits
        if limits.limit_per_s(server.server_id, server.born_ms) is not None:
            self.meters.count(Metric.LIMITED_ATTEMPTS_TOTAL, service=server.service)
        started_ms = self.clock.now_ms()
        # The result if this task is cancelled during the exchange.
        result = AttemptResult(Outcome.ABANDONED, may_have_run=True)
        try:
            result = await self._exchange(state, server)
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
            state.may_have_run = state.may_have_run or result.may_have_run
            self._record_run(server, run, result)
            if result.outcome is Outcome.LOST:
                state.lost_attempts += 1
            if result.outcome is Outcome.UNREACHABLE:
                state.sent_servers.remove(server.server_id)
            state.attempts.append(
                f"{server.server_id} rank={placement.rank} load={placement.load:.1f} "
                f"wait={placement.wait_ms:.0f} work={placement.work_ms:.0f} "
                f"took={elapsed_ms:.0f} {result.outcome.value} {result.detail}"
            )
        return result

    def _record_run(self, server: ServerStats, run: Run, result: AttemptResult) -> None:
        end = RUN_ENDS[result.outcome]
        if not result.may_have_run or (end is RunEnd.LOST and not server.ready):
            # A server that leaves may end as planned.
            end = RunEnd.NOT_RUN
        self.observer.end(run, end)
        if result.outcome in ANSWERS:
            self.observer.record_answer(server.server_id, server.born_ms, run.sent_ms)
        elif end is RunEnd.LOST:
            self.crash_check.start(server, run.fingerprint)

    def _on_fate(self, server: ServerStats, fate: ServerFate) -> None:
        if fate is ServerFate.ENDED:
            self.observer.record_ended(server.server_id, server.born_ms)
        elif fate is ServerFate.RUNNING:
            self.observer.record_running(server.server_id, server.born_ms)

    def _record_duration(
        self, work: Work, placement: Placement, elapsed_ms: float
    ) -> None:
        work_ms = max(elapsed_ms - placement.wait_ms, MIN_WORK_SHARE * elapsed_ms)
        is_first = work.sticky and placement.rank == 0
        self.dispatcher.estimates.record_answer(
            work.duration_group, work.service, is_first, work_ms
        )

    async def _exchange(
        self, state: RequestState, server: ServerStats
    ) -> AttemptResult:
        request = state.request
        try:
            connection = await self._open_connection(state, server)
        except ExchangeError as error:
            # A timeout at the caller's deadline says nothing about the server.
            had_time = state.deadline_ms - self.clock.now_ms() >= MIN_ATTEMPT_MS
            outcome = Outcome.UNREACHABLE if had_time else Outcome.ABANDONED
            return AttemptResult(outcome, detail=error.detail)
        remaining_ms = state.deadline_ms - self.clock.now_ms()
        if (
            remaining_ms < MIN_ATTEMPT_MS
            or state.caller_disconnected
            or not self.may_send(state)
        ):
            # The server did not cause this, so its statistics must not change.
            self.pool.release(server.address, connection)
            return AttemptResult(Outcome.ABANDONED)
        headers = server_headers(self.dialect, state, server.server_id, remaining_ms)
        data = render_request(request.method, request.target, headers, request.body)
        sent_ms = self.clock.now_ms()
        request.sent_on = True
        # None on a new connection, which cannot be stale.
        idle_time_ms = (
            sent_ms - connection.idle_since_ms if connection.n_exchanges else None
        )
        try:
            answer = await self.clock.wait_for(
                connection.exchange(data, state.request_id, request.method == b"HEAD"),
                remaining_ms,
            )
        except ExchangeError as error:
            if error.fault is ExchangeFault.NOT_SENT:
                return AttemptResult(Outcome.UNREACHABLE, detail=error.detail)
            is_immediate = self.clock.now_ms() - sent_ms < MAX_STALE_CLOSE_MS
            if (
                idle_time_ms is not None
                and is_immediate
                and error.fault is ExchangeFault.CLOSED
            ):
                self.pool.record_stale_connection(idle_time_ms)
            return AttemptResult(
                Outcome.LOST, Answer(502), may_have_run=True, detail=str(error)
            )
        except TimeoutError:
            connection.close()
            return AttemptResult(Outcome.OVERDUE, Answer(504), may_have_run=True)
        self.pool.release(server.address, connection)
        self.connectivity.record_answer()
        # On a reused connection an answer without the identifier may be a late copy of
        # an earlier one.
        is_own = (
            connection.n_exchanges == 1
            or answer.header(self.dialect.request_id) == state.request_id
        )
        result = self._classify(answer, state, server, is_own)
        if answer.status != MISDIRECTED_STATUS:
            # A misdirected request was answered by another server at the address.
            self._record_notices(server, answer)
            self._record_limit(server, answer, result.outcome, sent_ms)
        return result

    async def _open_connection(
        self, state: RequestState, server: ServerStats
    ) -> ClientConnection:
        """Return an idle connection to a server, or a new one.

        Raises
        ------
        ExchangeError
            With ``NOT_SENT`` if there is none.
        """
        max_idle_ms = (
            IDEMPOTENT_MAX_IDLE_MS
            if state.route.idempotent
            else NON_IDEMPOTENT_MAX_IDLE_MS
        )
        connection = self.pool.acquire_idle(
            server.address, max_idle_ms, state.request_id
        )
        if connection is not None:
            return connection
        if self.connectivity.is_cut_off:
            raise ExchangeError(ExchangeFault.NOT_SENT, "this host is cut off")
        remaining_ms = state.deadline_ms - self.clock.now_ms()
        try:
            connection = await self.pool.connect(
                server.address, min(CONNECT_TIMEOUT_MS, remaining_ms)
            )
        except ExchangeError:
            # A connection that had less time says nothing about the server's links.
            if remaining_ms >= CONNECT_TIMEOUT_MS:
                self.connectivity.record_failure(server.address)
            raise
        self.connectivity.record_connected()
        return connection

    def _classify(
        self, answer: Answer, state: RequestState, server: ServerStats, is_own: bool
    ) -> AttemptResult:
        load_value = answer.header(self.dialect.load)
        if load_value is not None:
            _record_reported_load(server, load_value, self.clock.now_ms())
        is_refused = answer.header(self.dialect.not_run) is not None
        if not is_own and (is_refused or answer.status == MISDIRECTED_STATUS):
            detail = f"{answer.status} without identifier"
            return AttemptResult(
                Outcome.FAILED, Answer(502), may_have_run=True, detail=detail
            )
        if is_refused:
            # After REFUSED the server counts as full for a while. One that refuses
            # although it reports free slots may accept the next attempt (SHED). Without
            # a load report it is assumed to be full.
            is_full = load_value is None or server.reported_load >= server.slots
            outcome = Outcome.REFUSED if is_full else Outcome.SHED
            return AttemptResult(outcome, detail=str(answer.status))
        if answer.status == MISDIRECTED_STATUS:
            return AttemptResult(Outcome.MISDIRECTED)
        detail = str(answer.status)
        if answer.status in REFUSAL_STATUSES:
            # Without the server's header field the request may have run.
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
                # The server's own answer to a request that cannot be retried is final.
                # For other failures, the retry loop decides by ``may_have_run``.
                final=not state.route.idempotent,
                may_have_run=True,
                detail=detail,
            )
        return AttemptResult(
            Outcome.ANSWERED, forwarded, final=True, may_have_run=True, detail=detail
        )

    def _record_notices(self, server: ServerStats, answer: Answer) -> None:
        notices = self.dispatcher.notices
        if answer.header(self.dialect.draining) == b"1":
            notices.record_draining(server.server_id, server.born_ms)
        if answer.status != PAUSING_STATUS:
            return
        value = answer.header(self.dialect.retry_after)
        pause_ms = None if value is None else parse_pause_ms(value)
        if pause_ms is not None:
            notices.record_pause(server.server_id, server.born_ms, pause_ms)

    def _record_limit(
        self, server: ServerStats, answer: Answer, outcome: Outcome, sent_ms: float
    ) -> None:
        value = answer.header(self.dialect.limit)
        # A refusal or a failure may be written before the server adds its fields, so
        # that only a success without the field withdraws the limit.
        if value is None and outcome is not Outcome.ANSWERED:
            return
        limit_per_s = None if value is None else parse_limit_per_s(value)
        if value is not None and limit_per_s is None:
            self._log.write(
                Event.BACKEND_LIMIT_MALFORMED,
                server_id=server.server_id,
                value=value[:40].decode("latin-1"),
            )
            return
        self.dispatcher.limits.record_answer(
            server.server_id, server.born_ms, limit_per_s, sent_ms
        )


def _record_reported_load(server: ServerStats, value: bytes, now_ms: float) -> None:
    """Record the load in a header field ``running,queued,slots``; ignore the slots."""
    parts = value.split(b",")
    try:
        running, queued = float(parts[0]), float(parts[1])
    except (ValueError, IndexError):
        return  # a malformed load is ignored: routing works without it
    server.record_load(running + queued, now_ms)
