"""Reads and writes the files of a data folder.

A folder contains one journal and at most one snapshot. A journal is written under a
temporary name and renamed after its first records are synced. The journal with the
highest number therefore has at least the records that its header counts.
"""

import re

import attrs
import xxhash

from bulrushlead.replication._messages import (
    JournalHeader,
    LogEntry,
    SnapshotHeader,
    VoteState,
)
from bulrushlead.replication._records import pack_records, scan_records, storage_damaged
from bulrushlead.replication._storage import Storage
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

FORMAT_VERSION = 1
TEMPORARY_SUFFIX = ".tmp"
SNAPSHOT_RECORD_BYTES = 1024 * 1024
_JOURNAL_NAME = re.compile(r"journal-(\d{16})")
_SNAPSHOT_NAME = re.compile(r"snapshot-\d{16}-\d{16}")


@attrs.frozen
class Snapshot:
    """Serialized state of the state machine as of one entry.

    Parameters
    ----------
    header : SnapshotHeader
        Position, members, size and checksum.
    data : bytes
        Serialized state.
    """

    header: SnapshotHeader
    data: bytes

    @property
    def name(self) -> str:
        """Name of the snapshot file."""
        return f"snapshot-{self.header.index:016d}-{self.header.term:016d}"


@attrs.define
class Generation:
    """Content of a journal and of its snapshot.

    Parameters
    ----------
    number : int
        Number of the journal; a rewritten journal has a higher one.
    replica_id : str
        Identity of the replica that owns the folder.
    vote_state : VoteState
        Current term, vote and cluster.
    base_index, base_term : int
        Index and term of the entry before the first one.
    entries : list of LogEntry
        Entries in log order.
    snapshot : Snapshot or None
        State at or after ``base_index``.
    torn_bytes : int
        Size of an incomplete last write, which was discarded.
    """

    number: int
    replica_id: str
    vote_state: VoteState = attrs.field(factory=VoteState)
    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = attrs.field(factory=list)
    snapshot: Snapshot | None = None
    torn_bytes: int = 0

    @property
    def journal_name(self) -> str:
        """Name of the journal file."""
        return f"journal-{self.number:016d}"


def checksum_of(data: bytes) -> int:
    """Return the 64-bit xxHash of a serialized state."""
    return xxhash.xxh64_intdigest(data)


def load_generation(storage: Storage) -> Generation | None:
    """Return the latest generation of a folder, or None if the folder is empty.

    Raises
    ------
    BulrushleadError
        ``STORAGE_DAMAGED`` if a file that was synced is damaged or missing.
    """
    names = storage.list_names()
    journals = [name for name in names if _JOURNAL_NAME.fullmatch(name)]
    if not journals:
        orphans = [name for name in names if _SNAPSHOT_NAME.fullmatch(name)]
        if orphans:
            raise storage_damaged(
                orphans[0], 0, "the journal of this snapshot is missing"
            )
        return None
    generation = _load_journal(storage, journals[-1])
    snapshot = generation.snapshot
    if snapshot is None and generation.base_index > 0:
        raise storage_damaged(
            journals[-1], 0, "entries are missing and there is no snapshot"
        )
    return generation


def remove_leftovers(storage: Storage, generation: Generation) -> list[str]:
    """Remove the files that a generation, which was just loaded, does not use.

    A write that failed for lack of room leaves files behind; without this they would
    take the room that the next journal needs.

    Returns
    -------
    list of str
        Names of the removed files.
    """
    names = [name for name in storage.list_names() if _is_replica_file(name)]
    snapshot = generation.snapshot
    used = {generation.journal_name, "" if snapshot is None else snapshot.name}
    leftovers = [name for name in names if name not in used]
    if leftovers:
        # The name of the journal may not be durable yet, and then its predecessor is
        # the one that a power failure leaves.
        storage.sync_folder()
    for name in leftovers:
        storage.remove(name)
    return leftovers


