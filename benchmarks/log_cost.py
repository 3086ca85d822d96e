"""Measures what the log adds to the processor time of a request at a gateway.

Run ``python -m benchmarks.log_cost --help`` from the root of the project. Callers'
requests enter the forwarder directly and go to scripted servers over loopback; the time
of those servers, which share the process, is measured apart and left out.
"""

import asyncio
import os
import time

import defopt
import logbook

from bulrushlead.gateway.tests import harness as w
from bulrushlead.logs import MAX_LINES_PER_S, BufferedStream, LogFormat, build_handler

WARM_UP = 200  # requests before the measurement, for connections and caches


async def _cpu_ms(requests: int, script) -> float:
    harness = await w.build_harness(script, script)
    for number in range(WARM_UP):
        await harness.send_request(b"/read/%d" % number)
    begun_s = time.process_time()
    for number in range(requests):
        await harness.send_request(b"/read/%d" % number)
    spent_ms = (time.process_time() - begun_s) * 1_000
    harness.close()
    return spent_ms / requests


def _measure(requests: int, *, logged: bool) -> float:
    if not logged:
        with logbook.NullHandler().applicationbound():
            return asyncio.run(_cpu_ms(requests, w.good))
    descriptor = os.open(os.devnull, os.O_WRONLY)
    stream = BufferedStream(descriptor)
    stream.start()
    # Without a ceiling every request leaves its line, as in the normal case.
    handler = build_handler(
        LogFormat.JSON, stream, max_lines_per_s=10 * MAX_LINES_PER_S
    )
    try:
        with handler.applicationbound():
            return asyncio.run(_cpu_ms(requests, w.good))
    finally:
        stream.close()
        os.close(descriptor)


def main(*, requests: int = 3_000, rounds: int = 5) -> None:
    """Alternate both and print the best of each.

    Parameters
    ----------
    requests
        Requests in a round.
    rounds
        Rounds of each kind; the fastest one is disturbed least.
    """
    silent, logged = [], []
    for _ in range(rounds):
        silent.append(_measure(requests, logged=False))
        logged.append(_measure(requests, logged=True))
    cost_ms = min(logged) - min(silent)
    print(f"without log {min(silent):.3f} ms a request, servers included")
    print(f"with log    {min(logged):.3f} ms, a line {1_000 * cost_ms:.0f} us")


if __name__ == "__main__":
    defopt.run(main)
