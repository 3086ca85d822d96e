"""State of this replica while it leads one term."""

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
    requested_ms: float
    confirmed: asyncio.Future


class Leadership:
    """Replicates entries, commits them and maintains the lease of one term.

    Parameters
    ----------
    replica : Replica
        The replica that leads.
    term : int
        The term in which it was elected.
    vote_times_ms : dict of str to float
        Time of the request for each received vote, in milliseconds; the keys are
        replica identities. A vote counts towards the lease like an acknowledged
        heartbeat: after either, the voter refuses other candidates.

    Attributes
    ----------
    is_ready : bool
        Whether the first entry of the term is applied. From then on the state
        includes every change that was committed in earlier terms.
    """

    def __init__(self, replica: "Replica", term: int, vote_times_ms: dict[str, float]):
        self.replica = replica
        self.term = term
        self.vote_times_ms = vote_times_ms
        self.is_ready = False
        self.started_ms = replica.clock.now_ms()
        self.first_index = 0  # of the term's first entry; set by ``start``
        self._peers: dict[str, _Peer] = {}
        self._lease_task: asyncio.Task | None = None
        self._confirmations: list[_Confirmation] = []

    def start(self) -> None:
        """Append the first entry of the term and start replication."""
        self.first_index = self.append(EntryKind.NOOP, b"").index
        self._lease_task = asyncio.create_task(self._watch_lease())

    def close(self) -> None:
        """Stop replication and the lease watch, and fail pending confirmations."""
        for peer in self._peers.values():
            peer.task.cancel()
        if self._lease_task is not None:
            self._lease_task.cancel()
        for confirmation in self._confirmations:
            if not confirmation.confirmed.done():
                confirmation.confirmed.set_exception(
                    BulrushleadError(ResultCode.NOT_LEADER, "the leader changed; retry")
                )
                # The caller may have timed out. asyncio would then log the exception as
                # never retrieved.
                confirmation.confirmed.exception()

    def append(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry to the journal and wake the replication to each peer."""
        journal = self.replica.journal
        entry = LogEntry(journal.last_index + 1, self.term, kind, payload)
        journal.append([entry])
        self._update_peers()  # a change of members applies once it is appended
        for peer in self._peers.values():
            peer.replicator.wake()
        return entry

    def progress_of(self, replica_id: str) -> Progress | None:
        """Return the replication progress of a peer, or None if it is not a peer."""
        peer = self._peers.get(replica_id)
        return None if peer is None else peer.replicator.progress

    def silence_ms(self, replica_id: str) -> float:
        """Return how long a member has not answered, in milliseconds.

        A silence that the previous leaders saw counts too, once the member had an
        election timeout to answer this one.
        """
        now_ms = self.replica.clock.now_ms()
        progress = self.progress_of(replica_id)
        if progress is None:
            return 0.0
        silence_ms = now_ms - progress.last_contact_ms()
        if now_ms - self.started_ms < self.replica.settings.election_max_ms:
            return min(silence_ms, now_ms - self.started_ms)
        return silence_ms

    def silences_ms(self) -> dict[str, float]:
        """Return the silences of the members that missed an election timeout, in ms."""
        now_ms = self.replica.clock.now_ms()
        silences_ms = {
            replica_id: now_ms - peer.replicator.progress.last_contact_ms()
            for replica_id, peer in self._peers.items()
        }
        limit_ms = self.replica.settings.election_max_ms
        return {
            replica_id: silence_ms
            for replica_id, silence_ms in silences_ms.items()
            if silence_ms > limit_ms
        }

    def silent_since_ms(self) -> dict[str, float]:
        """Return since when members were silent when a quorum last answered, in ms.

        What this replica did not hear later may be its own fault.
        """
        quorum_sent_ms = self.lease_expiry_ms() - self.replica.settings.lease_ms
        limit_ms = quorum_sent_ms - self.replica.settings.election_max_ms
        contacts_ms = {
            replica_id: peer.replicator.progress.last_contact_ms()
            for replica_id, peer in self._peers.items()
        }
        return {
            replica_id: contact_ms
            for replica_id, contact_ms in contacts_ms.items()
            if contact_ms < limit_ms
        }

    def oldest_transfer_index(self) -> float:
        """Return the index of the oldest snapshot that is being sent to a peer.

        The index is infinite if no snapshot is being sent.
        """
        indexes = [p.replicator.transfer_index for p in self._peers.values()]
        return min(indexes, default=math.inf)

    def lease_expiry_ms(self) -> float:
        """Return when the lease expires, in milliseconds of the local clock.

        The lease starts at the latest time such that a quorum has acknowledged messages
        sent then or later. This replica counts as having acknowledged one sent now.
        """
        now_ms = self.replica.clock.now_ms()
        times_ms = self._values_of_voters(
            now_ms, lambda progress: progress.acknowledged_sent_ms
        )
        return self._quorum_value(times_ms, -math.inf) + self.replica.settings.lease_ms

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, which excludes any other leader."""
        return self.replica.clock.now_ms() < self.lease_expiry_ms()

    async def confirm(self) -> None:
        """Wait until a quorum has acknowledged messages sent after this call began.

        A lease alone does not make a read linearizable, because the host may be
        suspended between the check of the lease and the answer.
        """
        now_ms = self.replica.clock.now_ms()
        confirmed = asyncio.get_running_loop().create_future()
        self._confirmations.append(_Confirmation(now_ms, confirmed))
        for peer in self._peers.values():
            peer.replicator.wake()
        self.complete_confirmations()  # a single voter is a quorum by itself
        await confirmed

    def complete_confirmations(self) -> None:
        """Complete confirmations if a quorum acknowledged messages sent after them."""
        if not self._confirmations:
            return
        quorum_sent_ms = self.lease_expiry_ms() - self.replica.settings.lease_ms
        for confirmation in self._confirmations:
            if (
                confirmation.requested_ms <= quorum_sent_ms
                and not confirmation.confirmed.done()
            ):
                confirmation.confirmed.set_result(None)
        self._confirmations = [
            confirmation
            for confirmation in self._confirmations
            if not confirmation.confirmed.done()
        ]

    def advance_commit(self) -> None:
        """Commit the entries that are on the disks of a quorum.

        An entry of an earlier term is committed only together with an entry of
        this term. Until then another leader could replace the earlier entry, even if
        a quorum has stored it.
        """
        journal = self.replica.journal
        indexes = self._values_of_voters(
            journal.durable_index, lambda progress: progress.match_index
        )
        index = self._quorum_value(indexes, 0)
        if journal.term_at(index) == self.term:
            self.replica.commit_to(index)

    def record_applied(self, index: int) -> bool:
        """Set ``is_ready`` if the first entry is applied; return whether it changed."""
        if self.is_ready or index < self.first_index:
            return False
        self.is_ready = True
        return True

    def _values_of_voters(self, own_value, value_of) -> list:
        values = []
        for voter in self.replica.journal.members.voters():
            if voter.replica_id == self.replica.replica_id:
                values.append(own_value)
            elif voter.replica_id in self._peers:
                progress = self._peers[voter.replica_id].replicator.progress
                values.append(value_of(progress))
        return values

    def _quorum_value(self, values: list, default):
        """Return the highest value that a quorum has reached, or the default."""
        quorum_size = self.replica.journal.members.quorum_size()
        if len(values) < quorum_size:
            return default
        return sorted(values, reverse=True)[quorum_size - 1]

    def _update_peers(self) -> None:
        """Start replication to added members and stop it to removed ones."""
        journal = self.replica.journal
        wanted = {
            member.replica_id: member
            for member in journal.members.members
            if member.replica_id != self.replica.replica_id
        }
        for replica_id in [peer_id for peer_id in self._peers if peer_id not in wanted]:
            self._peers.pop(replica_id).task.cancel()
        now_ms = self.replica.clock.now_ms()
        # An identity that is added later may have been a member before.
        silent_since_ms = {} if self.first_index else self.replica.silent_since_ms
        for replica_id, member in wanted.items():
            if replica_id not in self._peers:
                progress = Progress(
                    next_index=journal.last_index,  # the entry just appended
                    # A vote counts as an acknowledged message.
                    acknowledged_sent_ms=self.vote_times_ms.get(replica_id, -math.inf),
                    expected_since_ms=silent_since_ms.get(replica_id, now_ms),
                )
                replicator = PeerReplicator(self.replica, self, member, progress)
                task = asyncio.create_task(replicator.run())
                self._peers[replica_id] = _Peer(member, replicator, task)

    async def _watch_lease(self) -> None:
        """Step down when the lease expires."""
        clock = self.replica.clock
        while (remaining_ms := self.lease_expiry_ms() - clock.now_ms()) > 0:
            await clock.sleep_ms(remaining_ms)
        self.replica.step_down("the lease expired without a quorum")
