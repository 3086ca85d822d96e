"""Prefixes of one address family, divided into segments."""

import attrs
import numpy as np

from bulrushlead.lookup._blocks import NO_TARGET, FamilyBlocks
from bulrushlead.lookup._segment import Segment, find_parents, sort_blocks


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
        is_wide = blocks.lengths < segment_bits
        wide = _build_segment(bits, _select(blocks, is_wide))
        narrow = sort_blocks(_select(blocks, ~is_wide))
        parents = find_parents(bits, narrow)
        segments = _split(bits, segment_bits, narrow, parents)
        return cls(bits, segment_bits, segments, wide)

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
        return FamilyBlocks(
            np.concatenate([part.starts for part in parts]),
            np.concatenate([part.lengths for part in parts]),
            np.concatenate([part.targets for part in parts]),
        )

    def apply(self, removals: FamilyBlocks, upserts: FamilyBlocks) -> "FamilyTable":
        """Return a table with changed blocks; untouched segments are shared."""
        segments = dict(self.segments)
        empty = FamilyBlocks.empty(self.wide.starts.dtype.type)
        for key in self._touched(removals, upserts):
            changed = _merge(
                segments[key].blocks() if key in segments else empty,
                _select(removals, self._in_segment(removals, key)),
                _select(upserts, self._in_segment(upserts, key)),
            )
            segments.pop(key, None)
            if len(changed):
                segments[key] = _build_segment(self.bits, changed)
        wide = _merge(
            self.wide.blocks(),
            _select(removals, removals.lengths < self.segment_bits),
            _select(upserts, upserts.lengths < self.segment_bits),
        )
        return attrs.evolve(
            self, segments=segments, wide=_build_segment(self.bits, wide)
        )

    def _keys(self, blocks: FamilyBlocks) -> np.ndarray:
        shift = blocks.starts.dtype.type(self.bits - self.segment_bits)
        return blocks.starts >> shift

    def _in_segment(self, blocks: FamilyBlocks, key: int) -> np.ndarray:
        is_narrow = blocks.lengths >= self.segment_bits
        return is_narrow & (self._keys(blocks) == key)

    def _touched(self, *changes: FamilyBlocks) -> list[int]:
        touched: set[int] = set()
        for blocks in changes:
            is_narrow = blocks.lengths >= self.segment_bits
            touched.update(np.unique(self._keys(blocks)[is_narrow]).tolist())
        return sorted(touched)


def _select(blocks: FamilyBlocks, mask: np.ndarray) -> FamilyBlocks:
    return FamilyBlocks(blocks.starts[mask], blocks.lengths[mask], blocks.targets[mask])


def _build_segment(bits: int, blocks: FamilyBlocks) -> Segment:
    ordered = sort_blocks(blocks)
    return Segment.from_sorted(bits, ordered, find_parents(bits, ordered))


def _split(
    bits: int, segment_bits: int, blocks: FamilyBlocks, parents: np.ndarray
) -> dict[int, Segment]:
    if not len(blocks):
        return {}
    keys = blocks.starts >> blocks.starts.dtype.type(bits - segment_bits)
    firsts = np.flatnonzero(np.append(True, keys[1:] != keys[:-1]))
    ends = np.append(firsts[1:], len(blocks))
    segments = {}
    for first, end in zip(firsts.tolist(), ends.tolist(), strict=True):
        part = slice(first, end)
        blocks_here = FamilyBlocks(
            blocks.starts[part], blocks.lengths[part], blocks.targets[part]
        )
        # Parents lie in the same segment: wide prefixes are kept apart.
        local = np.where(parents[part] < 0, parents[part], parents[part] - first)
        segments[int(keys[first])] = Segment.from_sorted(bits, blocks_here, local)
    return segments


def _merge(
    current: FamilyBlocks, removals: FamilyBlocks, upserts: FamilyBlocks
) -> FamilyBlocks:
    removed = set(zip(removals.starts.tolist(), removals.lengths.tolist(), strict=True))
    if removed:
        pairs = zip(current.starts.tolist(), current.lengths.tolist(), strict=True)
        current = _select(
            current, np.fromiter((pair not in removed for pair in pairs), bool)
        )
    return FamilyBlocks(
        np.concatenate([current.starts, upserts.starts]),
        np.concatenate([current.lengths, upserts.lengths]),
        np.concatenate([current.targets, upserts.targets]),
    )
