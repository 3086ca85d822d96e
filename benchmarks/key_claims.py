"""Measures the cost of an idempotency key, with three real control hosts.

Run from the repository's root: ``python -m benchmarks.key_claims``. Everything runs in
one process on loopback; the logs are files in a temporary folder.
"""

import asyncio
import json
import statistics
import sys
import time
from pathlib import Path

import aiohttp
import uvloop

from bulrushlead.declaration import Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan
from bulrushlead.logs import LogFormat, build_handler

REQUESTS = 500
CONCURRENCY = 16
RESULTS = Path(__file__).parent / "results" / "key_claims.json"


async def post(session, url, key):
    """Send one request and return its latency in ms."""
    headers = {"Idempotency-Key": key} if key else {}
    started_s = time.perf_counter()
    async with session.post(url, headers=headers, data=b"x") as answer:
        await answer.read()
        assert answer.status == 200, answer.status
    return (time.perf_counter() - started_s) * 1_000


async def measure(session, url, prefix):
    """Return latencies of sequential requests, and the rate of parallel ones."""
    rows = [
        await post(session, url, prefix and f"{prefix}-{number}")
        for number in range(REQUESTS)
    ]
    numbers = iter(range(REQUESTS))

    async def worker():
        for number in numbers:
            await post(session, url, prefix and f"{prefix}-p-{number}")

    started_s = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    rate = REQUESTS / (time.perf_counter() - started_s)
    return {
        "p50_ms": round(statistics.median(rows), 2),
        "p99_ms": round(statistics.quantiles(rows, n=100)[98], 2),
        f"requests_per_s_at_{CONCURRENCY}": round(rate),
    }


async def main():
    """Measure requests without and with keys and write the result."""
    plan = DeploymentPlan(
        regions=("casa",),
        zones_per_region=1,
        controls=3,
        services=(ServicePlan(Service("stock"), 1, 64, service_time_ms=0),),
    )
    deployment = Deployment(plan, seed=1)
    await deployment.start()
    entry = next(iter(deployment.entry_addresses.values()))
    url = f"http://{entry}/v1/services/stock/x"
    async with aiohttp.ClientSession() as session:
        result = {
            "command": "python -m benchmarks.key_claims",
            "without_key": await measure(session, url, ""),
            "with_key": await measure(session, url, "key"),
        }
    await deployment.close()
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    with build_handler(LogFormat.HUMAN, sys.stderr, "CRITICAL").applicationbound():
        uvloop.run(main())
