"""Distribution of accepted changes to watchers."""

import asyncio
from collections.abc import AsyncIterator

from bulrushlead.clock import Clock
from bulrushlead.operators._backend import OperatorBackend
from bulrushlead.operators._messages import AcceptedConfiguration, HistoryEntry
from bulrushlead.operators._state import ConfigurationState

LEADERSHIP_CHECK_INTERVAL_MS = 1_000


class ChangeFeed:
    """Distributes accepted changes to any number of watchers.

    Parameters
    ----------
    backend : OperatorBackend
        Source of the changes.
    clock : Clock
        Source of time.
    """

    def __init__(self, backend: OperatorBackend, clock: Clock):
        self.backend = backend
        self.clock = clock
        self._changed = asyncio.Event()
        self._state: ConfigurationState | None = None

    def start(self) -> None:
        """Start listening for changes."""
        self._state = self.backend.state
        self._state.add_listener(self._notify)

    def close(self) -> None:
        """Stop listening for changes."""
        if self._state is not None:
            self._state.remove_listener(self._notify)
            self._state = None

    async def follow(self, after_revision: int) -> AsyncIterator[HistoryEntry]:
        """Yield changes above a revision, oldest first, indefinitely.

        Parameters
        ----------
        after_revision : int
            Highest revision that the watcher has received.

        Yields
        ------
        HistoryEntry
            Each change that the history still contains.

        Raises
        ------
        BulrushleadError
            With ``NOT_LEADER`` or ``NO_QUORUM`` when this replica cannot confirm
            that it is the leader, because it may then miss changes.
        """
        while True:
            # Taken before the history is read, so that a change accepted meanwhile
            # ends the wait below.
            changed = self._changed
            await self.backend.read_barrier()
            for entry in reversed(self.backend.state.history()):
                if entry.revision > after_revision:
                    after_revision = entry.revision
                    yield entry
            try:
                await self.clock.wait_for(changed.wait(), LEADERSHIP_CHECK_INTERVAL_MS)
            except TimeoutError:
                continue

    def _notify(self, accepted: AcceptedConfiguration) -> None:
        # Each event is set once and then replaced, so that no watcher has to reset it.
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
