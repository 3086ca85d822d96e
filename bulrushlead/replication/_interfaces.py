"""What the replicated log asks of its surroundings."""

from collections.abc import Callable
from typing import Protocol

from bulrushlead.wire import LinkFactory


class StateMachine(Protocol):
    """State that every replica builds from the same commands.

    Notes
    -----
    The calls are made on the event loop, one at a time, and must not wait.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        The outcome may depend only on the state and on the command: no clock, no
        random numbers, no settings of the host.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that ``snapshot`` returned."""
        ...


LeadershipCallback = Callable[[bool], None]

__all__ = ["LeadershipCallback", "LinkFactory", "StateMachine"]
