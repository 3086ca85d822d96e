"""Open-loop load generator: arrivals do not wait for answers."""

import asyncio
import random
from collections import Counter

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

from bulrushlead.bench._result import (
    PERCENTILES,
    PercentileRow,
    SecondRecord,
    StepResult,
)
from bulrushlead.clock import Clock

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


@attrs.define
class _StepCount:
    rate_rps: float
    histogram: HdrHistogram
    offered: int = 0
    good: int = 0
    refused: int = 0
    failed: int = 0
    codes: Counter = attrs.Factory(Counter)


class Callers:
    """Sends requests at their intended arrival times and counts their outcomes.

    Latency is measured from the intended arrival time. Measured from the actual send
    time, it would leave out the delay that a stalled system causes (coordinated
    omission).

    Parameters
    ----------
    clock : Clock
        Clock for arrivals and latencies.
    addresses : list of str
        Addresses of the entry hosts. Each request goes to a random one, just as
        lookups distribute callers over the entry hosts.
    service : str
        Name of the service to call.
    timeout_ms : int
        Timeout in the header of each request, in milliseconds.
    keyed_share : float
        Share of requests with an idempotency key, 0 to 1.
    seed : int
        Seed of arrival times, of entry host choices, and of which requests have a
        key.

    Attributes
    ----------
    seconds : list of SecondRecord
        Outcomes by second of intended arrival.
    not_run_paths : set of str
        Paths of requests whose answer said that they did not run.
    """

    def __init__(
        self,
        clock: Clock,
        addresses: list[str],
        service: str,
        timeout_ms: int,
        keyed_share: float,
        seed: int,
    ):
        self.clock = clock
        self.addresses = addresses
        self.service = service
        self.timeout_ms = timeout_ms
        self.keyed_share = keyed_share
        self.seed = seed
        self.seconds: list[SecondRecord] = []
        self.not_run_paths: set[str] = set()
        self._rng = random.Random(seed)
        self._n_sent = 0
        self._started_ms = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session and start the clock of ``elapsed_s()``."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._started_ms = self.clock.now_ms()

    async def close(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    def elapsed_s(self) -> float:
        """Return the time since ``start()``, in seconds."""
        return (self.clock.now_ms() - self._started_ms) / 1_000

    async def run_step(self, rate_rps: float, duration_s: float) -> StepResult:
        """Send requests at a constant mean rate and return their outcomes."""
        count = _StepCount(
            rate_rps, HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        )
        due_ms = self.clock.now_ms()
        end_ms = due_ms + duration_s * 1_000
        tasks: set[asyncio.Task] = set()
        while True:
            due_ms += self._rng.expovariate(rate_rps) * 1_000
            if due_ms >= end_ms:
                break
            await self.clock.sleep_ms(due_ms - self.clock.now_ms())
            task = asyncio.create_task(self._send(count, due_ms))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        return self._step_result(count)

    async def _send(self, count: _StepCount, due_ms: float) -> None:
        self._n_sent += 1
        path = f"/item/{self._n_sent}"
        keyed = self._rng.random() < self.keyed_share
        headers = {"Bulrushlead-Timeout-Ms": str(self.timeout_ms)}
        if keyed:
            headers["Idempotency-Key"] = f"key-{self._n_sent}"
        record = self._second_record(due_ms)
        record.offered += 1
        count.offered += 1
        url = f"http://{self._rng.choice(self.addresses)}/v1/services/{self.service}"
        try:
            async with self._session.request(
                "POST" if keyed else "GET", url + path, headers=headers
            ) as response:
                answer = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientError, OSError, ValueError):
            self._record_failure(count, record, "CONNECTION_LOST")
            return
        if status == 200 and answer.get("path") == path:
            record.good += 1
            count.good += 1
            latency_us = (self.clock.now_ms() - due_ms) * 1_000
            count.histogram.record_value(max(1, int(latency_us)))
        elif answer.get("ran") == "no":
            record.refused += 1
            count.refused += 1
            count.codes[answer["name"]] += 1
            self.not_run_paths.add(path)
        else:
            self._record_failure(count, record, answer.get("name", "WRONG_ANSWER"))

    def _record_failure(self, count: _StepCount, record: SecondRecord, name: str):
        record.failed += 1
        count.failed += 1
        count.codes[name] += 1

    def _second_record(self, due_ms: float) -> SecondRecord:
        second = max(0, int((due_ms - self._started_ms) / 1_000))
        while len(self.seconds) <= second:
            self.seconds.append(SecondRecord(len(self.seconds)))
        return self.seconds[second]

    def _step_result(self, count: _StepCount) -> StepResult:
        return StepResult(
            rate_rps=count.rate_rps,
            offered=count.offered,
            good=count.good,
            refused=count.refused,
            failed=count.failed,
            latencies=tuple(
                PercentileRow(
                    percentile,
                    count.histogram.get_value_at_percentile(percentile) / 1_000,
                )
                for percentile in PERCENTILES
            ),
            codes=dict(count.codes),
        )
