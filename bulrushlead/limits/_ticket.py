"""The slot of an admitted request, and where it comes from."""

from typing import Generic, Protocol, TypeVar

import attrs

T = TypeVar("T")


class SlotSource(Protocol[T]):
    """Where an admitted request gets its slot."""

    def try_acquire(self) -> T | None:
        """Take a slot for the request, or return None if there is none now."""
        ...

    def release(self, slot: T) -> None:
        """Return a slot."""
        ...


@attrs.define(eq=False)
class Ticket(Generic[T]):
    """The right of one request to run.

    Parameters
    ----------
    slot : object
        What the request's ``SlotSource`` returned.
    source : SlotSource
        Takes the slot back.
    lane : str
        Lane of the request.
    started_at_ms, waited_ms : float
        When the request was admitted, and after what wait.
    is_open : bool
        Whether the request still runs.
    """

    slot: T
    source: SlotSource[T]
    lane: str
    started_at_ms: float
    waited_ms: float
    is_open: bool = True
