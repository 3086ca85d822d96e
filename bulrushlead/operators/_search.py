"""Leader discovery among the control hosts."""

import random
from collections.abc import Sequence

from bulrushlead.clock import Clock
from bulrushlead.operators._refusals import HandshakeError, RefusedError
from bulrushlead.results import Ran, ResultCode

RETRY_BACKOFF_MS = 100

# A retry at another control host, or later at the same one, may succeed.
RETRYABLE_CODES = frozenset(
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
    """Chooses the address of each attempt, within the timeout of one call.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of every control host.
    clock : Clock
        Source of time.
    timeout_ms : float
        Maximum time without a reply of a leader, in milliseconds.
    leader : str
        Address that last replied as leader; it is tried first.

    Attributes
    ----------
    leader : str
        Address that last replied as leader; empty after a failure.
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
        self._untried: list[str] = []
        self._tried: list[str] = []
        self._last_error: RefusedError | None = None

    def remaining_ms(self) -> float:
        """Return the time left, in milliseconds."""
        return max(0.0, self._deadline_ms - self.clock.now_ms())

    async def next_address(self) -> str:
        """Return the address of the next attempt, with a backoff between rounds.

        Raises
        ------
        RefusedError
            With ``CONTROL_UNREACHABLE`` after the timeout, or ``NOT_AUTHORISED``
            if the last attempt failed in the TLS handshake.
        """
        if not self._untried:
            await self._start_round()
        if self._last_error is not None and self.remaining_ms() <= 0:
            raise self._timeout_error(self._last_error)
        address = self._untried.pop(0)
        self._tried.append(address)
        return address

    def record_reply(self, address: str) -> None:
        """Record that a control host replied as leader and restart the timeout."""
        self.leader = address
        self._deadline_ms = self.clock.now_ms() + self.timeout_ms

    def record_failure(self, error: RefusedError) -> None:
        """Record a failed attempt; raise its error if a retry cannot succeed."""
        if error.info.ran is not Ran.NO:
            self.may_have_run = True
        # After a failed handshake, another control host may accept the credentials.
        is_final = error.code not in RETRYABLE_CODES
        if is_final and not isinstance(error, HandshakeError):
            raise error
        self._last_error = error
        self.leader = ""
        hint = error.leader_hint
        if hint and hint not in self._tried:
            self._untried = [hint, *(a for a in self._untried if a != hint)]

    def _timeout_error(self, last_error: RefusedError) -> RefusedError:
        if isinstance(last_error, HandshakeError):
            return last_error
        return RefusedError(
            ResultCode.CONTROL_UNREACHABLE,
            f"none of {', '.join(self.addresses)} replied as leader within "
            f"{self.timeout_ms:.0f} ms; last error: {last_error}; check the "
            "addresses, or retry once a leader is elected",
        )

    async def _start_round(self) -> None:
        if self._tried:
            backoff_ms = RETRY_BACKOFF_MS * random.uniform(0.5, 1.5)
            await self.clock.sleep_ms(min(backoff_ms, self.remaining_ms()))
        others = [address for address in self.addresses if address != self.leader]
        self._untried = [self.leader, *others] if self.leader else others
        self._tried = []
