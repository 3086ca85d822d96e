"""Measures the processor time that logging adds to a request at a gateway.

Run ``python -m benchmarks.log_cost --help`` from the root of the project. Callers'
requests enter the forwarder directly and go to scripted servers over loopback; the time
of those servers, which share the process, cancels out in the difference.
"""

import asyncio
import os
import time

import defopt
import logbook

from bulrushlead.gateway.tests import harness as gateway_harness
from bulrushlead.logs import MAX_LINES_PER_S, BufferedStream, LogFormat, build_handler

WARMUP_REQUESTS = 200  # not measured; they open connections and fill caches


async def _cpu_ms(requests: int, script) -> float:
    harness = await gateway_harness.build_harness(script, script)
    for number in range(WARMUP_REQUESTS):
        await harness.send_request(b"/read/%d" % number)
    start_s = time.process_time()
    for number in range(requests):
        await harness.send_request(b"/read/%d" % number)
    spent_ms = (time.process_time() - start_s) * 1_000
    harness.close()
    return spent_ms / requests


def _measure(requests: int, *, logged: bool) -> float:
    if not logged:
        with logbook.NullHandler().applicationbound():
            return asyncio.run(_cpu_ms(requests, gateway_harness.good))
    descriptor = os.open(os.devnull, os.O_WRONLY)
    stream = BufferedStream(descriptor)
    stream.start()
    # The rate limit is raised, so that every request is logged, as at normal load.
    handler = build_handler(
        LogFormat.JSON, stream, max_lines_per_s=10 * MAX_LINES_PER_S
    )
    try:
        with handler.applicationbound():
            return asyncio.run(_cpu_ms(requests, gateway_harness.good))
    finally:
        stream.close()
        os.close(descriptor)


def main(*, requests: int = 3_000, rounds: int = 5) -> None:
    """Alternate rounds without and with logging, and print the fastest of each.

    Parameters
    ----------
    requests
        Requests per round.
    rounds
        Rounds of each kind. The fastest one is least affected by other processes.
    """
    unlogged, logged = [], []
    for _ in range(rounds):
        unlogged.append(_measure(requests, logged=False))
        logged.append(_measure(requests, logged=True))
    cost_ms = min(logged) - min(unlogged)
    print(f"without log {min(unlogged):.3f} ms a request, servers included")
    print(f"with log    {min(logged):.3f} ms, a line {1_000 * cost_ms:.0f} us")


if __name__ == "__main__":
    defopt.run(main)
