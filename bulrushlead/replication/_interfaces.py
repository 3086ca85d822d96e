"""Interfaces that users of the replicated log implement."""

from collections.abc import Callable
from typing import Protocol

from bulrushlead.wire import LinkFactory


class StateMachine(Protocol):
    """State that every replica builds from the same commands.

    Notes
    -----
    The methods are called on the event loop, one at a time, and must not block.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        The result must be deterministic: it may depend on the state and the
        command, but not on a clock, random numbers or settings of the host.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""
        ...


# Called with True on gain and False on loss of leadership.
LeadershipCallback = Callable[[bool], None]

__all__ = ["LeadershipCallback", "LinkFactory", "StateMachine"]
