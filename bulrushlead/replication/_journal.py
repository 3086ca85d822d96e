"""Journal of one replica, in memory and on disk, with group commit."""

import asyncio
from collections.abc import Callable

import attrs

from bulrushlead.logs import Event, EventLogger
from bulrushlead.replication._generation import (
    Generation,
    Snapshot,
    load_generation,
    remove_leftovers,
    write_generation,
)
from bulrushlead.replication._member_history import MemberHistory
from bulrushlead.replication._messages import LogEntry, Members, VoteState
from bulrushlead.replication._records import pack_records
from bulrushlead.replication._storage import Storage
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec


@attrs.define
class _Batch:
    payloads: list[bytes]
    waiters: list[asyncio.Future]
    generation: Generation | None
    last_index: int


class Journal:
    """Entries, vote and snapshot of one replica.

    Changes are visible in memory at once and are written to disk in order;
    ``sync`` waits until they are durable. One task writes: records that are added
    while a sync is in progress form the next batch.

    Parameters
    ----------
    storage : Storage
        Data folder of the replica.
    on_durable : callable
        Called after each successful sync.
    on_failure : callable
        Called once, after a write failed or ``stop`` was called. Nothing is written
        after that.

    Attributes
    ----------
    durable_index : int
        Index of the last entry known to be on disk.
    entries_bytes : int
        Total size of the payloads of the entries in memory.
    failure : BulrushleadError or None
        Error that stopped the journal.
    """

    def __init__(
        self,
        storage: Storage,
        on_durable: Callable[[], None],
        on_failure: Callable[[], None],
    ):
        self.storage = storage
        self.on_durable = on_durable
        self.on_failure = on_failure
        self.replica_id = ""
        self.vote_state = VoteState()
        self.base_index = 0
        self.base_term = 0
        self.snapshot: Snapshot | None = None
        self.durable_index = 0
        self.failure: BulrushleadError | None = None
        self.entries_bytes = 0
        self._entries: list[LogEntry] = []
        self._member_history = MemberHistory()
        self._pending: list[bytes] = []
        self._waiters: list[asyncio.Future] = []
        self._rewrite_needed = False
        self._removed_names: list[str] = []  # of files left behind by failed writes
        self._number = 0  # of the journal file
        self._sequence = 0  # of the last synced record in the file
        self._in_flight_index = 0  # of the last entry in the write in progress
        self._wake = asyncio.Event()
        self._writer: asyncio.Task | None = None
        self._closing = False
        self._log = EventLogger("replication")

    async def start(self, new_replica_id: str, may_bootstrap: bool = False) -> None:
        """Load or create the data folder and start the writer task.

        The journal is rewritten at each start, because after a failed sync the
        page cache can contain bytes that are not on disk.

        Parameters
        ----------
        new_replica_id : str
            Identity of this replica if the folder is empty.
        may_bootstrap : bool, default=False
            Whether the replica may then bootstrap a cluster; see ``VoteState``.

        Raises
        ------
        BulrushleadError
            ``STORAGE_DAMAGED`` or ``STORAGE_FAILED``.
        """
        try:
            new = Generation(0, new_replica_id, VoteState(may_bootstrap=may_bootstrap))
            generation = await self.storage.run(lambda: self._recover(new))
        except OSError as error:
            self.storage.close()
            raise _storage_failed(error) from error
        except BulrushleadError:
            self.storage.close()
            raise
        if generation.torn_bytes:
            self._log.write(
                Event.TAIL_REPAIRED,
                replica_id=generation.replica_id,
                removed_bytes=generation.torn_bytes,
            )
        self._initialise_from(generation)
        self._log.write(
            Event.STORAGE_OPENED,
            replica_id=self.replica_id,
            journal=generation.journal_name,
            last_index=self.last_index,
            last_term=self.last_term,
            snapshot_index=self.snapshot.header.index if self.snapshot else 0,
            removed_files=self._removed_names,
        )
        self._writer = asyncio.create_task(self._run_writer())

    async def close(self) -> None:
        """Finish the write in progress and stop; pending records are discarded."""
        self._closing = True
        self._wake.set()
        if self._writer is not None:
            # An error in ``on_failure`` must not keep the folder locked.
            await asyncio.gather(self._writer, return_exceptions=True)
            self._writer = None
        self.storage.close()

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """Latest set of replicas in the log, committed or not."""
        return self._member_history.members

    @property
    def members_index(self) -> int:
        """Index of the entry with the latest set of replicas."""
        return self._member_history.index

    def members_at(self, index: int) -> Members:
        """Return the set of replicas as of an entry."""
        return self._member_history.members_at(index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, max_bytes: int, max_count: int):
        """Return entries from ``index`` on, at least one if any exists.

        The limits are ``max_count`` entries and ``max_bytes`` of payloads; the
        first entry may exceed ``max_bytes``.
        """
        first = index - self.base_index - 1
        chosen: list[LogEntry] = []
        size_bytes = 0
        for entry in self._entries[first : first + max_count]:
            size_bytes += len(entry.payload)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def set_vote_state(self, vote_state: VoteState) -> None:
        """Replace the term, vote and cluster."""
        self.vote_state = vote_state
        self._enqueue(vote_state)

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries; one at an existing index replaces it and all later ones."""
        for entry in entries:
            if entry.index <= self.last_index:
                self._truncate(entry.index)
            self._entries.append(entry)
            self.entries_bytes += len(entry.payload)
            self._member_history.add(entry)
            self._enqueue(entry)

    def compact(self, snapshot: Snapshot, trailing_entries: int) -> None:
        """Store a snapshot and drop all but ``trailing_entries`` entries before it."""
        self.snapshot = snapshot
        base_index = max(self.base_index, snapshot.header.index - trailing_entries)
        base_term = self.term_at(base_index)
        self._delete(0, base_index - self.base_index)
        self.base_index, self.base_term = base_index, base_term
        self._member_history.reset_to(snapshot.header)
        self._request_rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot of the leader by that snapshot.

        Later entries stay if the log has the last entry of the snapshot with the
        same term, and are dropped otherwise.
        """
        header = snapshot.header
        if self.term_at(header.index) == header.term:
            self._delete(0, header.index - self.base_index)
        else:
            self._delete(0, len(self._entries))
            self._member_history = MemberHistory()
            self.durable_index = self._in_flight_index = 0
        self.base_index, self.base_term = header.index, header.term
        self.snapshot = snapshot
        self._member_history.reset_to(snapshot.header)
        self._request_rewrite()

    async def sync(self) -> None:
        """Wait until all records added so far are on disk.

        Raises
        ------
        BulrushleadError
            ``STORAGE_FAILED`` if they cannot be written.
        """
        if self.failure is not None:
            raise self.failure
        if self._closing:
            raise _storage_failed(OSError("the replica is closing"))
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake.set()
        await waiter

    def stop(self, error: Exception) -> None:
        """Stop writing after an error in another component of this replica."""
        if self.failure is None:
            self._fail(
                BulrushleadError(
                    ResultCode.INTERNAL,
                    f"replica stopped by {error!r}; restart it and report this",
                )
            )

    def _recover(self, new: Generation) -> Generation:
        self.storage.open()
        generation = load_generation(self.storage) or new
        self._removed_names = remove_leftovers(self.storage, generation)
        generation.number += 1
        self._sequence = write_generation(self.storage, generation)
        return generation

    def _initialise_from(self, generation: Generation) -> None:
        self._number = generation.number
        self.replica_id = generation.replica_id
        self.vote_state = generation.vote_state
        self.base_index = generation.base_index
        self.base_term = generation.base_term
        self.snapshot = generation.snapshot
        self._entries = generation.entries
        self.entries_bytes = sum(len(entry.payload) for entry in self._entries)
        self.durable_index = self._in_flight_index = self.last_index
        for entry in self._entries:
            self._member_history.add(entry)
        if self.snapshot is not None:
            self._member_history.reset_to(self.snapshot.header)

    def _enqueue(self, record: LogEntry | VoteState) -> None:
        self._pending.append(codec.encode(record))
        self._wake.set()

    def _truncate(self, index: int) -> None:
        self._delete(index - self.base_index - 1, len(self._entries))
        self._member_history.truncate(index)
        self.durable_index = min(self.durable_index, index - 1)
        self._in_flight_index = min(self._in_flight_index, index - 1)

    def _delete(self, first: int, end: int) -> None:
        removed = self._entries[first:end]
        self.entries_bytes -= sum(len(entry.payload) for entry in removed)
        del self._entries[first:end]

    def _request_rewrite(self) -> None:
        self._rewrite_needed = True
        self._wake.set()

    async def _run_writer(self) -> None:
        while not self._closing:
            await self._wake.wait()
            self._wake.clear()
            if self._closing:
                break
            batch = self._next_batch()
            try:
                await self.storage.run(lambda batch=batch: self._write_batch(batch))
                self._complete_batch(batch)
            except Exception as error:
                self._waiters = batch.waiters + self._waiters
                self._fail(_storage_failed(error))
                return
        for waiter in self._waiters:
            waiter.cancel()

    def _next_batch(self) -> _Batch:
        generation = None
        if self._rewrite_needed:
            self._number += 1
            generation = Generation(
                self._number,
                self.replica_id,
                self.vote_state,
                self.base_index,
                self.base_term,
                list(self._entries),
                self.snapshot,
            )
        batch = _Batch(self._pending, self._waiters, generation, self.last_index)
        self._pending, self._waiters, self._rewrite_needed = [], [], False
        self._in_flight_index = self.last_index
        return batch

    def _write_batch(self, batch: _Batch) -> None:
        if batch.generation is not None:
            # The rewritten journal includes the pending records.
            self._sequence = write_generation(self.storage, batch.generation)
        elif batch.payloads:
            name = f"journal-{self._number:016d}"
            data = pack_records(batch.payloads, self._sequence + 1, self._sequence)
            self.storage.append(name, data)
            self.storage.sync(name)
            self._sequence += len(batch.payloads)

    def _complete_batch(self, batch: _Batch) -> None:
        # _truncate lowers _in_flight_index if it removes entries during the write.
        self.durable_index = max(self.durable_index, self._in_flight_index)
        for waiter in batch.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.on_durable()

    def _fail(self, failure: BulrushleadError) -> None:
        self.failure = failure
        self._closing = True
        self._wake.set()
        self._log.write(
            Event.STORAGE_FAILED,
            replica_id=self.replica_id,
            code=failure.code.value,
            error=failure.detail,
        )
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(failure)
        self._waiters = []
        self.on_failure()


def _storage_failed(error: Exception) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.STORAGE_FAILED,
        f"writing the data folder failed: {error}; nothing more is acknowledged: "
        "free or replace the disk, then restart this replica",
    )
