"""Ticket of an admitted request and the source of its slot."""

from typing import Generic, Protocol, TypeVar

import attrs

T = TypeVar("T")


class SlotSource(Protocol[T]):
    """Supplies slots to admitted requests."""

    def try_acquire(self) -> T | None:
        """Acquire a free slot, or return None if there is none."""
        ...

    def release(self, slot: T) -> None:
        """Make a slot available again."""
        ...


@attrs.define(eq=False)
class Ticket(Generic[T]):
    """Permission for one request to run, with its slot.

    Parameters
    ----------
    slot : object
        Slot that ``source`` returned.
    source : SlotSource
        Source to which the slot is released.
    lane : str
        Lane of the request.
    started_ms, waited_ms : float
        Time of the admission, and the wait before it.
    is_open : bool
        Whether the slot is still in use.
    """

    slot: T
    source: SlotSource[T]
    lane: str
    started_ms: float
    waited_ms: float
    is_open: bool = True
