"""Interface of the control program that the operators' gRPC server calls."""

from typing import Protocol

from bulrushlead.backend import BackendServer
from bulrushlead.operators._messages import (
    ApplyDeclaration,
    ApplyReply,
    ClusterStatus,
)
from bulrushlead.operators._state import ConfigurationState


class OperatorBackend(Protocol):
    """Access of operators' calls to the replicated log and the leases.

    Attributes
    ----------
    state : ConfigurationState
        State to which this replica applies the committed commands.
    """

    state: ConfigurationState

    async def propose(self, command: ApplyDeclaration) -> ApplyReply:
        """Append a command and return its reply once this replica has applied it.

        Raises
        ------
        BulrushleadError
            With ``NOT_LEADER``, ``NO_QUORUM``, ``STORAGE_FAILED`` or
            ``MESSAGE_TOO_LARGE`` only if the command was definitely not appended,
            and with ``CHANGE_OUTCOME_UNKNOWN`` if it may still be accepted.
        """
        ...

    async def read_barrier(self) -> None:
        """Wait until the state includes every change accepted before the call.

        Raises
        ------
        BulrushleadError
            With ``NOT_LEADER`` or ``NO_QUORUM`` if this replica cannot confirm that
            it is the leader.
        """
        ...

    def status(self) -> ClusterStatus:
        """Return the revision and the lease of each host."""
        ...

    def backend_servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers that are announced at present."""
        ...

    def is_leader(self) -> bool:
        """Return whether this replica is the leader with a valid lease."""
        ...

    def leader_hint(self) -> str:
        """Return the leader's address for operators' calls; empty if unknown."""
        ...
