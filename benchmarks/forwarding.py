"""Measures the forwarder against a bare aiohttp forwarder, in the same process.

Run ``python -m benchmarks.forwarding --help`` from the root of the project.
"""

import asyncio
import json
import statistics
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import attrs
import defopt
import uvloop
from multidict import CIMultiDict

from bulrushlead.backend import BackendServer
from bulrushlead.clock import MonotonicClock
from bulrushlead.forwarding import Forwarder, ForwarderSettings, ForwardRequest

CONNECTIONS = 16
TIMEOUT_MS = 10_000
RESULTS = Path("benchmarks/results")

Send = Callable[[], Awaitable[None]]


class FixedAnswerProtocol(asyncio.Protocol):
    """Answers each request with fixed bytes, at minimal cost."""

    answer = b""

    def connection_made(self, transport):
        """Store the transport for the answers."""
        self._transport = transport
        self._received = b""

    def data_received(self, data):
        """Answer each complete request; requests of the benchmark have no body."""
        self._received += data
        while b"\r\n\r\n" in self._received:
            _, _, self._received = self._received.partition(b"\r\n\r\n")
            self._transport.write(self.answer)


@attrs.frozen
class Round:
    """Measurements of one way to forward, in one round."""

    requests_per_s: float
    p50_ms: float
    p99_ms: float


@attrs.frozen
class Summary:
    """Medians over all rounds of one way to forward."""

    way: str
    requests_per_s: float
    p50_ms: float
    p99_ms: float
    alone_p50_ms: float


async def measure(send: Send, requests: int, concurrency: int) -> Round:
    """Measure ``requests`` sends, ``concurrency`` at a time."""
    latencies_ms = []
    remaining = iter(range(requests))

    async def work():
        for _ in remaining:
            start = time.perf_counter()
            await send()
            latencies_ms.append((time.perf_counter() - start) * 1000)

    start = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(concurrency)))
    elapsed_s = time.perf_counter() - start
    cuts = statistics.quantiles(latencies_ms, n=100)
    return Round(requests / elapsed_s, cuts[49], cuts[98])


def bare_sender(session: aiohttp.ClientSession, url: str, method: str) -> Send:
    """Return a function that sends one request with aiohttp alone."""

    async def send():
        async with session.request(method, url, headers=CIMultiDict()) as answer:
            await answer.read()

    return send


def forwarder_sender(forwarder: Forwarder, server: BackendServer, method: str) -> Send:
    """Return a function that sends one request through the forwarder."""
    clock = forwarder.clock

    async def send():
        request = ForwardRequest(
            method=method,
            path_qs="/stock",
            headers=CIMultiDict(),
            body=b"",
            deadline_ms=clock.now_ms() + TIMEOUT_MS,
            retryable=method == "GET",
        )
        await forwarder.forward(server, request)

    return send


async def run(
    requests: int, rounds: int, concurrency: int, answer_bytes: int
) -> list[Summary]:
    """Return the summaries of all ways to forward; their rounds alternate."""
    FixedAnswerProtocol.answer = (
        f"HTTP/1.1 200 OK\r\nContent-Length: {answer_bytes}\r\n\r\n".encode()
        + b"x" * answer_bytes
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(FixedAnswerProtocol, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server = BackendServer(
        "stock-1", "stock", "fes", "fes-a", f"127.0.0.1:{port}", "1", 4, 390
    )
    forwarder = Forwarder(MonotonicClock(), ForwarderSettings(CONNECTIONS, CONNECTIONS))
    await forwarder.start()
    connector = aiohttp.TCPConnector(limit_per_host=CONNECTIONS)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_MS / 1000)
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    single_use = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit_per_host=CONNECTIONS, force_close=True),
        timeout=timeout,
    )
    url = f"http://127.0.0.1:{port}/stock"
    ways = {
        "bare aiohttp, GET": bare_sender(session, url, "GET"),
        "forwarder, GET": forwarder_sender(forwarder, server, "GET"),
        "bare aiohttp, POST": bare_sender(session, url, "POST"),
        "bare aiohttp, POST, new connections": bare_sender(single_use, url, "POST"),
        "forwarder, POST (new connections)": forwarder_sender(
            forwarder, server, "POST"
        ),
    }
    loaded = {way: [] for way in ways}
    alone = {way: [] for way in ways}
    for _ in range(rounds):
        for way, send in ways.items():
            loaded[way].append(await measure(send, requests, concurrency))
            alone[way].append(await measure(send, requests // 4, 1))
    await session.close()
    await single_use.close()
    await forwarder.close()
    listener.close()
    return [_summarise(way, loaded[way], alone[way]) for way in ways]


def _summarise(way: str, loaded: list[Round], alone: list[Round]) -> Summary:
    return Summary(
        way=way,
        requests_per_s=statistics.median(r.requests_per_s for r in loaded),
        p50_ms=statistics.median(r.p50_ms for r in loaded),
        p99_ms=statistics.median(r.p99_ms for r in loaded),
        alone_p50_ms=statistics.median(r.p50_ms for r in alone),
    )


def render(command: str, summaries: list[Summary]) -> str:
    """Return the Markdown page of the results."""
    rows = [
        f"| {s.way} | {s.requests_per_s:.0f} | {s.p50_ms:.3f} | {s.p99_ms:.3f} "
        f"| {s.alone_p50_ms:.3f} |"
        for s in summaries
    ]
    return "\n".join(
        [
            "# Forwarder beside a bare aiohttp forwarder",
            "",
            f"Command: `{command}`. Medians over the rounds; client, and backend",
            "server with fixed answers, share one process and one core.",
            "",
            "| way | requests/s | p50 ms | p99 ms | p50 ms, one at a time |",
            "| --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )


def main(
    *,
    requests: int = 4_000,
    rounds: int = 7,
    concurrency: int = 16,
    answer_bytes: int = 2_000,
) -> None:
    """Measure and write the results.

    Parameters
    ----------
    requests : int
        Requests per way and round.
    rounds : int
        Rounds; the ways alternate within each.
    concurrency : int
        Requests in flight at the same time.
    answer_bytes : int
        Size of each answer's body.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        summaries = runner.run(run(requests, rounds, concurrency, answer_bytes))
    command = (
        f"python -m benchmarks.forwarding --requests {requests} --rounds {rounds} "
        f"--concurrency {concurrency} --answer-bytes {answer_bytes}"
    )
    page = render(command, summaries)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "forwarding.md").write_text(page)
    document = {"command": command, "ways": [attrs.asdict(s) for s in summaries]}
    (RESULTS / "forwarding.json").write_text(json.dumps(document, indent=2) + "\n")
    print(page)


if __name__ == "__main__":
    defopt.run(main)
