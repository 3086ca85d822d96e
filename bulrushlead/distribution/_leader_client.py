"""Client that finds the leader among the control hosts."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from bulrushlead.clock import Clock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import PeerLink

MIN_ATTEMPT_TIMEOUT_MS = 600
"""Minimum timeout of one attempt if there are several control hosts."""

PAUSE_AFTER_CYCLE_MS = 60
"""Mean pause after every control host was tried, in milliseconds."""

_TRY_NEXT_HOST = frozenset(
    {ResultCode.NOT_LEADER, ResultCode.NO_QUORUM, ResultCode.PEER_UNREACHABLE}
)


class LeaderClient:
    """Finds the leader among the control hosts and calls it.

    Parameters
    ----------
    addresses : sequence of str
        Peer addresses of all control hosts.
    clock : Clock
        Source of time.
    rng : random.Random
        Random source for jitter.
    link_factory : callable
        Creates the link to an address; the client closes the links it creates.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random,
        link_factory: Callable[[str], PeerLink],
    ):
        self.addresses = tuple(addresses)
        self.clock = clock
        self.rng = rng
        self.link_factory = link_factory
        self._links: dict[str, PeerLink] = {}
        self._current = 0

    async def call(self, request: Any, timeout_ms: float) -> Any:
        """Send a request to the leader and return its reply.

        Parameters
        ----------
        request : message
            Any registered message.
        timeout_ms : float
            Total time allowed for all attempts, in milliseconds.

        Raises
        ------
        BulrushleadError
            ``PEER_TIMEOUT`` if a control host may have processed the request,
            ``CONTROL_UNREACHABLE`` if none can have, or the error of the leader.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        n_attempts = 0
        while (remaining_ms := deadline_ms - self.clock.now_ms()) > 0:
            link = self._link(self.addresses[self._current])
            try:
                return await link.call(
                    request, min(remaining_ms, self._attempt_timeout_ms(timeout_ms))
                )
            except BulrushleadError as error:
                if error.code is ResultCode.PEER_TIMEOUT:
                    self._select_next_host()
                    raise
                if error.code not in _TRY_NEXT_HOST:
                    raise
            self._select_next_host()
            n_attempts += 1
            if n_attempts % len(self.addresses) == 0:
                await self._pause()
        raise BulrushleadError(
            ResultCode.CONTROL_UNREACHABLE,
            f"none of {', '.join(self.addresses)} answered as leader within "
            f"{timeout_ms:.0f} ms",
        )

    async def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            await link.close()
        self._links.clear()

    def _link(self, address: str) -> PeerLink:
        if address not in self._links:
            self._links[address] = self.link_factory(address)
        return self._links[address]

    def _attempt_timeout_ms(self, timeout_ms: float) -> float:
        # Leaves time to try the other control hosts when one does not reply.
        if len(self.addresses) == 1:
            return timeout_ms
        return max(MIN_ATTEMPT_TIMEOUT_MS, timeout_ms / len(self.addresses))

    def _select_next_host(self) -> None:
        self._current = (self._current + 1) % len(self.addresses)

    async def _pause(self) -> None:
        await self.clock.sleep_ms(PAUSE_AFTER_CYCLE_MS * (0.5 + self.rng.random()))
