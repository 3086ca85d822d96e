"""Measures the replicated state of idempotency keys at several sizes.

Run ``python -m benchmarks.keys --help`` from the root of the project.
"""

import asyncio
import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Sequence
from pathlib import Path

import attrs
import defopt
import uvloop
from multidict import CIMultiDict

from bulrushlead.clock import MonotonicClock
from bulrushlead.forwarding import ForwardAnswer
from bulrushlead.keys import (
    AnswerHeader,
    ClaimKey,
    FinishKey,
    KeyCoordinator,
    KeyLimits,
    KeyOutcome,
    KeySettings,
    KeyState,
    request_digest,
)
from bulrushlead.wire import codec

HEADERS = (AnswerHeader("Content-Type", "application/json"),)
DIGEST = request_digest("POST", "/orders", b"12 bales")
SERVICE = "ordering"
SIZES = (1_000, 10_000, 75_536, 141_072)
RESULTS = Path("benchmarks/results")


@attrs.frozen
class KeyFigures:
    """Measurements of a state after ``keys`` requests.

    Parameters
    ----------
    keys : int
        Keys claimed and finished.
    answered, spent : int
        Keys stored with their answer, and keys stored only as a fingerprint.
    claim_us, finish_us, resend_us : float
        Median cost of applying one command, in microseconds.
    memory_mb : float
        Allocated memory, in 10^6 bytes.
    snapshot_mb : float
        Size of the snapshot, in 10^6 bytes.
    snapshot_ms, restore_ms : float
        Time to write and to load the snapshot, in milliseconds.
    """

    keys: int
    answered: int
    spent: int
    claim_us: float
    finish_us: float
    resend_us: float
    memory_mb: float
    snapshot_mb: float
    snapshot_ms: float
    restore_ms: float


class LocalControl:
    """Applies commands locally, to measure the cost on the entry host alone."""

    def __init__(self):
        self.state = KeyState()
        self.index = 0

    async def call(self, command):
        """Apply a command and return its reply."""
        self.index += 1
        return self.state.apply(self.index, command)


def build_claim(number: int) -> ClaimKey:
    """Return the command that claims one key."""
    return ClaimKey(f"order-{number:032d}", SERVICE, DIGEST, "h1", "i1", f"a{number}")


def build_finish(number: int, answer_bytes: int) -> FinishKey:
    """Return the command that records the answer of one key."""
    return FinishKey(
        key=f"order-{number:032d}",
        service=SERVICE,
        attempt_id=f"a{number}",
        outcome=KeyOutcome.ANSWERED,
        status=201,
        headers=HEADERS,
        body=number.to_bytes(8, "big").ljust(answer_bytes, b"x"),
    )


def fill(state: KeyState, first: int, last: int, answer_bytes: int) -> None:
    """Claim and finish the keys from ``first`` to ``last``."""
    for number in range(first, last):
        state.apply(2 * number, build_claim(number))
        finish = codec.encode(build_finish(number, answer_bytes))
        state.apply(2 * number + 1, codec.decode(finish))


def median_us(state: KeyState, commands: list) -> float:
    """Return the median cost of applying one command, in microseconds."""
    costs = []
    for index, command in enumerate(commands):
        start = time.perf_counter_ns()
        state.apply(index, command)
        costs.append(time.perf_counter_ns() - start)
    return statistics.median(costs) / 1000


