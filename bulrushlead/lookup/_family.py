"""Prefixes of one address family, divided into segments."""

import itertools
from collections.abc import Iterator

import attrs
import numpy as np

from bulrushlead.lookup._blocks import NO_TARGET, FamilyBlocks
from bulrushlead.lookup._segment import (
    NO_PARENT,
    Segment,
    find_parents,
    merge_blocks,
    sort_blocks,
)

BATCH_BLOCKS = 65_536


@attrs.frozen(eq=False)
class FamilyTable:
    """Longest-prefix match over one address family.

    Blocks are divided into segments by the upper bits of their address. A delta
    copies only the segments that it changes; readers continue to use the old ones.

    Parameters
    ----------
    bits : int
        Width of an address in bits.
    segment_bits : int
        Number of upper address bits that identify a segment.
    segments : dict of int to Segment
        Segments by their upper bits.
    wide : Segment
        Prefixes shorter than ``segment_bits``, which may span several segments.
    """

    bits: int
    segment_bits: int
    segments: dict[int, Segment]
    wide: Segment

    @classmethod
    def build(cls, bits: int, segment_bits: int, blocks: FamilyBlocks) -> "FamilyTable":
        """Build from blocks in any order; of equal prefixes the last one wins."""
        wide, narrow = _split_by_length(segment_bits, blocks)
        segments = dict(_build_segments(bits, segment_bits, sort_blocks(narrow)))
        return cls(
            bits, segment_bits, segments, _build_segment(bits, sort_blocks(wide))
        )

    def __len__(self) -> int:
        return len(self.wide) + sum(len(part) for part in self.segments.values())

    @property
    def nbytes(self) -> int:
        """Size of the arrays of all segments, in bytes."""
        return self.wide.nbytes + sum(part.nbytes for part in self.segments.values())

    def find(self, address: int) -> int:
        """Return the target of the longest prefix, or ``NO_TARGET``."""
        segment = self.segments.get(address >> (self.bits - self.segment_bits))
        target = NO_TARGET if segment is None else segment.find(address)
        if target == NO_TARGET and len(self.wide):
            return self.wide.find(address)
        return target

    def blocks(self) -> FamilyBlocks:
        """Return all blocks: wide ones first, then the others sorted by address."""
        parts = [self.wide.blocks()]
        parts += [self.segments[key].blocks() for key in sorted(self.segments)]
        return FamilyBlocks.concatenate(parts)

    def apply(self, removals: FamilyBlocks, upserts: FamilyBlocks) -> "FamilyTable":
        """Return a table with changed blocks that shares the unchanged segments."""
        wide_removals, narrow_removals = _split_by_length(self.segment_bits, removals)
        wide_upserts, narrow_upserts = _split_by_length(self.segment_bits, upserts)
        changes = FamilyBlocks.concatenate([narrow_removals, narrow_upserts])
        changed_keys = segment_keys(self.bits, self.segment_bits, changes)
        segments = dict(self.segments)
        empty = FamilyBlocks.empty(self.wide.starts.dtype.type)
        parts = [empty]
        for key in np.unique(changed_keys).tolist():
            if key in segments:
                parts.append(segments.pop(key).blocks())
        current = FamilyBlocks.concatenate(parts)
        narrow = merge_blocks(current, narrow_removals, narrow_upserts)
        segments.update(_build_segments(self.bits, self.segment_bits, narrow))
        wide = self.wide
        if len(wide_removals) or len(wide_upserts):
            merged = merge_blocks(wide.blocks(), wide_removals, wide_upserts)
            wide = _build_segment(self.bits, merged)
        return attrs.evolve(self, segments=segments, wide=wide)


def segment_keys(bits: int, segment_bits: int, blocks: FamilyBlocks) -> np.ndarray:
    """Return the upper address bits that identify the segment of each block."""
    return blocks.starts >> blocks.starts.dtype.type(bits - segment_bits)


def _split_by_length(
    segment_bits: int, blocks: FamilyBlocks
) -> tuple[FamilyBlocks, FamilyBlocks]:
    """Return the blocks that are wider than a segment, and all others."""
    is_wide = blocks.lengths < segment_bits
    n_wide = int(np.count_nonzero(is_wide))
    if is_wide[:n_wide].all():
        # Saved blocks have the wide ones first, so slices avoid copying all blocks.
        return blocks.take(slice(n_wide)), blocks.take(slice(n_wide, None))
    return blocks.take(is_wide), blocks.take(~is_wide)


def _build_segment(bits: int, ordered: FamilyBlocks) -> Segment:
    return Segment.from_sorted(bits, ordered, find_parents(bits, ordered))


def _build_segments(
    bits: int, segment_bits: int, ordered: FamilyBlocks
) -> Iterator[tuple[int, Segment]]:
    """Yield the segments of sorted blocks, each with its upper address bits.

    Parents are found in batches of several segments, because each NumPy call has
    a fixed cost. The size of a batch bounds the memory for intermediate results.
    """
    keys = segment_keys(bits, segment_bits, ordered)
    is_first = np.append(True, keys[1:] != keys[:-1]) if len(keys) else keys
    bounds = np.append(np.flatnonzero(is_first), len(ordered)).tolist()
    first = 0
    while first < len(bounds) - 1:
        last = first + 1
        while last < len(bounds) - 1 and bounds[last] - bounds[first] < BATCH_BLOCKS:
            last += 1
        offset = bounds[first]
        batch = ordered.take(slice(offset, bounds[last]))
        parents = find_parents(bits, batch)
        for start, end in itertools.pairwise(bounds[first : last + 1]):
            part = slice(start - offset, end - offset)
            # Parents are in the same segment, since wide prefixes are stored
            # separately.
            local = parents[part] - np.int32(start - offset)
            local[parents[part] < 0] = NO_PARENT
            yield int(keys[start]), Segment.from_sorted(bits, batch.take(part), local)
        first = last
