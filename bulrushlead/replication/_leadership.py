"""One term of this replica as the leader."""

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from bulrushlead.replication._messages import EntryKind, LogEntry, Member
from bulrushlead.replication._peer import PeerReplicator, Progress
from bulrushlead.results import BulrushleadError, ResultCode

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica


@attrs.define
class _Peer:
    member: Member
    replicator: PeerReplicator
    task: asyncio.Task


@attrs.define(eq=False)
class _Confirmation:
    since_ms: float
    confirmed: asyncio.Future


class Leadership:
    """Appends entries, counts acknowledgements and holds the lease of one term.

    Parameters
    ----------
    replica : Replica
        The replica that leads.
    term : int
        The term in which it was elected.
    votes : dict of str to float
        When each vote that it received was asked for, by replica identity, in
        milliseconds. A voter refuses other candidates from then on, as it does
        after a heartbeat, so a vote counts for the lease.

    Attributes
    ----------
    announced : bool
        Whether the first entry of the term is applied, so that this replica knows
        everything that was committed before it.
    """

    def __init__(self, replica: "Replica", term: int, votes: dict[str, float]):
        self.replica = replica
        self.term = term
        self.votes = votes
        self.announced = False
        self.started_ms = replica.clock.now_ms()
        self.first_index = 0
        self._peers: dict[str, _Peer] = {}
        self._lease_task: asyncio.Task | None = None
        self._confirmations: list[_Confirmation] = []

    def start(self) -> None:
        """Append the first entry of the term and begin to replicate."""
        self.first_index = self.append(EntryKind.NOOP, b"").index
        self._lease_task = asyncio.create_task(self._watch_lease())

    def close(self) -> None:
        """Stop replicating."""
        for peer in self._peers.values():
            peer.task.cancel()
        if self._lease_task is not None:
            self._lease_task.cancel()
        for waiting in self._confirmations:
            if not waiting.confirmed.done():
                waiting.confirmed.set_exception(
                    BulrushleadError(ResultCode.NOT_LEADER, "the leader changed; retry")
                )
                # Its caller may have given up meanwhile and never look at it.
                waiting.confirmed.exception()

    def append(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Add an entry to the log and send it to the peers."""
        journal = self.replica.journal
        entry = LogEntry(journal.last_index + 1, self.term, kind, payload)
        journal.append([entry])
        self._match_peers_to_members()
        for peer in self._peers.values():
            peer.replicator.wake()
        return entry

    def progress_of(self, replica_id: str) -> Progress | None:
        """Return how far a peer has come, or None if it is unknown."""
        peer = self._peers.get(replica_id)
        return None if peer is None else peer.replicator.progress

    def oldest_transfer_index(self) -> float:
        """Return the index of the oldest snapshot on its way to a peer."""
        indexes = [p.replicator.transfer_index for p in self._peers.values()]
        return min(indexes, default=math.inf)

    def lease_until_ms(self) -> float:
        """Return when the lease runs out, in milliseconds of the own clock.

        The lease counts from when the messages were sent that a quorum has
        acknowledged.
        """
        now_ms = self.replica.clock.now_ms()
        times_ms = self._of_voters(now_ms, lambda progress: progress.acknowledged_ms)
        return self._quorum_value(times_ms, -math.inf) + self.replica.settings.lease_ms

    def holds_lease(self) -> bool:
        """Return whether no other replica can be the leader now."""
        return self.replica.clock.now_ms() < self.lease_until_ms()

    async def confirm(self) -> None:
        """Wait until a quorum has acknowledged a message sent after this call.

        A lease alone does not make a read safe on a host that may be suspended
        between the check and the answer.
        """
        now_ms = self.replica.clock.now_ms()
        confirmed = asyncio.get_running_loop().create_future()
        self._confirmations.append(_Confirmation(now_ms, confirmed))
        for peer in self._peers.values():
            peer.replicator.wake()
        self.note_acknowledged()
        await confirmed

    def note_acknowledged(self) -> None:
        """Complete the confirmations that a quorum has answered."""
        if not self._confirmations:
            return
        quorum_ms = self.lease_until_ms() - self.replica.settings.lease_ms
        for waiting in self._confirmations:
            if waiting.since_ms <= quorum_ms and not waiting.confirmed.done():
                waiting.confirmed.set_result(None)
        self._confirmations = [
            waiting for waiting in self._confirmations if not waiting.confirmed.done()
        ]

    def advance_commit(self) -> None:
        """Commit what a quorum has on its disks.

        An entry of an earlier term is committed only together with one of this
        term: a majority alone does not keep it from being replaced.
        """
        journal = self.replica.journal
        indexes = self._of_voters(
            journal.durable_index, lambda progress: progress.match_index
        )
        index = self._quorum_value(indexes, 0)
        if journal.term_at(index) == self.term:
            self.replica.commit_to(index)

    def note_applied(self, index: int) -> bool:
        """Return True once: when the first entry of the term has been applied."""
        if self.announced or index < self.first_index:
            return False
        self.announced = True
        return True

    def _of_voters(self, own_value, value_of) -> list:
        values = []
        for voter in self.replica.journal.members.voters():
            if voter.replica_id == self.replica.replica_id:
                values.append(own_value)
            elif voter.replica_id in self._peers:
                progress = self._peers[voter.replica_id].replicator.progress
                values.append(value_of(progress))
        return values

    def _quorum_value(self, values: list, default):
        quorum_size = self.replica.journal.members.quorum_size()
        if len(values) < quorum_size:
            return default
        return sorted(values, reverse=True)[quorum_size - 1]

    def _match_peers_to_members(self) -> None:
        journal = self.replica.journal
        wanted = {
            member.replica_id: member
            for member in journal.members.members
            if member.replica_id != self.replica.replica_id
        }
        for replica_id in [known for known in self._peers if known not in wanted]:
            self._peers.pop(replica_id).task.cancel()
        for replica_id, member in wanted.items():
            if replica_id not in self._peers:
                progress = Progress(
                    next_index=journal.last_index,
                    acknowledged_ms=self.votes.get(replica_id, -math.inf),
                )
                replicator = PeerReplicator(self.replica, self, member, progress)
                task = asyncio.create_task(replicator.run())
                self._peers[replica_id] = _Peer(member, replicator, task)

    async def _watch_lease(self) -> None:
        clock = self.replica.clock
        while (remaining_ms := self.lease_until_ms() - clock.now_ms()) > 0:
            await clock.sleep_ms(remaining_ms)
        self.replica.step_down("the lease ran out without a quorum")
