import ipaddress
import random

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.declaration import ClientBlock
from bulrushlead.lookup import NO_TARGET, BlockArrays, BlockDelta, BlockTable
from bulrushlead.results import BulrushleadError, ResultCode

REGIONS = tuple(f"region-{index}" for index in range(300))

# Few distinct upper bits, so that blocks nest, collide and share segments.
IPV4 = st.builds(
    lambda number, length: ipaddress.ip_network((number, length), strict=False),
    st.sampled_from([0, 10 << 24, (10 << 24) + 255, 2**32 - 1]).flatmap(
        lambda base: st.integers(0, 2**12).map(lambda low: (base ^ low) % 2**32)
    ),
    st.integers(0, 32),
)
IPV6 = st.builds(
    lambda number, length: ipaddress.ip_network(
        (number.to_bytes(16, "big"), length), strict=False
    ),
    st.sampled_from([0x2001 << 112, (0x2001 << 112) + (7 << 60), 2**128 - 1]).flatmap(
        lambda base: st.integers(0, 2**8).map(lambda low: base ^ low)
    ),
    st.integers(0, 128),
)
BLOCKS = st.lists(
    st.builds(
        lambda network, target: ClientBlock(str(network), REGIONS[target]),
        st.one_of(IPV4, IPV6),
        st.integers(0, 299),
    ),
    max_size=30,
)


def build(blocks):
    return BlockTable.build(BlockArrays.from_client_blocks(blocks, REGIONS))


def brute_force(blocks, address):
    best_length, best = -1, NO_TARGET
    for block in blocks:
        network = ipaddress.ip_network(block.prefix)
        if address in network and network.prefixlen >= best_length:
            best_length, best = network.prefixlen, REGIONS.index(block.region)
    return best


def probes(blocks):
    """Return the addresses at and just outside both ends of every block."""
    found = {ipaddress.ip_address("10.0.0.1"), ipaddress.ip_address("2001::1")}
    for block in blocks:
        network = ipaddress.ip_network(block.prefix)
        kind = type(network.network_address)
        first, last = int(network.network_address), int(network.broadcast_address)
        for number in (first - 1, first, last, last + 1):
            if 0 <= number < 2**network.max_prefixlen:
                found.add(kind(number))
    return [one for one in found if one.version == 4 or one.ipv4_mapped is None]


@given(BLOCKS)
def test_find_equals_brute_force(blocks):
    table = build(blocks)
    for address in probes(blocks):
        assert table.find(str(address)) == brute_force(blocks, address), address


@given(BLOCKS, BLOCKS, BLOCKS)
def test_delta_equals_rebuild_and_leaves_the_old_table(first, removed, added):
    old = build(first)
    before = old.save()
    removed = removed + first[::2]
    delta = BlockDelta(
        BlockArrays.from_client_blocks(removed, REGIONS),
        BlockArrays.from_client_blocks(added, REGIONS),
    )
    gone = {block.prefix for block in removed}
    expected = [block for block in first if block.prefix not in gone] + added
    changed = old.apply_delta(delta)
    assert changed.save() == build(expected).save()
    assert old.save() == before
    for address in probes(expected + removed):
        assert changed.find(address) == brute_force(expected, address)


@given(BLOCKS)
def test_load_restores_what_was_saved(blocks):
    table = build(blocks)
    loaded = BlockTable.load(table.save())
    assert loaded.save() == table.save()
    for address in probes(blocks):
        assert loaded.find(address) == table.find(address)


def test_large_segment_with_nested_blocks():
    """Over 32,767 blocks in one segment, so that parents need ``int32``."""
    rng = random.Random(5)
    blocks = [ClientBlock("10.0.0.0/12", REGIONS[299])]
    for index in range(40_000):
        length = rng.choice((24, 26, 28, 30, 32))
        number = (10 << 24) + (rng.getrandbits(20) >> (32 - length) << (32 - length))
        blocks.append(ClientBlock(f"{ipaddress.ip_address(number)}/{length}", "a"))
        blocks[-1] = ClientBlock(blocks[-1].prefix, REGIONS[index % 170])
    table = build(blocks)
    by_prefix = {block.prefix: REGIONS.index(block.region) for block in blocks}
    for _ in range(2_000):
        number = (10 << 24) + rng.getrandbits(20)
        expected = NO_TARGET
        for length in range(33):
            masked = number >> (32 - length) << (32 - length)
            prefix = f"{ipaddress.ip_address(masked)}/{length}"
            expected = by_prefix.get(prefix, expected)
        assert table.find(number) == expected


@pytest.mark.parametrize("position", [0, 9, 40, -1])
def test_damaged_bytes_are_rejected(position):
    data = bytearray(build([ClientBlock("10.0.0.0/8", REGIONS[1])]).save())
    data[position] ^= 1
    with pytest.raises(BulrushleadError) as caught:
        BlockTable.load(bytes(data))
    assert caught.value.code is ResultCode.STORAGE_DAMAGED


@pytest.mark.parametrize("text", ["10.0.0.1/8", "ten", "10.0.0.0/33"])
def test_errors_name_the_malformed_prefix(text):
    with pytest.raises(BulrushleadError, match=text):
        build([ClientBlock(text, REGIONS[0])])


def test_host_bits_in_arrays_are_rejected():
    blocks = BlockArrays.from_client_blocks(
        [ClientBlock("10.0.0.0/8", REGIONS[0])], REGIONS
    )
    blocks.ipv4.starts[0] = np.uint32((10 << 24) + 1)
    with pytest.raises(BulrushleadError, match="zero host bits"):
        BlockTable.build(blocks)


def test_ipv4_mapped_addresses_are_looked_up_as_ipv4():
    table = build([ClientBlock("10.0.0.0/8", REGIONS[3])])
    assert table.find("::ffff:10.1.2.3") == 3
    with pytest.raises(BulrushleadError, match="not an IP address"):
        table.find("host")
