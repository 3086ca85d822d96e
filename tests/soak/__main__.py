"""Plays seeds by hand: ``python -m tests.soak --seeds 1-50 --seconds 20``."""

import argparse
import asyncio
import sys
import time

from tests.soak.world import World


def main():
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", default="fresh", help="1-50, 7,9 or fresh")
    parser.add_argument("--count", type=int, default=5, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--logs", default="build/soak", help="logs of failed runs")
    arguments = parser.parse_args()
    failed = 0
    for seed in _seeds(arguments.seeds, arguments.count):
        world = World(seed, arguments.seconds, arguments.logs)
        breaks = asyncio.run(_play(world))
        failed += bool(breaks)
        print(f"seed {seed}: {len(breaks)} broken; {dict(world.ledger.counts)}")
        for line in (*breaks[:10], *(world.history if breaks else ())):
            print(f"    {line}", flush=True)
    print(f"{failed} seed(s) failed")
    sys.exit(1 if failed else 0)


async def _play(world):
    try:
        breaks = await world.run()
    except TimeoutError:
        breaks = world.ledger.breaks or ["TIMEOUT: the run did not start or end"]
    return breaks


def _seeds(text, count):
    if text == "fresh":
        begin = time.time_ns() % 10**9
        return range(begin, begin + count)
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


if __name__ == "__main__":
    main()
