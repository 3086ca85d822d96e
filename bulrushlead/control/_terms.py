"""Replicated record of whether any leader has granted leases."""

from bulrushlead.wire import message


@message("control.begin_term")
class BeginTerm:
    """Command of the replicated log: a leader is about to grant leases.

    Parameters
    ----------
    term : int
        Term of the leader.
    """

    term: int


@message("control.term_begun")
class TermBegun:
    """Reply to ``BeginTerm``.

    Parameters
    ----------
    first : bool
        Whether no earlier leader can have granted leases.
    """

    first: bool


class TermState:
    """Highest term in which leases may have been granted.

    Notes
    -----
    The first leader of a new installation can grant everything immediately. A
    later leader grants what no host reports only when all earlier leases have ended.
    """

    def __init__(self):
        self.granting_term = 0

    def apply(self, command: BeginTerm) -> TermBegun:
        """Record that a leader is about to grant leases."""
        first = self.granting_term == 0
        self.granting_term = max(self.granting_term, command.term)
        return TermBegun(first)
