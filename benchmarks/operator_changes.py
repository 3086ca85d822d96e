"""Measures configuration changes by operators: state, gRPC calls and validation.

Run ``python -m benchmarks.operator_changes`` from the root of the project.
"""

import ipaddress
import json
from pathlib import Path

import attrs
import defopt
import numpy
import uvloop

from bulrushlead.clock import MonotonicClock
from bulrushlead.declaration import (
    ClientBlock,
    Declaration,
    Region,
    diff,
    load_declaration,
    normalise,
    validate,
)
from bulrushlead.operators import (
    ApplyDeclaration,
    ConfigurationState,
    OperatorClient,
    OperatorServer,
)
from bulrushlead.operators.tests.fake_log import FakeLog
from bulrushlead.wire import codec

EXAMPLE = Path("examples/araza/declaration.toml")
RESULTS = Path("benchmarks/results/operator_changes")
BLOCK_COUNTS = (1_000, 10_000, 100_000)
CLOCK = MonotonicClock()


@attrs.frozen
class Figures:
    """Measurements of configuration changes.

    Parameters
    ----------
    changes : int
        Changes applied for each rate.
    state_changes_per_s : float
        Rate of the configuration state alone.
    call_changes_per_s : float
        Rate of sequential gRPC calls over the loopback interface.
    call_p50_ms, call_p99_ms : float
        Duration of one such call.
    blocks : tuple of BlockFigures
        Cost by the number of client blocks.
    """

    changes: int
    state_changes_per_s: float
    call_changes_per_s: float
    call_p50_ms: float
    call_p99_ms: float
    blocks: tuple["BlockFigures", ...]


@attrs.frozen
class BlockFigures:
    """Cost of one declaration with many client blocks.

    Parameters
    ----------
    count : int
        Client blocks.
    validate_ms, diff_ms, decode_ms, apply_ms : float
        Duration of each step; decoding and applying run on every replica.
    command_bytes : int
        Encoded size of the command.
    """

    count: int
    validate_ms: float
    diff_ms: float
    decode_ms: float
    apply_ms: float
    command_bytes: int


def main(*, changes: int = 2_000) -> None:
    """Measure and write the results.

    Parameters
    ----------
    changes : int
        Changes to apply for each rate.
    """
    declaration = load_declaration(EXAMPLE)
    state_rate = measure_state(declaration, changes)
    call_ms = uvloop.run(measure_calls(declaration, changes))
    figures = Figures(
        changes,
        state_rate,
        changes / (sum(call_ms) / 1_000),
        float(numpy.percentile(call_ms, 50)),
        float(numpy.percentile(call_ms, 99)),
        tuple(measure_blocks(count) for count in BLOCK_COUNTS),
    )
    RESULTS.with_suffix(".json").write_text(
        json.dumps(attrs.asdict(figures), indent=2) + "\n"
    )
    text = render(figures)
    RESULTS.with_suffix(".md").write_text(text)
    print(text)


def measure_state(declaration: Declaration, changes: int) -> float:
    """Return the number of changes per second that the state alone applies."""
    state = ConfigurationState()
    commands = [
        ApplyDeclaration(f"r{number}", number, declaration, digest=b"d", summary=("s",))
        for number in range(changes)
    ]
    start_ms = CLOCK.now_ms()
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return changes / (CLOCK.now_ms() - start_ms) * 1_000


async def measure_calls(declaration: Declaration, changes: int) -> list[float]:
    """Return the duration of each change over gRPC, in milliseconds."""
    server = OperatorServer("127.0.0.1", 0, FakeLog(1).replicas[0])
    await server.start()
    client = OperatorClient([f"127.0.0.1:{server.bound_port}"], CLOCK)
    times_ms = []
    for number in range(changes):
        start_ms = CLOCK.now_ms()
        await client.apply(declaration, number)
        times_ms.append(CLOCK.now_ms() - start_ms)
    await client.close()
    await server.close()
    return times_ms


def measure_blocks(count: int) -> BlockFigures:
    """Return the cost of one declaration with many client blocks."""
    blocks = tuple(
        ClientBlock(f"{ipaddress.ip_address(0x0A000000 + (i << 8))}/24", "capital")
        for i in range(count)
    )
    declaration = Declaration(regions=(Region("capital"),), client_blocks=blocks)
    start_ms = CLOCK.now_ms()
    faults = validate(declaration)
    validated_ms = CLOCK.now_ms()
    diff(declaration, attrs.evolve(declaration, client_blocks=blocks[1:]))
    compared_ms = CLOCK.now_ms()
    if faults:
        raise AssertionError(f"the sample is invalid: {faults[0]}")
    command = ApplyDeclaration("r", 0, declaration, digest=b"d", summary=("s",))
    data = codec.encode(command)
    plain = codec.to_plain(declaration)
    before_decode_ms = CLOCK.now_ms()
    decoded = normalise(codec.from_plain(plain, Declaration))
    decoded_ms = CLOCK.now_ms()
    ConfigurationState().apply(1, attrs.evolve(command, declaration=decoded))
    applied_ms = CLOCK.now_ms()
    return BlockFigures(
        count,
        validated_ms - start_ms,
        compared_ms - validated_ms,
        decoded_ms - before_decode_ms,
        applied_ms - decoded_ms,
        len(data),
    )


def render(figures: Figures) -> str:
    """Return the Markdown page of the results."""
    counts = [block.count for block in figures.blocks]
    times_ms = [block.validate_ms for block in figures.blocks]
    slope_us = numpy.polyfit(counts, times_ms, 1)[0] * 1_000
    lines = [
        "# Operators' changes",
        "",
        "`python -m benchmarks.operator_changes`, one process, loopback, the log in",
        f"memory, the declaration of Arazá, {figures.changes} changes each.",
        "",
        "| measure | figure |",
        "| --- | --- |",
        f"| changes/s, state alone | {figures.state_changes_per_s:,.0f} |",
        f"| changes/s over gRPC, one after the other "
        f"| {figures.call_changes_per_s:,.0f} |",
        f"| call p50 | {figures.call_p50_ms:.2f} ms |",
        f"| call p99 | {figures.call_p99_ms:.2f} ms |",
        f"| validation per client block (slope) | {slope_us:.2f} µs |",
        "",
        "| client blocks | validate ms | diff ms | decode ms | apply ms | bytes |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {b.count:,} | {b.validate_ms:.1f} | {b.diff_ms:.1f} | {b.decode_ms:.1f} "
        f"| {b.apply_ms:.2f} | {b.command_bytes:,} |"
        for b in figures.blocks
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    defopt.run(main)
