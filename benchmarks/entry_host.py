"""Measures an entry host against a bare aiohttp forwarder, in the same run.

Run from the repository's root: ``python -m benchmarks.entry_host``. Callers, the
forwarders and one sample backend server share one process and one core, so that both
measurements include the cost of callers and server.
"""

import asyncio
import io
import json
import statistics
import time
from pathlib import Path

import aiohttp
import uvloop
from aiohttp import web

from bulrushlead.declaration import Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan
from bulrushlead.logs import LogFormat, build_handler

ROUNDS = 5
SEQUENTIAL_REQUESTS = 400
PARALLEL_REQUESTS = 2_000
CONCURRENCY = 16
SLOTS = 64
TARGET_THROUGHPUT_RATIO = 0.7
TARGET_EXTRA_MS = 0.5
RESULTS = Path(__file__).parent / "results" / "entry_host.json"


class BareForwarder:
    """Forwards every request to one server and buffers the answer."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self._session = None
        self._runner = None

    async def start(self):
        """Listen on a port that the operating system chooses."""
        self._session = aiohttp.ClientSession()
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._forward)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()
        await self._session.close()

    async def _forward(self, request):
        body = await request.read()
        url = f"http://{self.target}{request.path_qs}"
        async with self._session.request(request.method, url, data=body) as answer:
            return web.Response(status=answer.status, body=await answer.read())


async def send_request(session, url):
    """Send one request and return its latency in ms."""
    started_s = time.perf_counter()
    async with session.get(url) as answer:
        await answer.read()
        assert answer.status == 200, answer.status
    return (time.perf_counter() - started_s) * 1_000


async def measure(session, url):
    """Return the sequential median in ms and the parallel requests per second."""
    latencies_ms = [
        await send_request(session, url) for _ in range(SEQUENTIAL_REQUESTS)
    ]
    remaining = iter(range(PARALLEL_REQUESTS))

    async def worker():
        for _ in remaining:
            await send_request(session, url)

    started_s = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    duration_s = time.perf_counter() - started_s
    return statistics.median(latencies_ms), PARALLEL_REQUESTS / duration_s


async def main():
    """Measure both forwarders in alternation and write the medians of all rounds."""
    plan = DeploymentPlan(
        regions=("casa",),
        zones_per_region=1,
        services=(
            ServicePlan(
                Service("stock"), 1, SLOTS, service_time_ms=0, answer_bytes=2000
            ),
        ),
    )
    deployment = Deployment(plan, seed=1)
    await deployment.start()
    server = next(iter(deployment.servers.values()))
    bare = BareForwarder(f"127.0.0.1:{server.bound_port}")
    await bare.start()
    entry = next(iter(deployment.entry_addresses.values()))
    ways = {
        "bare": f"http://{bare.address}/x",
        "entry": f"http://{entry}/v1/services/stock/x",
    }
    figures = {name: [] for name in ways}
    async with aiohttp.ClientSession() as session:
        for _ in range(ROUNDS):
            for name, url in ways.items():
                figures[name].append(await measure(session, url))
    await bare.close()
    await deployment.close()
    result = {"command": "python -m benchmarks.entry_host"}
    for name, rows in figures.items():
        result[name] = {
            "p50_ms": round(statistics.median(row[0] for row in rows), 3),
            "requests_per_s": round(statistics.median(row[1] for row in rows)),
        }
    result["throughput_ratio"] = round(
        result["entry"]["requests_per_s"] / result["bare"]["requests_per_s"], 3
    )
    result["extra_p50_ms"] = round(
        result["entry"]["p50_ms"] - result["bare"]["p50_ms"], 3
    )
    result["aim"] = {"throughput_ratio": TARGET_THROUGHPUT_RATIO, "ms": TARGET_EXTRA_MS}
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    # Logs every decision as in production, but to memory.
    with build_handler(LogFormat.JSON, io.StringIO(), "INFO").applicationbound():
        uvloop.run(main())
