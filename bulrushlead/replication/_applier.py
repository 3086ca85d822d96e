"""Applies committed entries to the state machine, in log order."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._generation import Snapshot, checksum_of
from bulrushlead.replication._interfaces import StateMachine
from bulrushlead.replication._messages import EntryKind, LogEntry, SnapshotHeader
from bulrushlead.results import BulrushleadError, ResultCode

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

APPLY_BATCH_ENTRIES = 256  # the applier yields to other tasks between batches
MAX_ERROR_LENGTH = 300  # of the text of an error in the log
# Limit of the entries between two snapshots, and of those kept before a snapshot, as
# a multiple of snapshot_threshold_entries.
MAX_THRESHOLD_MULTIPLE = 8


@attrs.define(eq=False)
class _Proposal:
    term: int
    result: asyncio.Future


@attrs.frozen(eq=False)
class _Reader:
    index: int
    applied: asyncio.Future


class Applier:
    """Applies committed entries and writes snapshots.

    Parameters
    ----------
    replica : Replica
        The replica whose log is applied.
    state_machine : StateMachine
        State machine that the commands are applied to.
    """

    def __init__(self, replica: "Replica", state_machine: StateMachine):
        self.replica = replica
        self.state_machine = state_machine
        self._proposals: dict[int, _Proposal] = {}
        self._readers: list[_Reader] = []
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Wake the task that applies committed entries."""
        self._wake.set()

    def load_snapshot(self) -> None:
        """Restore the state machine from the local snapshot, if there is one."""
        if self.replica.journal.snapshot is not None:
            self.restore(self.replica.journal.snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state of the state machine by a snapshot."""
        self.state_machine.restore(snapshot.data)
        self.replica.commit_to(snapshot.header.index)
        self._record_applied(snapshot.header.index)

    async def run(self) -> None:
        """Apply entries as they are committed."""
        replica = self.replica
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._can_apply():
                last_index = min(
                    replica.commit_index, replica.last_applied + APPLY_BATCH_ENTRIES
                )
                while replica.last_applied < last_index:
                    index = replica.last_applied + 1
                    self._apply(replica.journal.entry_at(index))
                self._compact()
                await asyncio.sleep(0)

    async def wait_result(self, entry: LogEntry, timeout_ms: float) -> bytes:
        """Return the result of an entry that was appended just before this call.

        Raises
        ------
        BulrushleadError
            ``CHANGE_OUTCOME_UNKNOWN`` if the entry is not applied within
            ``timeout_ms`` milliseconds, or the leader changes meanwhile.
        """
        future = asyncio.get_running_loop().create_future()
        proposal = _Proposal(entry.term, future)
        self._proposals[entry.index] = proposal
        try:
            return await self.replica.clock.wait_for(future, timeout_ms)
        except TimeoutError as error:
            reason = f"{timeout_ms:.0f} ms passed"
            raise outcome_unknown(entry.index, reason) from error
        finally:
            if self._proposals.get(entry.index) is proposal:
                del self._proposals[entry.index]

    async def wait_applied(self, index: int) -> None:
        """Wait until an entry is applied."""
        if self.replica.last_applied >= index:
            return
        future = asyncio.get_running_loop().create_future()
        self._readers.append(_Reader(index, future))
        await future

    def abandon_proposals(self) -> None:
        """Fail every pending proposal with an unknown outcome."""
        proposals, self._proposals = self._proposals, {}
        for index, proposal in proposals.items():
            if not proposal.result.done():
                proposal.result.set_exception(outcome_unknown(index, "leader changed"))

    def _can_apply(self) -> bool:
        replica = self.replica
        # While a snapshot is being installed, the entries after last_applied are
        # missing until the snapshot is on disk.
        has_next = replica.last_applied >= replica.journal.base_index
        return has_next and replica.last_applied < replica.commit_index

    def _apply(self, entry: LogEntry) -> None:
        result = b""
        failure = None
        if entry.kind is EntryKind.COMMAND:
            try:
                result = self.state_machine.apply(entry.index, entry.payload)
            except Exception as error:
                # All replicas fail alike. Without this one entry would end the applier
                # of each of them, and again after each restart.
                failure = self._record_failure(entry, error)
        elif entry.kind is EntryKind.MEMBERS:
            self._log_members(entry)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None and not proposal.result.done():
            if proposal.term == entry.term and failure is not None:
                proposal.result.set_exception(failure)
            elif proposal.term == entry.term:
                proposal.result.set_result(result)
            else:
                proposal.result.set_exception(
                    outcome_unknown(entry.index, "another leader replaced it")
                )
        self._record_applied(entry.index)

    def _record_failure(self, entry: LogEntry, error: Exception) -> BulrushleadError:
        self.replica.log.write(
            Event.UNEXPECTED_ERROR,
            replica_id=self.replica.replica_id,
            index=entry.index,
            error=repr(error)[:MAX_ERROR_LENGTH],
        )
        return BulrushleadError(
            ResultCode.INTERNAL, f"entry {entry.index} cannot be applied; see the log"
        )

    def _record_applied(self, index: int) -> None:
        self.replica.record_applied(index)
        for reader in self._readers:
            if reader.index <= index and not reader.applied.done():
                reader.applied.set_result(None)
        self._readers = [r for r in self._readers if not r.applied.done()]

    def _compact(self) -> None:
        replica, journal = self.replica, self.replica.journal
        if not self._is_compaction_due():
            return
        data = self.state_machine.snapshot()
        header = SnapshotHeader(
            index=replica.last_applied,
            term=journal.term_at(replica.last_applied),
            members=journal.members_at(replica.last_applied),
            size_bytes=len(data),
            checksum=checksum_of(data),
        )
        journal.compact(Snapshot(header, data), self._trailing_entries())
        replica.log.write(
            Event.SNAPSHOT_WRITTEN,
            replica_id=replica.replica_id,
            index=header.index,
            size_bytes=header.size_bytes,
        )

    def _is_compaction_due(self) -> bool:
        """Return whether a new snapshot is due.

        To bound the cost of writing a large state, the log must first grow to the
        size of the last snapshot, or to ``MAX_THRESHOLD_MULTIPLE`` times the
        threshold of entries.
        """
        replica, journal = self.replica, self.replica.journal
        settings = replica.settings
        last_index, last_bytes = 0, 0
        if journal.snapshot is not None:
            last_index = journal.snapshot.header.index
            last_bytes = journal.snapshot.header.size_bytes
        entries = replica.last_applied - last_index
        if entries >= settings.snapshot_threshold_entries * MAX_THRESHOLD_MULTIPLE:
            return True
        if journal.entries_bytes < last_bytes:
            return False
        if entries >= settings.snapshot_threshold_entries:
            return True
        return (
            entries > 0 and journal.entries_bytes >= settings.snapshot_threshold_bytes
        )

    def _trailing_entries(self) -> int:
        """Return how many entries before a new snapshot stay in the log.

        Entries after a snapshot that is being sent to a peer stay, so that the
        peer can continue from them and does not need another snapshot. No entries
        stay if the log has reached ``snapshot_threshold_bytes``.
        """
        replica, settings = self.replica, self.replica.settings
        if replica.journal.entries_bytes >= settings.snapshot_threshold_bytes:
            return 0
        trailing = settings.snapshot_trailing_entries
        if replica.leadership is not None:
            needed_index = replica.leadership.oldest_transfer_index()
            trailing = max(trailing, replica.last_applied - needed_index)
        max_trailing = settings.snapshot_threshold_entries * MAX_THRESHOLD_MULTIPLE
        return min(trailing, max_trailing)

    def _log_members(self, entry: LogEntry) -> None:
        members = self.replica.journal.members_at(entry.index).members
        self.replica.log.write(
            Event.MEMBERSHIP_CHANGED,
            replica_id=self.replica.replica_id,
            index=entry.index,
            members=[f"{m.replica_id}@{m.address}:{m.role.value}" for m in members],
        )


def outcome_unknown(index: int, reason: str) -> BulrushleadError:
    """Return the error for a proposal that may or may not be committed."""
    return BulrushleadError(
        ResultCode.CHANGE_OUTCOME_UNKNOWN,
        f"entry {index}: {reason} before the result was known; send the same change "
        "again with its request identifier",
    )
