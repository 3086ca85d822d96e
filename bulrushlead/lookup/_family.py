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

    Blocks are divided by the upper bits of their address, so that a delta
    copies only the segments that it touches and readers keep the old ones.

    Parameters
    ----------
    bits : int
        Width of an address in bits.
    segment_bits : int
        Upper bits that name a segment.
    segments : dict of int to Segment
        Segments by their upper bits.
    wide : Segment
        Prefixes that are shorter than ``segment_bits``.
    """

    bits: int
    segment_bits: int
    segments: dict[int, Segment]
    wide: Segment

    @classmethod
    def build(cls, bits: int, segment_bits: int, blocks: FamilyBlocks) -> "FamilyTable":
        """Build from blocks in any order; of equal prefixes the last one stays."""
        wide, narrow = _divide(segment_bits, blocks)
        segments = dict(_split(bits, segment_bits, sort_blocks(narrow)))
        return cls(
            bits, segment_bits, segments, _build_segment(bits, sort_blocks(wide))
        )

    def __len__(self) -> int:
        return len(self.wide) + sum(len(part) for part in self.segments.values())

    @property
    def nbytes(self) -> int:
        """Bytes held by the arrays of all segments."""
        return self.wide.nbytes + sum(part.nbytes for part in self.segments.values())

    def find(self, address: int) -> int:
        """Return the target of the longest prefix, or ``NO_TARGET``."""
        segment = self.segments.get(address >> (self.bits - self.segment_bits))
        target = NO_TARGET if segment is None else segment.find(address)
        if target == NO_TARGET and len(self.wide):
            return self.wide.find(address)
        return target

    def blocks(self) -> FamilyBlocks:
        """Return all blocks, wide ones first, then by address."""
        parts = [self.wide.blocks()]
        parts += [self.segments[key].blocks() for key in sorted(self.segments)]
        return FamilyBlocks.concatenate(parts)

    def apply(self, removals: FamilyBlocks, upserts: FamilyBlocks) -> "FamilyTable":
        """Return a table with changed blocks; untouched segments are shared."""
        wide_removals, narrow_removals = _divide(self.segment_bits, removals)
        wide_upserts, narrow_upserts = _divide(self.segment_bits, upserts)
        changes = FamilyBlocks.concatenate([narrow_removals, narrow_upserts])
        touched = segment_keys(self.bits, self.segment_bits, changes)
        segments = dict(self.segments)
        empty = FamilyBlocks.empty(self.wide.starts.dtype.type)
        parts = [empty]
        for key in np.unique(touched).tolist():
            if key in segments:
                parts.append(segments.pop(key).blocks())
        current = FamilyBlocks.concatenate(parts)
        narrow = merge_blocks(current, narrow_removals, narrow_upserts)
        segments.update(_split(self.bits, self.segment_bits, narrow))
        wide = self.wide
        if len(wide_removals) or len(wide_upserts):
            merged = merge_blocks(wide.blocks(), wide_removals, wide_upserts)
            wide = _build_segment(self.bits, merged)
        return attrs.evolve(self, segments=segments, wide=wide)


def segment_keys(bits: int, segment_bits: int, blocks: FamilyBlocks) -> np.ndarray:
    """Return the upper bits that name the segment of each block."""
    return blocks.starts >> blocks.starts.dtype.type(bits - segment_bits)


def _divide(
    segment_bits: int, blocks: FamilyBlocks
) -> tuple[FamilyBlocks, FamilyBlocks]:
    """Return the blocks that are wider than a segment, and the others."""
    is_wide = blocks.lengths < segment_bits
    n_wide = int(np.count_nonzero(is_wide))
    if is_wide[:n_wide].all():
        # Saved blocks are in this order: slices spare a copy of them all.
        return blocks.take(slice(n_wide)), blocks.take(slice(n_wide, None))
    return blocks.take(is_wide), blocks.take(~is_wide)


def _build_segment(bits: int, ordered: FamilyBlocks) -> Segment:
    return Segment.from_sorted(bits, ordered, find_parents(bits, ordered))


def _split(
    bits: int, segment_bits: int, ordered: FamilyBlocks
) -> Iterator[tuple[int, Segment]]:
    """Yield the segments of sorted blocks.

    Parents are found for many segments at once, because each NumPy call has a
    fixed cost, but not for all, which bounds the memory for interim results.
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
            # Parents lie in the same segment: wide prefixes are kept apart.
            local = parents[part] - np.int32(start - offset)
            local[parents[part] < 0] = NO_PARENT
            yield int(keys[start]), Segment.from_sorted(bits, batch.take(part), local)
        first = last
