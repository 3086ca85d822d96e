"""Sorted prefixes of one segment of the address space."""

import attrs
import numpy as np

from bulrushlead.lookup._blocks import NO_TARGET, FamilyBlocks

NO_PARENT = -1
MAX_INT16_BLOCKS = 32_767


@attrs.frozen(eq=False)
class Segment:
    """Prefixes sorted by start, then by length, each with its parent.

    To find the longest match of an address, take the last prefix that starts at or
    before it. That prefix or its nearest ancestor that contains the address is the
    longest match; if none contains it, there is no match.

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
        Index of the longest other prefix that contains each prefix, or
        ``NO_PARENT``.
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
        """Copy sorted blocks into arrays of the smallest sufficient types."""
        fits_int16 = len(blocks) <= MAX_INT16_BLOCKS
        fits_uint8 = len(blocks) == 0 or int(blocks.targets.max()) < 256
        return cls(
            bits,
            blocks.starts.copy(),
            blocks.lengths.copy(),
            blocks.targets.astype(np.uint8 if fits_uint8 else np.uint16),
            parents.astype(np.int16 if fits_int16 else np.int32),
        )

    def __len__(self) -> int:
        return len(self.starts)

    @property
    def nbytes(self) -> int:
        """Size of the arrays, in bytes."""
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
        # The scalar has the type of the array: with any other type NumPy would
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
    """Sort by start and length; of equal prefixes the last one wins."""
    if _is_sorted(blocks):
        return blocks
    ordered = blocks.take(np.lexsort((blocks.lengths, blocks.starts)))
    return ordered.take(np.append(~_equals_next(ordered), True))


def merge_blocks(
    current: FamilyBlocks, removals: FamilyBlocks, upserts: FamilyBlocks
) -> FamilyBlocks:
    """Return sorted blocks after a change; removals are applied before upserts.

    Parameters
    ----------
    current, removals, upserts : FamilyBlocks
        Blocks in any order; of equal upserts the last one wins.
    """
    joined = FamilyBlocks.concatenate([current, removals, upserts])
    is_removal = np.zeros(len(joined), bool)
    is_removal[len(current) : len(current) + len(removals)] = True
    if not len(joined):
        return joined
    # The sort is stable, so of equal prefixes the last one given wins.
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
    # From short to long prefixes, so that a longer ancestor overwrites a shorter.
    for length in np.unique(blocks.lengths):
        parent_indices = np.flatnonzero(blocks.lengths == length).astype(np.int64)
        host_mask = (1 << (bits - int(length))) - 1
        last_addresses = blocks.starts[parent_indices] | blocks.starts.dtype.type(
            host_mask
        )
        ends = np.searchsorted(blocks.starts, last_addresses, side="right")
        counts = ends - parent_indices - 1
        has_children = counts > 0
        _assign_ranges(parents, parent_indices[has_children], counts[has_children])
    return parents


def _assign_ranges(
    parents: np.ndarray, parent_indices: np.ndarray, counts: np.ndarray
) -> None:
    """Set ``parents[index + 1 : index + 1 + count] = index`` for each parent index."""
    if not len(parent_indices):
        return
    offsets = np.arange(counts.sum()) - np.repeat(np.cumsum(counts) - counts, counts)
    children = np.repeat(parent_indices + 1, counts) + offsets
    parents[children] = np.repeat(parent_indices, counts)
