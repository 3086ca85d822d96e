"""Memory for the messages that a host holds at the same time."""

from collections.abc import Callable

# Each byte of an answer may be held four times until it is sent on: as received,
# joined, rendered and in the socket's buffer. A small host has 200 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Bodies of callers' requests: a single one of the usual limit, 64 MiB, must fit. It is
# held twice for a moment, while it is joined.
MAX_BODY_BYTES = 72 * 1024 * 1024
# A header field takes a tuple and two objects beside its characters.
FIELD_BYTES = 160


class ByteBudget:
    """Bound on the bytes that several connections hold together.

    Parameters
    ----------
    max_bytes : int
        Largest sum, and largest single message, in bytes.

    Attributes
    ----------
    used_bytes : int
        Bytes held now.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._shares: set[BudgetShare] = set()

    def reserve(self, n_bytes: int) -> bool:
        """Reserve room for bytes; return whether there is enough."""
        if self.used_bytes + n_bytes > self.max_bytes:
            return False
        self.used_bytes += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Return the room of bytes that are not held any more."""
        self.used_bytes -= n_bytes

    def resize(self, share: "BudgetShare", n_bytes: int) -> bool:
        """Set what a share holds; return whether there is enough room.

        If there is not, the owner that holds most gives way, so that one faulty
        server does not take the room of all others.
        """
        more_bytes = n_bytes - share.used_bytes
        while not self.reserve(more_bytes):
            heaviest = self._heaviest_of_others(share, n_bytes)
            if heaviest is None:
                return False
            heaviest.give_way()
            heaviest.resize(0)
        share.used_bytes = n_bytes
        if n_bytes > 0:
            self._shares.add(share)
        else:
            self._shares.discard(share)
        return True

    def _heaviest_of_others(
        self, share: "BudgetShare", n_bytes: int
    ) -> "BudgetShare | None":
        """Return the largest share of the owner that holds most, if that is another."""
        held: dict[str, int] = {}
        for other in self._shares:
            held[other.owner] = held.get(other.owner, 0) + other.used_bytes
        own_bytes = held.pop(share.owner, 0) - share.used_bytes + n_bytes
        owner = max(held, key=held.__getitem__, default=None)
        if owner is None or own_bytes > min(held[owner], self.max_bytes):
            return None
        others = [other for other in self._shares if other.owner == owner]
        return max(others, key=lambda other: other.used_bytes)


class BudgetShare:
    """What one connection holds of a budget.

    Parameters
    ----------
    budget : ByteBudget
        Budget, shared with other connections.
    owner : str
        Address of the other end; its shares are counted together.
    give_way : callable
        Called to drop what is held, if another owner needs the room.

    Attributes
    ----------
    used_bytes : int
        Bytes held now.
    """

    __slots__ = ("budget", "give_way", "owner", "used_bytes")

    def __init__(self, budget: ByteBudget, owner: str, give_way: Callable[[], None]):
        self.budget = budget
        self.owner = owner
        self.give_way = give_way
        self.used_bytes = 0

    def resize(self, n_bytes: int) -> bool:
        """Set what is held; return whether there is enough room."""
        if n_bytes == self.used_bytes:
            return True
        return self.budget.resize(self, n_bytes)
