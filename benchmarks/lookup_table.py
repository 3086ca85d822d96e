"""Measures the client block table at several sizes.

Run ``python -m benchmarks.lookup_table --help`` from the root of the project.
"""

import functools
import gc
import ipaddress
import json
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs
import defopt
import numpy as np

from bulrushlead.lookup import (
    BlockArrays,
    BlockDelta,
    BlockTable,
    EntryHostOrder,
    EntryHostView,
    FamilyBlocks,
)

SIZES = (500_000, 1_000_000, 2_000_000, 3_900_000)
DELTA_SIZES = (1, 100, 10_000)
N_DELTAS = 10
N_TARGETS = 170
N_HOSTS = 11
N_ANSWER_HOSTS = 3
N_LOOKUPS = 200_000
IPV6_SHARE = 0.1
IPV4_LENGTHS = np.array([12, 16, 18, 20, 21, 22, 23, 24, 26, 28, 32])
IPV4_WEIGHTS = np.array([1, 5, 5, 30, 40, 90, 70, 600, 60, 60, 39]) / 1_000
IPV6_LENGTHS = np.array([29, 32, 36, 40, 44, 48, 56, 64])
IPV6_WEIGHTS = np.array([50, 150, 50, 50, 100, 500, 50, 50]) / 1_000
MAX_MEMORY_MB = 64
REQUIRED_LOOKUPS_PER_S = 467
TARGET_LOOKUPS_PER_S = 10 * REQUIRED_LOOKUPS_PER_S
TARGET_P99_MS = 5.0
RESULTS = Path("benchmarks/results")


@attrs.frozen
class SizeResult:
    """Measurements of one table size; times in milliseconds, memory in 10^6 bytes."""

    n_blocks: int
    array_mb: float
    held_mb: float
    load_peak_mb: float
    byte_form_mb: float
    build_ms: float
    load_ms: float
    find_per_s: float
    lookup_per_s: float
    lookup_p50_ms: float
    lookup_p99_ms: float
    lookup_max_ms: float
    delta_ms: dict[int, float]
    delta_max_ms: dict[int, float]
    during_delta_p99_ms: float
    during_delta_max_ms: float


def make_blocks(n_blocks: int, rng: np.random.Generator) -> BlockArrays:
    """Return distinct random blocks of both families, partly nested."""
    n_ipv6 = int(n_blocks * IPV6_SHARE)
    ipv4 = make_ipv4(n_blocks - n_ipv6, rng)
    ipv6 = _make_family(n_ipv6, 64, np.uint64, (IPV6_LENGTHS, IPV6_WEIGHTS), rng)
    return BlockArrays(ipv4, ipv6)


def make_ipv4(n_blocks: int, rng: np.random.Generator) -> FamilyBlocks:
    """Return distinct random IPv4 blocks."""
    return _make_family(n_blocks, 32, np.uint32, (IPV4_LENGTHS, IPV4_WEIGHTS), rng)


def _make_family(n_blocks, bits, dtype, distribution, rng) -> FamilyBlocks:
    pieces = []
    n_found = 0
    while n_found < n_blocks:
        lengths = rng.choice(distribution[0], 2 * n_blocks, p=distribution[1])
        starts = rng.integers(0, 2**bits, 2 * n_blocks, dtype=np.uint64)
        if bits == 64:
            # All addresses share their upper bits, as allocated global unicast ones do.
            starts = (starts >> np.uint64(8)) | np.uint64(0x2A << 56)
        shift = (bits - lengths).astype(np.uint64)
        starts = (starts >> shift) << shift
        pieces.append(np.stack([starts, lengths.astype(np.uint64)], axis=1))
        unique = np.unique(np.concatenate(pieces), axis=0)
        n_found = len(unique)
    unique = rng.permutation(unique)[:n_blocks]
    targets = rng.integers(0, N_TARGETS, n_blocks).astype(np.uint16)
    return FamilyBlocks(
        unique[:, 0].astype(dtype), unique[:, 1].astype(np.uint8), targets
    )


