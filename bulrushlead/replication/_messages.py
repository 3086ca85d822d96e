"""Messages between replicas, and the records in their data folders."""

from enum import Enum

import attrs

from bulrushlead.wire import message


class EntryKind(Enum):
    """Type of the payload of a log entry."""

    COMMAND = 1
    NOOP = 2
    MEMBERS = 3


class MemberRole(Enum):
    """Whether a member counts towards a quorum."""

    VOTER = "voter"
    LEARNER = "learner"


@message("log.member")
class Member:
    """One replica of the cluster.

    Parameters
    ----------
    replica_id : str
        Random identity, generated with the data folder.
    address : str
        ``host:port`` of the replica.
    role : MemberRole
        Whether the replica counts towards a quorum.
    replaces : str
        Identity of the voter that this learner replaces, or empty.
    """

    replica_id: str
    address: str
    role: MemberRole = MemberRole.VOTER
    replaces: str = ""


@message("log.members")
class Members:
    """The set of replicas.

    Parameters
    ----------
    members : tuple of Member
        Voters and learners.
    """

    members: tuple[Member, ...] = ()

    def find(self, replica_id: str) -> Member | None:
        """Return the member with this identity, or None."""
        return next((m for m in self.members if m.replica_id == replica_id), None)

    def voters(self) -> tuple[Member, ...]:
        """Return the members that count towards a quorum."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

    def is_voter(self, replica_id: str) -> bool:
        """Return whether this identity counts towards a quorum."""
        member = self.find(replica_id)
        return member is not None and member.role is MemberRole.VOTER

    def quorum_size(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters()) // 2 + 1

    def replaced(self, replica_id: str, *new: Member) -> "Members":
        """Return the set without the member ``replica_id`` and with ``new`` ones."""
        kept = tuple(m for m in self.members if m.replica_id != replica_id)
        return Members(kept + new)


@message("log.entry")
class LogEntry:
    """One entry of the log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    kind : EntryKind
        Type of the payload.
    payload : bytes
        A command of the state machine, an encoded ``Members``, or empty for ``NOOP``.
    """

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


@message("log.vote_state")
class VoteState:
    """Durable election state of a replica.

    A replica that lost it could vote twice in one term.

    Parameters
    ----------
    term : int
        Highest term seen.
    voted_for : str
        Identity of the candidate voted for in that term, or empty.
    cluster_id : str
        Random identity of the cluster; empty until the replica joins or bootstraps
        one.
    may_bootstrap : bool, default=False
        Whether the settings allowed this replica to bootstrap a cluster when its folder
        was created. They do so at the first start only, which a crash may interrupt.
    """

    term: int = 0
    voted_for: str = ""
    cluster_id: str = ""
    may_bootstrap: bool = False


@message("log.journal_header")
class JournalHeader:
    """First record of a journal file.

    Parameters
    ----------
    replica_id : str
        Identity of the replica that owns the folder.
    record_count : int
        Number of records that were synced before the file was renamed from its
        temporary name.
    base_index, base_term : int
        Index and term of the entry before the first one in the file.
    snapshot_name : str
        Name of the snapshot file of this journal, or empty.
    format_version : int
        Version of the file format.
    """

    replica_id: str
    record_count: int
    base_index: int = 0
    base_term: int = 0
    snapshot_name: str = ""
    format_version: int = 1


@message("log.snapshot_header")
class SnapshotHeader:
    """First record of a snapshot file.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the snapshot includes.
    members : Members
        Set of replicas as of that entry.
    size_bytes : int
        Size of the state.
    checksum : int
        64-bit xxHash of the state.
    """

    index: int
    term: int
    members: Members
    size_bytes: int
    checksum: int


@message("log.vote")
class VoteRequest:
    """Requests a vote, or a pre-vote if ``trial`` is set.

    Parameters
    ----------
    cluster_id, target_id, sender_id : str
        Cluster, addressee and candidate.
    term : int
        Term of the election.
    last_index, last_term : int
        Index and term of the last entry of the candidate's log.
    trial : bool
        True for a pre-vote, which changes no state of the voter.
    """

    cluster_id: str
    target_id: str
    sender_id: str
    term: int
    last_index: int
    last_term: int
    trial: bool = False


@message("log.vote_reply")
class VoteReply:
    """Answer to a vote request.

    Parameters
    ----------
    term : int
        Term of the answering replica.
    granted : bool
        Whether the vote or pre-vote is granted.
    refusal : str
        Why it is not granted, for the log of the candidate.
    """

    term: int
    granted: bool = False
    refusal: str = ""


@message("log.append")
class AppendRequest:
    """Entries or a heartbeat of the leader.

    Parameters
    ----------
    cluster_id, target_id, sender_id : str
        Cluster, addressee and leader.
    sender_address : str
        Address of the leader.
    term : int
        Term of the leader.
    previous_index, previous_term : int
        Index and term of the entry before ``entries``.
    commit_index : int
        Index of the last committed entry.
    entries : tuple of LogEntry
        New entries, empty for a heartbeat.
    silences_ms : dict of str to float
        How long members have not answered the leader, by identity, in milliseconds;
        only those that missed an election timeout. The next leader counts on from
        there.
    """

    cluster_id: str
    target_id: str
    sender_id: str
    sender_address: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    silences_ms: dict[str, float] = attrs.field(factory=dict)


@message("log.append_reply")
class AppendReply:
    """Answer to an append request.

    Parameters
    ----------
    term : int
        Term of the answering replica.
    success : bool
        Whether the entries are on disk.
    match_index : int
        On success the index of the last entry known to match, otherwise the last
        index that may match.
    """

    term: int
    success: bool = False
    match_index: int = 0


@message("log.snapshot_chunk")
class SnapshotChunk:
    """One chunk of a snapshot, for a replica that lags behind the log.

    Parameters
    ----------
    cluster_id, target_id, sender_id : str
        Cluster, addressee and leader.
    sender_address : str
        Address of the leader.
    term : int
        Term of the leader.
    header : SnapshotHeader
        Header of the whole snapshot.
    offset_bytes : int
        Offset of ``data`` in the state.
    data : bytes
        Content of the chunk.
    """

    cluster_id: str
    target_id: str
    sender_id: str
    sender_address: str
    term: int
    header: SnapshotHeader
    offset_bytes: int = 0
    data: bytes = b""


@message("log.snapshot_reply")
class SnapshotReply:
    """Answer to a snapshot chunk.

    Parameters
    ----------
    term : int
        Term of the answering replica.
    next_offset_bytes : int
        Offset of the next chunk to send.
    installed : bool
        Whether the whole snapshot is on disk.
    """

    term: int
    next_offset_bytes: int = 0
    installed: bool = False


@message("log.join")
class JoinRequest:
    """Asks for the cluster of the addressee, and for admission by the leader.

    Parameters
    ----------
    replica_id, address : str
        Identity and address of the sender.
    leaves : bool, default=False
        Whether the sender is about to stop, and asks to be removed instead. Not a
        message of its own, which earlier builds would refuse: they ignore the field.
    """

    replica_id: str
    address: str
    leaves: bool = False


@message("log.join_reply")
class JoinReply:
    """Answer to a join request.

    Parameters
    ----------
    replica_id : str
        Identity of the answering replica.
    cluster_id : str
        Identity of its cluster, or empty.
    founders : tuple of str
        Addresses of the replicas that form the cluster according to its settings,
        its own included.
    members : tuple of str
        Addresses of the members in its log. The sender asks these too, since its
        settings may not name the leader.
    removed : bool, default=False
        Whether the sender, which leaves, was removed from the cluster.
    may_bootstrap : bool, default=True
        Whether it may bootstrap a cluster if it has none. Earlier builds do not say;
        others then wait for it, as they did.
    """

    replica_id: str
    cluster_id: str = ""
    founders: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    removed: bool = False
    may_bootstrap: bool = True
