"""Commands, replies and state messages of operators' changes."""

import attrs

from bulrushlead.declaration import Declaration, Difference, HostRole, Risk
from bulrushlead.results import ResultCode
from bulrushlead.wire import message


@message("operators.apply")
class ApplyDeclaration:
    """Command of the replicated log that puts a declaration in force.

    Parameters
    ----------
    request_id : str
        Identifier of the change; every attempt of it has the same one.
    expected_revision : int
        Accepted revision that the change is based on.
    declaration : Declaration
        Declaration to put in force, already validated.
    force : bool
        Whether the operator accepted the risks.
    author : str
        Name of the operator that made the change.
    digest : bytes
        Digest of the fields above except ``request_id``; if empty, each replica
        computes it.
    summary : tuple of str
        Changes for the history; if empty, each replica computes them.
    """

    request_id: str
    expected_revision: int
    declaration: Declaration
    force: bool = False
    author: str = ""
    digest: bytes = b""
    summary: tuple[str, ...] = ()


@message("operators.apply_reply")
class ApplyReply:
    """Reply to ``ApplyDeclaration``.

    Parameters
    ----------
    revision : int
        Revision of the accepted change, or the accepted revision if the change
        was refused.
    code : int
        Result code; ``OK`` if the change is accepted.
    detail : str
        Reason of the refusal.
    differences : tuple of str
        Changes accepted since the expected revision, if the change was refused
        with ``REVISION_CONFLICT``.
    """

    revision: int
    code: int = ResultCode.OK.value
    detail: str = ""
    differences: tuple[str, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the change is accepted."""
        return self.code == ResultCode.OK


@message("operators.accepted")
class AcceptedConfiguration:
    """An accepted declaration.

    Parameters
    ----------
    revision : int
        Number of the revision; 0 is the empty declaration before the first change.
    declaration : Declaration
        Accepted declaration.
    request_id : str
        Identifier of the change that made it.
    author : str
        Name of the operator that made the change.
    index : int
        Index of the command in the replicated log.
    """

    revision: int = 0
    declaration: Declaration = Declaration()
    request_id: str = ""
    author: str = ""
    index: int = 0


@message("operators.history_entry")
class HistoryEntry:
    """One accepted change.

    Parameters
    ----------
    revision : int
        Revision of the change.
    request_id : str
        Identifier of the change.
    author : str
        Name of the operator that made the change.
    force : bool
        Whether the operator accepted the risks.
    summary : tuple of str
        Changes, one line for each item; long lists are truncated.
    """

    revision: int
    request_id: str = ""
    author: str = ""
    force: bool = False
    summary: tuple[str, ...] = ()


@message("operators.remembered")
class RememberedChange:
    """Record of an accepted change, by which a retry of it is recognised.

    Parameters
    ----------
    request_id : str
        Identifier of the change.
    digest : bytes
        Digest of the content of the change.
    revision : int
        Revision of the change.
    """

    request_id: str
    digest: bytes
    revision: int


@message("operators.snapshot")
class ConfigurationSnapshot:
    """Snapshot of the configuration state.

    Parameters
    ----------
    current : AcceptedConfiguration
        Accepted configuration.
    history : tuple of HistoryEntry
        Latest accepted changes, oldest first.
    remembered : tuple of RememberedChange
        Accepted changes whose retries are recognised, oldest first.
    """

    current: AcceptedConfiguration
    history: tuple[HistoryEntry, ...] = ()
    remembered: tuple[RememberedChange, ...] = ()


@message("operators.host_status")
class HostStatus:
    """Revision and lease of one host.

    Parameters
    ----------
    name : str
        Name of the host.
    role : HostRole
        Role of the host.
    in_force_revision : int
        Highest revision that the host has acknowledged.
    lease_remaining_ms : float
        Time until its lease expires, by the leader's clock, in milliseconds; 0
        if it has expired.
    connected : bool
        Whether the host has a session with the leader.
    """

    name: str
    role: HostRole = HostRole.ENTRY
    in_force_revision: int = 0
    lease_remaining_ms: float = 0.0
    connected: bool = False


@message("operators.cluster_status")
class ClusterStatus:
    """Accepted revision, leader and status of each host.

    Parameters
    ----------
    revision : int
        Accepted revision.
    leader : str
        Name of the control host that is the leader.
    term : int
        Term of the leader.
    hosts : tuple of HostStatus
        Status of every entry host that is declared or may still have a lease.
    """

    revision: int
    leader: str = ""
    term: int = 0
    hosts: tuple[HostStatus, ...] = ()

    def hosts_behind(self, revision: int) -> tuple[str, ...]:
        """Return the hosts that may still act on an older revision.

        Parameters
        ----------
        revision : int
            Revision that should be in force.

        Returns
        -------
        tuple of str
            Names of the hosts; empty if the revision is in force everywhere.
        """
        return tuple(
            host.name
            for host in self.hosts
            if host.in_force_revision < revision and host.lease_remaining_ms > 0
        )


@attrs.frozen
class ProposedChange:
    """Changes and risks of a declaration that is not applied yet.

    Parameters
    ----------
    revision : int
        Accepted revision that the declaration was compared with.
    difference : Difference
        Changes that the declaration would make.
    risks : tuple of Risk
        Risks that the operator must accept with ``force``.
    """

    revision: int
    difference: Difference = Difference()
    risks: tuple[Risk, ...] = ()
