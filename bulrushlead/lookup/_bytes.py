"""Binary format of client blocks, with a checksum over all bytes."""

import struct

import numpy as np
import xxhash

from bulrushlead.lookup._blocks import BlockArrays, FamilyBlocks, LongBlock
from bulrushlead.results import BulrushleadError, ResultCode

MAGIC = b"BLKT"
FORMAT_VERSION = 1
HEADER = struct.Struct("<4sHxxQQQ")
LONG_BLOCK = struct.Struct("<16sBH")
CHECKSUM_BYTES = 16


def pack_blocks(blocks: BlockArrays) -> bytes:
    """Serialise blocks.

    Parameters
    ----------
    blocks : BlockArrays
        Blocks to serialise, in this order.

    Returns
    -------
    bytes
        Header, little-endian arrays, IPv6 blocks longer than 64 bits with big-endian
        starts, and an XXH3 checksum.
    """
    parts = [
        HEADER.pack(
            MAGIC,
            FORMAT_VERSION,
            len(blocks.ipv4),
            len(blocks.ipv6),
            len(blocks.long_blocks),
        )
    ]
    parts += _pack_family(blocks.ipv4, "<u4")
    parts += _pack_family(blocks.ipv6, "<u8")
    parts += [
        LONG_BLOCK.pack(block.start.to_bytes(16, "big"), block.length, block.target)
        for block in blocks.long_blocks
    ]
    body = b"".join(parts)
    return body + xxhash.xxh3_128_digest(body)


def unpack_blocks(data: bytes) -> BlockArrays:
    """Deserialise blocks.

    Parameters
    ----------
    data : bytes
        Output of ``pack_blocks``.

    Returns
    -------
    BlockArrays
        The blocks in the same order.

    Raises
    ------
    BulrushleadError
        If the data are damaged or of another format version.
    """
    if len(data) < HEADER.size + CHECKSUM_BYTES:
        raise _damaged_error(f"{len(data)} bytes are too few")
    body = memoryview(data)[:-CHECKSUM_BYTES]
    if xxhash.xxh3_128_digest(body) != data[-CHECKSUM_BYTES:]:
        raise _damaged_error("the checksum differs")
    magic, version, n_ipv4, n_ipv6, n_long = HEADER.unpack_from(body)
    if magic != MAGIC or version != FORMAT_VERSION:
        raise _damaged_error(f"format {bytes(magic)!r} version {version} is unknown")
    # Each block of the arrays has a start of 4 or 8 bytes, a length of 1 byte and a
    # target of 2 bytes.
    expected = HEADER.size + n_ipv4 * 7 + n_ipv6 * 11 + n_long * LONG_BLOCK.size
    if len(body) != expected:
        raise _damaged_error(f"{len(body)} bytes found, {expected} expected")
    offset = HEADER.size
    ipv4, offset = _unpack_family(body, offset, n_ipv4, "<u4")
    ipv6, offset = _unpack_family(body, offset, n_ipv6, "<u8")
    long_blocks = tuple(
        LongBlock(int.from_bytes(start, "big"), length, target)
        for start, length, target in LONG_BLOCK.iter_unpack(body[offset:])
    )
    return BlockArrays(ipv4, ipv6, long_blocks)


def _pack_family(family: FamilyBlocks, start_type: str) -> list[bytes]:
    return [
        family.starts.astype(start_type, copy=False).tobytes(),
        family.lengths.tobytes(),
        family.targets.astype("<u2", copy=False).tobytes(),
    ]


def _unpack_family(
    body: memoryview, offset: int, count: int, start_type: str
) -> tuple[FamilyBlocks, int]:
    arrays = []
    for dtype in (start_type, "u1", "<u2"):
        array = np.frombuffer(body, dtype, count, offset)
        offset += array.nbytes
        arrays.append(array.astype(array.dtype.newbyteorder("="), copy=False))
    return FamilyBlocks(*arrays), offset


def _damaged_error(reason: str) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.STORAGE_DAMAGED,
        f"block table cannot be loaded: {reason}; fetch it again",
    )
