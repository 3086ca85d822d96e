"""Sorted prefixes of one part of the address space."""

import attrs
import numpy as np

from bulrushlead.lookup._blocks import NO_TARGET, FamilyBlocks

NO_PARENT = -1
SMALL_SEGMENT_BLOCKS = 32_767


@attrs.frozen(eq=False)
class Segment:
    """Prefixes sorted by start, then by length, each with its parent.

    The last prefix that starts at or before an address either contains the
    address, and is then its longest match, or one of its ancestors does.

    Parameters
    ----------
    bits : int
        Width of an address in bits.
    starts : ndarray of shape (n_blocks,)
        First addresses.
    lengths : ndarray of shape (n_blocks,), dtype=uint8
        Prefix lengths in bits.
    targets : ndarray of shape (n_blocks,), dtype=uint8 or uint16
        Target indices.
    parents : ndarray of shape (n_blocks,), dtype=int16 or int32
        Index of the longest shorter prefix that contains each prefix.
    """

    bits: int
    starts: np.ndarray
    lengths: np.ndarray
    targets: np.ndarray
    parents: np.ndarray

    @classmethod
    def from_sorted(
        cls, bits: int, blocks: FamilyBlocks, parents: np.ndarray
    ) -> "Segment":
        """Copy sorted blocks into arrays of the narrowest types."""
        small = len(blocks) <= SMALL_SEGMENT_BLOCKS
        narrow = len(blocks) == 0 or int(blocks.targets.max()) < 256
        return cls(
            bits,
            blocks.starts.copy(),
            blocks.lengths.copy(),
            blocks.targets.astype(np.uint8 if narrow else np.uint16),
            parents.astype(np.int16 if small else np.int32),
        )

    def __len__(self) -> int:
        return len(self.starts)

    @property
    def nbytes(self) -> int:
        """Bytes held by the arrays."""
        arrays = (self.starts, self.lengths, self.targets, self.parents)
        return sum(array.nbytes for array in arrays)

    def blocks(self) -> FamilyBlocks:
        """Return the blocks in their sorted order."""
        return FamilyBlocks(
            self.starts, self.lengths, self.targets.astype(np.uint16, copy=False)
        )

    def find(self, address: int) -> int:
        """Return the target of the longest prefix that contains ``address``.

        Parameters
        ----------
        address : int
            Address of ``bits`` bits.

        Returns
        -------
        int
            Target index, or ``NO_TARGET``.
        """
        # A scalar of the array's own type: anything else would make NumPy
        # convert the whole array on each call.
        key = self.starts.dtype.type(address)
        index = int(self.starts.searchsorted(key, side="right")) - 1
        while index >= 0:
            shift = self.bits - int(self.lengths[index])
            if address >> shift == int(self.starts[index]) >> shift:
                return int(self.targets[index])
            index = int(self.parents[index])
        return NO_TARGET


def sort_blocks(blocks: FamilyBlocks) -> FamilyBlocks:
    """Sort by start and length; of equal prefixes the last one given stays."""
    if _is_sorted(blocks):
        return blocks
    ordered = blocks.take(np.lexsort((blocks.lengths, blocks.starts)))
    return ordered.take(np.append(~_equals_next(ordered), True))


def merge_blocks(
    current: FamilyBlocks, removals: FamilyBlocks, upserts: FamilyBlocks
) -> FamilyBlocks:
    """Return sorted blocks after a change, removals being applied first.

    Parameters
    ----------
    current, removals, upserts : FamilyBlocks
        Blocks in any order; of equal upserts the last one stays.
    """
    joined = FamilyBlocks.concatenate([current, removals, upserts])
    is_removal = np.zeros(len(joined), bool)
    is_removal[len(current) : len(current) + len(removals)] = True
    if not len(joined):
        return joined
    # A stable sort: what was given last decides about equal prefixes.
    order = np.lexsort((joined.lengths, joined.starts))
    ordered = joined.take(order)
    keep = np.append(~_equals_next(ordered), True) & ~is_removal[order]
    return ordered.take(keep)


def _is_sorted(blocks: FamilyBlocks) -> bool:
    starts, lengths = blocks.starts, blocks.lengths
    later = starts[1:] > starts[:-1]
    longer = (starts[1:] == starts[:-1]) & (lengths[1:] > lengths[:-1])
    return bool((later | longer).all())


def _equals_next(ordered: FamilyBlocks) -> np.ndarray:
    starts, lengths = ordered.starts, ordered.lengths
    return (starts[1:] == starts[:-1]) & (lengths[1:] == lengths[:-1])


def find_parents(bits: int, blocks: FamilyBlocks) -> np.ndarray:
    """Return the index of the parent of each sorted prefix.

    Parameters
    ----------
    bits : int
        Width of an address in bits.
    blocks : FamilyBlocks
        Blocks without duplicates, sorted by start and length.

    Returns
    -------
    ndarray of shape (n_blocks,), dtype=int32
        Index of the parent, or ``NO_PARENT``.
    """
    parents = np.full(len(blocks), NO_PARENT, np.int32)
    # From short to long prefixes, so that a longer ancestor overwrites.
    for length in np.unique(blocks.lengths):
        owners = np.flatnonzero(blocks.lengths == length).astype(np.int64)
        host_mask = (1 << (bits - int(length))) - 1
        lasts = blocks.starts[owners] | blocks.starts.dtype.type(host_mask)
        ends = np.searchsorted(blocks.starts, lasts, side="right")
        counts = ends - owners - 1
        has_children = counts > 0
        _assign_ranges(parents, owners[has_children], counts[has_children])
    return parents


def _assign_ranges(parents: np.ndarray, owners: np.ndarray, counts: np.ndarray) -> None:
    """Set ``parents[owner + 1 : owner + 1 + count] = owner`` for each owner."""
    if not len(owners):
        return
    offsets = np.arange(counts.sum()) - np.repeat(np.cumsum(counts) - counts, counts)
    children = np.repeat(owners + 1, counts) + offsets
    parents[children] = np.repeat(owners, counts)
