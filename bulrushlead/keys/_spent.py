"""Compact set of keys that ran and whose answers are no longer stored."""

import numpy as np

BLOCK_KEYS = 65_536


class SpentKeys:
    """Set of 64-bit key fingerprints that forgets the oldest blocks first.

    The newest fingerprints are in a dictionary. Each full block becomes a sorted
    array for binary search. Only whole blocks are forgotten, so the order of
    insertion matters between blocks but not within one.
    """

    def __init__(self):
        self._recent: dict[int, None] = {}
        self._blocks: list[np.ndarray] = []

    def __len__(self) -> int:
        return len(self._blocks) * BLOCK_KEYS + len(self._recent)

    def __contains__(self, fingerprint: int) -> bool:
        if fingerprint in self._recent:
            return True
        value = np.uint64(fingerprint)
        return any(_contains(block, value) for block in self._blocks)

    def add(self, fingerprint: int) -> None:
        """Add a fingerprint."""
        self._recent[fingerprint] = None
        if len(self._recent) == BLOCK_KEYS:
            block = np.fromiter(self._recent, dtype=np.uint64, count=BLOCK_KEYS)
            block.sort()
            self._blocks.append(block)
            self._recent = {}

    def forget_oldest(self, keep: int) -> int:
        """Forget whole blocks, oldest first, while at least ``keep`` keys remain.

        Returns
        -------
        int
            Number of fingerprints forgotten.
        """
        forgotten = 0
        while self._blocks and len(self) - BLOCK_KEYS >= keep:
            self._blocks.pop(0)
            forgotten += BLOCK_KEYS
        return forgotten

    def to_bytes(self) -> bytes:
        """Return all fingerprints as big-endian integers, oldest block first."""
        recent = np.fromiter(self._recent, dtype=np.uint64, count=len(self._recent))
        return b"".join(
            part.astype(">u8").tobytes() for part in [*self._blocks, recent]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "SpentKeys":
        """Return the set that `to_bytes` serialised."""
        fingerprints = np.frombuffer(data, dtype=">u8").astype(np.uint64)
        n_in_full_blocks = len(fingerprints) // BLOCK_KEYS * BLOCK_KEYS
        spent = cls()
        spent._blocks = list(fingerprints[:n_in_full_blocks].reshape(-1, BLOCK_KEYS))
        spent._recent = dict.fromkeys(fingerprints[n_in_full_blocks:].tolist())
        return spent


def _contains(block: np.ndarray, value: np.uint64) -> bool:
    position = block.searchsorted(value)
    return bool(position < len(block) and block[position] == value)
