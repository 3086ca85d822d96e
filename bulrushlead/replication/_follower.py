"""Handling of append requests and snapshot chunks from a leader."""

from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._applier import Applier
from bulrushlead.replication._generation import Snapshot, checksum_of
from bulrushlead.replication._messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotChunk,
    SnapshotHeader,
    SnapshotReply,
)
from bulrushlead.results import BulrushleadError, ResultCode

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


@attrs.define
class _PartialSnapshot:
    header: SnapshotHeader
    data: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Receives entries and snapshots from the leader.

    Parameters
    ----------
    replica : Replica
        The replica that follows.
    applier : Applier
        Applies committed entries to the state machine.
    """

    def __init__(self, replica: "Replica", applier: Applier):
        self.replica = replica
        self.applier = applier
        self._partial: _PartialSnapshot | None = None

    async def answer_append(self, request: AppendRequest) -> AppendReply:
        """Append entries and acknowledge them once they are on disk."""
        replica, journal = self.replica, self.replica.journal
        self._check_addressee(request)
        if request.term < replica.term:
            return AppendReply(replica.term)
        self._accept_leader(request)
        replica.record_silences(request.sender_id, request.silences_ms)
        if not self._has_previous_entry(request):
            return AppendReply(replica.term, match_index=self._match_hint(request))
        self._append_new_entries(request.entries)
        await journal.sync()
        if replica.term != request.term:
            return AppendReply(replica.term, match_index=journal.base_index)
        match_index = request.previous_index + len(request.entries)
        replica.commit_to(min(request.commit_index, match_index))
        return AppendReply(replica.term, True, match_index)

    async def answer_chunk(self, chunk: SnapshotChunk) -> SnapshotReply:
        """Store a snapshot chunk and install the snapshot once it is complete."""
        replica = self.replica
        self._check_addressee(chunk)
        if chunk.term < replica.term:
            return SnapshotReply(replica.term)
        self._accept_leader(chunk)
        if chunk.header.index <= replica.last_applied:
            # A former leader may have applied entries that are on the disks of a
            # quorum but not yet on its own.
            await replica.journal.sync()
            return SnapshotReply(replica.term, installed=True)
        snapshot = self._add_chunk(chunk)
        if snapshot is None:
            return SnapshotReply(replica.term, len(self._partial.data))
        await self._install(snapshot)
        return SnapshotReply(replica.term, chunk.header.size_bytes, installed=True)

    def _check_addressee(self, request: AppendRequest | SnapshotChunk) -> None:
        replica = self.replica
        if request.target_id != replica.replica_id:
            # The leader of the replica that was at this address; see ``Joining``.
            replica.sender_address = request.sender_address
        replica.check_addressee(request.target_id, request.cluster_id)

    def _accept_leader(self, request: AppendRequest | SnapshotChunk) -> None:
        replica = self.replica
        if replica.leadership is not None and request.term == replica.term:
            raise BulrushleadError(
                ResultCode.INTERNAL,
                f"replica {request.sender_id!r:.40} claims term {request.term}, which "
                f"{replica.replica_id} leads; restart both and report this",
            )
        replica.accept_leader(request.term, request.sender_address, request.cluster_id)

    def _has_previous_entry(self, request: AppendRequest) -> bool:
        journal = self.replica.journal
        if request.previous_index < journal.base_index:
            # Entries up to the base index are committed, so they match.
            return True
        return journal.term_at(request.previous_index) == request.previous_term

    def _match_hint(self, request: AppendRequest) -> int:
        """Return the last index that may match, skipping the conflicting term."""
        journal = self.replica.journal
        if request.previous_index > journal.last_index:
            return journal.last_index
        index = request.previous_index
        term = journal.term_at(index)
        while index > self.replica.commit_index and journal.term_at(index) == term:
            index -= 1
        return index

    def _append_new_entries(self, entries: tuple[LogEntry, ...]) -> None:
        journal = self.replica.journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.base_index:
                continue
            if journal.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.replica.commit_index:
                raise BulrushleadError(
                    ResultCode.STORAGE_DAMAGED,
                    f"entry {entry.index} of term {entry.term} contradicts a "
                    "committed one; empty the data folder of the replica at fault",
                )
            journal.append(list(entries[position:]))
            return

    def _add_chunk(self, chunk: SnapshotChunk) -> Snapshot | None:
        header = chunk.header
        if header.size_bytes > MAX_SNAPSHOT_BYTES:
            raise BulrushleadError(
                ResultCode.MESSAGE_TOO_LARGE,
                f"snapshot of {header.size_bytes} bytes; at most "
                f"{MAX_SNAPSHOT_BYTES} allowed",
            )
        if self._partial is None or self._partial.header != header:
            self._partial = _PartialSnapshot(header)
        data = self._partial.data
        if chunk.offset_bytes == len(data):
            data += chunk.data
        if len(data) < header.size_bytes:
            return None
        self._partial = None
        if checksum_of(bytes(data)) != header.checksum:
            raise BulrushleadError(
                ResultCode.MESSAGE_MALFORMED,
                f"snapshot {header.index} does not match its checksum; it is sent "
                "again",
            )
        return Snapshot(header, bytes(data))

    async def _install(self, snapshot: Snapshot) -> None:
        replica, journal = self.replica, self.replica.journal
        journal.install(snapshot)
        await journal.sync()
        if snapshot.header.index > replica.last_applied:
            self.applier.restore(snapshot)
            replica.log.write(
                Event.SNAPSHOT_INSTALLED,
                replica_id=replica.replica_id,
                index=snapshot.header.index,
                size_bytes=snapshot.header.size_bytes,
            )
