"""Compact set of keys that ran and whose answers are no longer kept."""

import numpy as np

BLOCK_KEYS = 65_536


class SpentKeys:
    """Fingerprints in order of insertion, eight bytes each.

    The newest fingerprints are in a dictionary. Each full block becomes a sorted
    array: order matters only between blocks, since whole blocks are forgotten.
    """

    def __init__(self):
        self._recent: dict[int, None] = {}
        self._blocks: list[np.ndarray] = []

    def __len__(self) -> int:
        return len(self._blocks) * BLOCK_KEYS + len(self._recent)

    def __contains__(self, fingerprint: int) -> bool:
        if fingerprint in self._recent:
            return True
        wanted = np.uint64(fingerprint)
        return any(_holds(block, wanted) for block in self._blocks)

    def add(self, fingerprint: int) -> None:
        """Add a fingerprint."""
        self._recent[fingerprint] = None
        if len(self._recent) == BLOCK_KEYS:
            block = np.fromiter(self._recent, dtype=np.uint64, count=BLOCK_KEYS)
            block.sort()
            self._blocks.append(block)
            self._recent = {}

    def forget_oldest(self, keep: int) -> int:
        """Forget whole blocks, oldest first, while ``keep`` keys remain.

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
        """Return all fingerprints, oldest block first."""
        recent = np.fromiter(self._recent, dtype=np.uint64, count=len(self._recent))
        return b"".join(
            part.astype(">u8").tobytes() for part in [*self._blocks, recent]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "SpentKeys":
        """Return the set that `to_bytes` wrote."""
        prints = np.frombuffer(data, dtype=">u8").astype(np.uint64)
        full = len(prints) // BLOCK_KEYS * BLOCK_KEYS
        spent = cls()
        spent._blocks = list(prints[:full].reshape(-1, BLOCK_KEYS))
        spent._recent = dict.fromkeys(prints[full:].tolist())
        return spent


def _holds(block: np.ndarray, wanted: np.uint64) -> bool:
    position = block.searchsorted(wanted)
    return bool(position < len(block) and block[position] == wanted)
