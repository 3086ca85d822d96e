"""Entry side of idempotency keys: claim, one attempt, record, answer."""

import asyncio
import itertools
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from bulrushlead.clock import Clock
from bulrushlead.forwarding import ForwardAnswer, ForwardError, ran_of
from bulrushlead.keys._answers import answer_of, finish_of, raise_for, refusal
from bulrushlead.keys._calls import KeyCalls
from bulrushlead.keys._messages import (
    AbandonKey,
    ClaimKey,
    ClaimReply,
    ClaimState,
    FinishKey,
    KeyOutcome,
    ReadKey,
)
from bulrushlead.keys._observed import ObservedAttempts
from bulrushlead.keys._settings import KeyControl, KeySettings
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, Ran, ResultCode

MAX_KEY_CHARACTERS = 256

Attempt = Callable[[], Awaitable[ForwardAnswer]]


@attrs.define(eq=False)
class _Run:
    """One caller's request with a key, while this host works on it."""

    key: str
    service: str
    digest: bytes
    attempt: Attempt
    deadline_ms: float
    attempt_id: str
    caller_gone: bool = False
    answer: ForwardAnswer | None = None
    error: Exception | None = None

    def known_result(self) -> ForwardAnswer:
        """Return the answer, or raise why there is none by the deadline."""
        if self.answer is not None:
            return self.answer
        raise self.error or _not_settled(self)