def trace_load_mb(data: bytes) -> tuple[float, float]:
    """Return the memory of a loaded table and the peak while loading, in 10^6 bytes.

    The serialised table itself is not counted.
    """
    gc.collect()
    tracemalloc.start()
    table = BlockTable.load(data)
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return held / 1e6, peak / 1e6


def timed_ms(call: Callable[[], object]) -> tuple[float, object]:
    """Return the duration of a call in milliseconds, and its result."""
    started = time.perf_counter()
    result = call()
    return (time.perf_counter() - started) * 1e3, result


def measure(n_blocks: int, seed: int) -> SizeResult:
    """Measure one table size."""
    rng = np.random.default_rng(seed)
    data = BlockTable.build(make_blocks(n_blocks, rng)).save()
    held_mb, peak_mb = trace_load_mb(data)
    load_ms, table = timed_ms(lambda: BlockTable.load(data))
    blocks = table.blocks()
    build_ms, _ = timed_ms(lambda: BlockTable.build(blocks))
    find_per_s, latencies_ms = _measure_lookups(table, rng)
    deltas = {size: _measure_deltas(table, size, rng) for size in DELTA_SIZES}
    during_ms = _measure_during_delta(table, rng)
    return SizeResult(
        n_blocks=len(table),
        array_mb=round(table.nbytes / 1e6, 1),
        held_mb=round(held_mb, 1),
        load_peak_mb=round(peak_mb, 1),
        byte_form_mb=round(len(data) / 1e6, 1),
        build_ms=round(build_ms),
        load_ms=round(load_ms),
        find_per_s=round(find_per_s),
        lookup_per_s=round(1e3 / latencies_ms.mean()),
        lookup_p50_ms=round(float(np.percentile(latencies_ms, 50)), 4),
        lookup_p99_ms=round(float(np.percentile(latencies_ms, 99)), 4),
        lookup_max_ms=round(float(latencies_ms.max()), 4),
        delta_ms={
            size: round(float(np.median(durations)), 2)
            for size, durations in deltas.items()
        },
        delta_max_ms={
            size: round(float(max(durations)), 2) for size, durations in deltas.items()
        },
        during_delta_p99_ms=round(float(np.percentile(during_ms, 99)), 4),
        during_delta_max_ms=round(float(during_ms.max()), 4),
    )


def _measure_lookups(table: BlockTable, rng) -> tuple[float, np.ndarray]:
    numbers = rng.integers(0, 2**32, N_LOOKUPS).tolist()
    addresses = [str(ipaddress.ip_address(number)) for number in numbers]
    addresses[::10] = [
        str(ipaddress.IPv6Address((0x2A << 120) | (int(number) << 88)))
        for number in numbers[::10]
    ]
    total_ms, _ = timed_ms(lambda: [table.find(address) for address in addresses])
    regions = [f"region-{index}" for index in range(N_TARGETS)]
    hosts = [
        EntryHostView(f"e{index}", "192.0.2.1:80", regions[index % 3], "a", 100)
        for index in range(N_HOSTS)
    ]
    order = EntryHostOrder(hosts)
    latencies_ms = np.empty(N_LOOKUPS)
    for index, address in enumerate(addresses):
        started = time.perf_counter()
        target = table.find(address)
        order.order(address.encode(), regions[target % 3], N_ANSWER_HOSTS)
        latencies_ms[index] = (time.perf_counter() - started) * 1e3
    return N_LOOKUPS / total_ms * 1e3, latencies_ms


