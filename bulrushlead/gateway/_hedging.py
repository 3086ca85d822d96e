"""Second attempts beside a first one that is late."""

import asyncio

import attrs

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher, Placement, Refusal, Work
from bulrushlead.gateway._attempts import AttemptRunner
from bulrushlead.gateway._crash_check import SETTLE_MS, SETTLE_STEP_MS
from bulrushlead.gateway._request_state import AttemptResult, RequestState
from bulrushlead.quarantine import CrashObserver

# Delay of a hedged attempt, as a multiple of the expected time until the answer.
HEDGE_DELAY_FACTOR = 3.0
HEDGE_MIN_DELAY_MS = 250  # shorter delays of an answer are common
MAX_CHECK_WAIT_MS = SETTLE_MS + 50  # a check, and the connection that it opens


class HedgedAttempts:
    """Runs attempts, each with a second one beside it if it is late.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Selects the servers of second attempts, and bounds their number.
    observer : CrashObserver
        Knows the requests that may not be sent twice.
    runner : AttemptRunner
        Sends the attempts.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        observer: CrashObserver,
        runner: AttemptRunner,
    ):
        self.clock = clock
        self.dispatcher = dispatcher
        self.observer = observer
        self._runner = runner
        self._finishing: set[asyncio.Task] = set()

    async def run(
        self, state: RequestState, work: Work, placement: Placement, sent: int
    ) -> tuple[AttemptResult, frozenset[str]]:
        """Run one attempt, and a hedged one beside it if the first is late.

        Returns
        -------
        tuple
            The result, and the servers that got an attempt.
        """
        task = self._runner.start(state, work, placement)
        tasks = {task}
        servers = frozenset({placement.server.server_id})
        try:
            if not state.route.idempotent:
                self._finishing.add(task)
                task.add_done_callback(self._finishing.discard)
                return await asyncio.shield(task), servers
            delay_ms = hedge_delay_ms(placement)
            done, _ = await asyncio.wait(tasks, timeout=delay_ms / 1000.0)
            if not done:
                hedge = self._hedge_placement(state, work, servers, sent)
                if hedge is not None:
                    servers |= {hedge.server.server_id}
                    tasks.add(self._runner.start(state, work, hedge))
            return await first_success(tasks), servers
        except asyncio.CancelledError:
            state.caller_disconnected = True
            raise
        finally:
            # A non-idempotent attempt continues even if its caller disconnected.
            if state.route.idempotent:
                for task in tasks:
                    task.cancel()

    def _hedge_placement(
        self, state: RequestState, work: Work, servers: frozenset[str], sent: int
    ) -> Placement | None:
        """Return a server without a queue for a hedged attempt, or None."""
        if self.observer.is_suspect(state.fingerprint) or not self.may_retry(
            state, work, sent
        ):
            return None
        remaining_ms = state.deadline_ms - self.clock.now_ms()
        placement = self.dispatcher.place(
            attrs.evolve(
                work, remaining_ms=remaining_ms, excluded=work.excluded | servers
            )
        )
        if isinstance(placement, Refusal) or placement.wait_ms > 0:
            return None
        if placement.work_ms > remaining_ms:
            return None
        self.dispatcher.budget.record_retry(work.service)
        return placement

    def may_retry(self, state: RequestState, work: Work, sent: int) -> bool:
        """Return whether one more server may get a request that some have got."""
        return (
            sent < state.route.max_attempts
            and self.observer.may_repeat(state.fingerprint)
            and self.dispatcher.budget.allows(work.service)
        )

    async def may_retry_once_checked(
        self, state: RequestState, work: Work, sent: int
    ) -> bool:
        """Return whether one more server may get a request whose attempt has failed.

        After a lost connection this waits for the check whether the server has ended.
        Until then the request counts as one that ends servers, and its caller would
        learn that the answer was lost although the request may be sent again.
        """
        may_gain = sent < state.route.max_attempts
        until_ms = min(self.clock.now_ms() + MAX_CHECK_WAIT_MS, state.deadline_ms)
        while (
            may_gain
            and self.clock.now_ms() < until_ms
            and self.observer.awaits_checks(state.fingerprint)
        ):
            await self.clock.sleep_ms(SETTLE_STEP_MS)
        return self.may_retry(state, work, sent)


def hedge_delay_ms(placement: Placement) -> float:
    """Return the time after which a second attempt may start beside the first."""
    expected_ms = placement.wait_ms + placement.uncached_ms
    return max(HEDGE_MIN_DELAY_MS, HEDGE_DELAY_FACTOR * expected_ms)


async def first_success(tasks: set[asyncio.Task]) -> AttemptResult:
    """Return the first final result, or the last one if none is final."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        for result in results:
            if result.final or not pending:
                return result
