"""Commands, replies and state messages of operator changes."""

import attrs

from bulrushlead.declaration import Declaration, Difference, HostRole, Risk
from bulrushlead.results import ResultCode
from bulrushlead.wire import message


@message("operators.apply")
class ApplyDeclaration:
    """Command of the replicated log: put a declaration in force.

    Parameters
    ----------
    request_id : str
        Identifies the change; a change that is sent again keeps it.
    expected_revision : int
        Accepted revision that the change was made from.
    declaration : Declaration
        What is to be in force, already validated.
    force : bool
        Whether the operator accepted the risks.
    author : str
        Who made the change.
    digest : bytes
        Digest of the fields above; empty lets each replica compute it.
    summary : tuple of str
        What the change does, for the history; empty lets each replica compute it.
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
    """Answer to a change.

    Parameters
    ----------
    revision : int
        Revision that the change became, or the accepted one if it was refused.
    code : int
        Result code; ``OK`` if the change is accepted.
    detail : str
        Why it was refused.
    differences : tuple of str
        What was accepted since the expected revision, if that is the reason.
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
        Its number; 0 stands for the empty declaration before the first change.
    declaration : Declaration
        What is declared.
    request_id : str
        Request that made it.
    author : str
        Who made it.
    index : int
        Its place in the replicated log.
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
        Revision that the change became.
    request_id : str
        Request that made it.
    author : str
        Who made it.
    force : bool
        Whether risks were accepted.
    summary : tuple of str
        What it did, one line an item; long lists are cut.
    """

    revision: int
    request_id: str = ""
    author: str = ""
    force: bool = False
    summary: tuple[str, ...] = ()


@message("operators.remembered")
class RememberedChange:
    """What is kept of an accepted change to recognise it when it is sent again.

    Parameters
    ----------
    request_id : str
        Request that made it.
    digest : bytes
        Digest of its content.
    revision : int
        Revision that it became.
    """

    request_id: str
    digest: bytes
    revision: int


@message("operators.snapshot")
class ConfigurationSnapshot:
    """The whole configuration state.

    Parameters
    ----------
    current : AcceptedConfiguration
        What is accepted.
    history : tuple of HistoryEntry
        Latest changes, oldest first.
    remembered : tuple of RememberedChange
        Accepted changes that are recognised, oldest first.
    """

    current: AcceptedConfiguration
    history: tuple[HistoryEntry, ...] = ()
    remembered: tuple[RememberedChange, ...] = ()


@message("operators.host_status")
class HostStatus:
    """What is in force on one host.

    Parameters
    ----------
    name : str
        Name of the host.
    role : HostRole
        What it does.
    in_force_revision : int
        Highest revision that it has acknowledged.
    lease_remaining_ms : float
        Time until its lease has run out, on the leader's clock; 0 if it has.
    connected : bool
        Whether it has a session with the leader.
    """

    name: str
    role: HostRole = HostRole.ENTRY
    in_force_revision: int = 0
    lease_remaining_ms: float = 0.0
    connected: bool = False


@message("operators.cluster_status")
class ClusterStatus:
    """What is in force on each host.

    Parameters
    ----------
    revision : int
        Accepted revision.
    leader : str
        Name of the control host that leads.
    term : int
        Term of the leader.
    hosts : tuple of HostStatus
        Every host that has or may have a lease.
    """

    revision: int
    leader: str = ""
    term: int = 0
    hosts: tuple[HostStatus, ...] = ()

    def hosts_behind(self, revision: int) -> tuple[str, ...]:
        """Return the hosts that may still act by an older revision.

        Parameters
        ----------
        revision : int
            The revision asked about.

        Returns
        -------
        tuple of str
            Names; empty if the revision is in force everywhere.
        """
        return tuple(
            host.name
            for host in self.hosts
            if host.in_force_revision < revision and host.lease_remaining_ms > 0
        )


@attrs.frozen
class ProposedChange:
    """What a declaration would change.

    Parameters
    ----------
    revision : int
        Accepted revision that it was compared with.
    difference : Difference
        What would change.
    risks : tuple of Risk
        What needs force.
    """

    revision: int
    difference: Difference = Difference()
    risks: tuple[Risk, ...] = ()
