"""Checksummed records in the files of a data folder."""

import struct

import attrs
import xxhash

from bulrushlead.results import BulrushleadError, ResultCode

_MAGIC = b"\xb7\x1e"
_HEADER = struct.Struct(">2sIQQ")  # magic, payload size, sequence, synced sequence
_CHECKSUM = struct.Struct(">Q")
_PREFIX_BYTES = _HEADER.size + _CHECKSUM.size


@attrs.frozen
class _Record:
    sequence: int
    synced_sequence: int
    payload: bytes
    end_offset: int


@attrs.frozen
class RecordScan:
    """Result of reading the records of a file.

    Parameters
    ----------
    payloads : list of bytes
        Contents of the valid records, in order.
    torn_bytes : int
        Size of an incomplete last write, 0 if there is none.
    """

    payloads: list[bytes]
    torn_bytes: int


def pack_records(payloads: list[bytes], first_sequence: int, synced: int) -> bytes:
    """Return the encoded records.

    Parameters
    ----------
    payloads : list of bytes
        Content of each record.
    first_sequence : int
        Number of the first record in its file, from 1.
    synced : int
        Number of the last record known to be synced before these are written.
    """
    parts = []
    for sequence, payload in enumerate(payloads, first_sequence):
        header = _HEADER.pack(_MAGIC, len(payload), sequence, synced)
        # The hash of the header is the seed, so the checksum covers the header too.
        checksum = xxhash.xxh64_intdigest(payload, xxhash.xxh32_intdigest(header))
        parts += (header, _CHECKSUM.pack(checksum), payload)
    return b"".join(parts)


def scan_records(data: bytes, name: str) -> RecordScan:
    """Read all the records of a file.

    An unreadable tail is tolerated unless a later record proves that it was
    synced: every record includes the number of the last record synced before it.

    Parameters
    ----------
    data : bytes
        Content of the file.
    name : str
        Name of the file, for the error message.

    Raises
    ------
    BulrushleadError
        ``STORAGE_DAMAGED`` if a record that was synced cannot be read.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        record = _parse(data, offset)
        if record is None or record.sequence != len(payloads) + 1:
            _check_not_synced(data, offset, len(payloads) + 1, name)
            break
        payloads.append(record.payload)
        offset = record.end_offset
    return RecordScan(payloads, len(data) - offset)


def storage_damaged(name: str, offset: int, problem: str) -> BulrushleadError:
    """Return the error for a damaged file."""
    return BulrushleadError(
        ResultCode.STORAGE_DAMAGED,
        f"{name}: {problem} at byte {offset}; do not edit it: empty the data folder "
        "and let the replica join again under a new identity",
    )


def _check_not_synced(data: bytes, offset: int, sequence: int, name: str) -> None:
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        record = _parse(data, position)
        if record is not None and record.synced_sequence >= sequence:
            raise storage_damaged(
                name, offset, f"record {sequence} was synced but is damaged"
            )
        position = data.find(_MAGIC, position + 1)


def _parse(data: bytes, offset: int) -> _Record | None:
    body_offset = offset + _PREFIX_BYTES
    if body_offset > len(data):
        return None
    magic, length, sequence, synced = _HEADER.unpack_from(data, offset)
    if magic != _MAGIC or body_offset + length > len(data):
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    payload = data[body_offset : body_offset + length]
    seed = xxhash.xxh32_intdigest(data[offset : offset + _HEADER.size])
    if xxhash.xxh64_intdigest(payload, seed) != checksum:
        return None
    return _Record(sequence, synced, payload, body_offset + length)