def _make_delta(current: FamilyBlocks, size: int, rng) -> BlockDelta:
    """Return a delta that removes ``size / 2`` blocks and adds as many."""
    half = max(1, size // 2)
    removals = current.take(rng.integers(0, len(current), half))
    return BlockDelta(BlockArrays(removals), BlockArrays(make_ipv4(half, rng)))


def _measure_deltas(table: BlockTable, size: int, rng) -> list[float]:
    current = table.blocks().ipv4
    durations_ms = []
    for _ in range(N_DELTAS):
        delta = _make_delta(current, size, rng)
        durations_ms.append(timed_ms(functools.partial(table.apply_delta, delta))[0])
    return durations_ms


def _measure_during_delta(table: BlockTable, rng) -> np.ndarray:
    """Return latencies of single look-ups while a thread applies a large delta."""
    delta = _make_delta(table.blocks().ipv4, max(DELTA_SIZES), rng)
    numbers = rng.integers(0, 2**32, N_LOOKUPS).tolist()
    thread = threading.Thread(target=table.apply_delta, args=(delta,))
    latencies_ms = []
    thread.start()
    while thread.is_alive():
        started = time.perf_counter()
        table.find(numbers[len(latencies_ms) % N_LOOKUPS])
        latencies_ms.append((time.perf_counter() - started) * 1e3)
        time.sleep(1 / TARGET_LOOKUPS_PER_S)
    thread.join()
    return np.array(latencies_ms)


def render(results: list[SizeResult], seed: int) -> str:
    """Return the Markdown page of results."""
    lines = [
        "# Client block table",
        "",
        f"`python -m benchmarks.lookup_table --seed {seed}`, one core, "
        f"{N_TARGETS} targets, {IPV6_SHARE:.0%} IPv6. Look-up: parse the address, "
        f"find its block, order {N_HOSTS} hosts, take {N_ANSWER_HOSTS}. Held: "
        "memory that a table loaded from its byte form keeps; peak: most memory "
        "while it is loaded, without the byte form. During delta: single finds at "
        f"about {TARGET_LOOKUPS_PER_S}/s while a thread applies a delta of "
        f"{max(DELTA_SIZES):,} blocks.",
        "",
        f"Stated targets for a node: {MAX_MEMORY_MB} MB, {REQUIRED_LOOKUPS_PER_S} "
        f"look-ups/s; aims: {TARGET_LOOKUPS_PER_S} look-ups/s, "
        f"p99 <= {TARGET_P99_MS} ms.",
        "",
        "| blocks | arrays MB | held MB | peak MB | byte form MB | build ms | load ms "
        "| find/s | look-ups/s | p50 ms | p99 ms | max ms "
        + "".join(f"| delta {size} ms (max) " for size in DELTA_SIZES)
        + "| during delta p99 ms | max ms |",
        "| ---: " * (14 + len(DELTA_SIZES)) + "|",
    ]
    for row in results:
        deltas = "".join(
            f"| {row.delta_ms[size]} ({row.delta_max_ms[size]}) "
            for size in DELTA_SIZES
        )
        lines.append(
            f"| {row.n_blocks:,} | {row.array_mb} | {row.held_mb} | {row.load_peak_mb} "
            f"| {row.byte_form_mb} | {row.build_ms:.0f} | {row.load_ms:.0f} "
            f"| {row.find_per_s:,.0f} | {row.lookup_per_s:,.0f} "
            f"| {row.lookup_p50_ms} | {row.lookup_p99_ms} | {row.lookup_max_ms} "
            f"{deltas}| {row.during_delta_p99_ms} | {row.during_delta_max_ms} |"
        )
    return "\n".join(lines) + "\n"


def main(*, seed: int = 1, sizes: Sequence[int] = SIZES, write: bool = False):
    """Measure the table and print the results.

    Parameters
    ----------
    seed
        Seed of the random blocks and addresses.
    sizes
        Numbers of blocks; the default covers 0.5 to 3.9 million.
    write
        Whether to write the results to ``benchmarks/results``.
    """
    results = [measure(size, seed) for size in sizes]
    page = render(results, seed)
    print(page)
    if write:
        rows = [attrs.asdict(result) for result in results]
        text = json.dumps({"seed": seed, "results": rows}, indent=1)
        (RESULTS / "lookup_table.json").write_text(text + "\n")
        (RESULTS / "lookup_table.md").write_text(page)


if __name__ == "__main__":
    defopt.run(main)