class KeyCoordinator:
    """Runs requests with idempotency keys at most once over all entry hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    control : KeyControl
        Way to the replicated state.
    settings : KeySettings
        Names of this host, and times.
    """

    def __init__(self, clock: Clock, control: KeyControl, settings: KeySettings):
        self.clock = clock
        self.control = control
        self.settings = settings
        self._numbers = itertools.count(1)
        self._prefix = f"{settings.host}/{settings.incarnation}/{secrets.token_hex(4)}"
        self._calls = KeyCalls(clock, control, settings)
        self._held: dict[str, asyncio.Event] = {}
        self._observed = ObservedAttempts()
        self._log = EventLogger("keys")

    async def start(self) -> None:
        """Begin work; there is nothing to prepare."""

    async def close(self) -> None:
        """Wait until every attempt has ended and every outcome is recorded.

        What is not recorded within ``close_timeout_ms`` stays in progress in the
        replicated state until it is abandoned.
        """
        await self._calls.close()

    async def abort(self) -> None:
        """Stop at once; keys held here stay in progress until abandoned."""
        await self._calls.abort()

    async def run(
        self,
        key: str,
        service: str,
        digest: bytes,
        attempt: Attempt,
        deadline_ms: float,
    ) -> ForwardAnswer:
        """Return the answer of the one run of a key's request.

        An attempt that has begun goes on when the caller of this method is
        cancelled, so that its answer is recorded for a resend.

        Parameters
        ----------
        key, service : str
            The key, and the service within which it is unique.
        digest : bytes
            `request_digest` of the request.
        attempt : callable
            Makes the one attempt; ends by ``deadline_ms`` at the latest.
        deadline_ms : float
            When the answer is due, on this host's clock.

        Returns
        -------
        ForwardAnswer
            From this attempt, or recorded from an earlier one.

        Raises
        ------
        ForwardError
            ``BAD_REQUEST``, ``KEY_REUSED``, ``KEY_CLAIM_FAILED``,
            ``KEY_OUTCOME_UNKNOWN``, ``KEY_ANSWER_NOT_KEPT`` (ran), or the error of
            the attempt. Its ``ran`` speaks of every send of the key: ``Ran.NO``
            only if none has run.
        BulrushleadError
            Whatever else the attempt raised.
        """
        run = _Run(key, service, digest, attempt, deadline_ms, self._new_attempt_id())
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise refusal(
                ResultCode.BAD_REQUEST,
                key,
                f"it has {len(key)} characters; 1 to {MAX_KEY_CHARACTERS} are allowed",
            )
        if self.clock.now_ms() >= deadline_ms:
            raise _not_settled(run)
        task = self._calls.spawn(self._work(run))
        try:
            return await self.clock.wait_for(
                asyncio.shield(task), deadline_ms - self.clock.now_ms()
            )
        except asyncio.CancelledError:
            run.caller_gone = True
            raise
        except TimeoutError:
            run.caller_gone = True
            return run.known_result()

    async def _work(self, run: _Run) -> ForwardAnswer:
        poll_ms = self.settings.first_poll_ms
        reply = await self._claim(run)
        while reply.state is not ClaimState.CLAIMED:
            if reply.state is ClaimState.FINISHED:
                self._log.write(Event.KEY_REPLAYED, key=run.key, service=run.service)
                return answer_of(reply)
            if reply.state is ClaimState.IN_PROGRESS:
                await self._wait_for_holder(run, reply, poll_ms)
                poll_ms = min(self.settings.max_poll_ms, poll_ms * 1.5)
                reply = await self._look_again(run)
            elif self._is_own_lapsed(run, reply):
                reply = await self._claim_anew(run)
            else:
                raise_for(reply, run.key)
        return await self._hold(run)

    async def _hold(self, run: _Run) -> ForwardAnswer:
        """Run the attempt under the claim and record its end."""
        self._log.write(Event.KEY_CLAIMED, key=run.key, service=run.service)
        ended = self._held[run.attempt_id] = asyncio.Event()
        try:
            # A claim that was resolved as not run after its deadline may have
            # gone to another host, so nothing may start later than that.
            if run.caller_gone or self.clock.now_ms() >= run.deadline_ms:
                raise _not_started(run)
            run.answer = await run.attempt()
        except Exception as error:
            run.error = error
            end = self._failed(run, error)
            if end.outcome is KeyOutcome.NOT_RUN:
                # The caller must be told before the record lets a resend run,
                # else it could hear "not run" after the resend has run.
                self._calls.record(end)
            else:
                await self._calls.record_and_wait(end)
            raise
        else:
            await self._calls.record_and_wait(self._answered(run))
            return run.answer
        finally:
            ended.set()
            del self._held[run.attempt_id]

    async def _claim(self, run: _Run) -> ClaimReply:
        """Claim until there is a reply; the same claim may be sent twice."""
        command = ClaimKey(
            key=run.key,
            service=run.service,
            digest=run.digest,
            host=self.settings.host,
            incarnation=self.settings.incarnation,
            attempt_id=run.attempt_id,
        )
        try:
            return await self._call_until(command, run)
        except BulrushleadError as error:
            # A claim without a reply may still take hold: give it back.
            self._calls.record(self._end(run, KeyOutcome.NOT_RUN))
            raise _not_claimed(run, error.detail) from error

    async def _claim_anew(self, run: _Run) -> ClaimReply:
        """Give up an attempt that was ended for us before it began."""
        await self._calls.record_and_wait(self._end(run, KeyOutcome.NOT_RUN))
        run.attempt_id = self._new_attempt_id()
        return await self._claim(run)

    def _is_own_lapsed(self, run: _Run, reply: ClaimReply) -> bool:
        if reply.state is ClaimState.ATTEMPT_OVER:
            return True
        return reply.state is ClaimState.UNKNOWN and reply.attempt_id == run.attempt_id

    async def _look_again(self, run: _Run) -> ClaimReply:
        query = ReadKey(run.key, run.service, run.digest)
        try:
            reply = await self._call_until(query, run)
        except BulrushleadError as error:
            raise _not_settled(run) from error
        if reply.state is ClaimState.FREE or reply.attempt_id == run.attempt_id:
            return await self._claim(run)
        return reply

    async def _wait_for_holder(
        self, run: _Run, reply: ClaimReply, poll_ms: float
    ) -> None:
        ended = self._held.get(reply.attempt_id)
        if ended is not None:
            await ended.wait()
            return
        now_ms = self.clock.now_ms()
        first_seen_ms = self._observed.first_seen_ms(reply.attempt_id, now_ms)
        restarted = (
            reply.host == self.settings.host
            and reply.incarnation != self.settings.incarnation
        )
        if restarted or now_ms - first_seen_ms >= self.settings.abandon_after_ms:
            await self._abandon(run, reply)
            return
        await self.clock.sleep_ms(min(poll_ms, run.deadline_ms - now_ms))
        if run.caller_gone or self.clock.now_ms() >= run.deadline_ms:
            raise _not_settled(run)

    async def _abandon(self, run: _Run, reply: ClaimReply) -> None:
        command = AbandonKey(
            key=run.key,
            service=run.service,
            attempt_id=reply.attempt_id,
            note=f"entry host {reply.host} did not record the outcome in time",
        )
        self._log.write(
            Event.KEY_LOST, key=run.key, service=run.service, holder=reply.host
        )
        try:
            await self._call_until(command, run)
        except BulrushleadError as error:
            raise _not_settled(run) from error

    async def _call_until(self, command: Any, run: _Run) -> Any:
        return await self._calls.call_until(
            command, run.deadline_ms, lambda: run.caller_gone
        )

    def _answered(self, run: _Run) -> FinishKey:
        limit_bytes = self.settings.max_kept_answer_bytes
        return finish_of(run.key, run.service, run.attempt_id, run.answer, limit_bytes)

    def _failed(self, run: _Run, error: Exception) -> FinishKey:
        ran = ran_of(error)
        outcome = KeyOutcome.NOT_RUN if ran is Ran.NO else KeyOutcome.UNKNOWN
        return self._end(run, outcome, str(error))

    def _end(self, run: _Run, outcome: KeyOutcome, note: str = "") -> FinishKey:
        return FinishKey(run.key, run.service, run.attempt_id, outcome, note=note[:500])

    def _new_attempt_id(self) -> str:
        return f"{self._prefix}/{next(self._numbers)}"


def _not_settled(run: _Run) -> ForwardError:
    return refusal(
        ResultCode.KEY_OUTCOME_UNKNOWN,
        run.key,
        "no outcome was recorded when time ran out; resend it with the same key",
    )


def _not_claimed(run: _Run, reason: str) -> ForwardError:
    return refusal(
        ResultCode.KEY_CLAIM_FAILED,
        run.key,
        "it did not run this time, but an earlier send may have; resend it with the "
        f"same key: {reason}",
    )


def _not_started(run: _Run) -> ForwardError:
    return refusal(
        ResultCode.DEADLINE_TOO_SHORT,
        run.key,
        "the caller left or the deadline passed before the request was sent",
    )
