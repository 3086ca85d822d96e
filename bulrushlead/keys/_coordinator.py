"""Idempotency keys on the entry host: claim, one attempt, record, answer."""

import asyncio
import itertools
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from bulrushlead.clock import Clock
from bulrushlead.forwarding import ForwardAnswer, ForwardError, ran_of
from bulrushlead.keys._answers import (
    finish_with_answer,
    key_error,
    raise_for_state,
    recorded_answer,
)
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

RunAttempt = Callable[[], Awaitable[ForwardAnswer]]


@attrs.define(eq=False)
class _KeyedRequest:
    """A caller's request with a key while this host processes it.

    ``is_cancelled`` is set as soon as the caller no longer waits.
    """

    key: str
    service: str
    digest: bytes
    attempt: RunAttempt
    deadline_ms: float
    attempt_id: str
    is_cancelled: bool = False
    answer: ForwardAnswer | None = None
    error: Exception | None = None

    def result_at_deadline(self) -> ForwardAnswer:
        """Return the answer received by the deadline, or raise the error."""
        if self.answer is not None:
            return self.answer
        raise self.error or _outcome_unknown(self)


class KeyCoordinator:
    """Runs requests with idempotency keys at most once across all entry hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    control : KeyControl
        Sends commands to the replicated state.
    settings : KeySettings
        Identity of this host, timeouts and limits.
    """

    def __init__(self, clock: Clock, control: KeyControl, settings: KeySettings):
        self.clock = clock
        self.control = control
        self.settings = settings
        self._attempt_numbers = itertools.count(1)
        self._attempt_id_prefix = (
            f"{settings.host}/{settings.incarnation}/{secrets.token_hex(4)}"
        )
        self._calls = KeyCalls(clock, control, settings)
        self._running_attempts: dict[str, asyncio.Event] = {}
        self._observed = ObservedAttempts()
        self._log = EventLogger("keys")

    async def start(self) -> None:
        """Do nothing: the coordinator needs no preparation."""

    async def close(self) -> None:
        """Wait until every attempt has ended and every outcome is recorded.

        A key whose outcome is not recorded within ``close_timeout_ms`` stays in
        progress in the replicated state until it is abandoned.
        """
        await self._calls.close()

    async def abort(self) -> None:
        """Cancel all tasks.

        Keys that this host has claimed stay in progress until they are abandoned.
        """
        await self._calls.abort()

    async def run(
        self,
        key: str,
        service: str,
        digest: bytes,
        attempt: RunAttempt,
        deadline_ms: float,
    ) -> ForwardAnswer:
        """Run a key's request at most once and return its answer.

        An attempt that has started continues when the caller of this method is
        cancelled, so that its answer is recorded for a resend.

        Parameters
        ----------
        key, service : str
            The key, and the service within which it is unique.
        digest : bytes
            `request_digest` of the request.
        attempt : callable
            Sends the request once; must end by ``deadline_ms``.
        deadline_ms : float
            Deadline for the answer, on this host's clock.

        Returns
        -------
        ForwardAnswer
            Answer of this attempt, or the recorded answer of an earlier one.

        Raises
        ------
        ForwardError
            ``BAD_REQUEST``, ``KEY_REUSED``, ``KEY_CLAIM_FAILED``,
            ``KEY_OUTCOME_UNKNOWN``, ``KEY_ANSWER_NOT_KEPT``, ``DEADLINE_TOO_SHORT``,
            or the error of the attempt. Its ``ran`` covers every send of the key:
            ``Ran.NO`` only if none has run.
        BulrushleadError
            Any other error that the attempt raised.
        """
        request = _KeyedRequest(
            key, service, digest, attempt, deadline_ms, self._new_attempt_id()
        )
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise key_error(
                ResultCode.BAD_REQUEST,
                key,
                f"it has {len(key)} characters; 1 to {MAX_KEY_CHARACTERS} are allowed",
            )
        if self.clock.now_ms() >= deadline_ms:
            raise _outcome_unknown(request)
        task = self._calls.spawn(self._process(request))
        try:
            return await self.clock.wait_for(
                asyncio.shield(task), deadline_ms - self.clock.now_ms()
            )
        except asyncio.CancelledError:
            request.is_cancelled = True
            raise
        except TimeoutError:
            request.is_cancelled = True
            return request.result_at_deadline()

    async def _process(self, request: _KeyedRequest) -> ForwardAnswer:
        poll_ms = self.settings.first_poll_ms
        reply = await self._claim(request)
        while reply.state is not ClaimState.CLAIMED:
            if reply.state is ClaimState.FINISHED:
                self._log.write(
                    Event.KEY_REPLAYED, key=request.key, service=request.service
                )
                return recorded_answer(reply)
            if reply.state is ClaimState.IN_PROGRESS:
                await self._wait_for_holder(request, reply, poll_ms)
                poll_ms = min(self.settings.max_poll_ms, poll_ms * 1.5)
                reply = await self._read_or_claim(request)
            elif self._is_own_attempt_over(request, reply):
                reply = await self._claim_with_new_attempt(request)
            else:
                raise_for_state(reply, request.key)
        return await self._run_attempt(request)

    async def _run_attempt(self, request: _KeyedRequest) -> ForwardAnswer:
        """Run the claimed attempt and record its outcome."""
        self._log.write(Event.KEY_CLAIMED, key=request.key, service=request.service)
        ended = self._running_attempts[request.attempt_id] = asyncio.Event()
        try:
            # After the deadline the claim may have been resolved as not run and
            # granted to another host, so no attempt may start after it.
            if request.is_cancelled or self.clock.now_ms() >= request.deadline_ms:
                raise _not_started(request)
            request.answer = await request.attempt()
        except Exception as error:
            request.error = error
            finish = self._finish_with_error(request, error)
            if finish.outcome is KeyOutcome.NOT_RUN:
                # The error must reach the caller before the record permits a resend,
                # else the caller could receive "not run" after the resend has run.
                self._calls.record(finish)
            else:
                await self._calls.record_and_wait(finish)
            raise
        else:
            await self._calls.record_and_wait(self._finish_with_answer(request))
            return request.answer
        finally:
            ended.set()
            del self._running_attempts[request.attempt_id]

    async def _claim(self, request: _KeyedRequest) -> ClaimReply:
        """Claim the key, with retries; sending the same claim again is safe."""
        command = ClaimKey(
            key=request.key,
            service=request.service,
            digest=request.digest,
            host=self.settings.host,
            incarnation=self.settings.incarnation,
            attempt_id=request.attempt_id,
        )
        try:
            return await self._call_with_retries(command, request)
        except BulrushleadError as error:
            # A claim without a reply may still be applied, so release it.
            self._calls.record(self._finish(request, KeyOutcome.NOT_RUN))
            raise _claim_failed(request, error.detail) from error

    async def _claim_with_new_attempt(self, request: _KeyedRequest) -> ClaimReply:
        """Claim with a new attempt after the old one was abandoned before its start."""
        await self._calls.record_and_wait(self._finish(request, KeyOutcome.NOT_RUN))
        request.attempt_id = self._new_attempt_id()
        return await self._claim(request)

    def _is_own_attempt_over(self, request: _KeyedRequest, reply: ClaimReply) -> bool:
        if reply.state is ClaimState.ATTEMPT_OVER:
            return True
        return (
            reply.state is ClaimState.UNKNOWN and reply.attempt_id == request.attempt_id
        )

    async def _read_or_claim(self, request: _KeyedRequest) -> ClaimReply:
        query = ReadKey(request.key, request.service, request.digest)
        try:
            reply = await self._call_with_retries(query, request)
        except BulrushleadError as error:
            raise _outcome_unknown(request) from error
        # An earlier claim of this attempt may have been applied late; claiming again
        # starts the attempt.
        if reply.state is ClaimState.FREE or reply.attempt_id == request.attempt_id:
            return await self._claim(request)
        return reply

    async def _wait_for_holder(
        self, request: _KeyedRequest, reply: ClaimReply, poll_ms: float
    ) -> None:
        # An attempt on this host sets an event at its end and needs no polling.
        ended = self._running_attempts.get(reply.attempt_id)
        if ended is not None:
            await ended.wait()
            return
        now_ms = self.clock.now_ms()
        first_seen_ms = self._observed.first_seen_ms(reply.attempt_id, now_ms)
        has_restarted = (
            reply.host == self.settings.host
            and reply.incarnation != self.settings.incarnation
        )
        if has_restarted or now_ms - first_seen_ms >= self.settings.abandon_after_ms:
            await self._abandon(request, reply)
            return
        await self.clock.sleep_ms(min(poll_ms, request.deadline_ms - now_ms))
        if request.is_cancelled or self.clock.now_ms() >= request.deadline_ms:
            raise _outcome_unknown(request)

    async def _abandon(self, request: _KeyedRequest, reply: ClaimReply) -> None:
        command = AbandonKey(
            key=request.key,
            service=request.service,
            attempt_id=reply.attempt_id,
            note=f"entry host {reply.host} did not record the outcome in time",
        )
        self._log.write(
            Event.KEY_LOST, key=request.key, service=request.service, holder=reply.host
        )
        try:
            await self._call_with_retries(command, request)
        except BulrushleadError as error:
            raise _outcome_unknown(request) from error

    async def _call_with_retries(self, command: Any, request: _KeyedRequest) -> Any:
        return await self._calls.call_with_retries(
            command, request.deadline_ms, lambda: request.is_cancelled
        )

    def _finish_with_answer(self, request: _KeyedRequest) -> FinishKey:
        limit_bytes = self.settings.max_recorded_answer_bytes
        return finish_with_answer(
            request.key,
            request.service,
            request.attempt_id,
            request.answer,
            limit_bytes,
        )

    def _finish_with_error(self, request: _KeyedRequest, error: Exception) -> FinishKey:
        ran = ran_of(error)
        outcome = KeyOutcome.NOT_RUN if ran is Ran.NO else KeyOutcome.UNKNOWN
        return self._finish(request, outcome, str(error))

    def _finish(
        self, request: _KeyedRequest, outcome: KeyOutcome, note: str = ""
    ) -> FinishKey:
        return FinishKey(
            request.key, request.service, request.attempt_id, outcome, note=note[:500]
        )

    def _new_attempt_id(self) -> str:
        return f"{self._attempt_id_prefix}/{next(self._attempt_numbers)}"


def _outcome_unknown(request: _KeyedRequest) -> ForwardError:
    return key_error(
        ResultCode.KEY_OUTCOME_UNKNOWN,
        request.key,
        "no outcome was recorded when time ran out; resend it with the same key",
    )


def _claim_failed(request: _KeyedRequest, reason: str) -> ForwardError:
    return key_error(
        ResultCode.KEY_CLAIM_FAILED,
        request.key,
        "it did not run this time, but an earlier send may have; resend it with the "
        f"same key: {reason}",
    )


def _not_started(request: _KeyedRequest) -> ForwardError:
    return key_error(
        ResultCode.DEADLINE_TOO_SHORT,
        request.key,
        "the caller left or the deadline passed before the request was sent",
    )