def write_generation(storage: Storage, generation: Generation) -> int:
    """Write a journal and its snapshot durably, then remove the older files.

    Returns
    -------
    int
        Number of records in the journal.
    """
    names = set(storage.list_names())
    snapshot = generation.snapshot
    snapshot_name = "" if snapshot is None else snapshot.name
    if snapshot is not None and snapshot_name not in names:
        _write_file(storage, snapshot_name, _snapshot_payloads(snapshot), names)
    payloads = [codec.encode(generation.vote_state)]
    payloads += [codec.encode(entry) for entry in generation.entries]
    header = JournalHeader(
        replica_id=generation.replica_id,
        record_count=len(payloads) + 1,
        base_index=generation.base_index,
        base_term=generation.base_term,
        snapshot_name=snapshot_name,
        format_version=FORMAT_VERSION,
    )
    payloads.insert(0, codec.encode(header))
    _write_file(storage, generation.journal_name, payloads, names)
    for name in names - {generation.journal_name, snapshot_name}:
        if _is_replica_file(name):
            storage.remove(name)
    return len(payloads)


def _write_file(
    storage: Storage, name: str, payloads: list[bytes], names: set[str]
) -> None:
    temporary_name = name + TEMPORARY_SUFFIX
    if temporary_name in names:
        storage.remove(temporary_name)
        names.discard(temporary_name)
    storage.append(temporary_name, pack_records(payloads, 1, 0))
    storage.sync(temporary_name)
    storage.rename(temporary_name, name)
    storage.sync_folder()


def _is_replica_file(name: str) -> bool:
    stem = name.removesuffix(TEMPORARY_SUFFIX)
    return bool(_JOURNAL_NAME.fullmatch(stem) or _SNAPSHOT_NAME.fullmatch(stem))


def _load_journal(storage: Storage, name: str) -> Generation:
    scan = scan_records(storage.read(name), name)
    if not scan.payloads:
        raise storage_damaged(name, 0, "the header cannot be read")
    header = _decode(scan.payloads[0], JournalHeader, name)
    if header.format_version != FORMAT_VERSION:
        raise storage_damaged(
            name, 0, f"unknown format version {header.format_version}"
        )
    if len(scan.payloads) < header.record_count:
        raise storage_damaged(
            name, 0, f"{len(scan.payloads)} of {header.record_count} records are whole"
        )
    generation = Generation(
        number=int(_JOURNAL_NAME.fullmatch(name).group(1)),
        replica_id=header.replica_id,
        base_index=header.base_index,
        base_term=header.base_term,
        torn_bytes=scan.torn_bytes,
    )
    if header.snapshot_name:
        generation.snapshot = _load_snapshot(storage, header.snapshot_name)
    for payload in scan.payloads[1:]:
        _replay(generation, payload, name)
    return generation


def _replay(generation: Generation, payload: bytes, name: str) -> None:
    record = _decode(payload, LogEntry | VoteState, name)
    if isinstance(record, VoteState):
        generation.vote_state = record
        return
    position = record.index - generation.base_index - 1
    if not 0 <= position <= len(generation.entries):
        raise storage_damaged(
            name, 0, f"entry {record.index} does not follow its predecessor"
        )
    # An entry at an existing index replaces that entry and all later ones.
    del generation.entries[position:]
    generation.entries.append(record)


def _snapshot_payloads(snapshot: Snapshot) -> list[bytes]:
    data = snapshot.data
    parts = range(0, len(data), SNAPSHOT_RECORD_BYTES)
    return [codec.encode(snapshot.header)] + [
        data[offset : offset + SNAPSHOT_RECORD_BYTES] for offset in parts
    ]


def _load_snapshot(storage: Storage, name: str) -> Snapshot:
    if name not in storage.list_names():
        raise storage_damaged(name, 0, "the snapshot that the journal names is missing")
    scan = scan_records(storage.read(name), name)
    if scan.torn_bytes or not scan.payloads:
        raise storage_damaged(name, 0, "a record cannot be read")
    header = _decode(scan.payloads[0], SnapshotHeader, name)
    data = b"".join(scan.payloads[1:])
    if len(data) != header.size_bytes or checksum_of(data) != header.checksum:
        raise storage_damaged(name, 0, "the state does not match its checksum")
    return Snapshot(header, data)


def _decode(payload: bytes, expected: type, name: str):
    try:
        record = codec.decode(payload)
    except BulrushleadError as error:
        raise storage_damaged(name, 0, error.detail) from error
    if not isinstance(record, expected):
        raise storage_damaged(name, 0, f"unexpected record {type(record).__name__}")
    return record
