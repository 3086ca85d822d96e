"""Open-loop callers: arrivals do not wait for answers."""

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

HIGHEST_LATENCY_US = 120_000_000
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
    """Sends requests at their intended times and notes what came of them.

    Latency counts from the intended arrival, so that a stalled system does not
    hide the requests that it delayed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    addresses : list of str
        Entry hosts; each request goes to one at random, as spread look-ups do.
    service : str
        Service to call.
    timeout_ms : int
        Time that each caller allows.
    keyed_share : float
        Share of requests with an idempotency key.
    seed : int
        Seed of arrivals.

    Attributes
    ----------
    seconds : list of SecondRecord
        Time line.
    not_run_paths : set of str
        Requests that were told "not run".
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
        self._number = 0
        self._started_ms = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Prepare to send."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._started_ms = self.clock.now_ms()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    def elapsed_s(self) -> float:
        """Return the time since the start, in seconds."""
        return (self.clock.now_ms() - self._started_ms) / 1_000

    async def run_step(self, rate_rps: float, duration_s: float) -> StepResult:
        """Send at a constant mean rate and return what came of it."""
        count = _StepCount(
            rate_rps, HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
        )
        due_ms = self.clock.now_ms()
        end_ms = due_ms + duration_s * 1_000
        sending: set[asyncio.Task] = set()
        while True:
            due_ms += self._rng.expovariate(rate_rps) * 1_000
            if due_ms >= end_ms:
                break
            await self.clock.sleep_ms(due_ms - self.clock.now_ms())
            task = asyncio.create_task(self._send(count, due_ms))
            sending.add(task)
            task.add_done_callback(sending.discard)
        await asyncio.gather(*sending)
        return self._step_result(count)

    async def _send(self, count: _StepCount, due_ms: float) -> None:
        self._number += 1
        path = f"/item/{self._number}"
        keyed = self._rng.random() < self.keyed_share
        headers = {"Bulrushlead-Timeout-Ms": str(self.timeout_ms)}
        if keyed:
            headers["Idempotency-Key"] = f"key-{self._number}"
        record = self._second(due_ms)
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
            self._note_failure(count, record, "CONNECTION_LOST")
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
            self._note_failure(count, record, answer.get("name", "WRONG_ANSWER"))

    def _note_failure(self, count: _StepCount, record: SecondRecord, name: str):
        record.failed += 1
        count.failed += 1
        count.codes[name] += 1

    def _second(self, due_ms: float) -> SecondRecord:
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