def measure(keys: int, answer_bytes: int, samples: int) -> KeyFigures:
    """Measure a state with ``keys`` finished keys."""
    gc.collect()
    tracemalloc.start()
    state = KeyState()
    fill(state, 0, keys, answer_bytes)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    numbers = range(keys, keys + samples)
    claim_us = median_us(state, [build_claim(n) for n in numbers])
    finish_us = median_us(state, [build_finish(n, answer_bytes) for n in numbers])
    resends = [attrs.evolve(build_claim(n), attempt_id="again") for n in numbers]
    resend_us = median_us(state, resends)
    start = time.perf_counter()
    snapshot = state.snapshot()
    snapshot_ms = (time.perf_counter() - start) * 1000
    start = time.perf_counter()
    KeyState().restore(snapshot)
    restore_ms = (time.perf_counter() - start) * 1000
    answered = min(keys, KeyLimits().answered_keys)
    return KeyFigures(
        keys=keys,
        answered=answered,
        spent=keys - answered,
        claim_us=claim_us,
        finish_us=finish_us,
        resend_us=resend_us,
        memory_mb=memory_bytes / 1e6,
        snapshot_mb=len(snapshot) / 1e6,
        snapshot_ms=snapshot_ms,
        restore_ms=restore_ms,
    )


async def coordinator_ms(samples: int) -> float:
    """Return the median cost of a keyed request on the entry host alone."""
    clock = MonotonicClock()
    coordinator = KeyCoordinator(clock, LocalControl(), KeySettings("h1", "i1"))
    answer = ForwardAnswer(201, CIMultiDict(), b"x" * 500)

    async def attempt() -> ForwardAnswer:
        return answer

    costs = []
    for number in range(samples):
        start = time.perf_counter()
        await coordinator.run(
            f"k{number}", SERVICE, DIGEST, attempt, clock.now_ms() + 5_000
        )
        costs.append((time.perf_counter() - start) * 1000)
    return statistics.median(costs)


def render(command: str, figures: list[KeyFigures], coordinator: float) -> str:
    """Return the Markdown page of the results."""
    rows = [
        f"| {f.keys} | {f.answered} | {f.spent} | {f.claim_us:.1f} "
        f"| {f.finish_us:.1f} | {f.resend_us:.1f} | {f.memory_mb:.1f} "
        f"| {f.snapshot_mb:.1f} | {f.snapshot_ms:.0f} | {f.restore_ms:.0f} |"
        for f in figures
    ]
    return "\n".join(
        [
            "# Replicated state of idempotency keys",
            "",
            f"Command: `{command}`. Memory by tracemalloc; commands' medians.",
            "",
            "| keys | answered | spent | claim us | finish us | resend us "
            "| memory MB | snapshot MB | snapshot ms | restore ms |",
            "| --- " * 10 + "|",
            *rows,
            "",
            _memory_per_key(figures),
            "A keyed request costs the entry host "
            f"{coordinator:.3f} ms at the median, without network and attempt.",
            "",
        ]
    )


def _memory_per_key(figures: list[KeyFigures]) -> str:
    unspent = [f for f in figures if not f.spent]
    spent = [f for f in figures if f.spent]
    lines = []
    for name, part in (("answered", unspent), ("spent", spent)):
        if len(part) >= 2:
            grown = part[-1].memory_mb - part[0].memory_mb
            per_key = grown * 1e6 / (part[-1].keys - part[0].keys)
            lines.append(f"Memory per {name} key: {per_key:.0f} bytes.")
    return " ".join(lines)


def main(
    *,
    sizes: Sequence[int] = SIZES,
    answer_bytes: int = 500,
    samples: int = 2_000,
) -> None:
    """Measure and write the results.

    Parameters
    ----------
    sizes
        Numbers of keys.
    answer_bytes
        Size of each recorded body.
    samples
        Commands measured at each size.
    """
    figures = [measure(keys, answer_bytes, samples) for keys in sizes]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        coordinator = runner.run(coordinator_ms(samples))
    command = (
        f"python -m benchmarks.keys --sizes {' '.join(map(str, sizes))} "
        f"--answer-bytes {answer_bytes} --samples {samples}"
    )
    page = render(command, figures, coordinator)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "keys.md").write_text(page)
    document = {
        "command": command,
        "figures": [attrs.asdict(f) for f in figures],
        "coordinator_p50_ms": coordinator,
    }
    (RESULTS / "keys.json").write_text(json.dumps(document, indent=2) + "\n")
    print(page)


if __name__ == "__main__":
    defopt.run(main)
