"""Replication of the leader's log to one peer."""

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._generation import Snapshot
from bulrushlead.replication._messages import (
    AppendReply,
    AppendRequest,
    Member,
    SnapshotChunk,
    SnapshotReply,
)
from bulrushlead.results import BulrushleadError

if TYPE_CHECKING:
    from bulrushlead.replication._leadership import Leadership
    from bulrushlead.replication._replica import Replica

MAX_ENTRIES_PER_APPEND = 4096


@attrs.define
class Progress:
    """Replication progress of a peer.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry known to be on the peer's disk.
    acknowledged_sent_ms : float
        When the last message that the peer acknowledged was sent, in milliseconds.
    expected_since_ms : float
        Since when the peer counts as silent if it acknowledges nothing, in
        milliseconds.
    has_caught_up : bool
        Whether the peer has all that was committed when the last message that it
        acknowledged was sent. Under frequent changes a peer that is farther away
        than a quorum never has all that is committed now.
    """

    next_index: int
    match_index: int = 0
    acknowledged_sent_ms: float = -math.inf
    expected_since_ms: float = -math.inf
    has_caught_up: bool = False

    def last_contact_ms(self) -> float:
        """Return since when the peer has been silent, in milliseconds."""
        return max(self.acknowledged_sent_ms, self.expected_since_ms)


class PeerReplicator:
    """Sends entries, snapshots and heartbeats to one peer, one call at a time.

    Parameters
    ----------
    replica : Replica
        The replica that leads.
    leadership : Leadership
        The term that the replica leads.
    member : Member
        The peer.
    progress : Progress
        Replication progress of the peer.
    """

    def __init__(
        self,
        replica: "Replica",
        leadership: "Leadership",
        member: Member,
        progress: Progress,
    ):
        self.replica = replica
        self.leadership = leadership
        self.member = member
        self.progress = progress
        self._snapshot: Snapshot | None = None
        self._snapshot_offset_bytes = 0
        self._stalled = False
        self._wake = asyncio.Event()

    @property
    def transfer_index(self) -> float:
        """Index of the snapshot that is being sent.

        The index is infinite without a snapshot, and while the peer does not answer.
        """
        if self._snapshot is None or self._stalled:
            return math.inf
        return self._snapshot.header.index

    def wake(self) -> None:
        """Send the next message now, without waiting for the heartbeat."""
        self._wake.set()

    async def run(self) -> None:
        """Replicate until cancelled; an unexpected error ends the leadership."""
        try:
            await self._replicate()
        except Exception as error:
            self.replica.log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            self.replica.step_down(f"replicating to a peer failed: {error!r}")

    async def _replicate(self) -> None:
        settings = self.replica.settings
        clock = self.replica.clock
        link = self.replica.link_to(self.member.address)
        while True:
            self._wake.clear()
            position = self._position()
            request = self._next_request()
            sent_ms = clock.now_ms()
            try:
                reply = await link.call(request, settings.call_timeout_ms)
            except BulrushleadError as error:
                self._record_stall(error)
                await clock.sleep_ms(settings.heartbeat_ms)
                continue
            self._handle_reply(request, reply, sent_ms)
            # Without progress the same entries would be sent again at once.
            if self._is_up_to_date() or self._position() == position:
                due_ms = sent_ms + settings.heartbeat_ms
                with contextlib.suppress(TimeoutError):
                    await clock.wait_for(self._wake.wait(), due_ms - clock.now_ms())

    def _next_request(self) -> AppendRequest | SnapshotChunk:
        if self.progress.next_index <= self.replica.journal.base_index:
            return self._next_chunk()
        self._snapshot = None
        return self._next_append()

    def _next_append(self) -> AppendRequest:
        journal = self.replica.journal
        previous_index = self.progress.next_index - 1
        return AppendRequest(
            cluster_id=self.replica.cluster_id,
            target_id=self.member.replica_id,
            sender_id=self.replica.replica_id,
            sender_address=self.replica.settings.address,
            term=self.leadership.term,
            previous_index=previous_index,
            previous_term=journal.term_at(previous_index),
            commit_index=self.replica.commit_index,
            entries=journal.entries_from(
                self.progress.next_index,
                self.replica.settings.append_bytes,
                MAX_ENTRIES_PER_APPEND,
            ),
            silences_ms=self.leadership.silences_ms(),
        )

    def _next_chunk(self) -> SnapshotChunk:
        if self._snapshot is None:
            # One snapshot is sent until it is installed, even if a newer one exists.
            self._snapshot = self.replica.journal.snapshot
            self._snapshot_offset_bytes = 0
        snapshot = self._snapshot
        offset = self._snapshot_offset_bytes
        return SnapshotChunk(
            cluster_id=self.replica.cluster_id,
            target_id=self.member.replica_id,
            sender_id=self.replica.replica_id,
            sender_address=self.replica.settings.address,
            term=self.leadership.term,
            header=snapshot.header,
            offset_bytes=offset,
            data=snapshot.data[
                offset : offset + self.replica.settings.snapshot_chunk_bytes
            ],
        )

    def _handle_reply(self, request, reply, sent_ms: float) -> None:
        if reply.term > self.leadership.term:
            self.replica.observe_term(reply.term)
            return
        if reply.term < self.leadership.term:
            return
        self._stalled = False
        self.progress.acknowledged_sent_ms = max(
            self.progress.acknowledged_sent_ms, sent_ms
        )
        self.leadership.complete_confirmations()
        if isinstance(reply, AppendReply):
            self._handle_append_reply(request, reply)
        elif isinstance(reply, SnapshotReply):
            self._handle_snapshot_reply(request, reply)

    def _handle_append_reply(self, request: AppendRequest, reply: AppendReply) -> None:
        self.progress.has_caught_up = (
            reply.success and reply.match_index >= request.commit_index
        )
        if reply.success:
            self._record_match(reply.match_index)
        else:
            last_index = self.replica.journal.last_index
            self.progress.next_index = min(reply.match_index, last_index) + 1

    def _handle_snapshot_reply(self, request: SnapshotChunk, reply: SnapshotReply):
        self._snapshot_offset_bytes = reply.next_offset_bytes
        if reply.installed:
            self._snapshot = None
            self._record_match(request.header.index)

    def _record_match(self, index: int) -> None:
        self.progress.match_index = max(self.progress.match_index, index)
        self.progress.next_index = self.progress.match_index + 1
        self.leadership.advance_commit()

    def _is_up_to_date(self) -> bool:
        return self.progress.next_index > self.replica.journal.last_index

    def _position(self) -> tuple[int, int]:
        return self.progress.next_index, self._snapshot_offset_bytes

    def _record_stall(self, error: BulrushleadError) -> None:
        if not self._stalled:
            self._stalled = True
            self.replica.log.write(
                Event.REPLICA_STALLED,
                peer_id=self.member.replica_id,
                address=self.member.address,
                error=error.detail,
            )
