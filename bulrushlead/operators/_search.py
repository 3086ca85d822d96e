"""Search for the leader among the control hosts."""

import random
from collections.abc import Sequence

from bulrushlead.clock import Clock
from bulrushlead.operators._refusals import HandshakeError, RefusedError
from bulrushlead.results import Ran, ResultCode

RETRY_PAUSE_MS = 100

# Another control host, or the same one later, may answer.
TRIED_ELSEWHERE = frozenset(
    {
        ResultCode.NOT_LEADER,
        ResultCode.NO_QUORUM,
        ResultCode.CONTROL_UNREACHABLE,
        ResultCode.PEER_UNREACHABLE,
        ResultCode.PEER_TIMEOUT,
        ResultCode.CHANGE_OUTCOME_UNKNOWN,
        ResultCode.STORAGE_FAILED,
        ResultCode.INTERNAL,
    }
)


class LeaderSearch:
    """Yields the address to ask next, within the time of one call.

    Parameters
    ----------
    addresses : sequence of str
        Every control host.
    clock : Clock
        Source of time.
    timeout_ms : float
        Time allowed without an answer, in milliseconds.
    leader : str
        Address that answered as leader before; asked first.

    Attributes
    ----------
    leader : str
        Address that answered last, or empty after a failure.
    may_have_run : bool
        Whether an attempt may have reached the replicated log.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock,
        timeout_ms: float,
        leader: str = "",
    ):
        self.addresses = addresses
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.leader = leader
        self.may_have_run = False
        self._deadline_ms = clock.now_ms() + timeout_ms
        self._round: list[str] = []
        self._asked: list[str] = []
        self._last: RefusedError | None = None

    def remaining_ms(self) -> float:
        """Return the time left, in milliseconds."""
        return max(0.0, self._deadline_ms - self.clock.now_ms())

    async def next_address(self) -> str:
        """Return the address to ask, after a pause between rounds.

        Raises
        ------
        RefusedError
            ``CONTROL_UNREACHABLE`` once the time is up, or ``NOT_AUTHORISED`` if
            the keys were refused last.
        """
        if not self._round:
            await self._begin_round()
        if self._last is not None and self.remaining_ms() <= 0:
            raise self._out_of_time(self._last)
        address = self._round.pop(0)
        self._asked.append(address)
        return address

    def record_answer(self, address: str) -> None:
        """Take note that a control host answered as leader."""
        self.leader = address
        self._deadline_ms = self.clock.now_ms() + self.timeout_ms

    def record_failure(self, error: RefusedError) -> None:
        """Take note of a failed attempt; raise it if no other can help."""
        if error.info.ran is not Ran.NO:
            self.may_have_run = True
        # Another control host may have keys that fit.
        is_final = error.code not in TRIED_ELSEWHERE
        if is_final and not isinstance(error, HandshakeError):
            raise error
        self._last = error
        self.leader = ""
        hint = error.leader_hint
        if hint and hint not in self._asked:
            self._round = [hint, *(a for a in self._round if a != hint)]

    def _out_of_time(self, last: RefusedError) -> RefusedError:
        if isinstance(last, HandshakeError):
            return last
        return RefusedError(
            ResultCode.CONTROL_UNREACHABLE,
            f"no control host of {', '.join(self.addresses)} answered as leader "
            f"within {self.timeout_ms:.0f} ms; last answer: {last}; check the "
            "addresses, or try again once a leader is elected",
        )

    async def _begin_round(self) -> None:
        if self._asked:
            pause_ms = RETRY_PAUSE_MS * random.uniform(0.5, 1.5)
            await self.clock.sleep_ms(min(pause_ms, self.remaining_ms()))
        others = [address for address in self.addresses if address != self.leader]
        self._round = [self.leader, *others] if self.leader else others
        self._asked = []
