"""Client blocks as parallel arrays, from which the block table is built."""

import ipaddress
from collections.abc import Sequence

import attrs
import numpy as np

from bulrushlead.declaration import ClientBlock
from bulrushlead.results import BulrushleadError, ResultCode

IPV4_BITS = 32
IPV6_UPPER_BITS = 64
IPV6_BITS = 128
NO_TARGET = -1
MAX_TARGETS = 65_535


@attrs.frozen(eq=False)
class FamilyBlocks:
    """Blocks of one address family.

    Parameters
    ----------
    starts : ndarray of shape (n_blocks,)
        First address of each block: ``uint32`` for IPv4, and for IPv6 the
        upper 64 bits as ``uint64``.
    lengths : ndarray of shape (n_blocks,), dtype=uint8
        Prefix lengths in bits.
    targets : ndarray of shape (n_blocks,), dtype=uint16
        Index of the region that serves each block.
    """

    starts: np.ndarray
    lengths: np.ndarray
    targets: np.ndarray

    @classmethod
    def empty(cls, start_dtype: type) -> "FamilyBlocks":
        """Return an instance without blocks, with starts of ``start_dtype``."""
        return cls(
            np.empty(0, start_dtype), np.empty(0, np.uint8), np.empty(0, np.uint16)
        )

    @classmethod
    def concatenate(cls, parts: Sequence["FamilyBlocks"]) -> "FamilyBlocks":
        """Return the blocks of all parts, in the order of the parts."""
        return cls(
            np.concatenate([part.starts for part in parts]),
            np.concatenate([part.lengths for part in parts]),
            np.concatenate([part.targets for part in parts]),
        )

    def __len__(self) -> int:
        return len(self.starts)

    def take(self, selection: np.ndarray | slice) -> "FamilyBlocks":
        """Return the blocks that an index array, a mask or a slice selects."""
        return FamilyBlocks(
            self.starts[selection], self.lengths[selection], self.targets[selection]
        )


@attrs.frozen
class LongBlock:
    """An IPv6 block with a prefix longer than 64 bits.

    Parameters
    ----------
    start : int
        First address of the block.
    length : int
        Prefix length in bits, 65 to 128.
    target : int
        Index of the region that serves the block.
    """

    start: int
    length: int
    target: int = 0


def _empty_ipv4() -> FamilyBlocks:
    return FamilyBlocks.empty(np.uint32)


def _empty_ipv6() -> FamilyBlocks:
    return FamilyBlocks.empty(np.uint64)


@attrs.frozen(eq=False)
class BlockArrays:
    """Client blocks of both address families.

    Parameters
    ----------
    ipv4 : FamilyBlocks
        IPv4 blocks.
    ipv6 : FamilyBlocks
        IPv6 blocks with prefixes of up to 64 bits.
    long_blocks : tuple of LongBlock
        IPv6 blocks with longer prefixes, which are rare.
    """

    ipv4: FamilyBlocks = attrs.field(factory=_empty_ipv4)
    ipv6: FamilyBlocks = attrs.field(factory=_empty_ipv6)
    long_blocks: tuple[LongBlock, ...] = ()

    def __len__(self) -> int:
        return len(self.ipv4) + len(self.ipv6) + len(self.long_blocks)

    @classmethod
    def from_client_blocks(
        cls, client_blocks: Sequence[ClientBlock], regions: Sequence[str]
    ) -> "BlockArrays":
        """Parse declared client blocks.

        Parameters
        ----------
        client_blocks : sequence of ClientBlock
            Client blocks of a declaration.
        regions : sequence of str
            Region names; the index of a name is the target of its blocks.

        Returns
        -------
        BlockArrays
            The same blocks as arrays.

        Raises
        ------
        BulrushleadError
            If a prefix is malformed, or a block names a region that does not exist.
        """
        region_indices = {name: index for index, name in enumerate(regions)}
        ipv4: list[tuple[int, int, int]] = []
        ipv6: list[tuple[int, int, int]] = []
        long_blocks: list[LongBlock] = []
        for block in client_blocks:
            network = _parse_prefix(block.prefix)
            target = _find_target(block, region_indices)
            start, length = int(network.network_address), network.prefixlen
            if network.version == 4:
                ipv4.append((start, length, target))
            elif length <= IPV6_UPPER_BITS:
                ipv6.append((start >> IPV6_UPPER_BITS, length, target))
            else:
                long_blocks.append(LongBlock(start, length, target))
        return cls(
            _to_family(ipv4, np.uint32),
            _to_family(ipv6, np.uint64),
            tuple(long_blocks),
        )


def _parse_prefix(prefix: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    try:
        return ipaddress.ip_network(prefix)
    except ValueError as error:
        raise BulrushleadError(
            ResultCode.DECLARATION_INVALID,
            f"client block {prefix!r} is not an address block ({error}); "
            "write it as ADDRESS/LENGTH with zero host bits",
        ) from error


def _find_target(block: ClientBlock, region_indices: dict[str, int]) -> int:
    if block.region not in region_indices:
        raise BulrushleadError(
            ResultCode.DECLARATION_INVALID,
            f"client block {block.prefix!r} names region {block.region!r}, which "
            "does not exist; declare the region or correct the name",
        )
    return region_indices[block.region]


def _to_family(entries: list[tuple[int, int, int]], start_dtype: type) -> FamilyBlocks:
    return FamilyBlocks(
        np.array([entry[0] for entry in entries], start_dtype),
        np.array([entry[1] for entry in entries], np.uint8),
        np.array([entry[2] for entry in entries], np.uint16),
    )
