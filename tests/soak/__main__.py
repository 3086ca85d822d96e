"""Runs the soak from the command line.

Examples: ``python -m tests.soak --seeds 1-50 --seconds 20``, and with hosts that change
between two builds ``python -m tests.soak --seeds 1-30 --upgrade-from production``.
"""

import argparse
import asyncio
import sys
import time

from tests.soak.harness import EDGES, Harness
from tests.soak.upgrade import UpgradeHarness, production_commit


def main():
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument(
        "--seeds", default="fresh", help="1-50, 7,9 or fresh (from the time)"
    )
    parser.add_argument("--count", type=int, default=5, help="number of fresh seeds")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of fault injection"
    )
    parser.add_argument(
        "--logs", default="build/soak", help="folder for the logs of failed runs"
    )
    parser.add_argument(
        "--edges", type=int, default=EDGES, help="number of gateways, 200 at most"
    )
    parser.add_argument(
        "--upgrade-from", help="commit of an earlier build, or 'production'"
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in _seeds(arguments.seeds, arguments.count):
        harness = _harness(seed, arguments)
        violations = asyncio.run(_run(harness))
        failed += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations; {dict(harness.checker.counts)}"
        )
        for line in (*violations[:10], *(harness.history if violations else ())):
            print(f"    {line}", flush=True)
    print(f"{failed} seed(s) failed")
    sys.exit(1 if failed else 0)


def _harness(seed, arguments):
    options = {"logs": arguments.logs, "edges": arguments.edges}
    commit = arguments.upgrade_from
    if commit is None:
        return Harness(seed, arguments.seconds, **options)
    if commit == "production":
        commit = production_commit()
    return UpgradeHarness(seed, arguments.seconds, commit, **options)


async def _run(harness):
    try:
        violations = await harness.run()
    except TimeoutError:
        violations = harness.checker.violations or [
            "TIMEOUT: the deployment did not start or did not recover"
        ]
    return violations


def _seeds(text, count):
    if text == "fresh":
        start = time.time_ns() % 10**9
        return range(start, start + count)
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


if __name__ == "__main__":
    main()
