"""Client block table: maps a caller's address to a target."""

import ipaddress
from functools import cached_property

import attrs

from bulrushlead.lookup._blocks import (
    IPV4_BITS,
    IPV6_BITS,
    IPV6_UPPER_BITS,
    MAX_TARGETS,
    BlockArrays,
    LongBlock,
)
from bulrushlead.lookup._bytes import pack_blocks, unpack_blocks
from bulrushlead.lookup._family import FamilyTable
from bulrushlead.results import BulrushleadError, ResultCode

IPV4_SEGMENT_BITS = 12
IPV6_SEGMENT_BITS = 20

Address = str | int | ipaddress.IPv4Address | ipaddress.IPv6Address


@attrs.frozen(eq=False)
class BlockDelta:
    """A change of the block table.

    Parameters
    ----------
    removals : BlockArrays
        Blocks to remove; targets are ignored, and so are blocks that do not exist.
    upserts : BlockArrays
        Blocks to add, or whose target to replace.
    """

    removals: BlockArrays = attrs.field(factory=BlockArrays)
    upserts: BlockArrays = attrs.field(factory=BlockArrays)


@attrs.frozen(eq=False)
class BlockTable:
    """Longest-prefix match over client blocks of both address families.

    A table is immutable: ``apply_delta`` returns a new one that shares the
    unchanged parts, so that look-ups continue while it is built.

    Parameters
    ----------
    ipv4 : FamilyTable
        IPv4 blocks.
    ipv6 : FamilyTable
        IPv6 blocks with prefixes of up to 64 bits.
    long_targets : dict of (int, int) to int
        Targets of longer IPv6 prefixes by length and start.
    """

    ipv4: FamilyTable
    ipv6: FamilyTable
    long_targets: dict[tuple[int, int], int]

    @classmethod
    def build(cls, blocks: BlockArrays) -> "BlockTable":
        """Build a table.

        Parameters
        ----------
        blocks : BlockArrays
            Blocks in any order; of equal prefixes the last one wins.

        Returns
        -------
        BlockTable
            The table.

        Raises
        ------
        BulrushleadError
            If a prefix length or target is out of range, or host bits are set.
        """
        _check_blocks(blocks)
        return cls(
            FamilyTable.build(IPV4_BITS, IPV4_SEGMENT_BITS, blocks.ipv4),
            FamilyTable.build(IPV6_UPPER_BITS, IPV6_SEGMENT_BITS, blocks.ipv6),
            {(block.length, block.start): block.target for block in blocks.long_blocks},
        )

    def __len__(self) -> int:
        return len(self.ipv4) + len(self.ipv6) + len(self.long_targets)

    @property
    def nbytes(self) -> int:
        """Size of the arrays in bytes, without the few long IPv6 prefixes."""
        return self.ipv4.nbytes + self.ipv6.nbytes

    def find(self, address: Address) -> int:
        """Return the target of the longest block that contains an address.

        Parameters
        ----------
        address : str, int, IPv4Address or IPv6Address
            Address of a caller; an integer is an IPv4 address. IPv4-mapped
            IPv6 addresses are looked up as IPv4.

        Returns
        -------
        int
            Target index, or ``NO_TARGET`` if no block contains the address.

        Raises
        ------
        BulrushleadError
            If the text is not an IP address.
        """
        if isinstance(address, int):
            return self.ipv4.find(address)
        parsed = _parse_address(address)
        if parsed.version == 4:
            return self.ipv4.find(int(parsed))
        if parsed.ipv4_mapped is not None:
            return self.ipv4.find(int(parsed.ipv4_mapped))
        return self._find_ipv6(int(parsed))

    def apply_delta(self, delta: BlockDelta) -> "BlockTable":
        """Return the table after a change; this table does not change.

        Parameters
        ----------
        delta : BlockDelta
            Removals, which are applied first, and upserts.

        Returns
        -------
        BlockTable
            Equal to a table built from the changed blocks.
        """
        _check_blocks(delta.removals)
        _check_blocks(delta.upserts)
        long_targets = dict(self.long_targets)
        for block in delta.removals.long_blocks:
            long_targets.pop((block.length, block.start), None)
        for block in delta.upserts.long_blocks:
            long_targets[block.length, block.start] = block.target
        return BlockTable(
            self.ipv4.apply(delta.removals.ipv4, delta.upserts.ipv4),
            self.ipv6.apply(delta.removals.ipv6, delta.upserts.ipv6),
            long_targets,
        )

    def blocks(self) -> BlockArrays:
        """Return all blocks in an order that depends only on the blocks."""
        long_blocks = tuple(
            LongBlock(start, length, target)
            for (length, start), target in sorted(self.long_targets.items())
        )
        return BlockArrays(self.ipv4.blocks(), self.ipv6.blocks(), long_blocks)

    def save(self) -> bytes:
        """Serialise the table; equal tables give equal bytes."""
        return pack_blocks(self.blocks())

    @classmethod
    def load(cls, data: bytes) -> "BlockTable":
        """Deserialise a table that `save` returned.

        Raises
        ------
        BulrushleadError
            If the data are damaged or of another format version.
        """
        return cls.build(unpack_blocks(data))

    @cached_property
    def _long_lengths(self) -> list[int]:
        return sorted({length for length, _ in self.long_targets}, reverse=True)

    def _find_ipv6(self, address: int) -> int:
        for length in self._long_lengths:
            shift = IPV6_BITS - length
            start = address >> shift << shift
            target = self.long_targets.get((length, start))
            if target is not None:
                return target
        return self.ipv6.find(address >> IPV6_UPPER_BITS)


def _parse_address(
    address: str | ipaddress.IPv4Address | ipaddress.IPv6Address,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    if not isinstance(address, str):
        return address
    try:
        return ipaddress.ip_address(address)
    except ValueError as error:
        raise BulrushleadError(
            ResultCode.BAD_REQUEST,
            f"{address!r} is not an IP address; send an IPv4 or IPv6 number",
        ) from error


def _check_blocks(blocks: BlockArrays) -> None:
    for family, bits in ((blocks.ipv4, IPV4_BITS), (blocks.ipv6, IPV6_UPPER_BITS)):
        if not len(family):
            continue
        if int(family.lengths.max()) > bits:
            raise _invalid_block(
                f"prefix length {int(family.lengths.max())}", f"0..{bits}"
            )
        if int(family.targets.max()) >= MAX_TARGETS:
            raise _invalid_block(
                f"target {int(family.targets.max())}", f"0..{MAX_TARGETS - 1}"
            )
        dtype = family.starts.dtype.type
        # A shift by the full width is undefined, so length 0 gets its mask below.
        host_bits = (bits - family.lengths.astype(int)).clip(0, bits - 1)
        masks = (dtype(1) << host_bits.astype(dtype)) - dtype(1)
        masks[family.lengths == 0] = dtype((1 << bits) - 1)
        wrong = (family.starts & masks) != 0
        if wrong.any():
            index = int(wrong.argmax())
            raise _invalid_block(
                f"start {int(family.starts[index]):#x} with prefix length "
                f"{int(family.lengths[index])}",
                "starts with zero host bits",
            )
    for block in blocks.long_blocks:
        if not IPV6_UPPER_BITS < block.length <= IPV6_BITS:
            raise _invalid_block(f"prefix length {block.length}", "65..128")


def _invalid_block(found: str, allowed: str) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.DECLARATION_INVALID, f"client block has {found}; allowed: {allowed}"
    )
