"""What the answering side of operators' calls needs from the control program."""

from typing import Protocol

from bulrushlead.backend import BackendServer
from bulrushlead.operators._messages import (
    ApplyDeclaration,
    ApplyReply,
    ClusterStatus,
)
from bulrushlead.operators._state import ConfigurationState


class OperatorBackend(Protocol):
    """The replicated log and the leases, as operators' calls see them.

    Attributes
    ----------
    state : ConfigurationState
        State that the log feeds on this replica.
    """

    state: ConfigurationState

    async def propose(self, command: ApplyDeclaration) -> ApplyReply:
        """Append a command and return its reply once it is applied here.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, ``NO_QUORUM``, ``STORAGE_FAILED`` or
            ``MESSAGE_TOO_LARGE`` only if the command was certainly not appended;
            ``CHANGE_OUTCOME_UNKNOWN`` if it may be accepted later.
        """
        ...

    async def read_barrier(self) -> None:
        """Return once the state shows every change accepted before the call.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` or ``NO_QUORUM`` if this replica cannot know that.
        """
        ...

    def status(self) -> ClusterStatus:
        """Return what is in force on each host."""
        ...

    def backend_servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers that are announced now."""
        ...

    def is_leader(self) -> bool:
        """Return whether this replica leads and holds a valid lease."""
        ...

    def leader_hint(self) -> str:
        """Return the address of the leader for operators' calls, or empty."""
        ...
