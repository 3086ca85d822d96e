"""Measures the replicated log on files and loopback sockets of this machine.

Run ``python -m benchmarks.replication --help`` from the root of the project.
"""

import asyncio
import json
import random
import resource
import shutil
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import defopt
import uvloop

from bulrushlead.clock import MonotonicClock
from bulrushlead.replication import FileStorage, ReplicaSettings, ReplicatedLog
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import ByteMeter, MessageClient, MessageServer

RESULTS = Path("benchmarks/results")
CALL_TIMEOUT_MS = 10_000
RETRY_MS = 2
FILL_CONCURRENCY = 64
SNAPSHOT_SIZES_MB = (1, 8, 32)
IDLE_S = 5.0


class CommandList:
    """State machine that stores every command."""

    def __init__(self):
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Store the command."""
        self.commands.append(command)
        return b""

    def snapshot(self) -> bytes:
        """Return all commands, joined by line feeds."""
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        """Replace all commands by those of a snapshot."""
        self.commands = data.split(b"\n")


class Host:
    """A replica with its data folder and its port."""

    def __init__(self, folder: str, clock: MonotonicClock):
        self.folder = folder
        self.clock = clock
        self.meter = ByteMeter()
        self.server = MessageServer("127.0.0.1", 0, self.meter)
        self.log: ReplicatedLog | None = None
        self.settings: ReplicaSettings | None = None

    @property
    def address(self) -> str:
        """Address of the replica."""
        return f"127.0.0.1:{self.server.bound_port}"

    async def start(self, peers: list[str], **settings) -> None:
        """Start the replica."""
        self.settings = ReplicaSettings(
            self.address,
            peers=peers,
            data_folder=self.folder,
            bootstrap=True,
            **settings,
        )
        await self.restart()

    async def restart(self) -> None:
        """Start the replica on its existing folder."""
        self.log = ReplicatedLog(
            self.settings,
            self.clock,
            FileStorage(self.folder),
            lambda address: MessageClient(address, self.clock, self.meter),
            CommandList(),
            random.Random(),
        )
        await self.log.start()
        self.log.register(self.server)


class Cluster:
    """Replicas in this process, each on its own folder."""

    def __init__(self, size: int, **settings):
        self.clock = MonotonicClock()
        self.folder = tempfile.mkdtemp(dir=".", prefix=".benchmark-")
        self.settings = settings
        self.hosts = [Host(f"{self.folder}/{n}", self.clock) for n in range(size)]

    async def start(self) -> None:
        """Start every replica and wait for a leader."""
        for host in self.hosts:
            await host.server.start()
        addresses = [host.address for host in self.hosts]
        for host in self.hosts:
            peers = [address for address in addresses if address != host.address]
            await host.start(peers, **self.settings)
        await self.propose(b"first")

    async def close(self) -> None:
        """Stop every replica and remove the folders."""
        for host in self.hosts:
            await host.log.close()
            await host.server.close()
        shutil.rmtree(self.folder)

    def leader(self) -> Host | None:
        """Return the leader, if there is one."""
        return next((h for h in self.hosts if h.log.is_leader()), None)

    async def propose(self, change: bytes) -> None:
        """Propose a change, and retry until it is accepted."""
        while True:
            host = self.leader()
            try:
                if host is not None:
                    await host.log.propose(change, CALL_TIMEOUT_MS)
                    return
            except BulrushleadError:
                pass
            await self.clock.sleep_ms(RETRY_MS)

    async def propose_many(self, count: int, change_bytes: int) -> None:
        """Propose many changes, at most ``FILL_CONCURRENCY`` at a time."""
        remaining = iter(range(count))

        async def worker() -> None:
            for _ in remaining:
                await self.propose(b"x" * change_bytes)

        await asyncio.gather(*(worker() for _ in range(FILL_CONCURRENCY)))


@attrs.frozen
class RateFigures:
    """Rate and latency of changes.

    Parameters
    ----------
    replicas, concurrency : int
        Number of replicas, and of changes in flight at the same time.
    changes_per_s : float
        Accepted changes per second.
    p50_ms, p99_ms : float
        Time to acceptance, in milliseconds.
    """

    replicas: int
    concurrency: int
    changes_per_s: float
    p50_ms: float
    p99_ms: float


@attrs.frozen
class RecoveryFigures:
    """Recovery times after the loss of replicas.

    Parameters
    ----------
    changes : int
        Changes accepted before the loss.
    load_ms : float
        Median time until one restarted replica has read its folder.
    leader_lost_p50_ms, leader_lost_max_ms : float
        Time from the loss of the leader to the next accepted change.
    all_restarted_ms : float
        Median time from the restart of all replicas to the next accepted change.
    """

    changes: int
    load_ms: float
    leader_lost_p50_ms: float
    leader_lost_max_ms: float
    all_restarted_ms: float


@attrs.frozen
class SnapshotFigures:
    """Cost of a snapshot.

    Parameters
    ----------
    state_mb : float
        Size of the state, in 10^6 bytes.
    folder_mb : float
        Size of the data folder after the snapshot, in 10^6 bytes.
    load_ms : float
        Time until a restarted replica has read its folder, in milliseconds.
    longest_change_ms : float
        Longest time to acceptance of a change while the snapshot was written, in
        milliseconds.
    """

    state_mb: float
    folder_mb: float
    load_ms: float
    longest_change_ms: float


@attrs.frozen
class IdleFigures:
    """Cost of an idle cluster.

    Parameters
    ----------
    replicas : int
        Replicas in the cluster.
    bytes_per_s : float
        Bytes sent and received by the leader, per second.
    processor_share : float
        Processor time of one replica, as a share of one core.
    """

    replicas: int
    bytes_per_s: float
    processor_share: float


async def measure_rate(
    replicas: int, concurrency: int, changes: int, change_bytes: int
) -> RateFigures:
    """Return rate and latency with a fixed number of changes in flight."""
    cluster = Cluster(replicas)
    await cluster.start()
    costs_ms: list[float] = []
    remaining = iter(range(changes))

    async def worker() -> None:
        for _ in remaining:
            start = time.perf_counter()
            await cluster.propose(b"x" * change_bytes)
            costs_ms.append((time.perf_counter() - start) * 1000)

    start = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(concurrency)))
    elapsed_s = time.perf_counter() - start
    await cluster.close()
    percentiles = statistics.quantiles(costs_ms, n=100)
    return RateFigures(
        replicas, concurrency, changes / elapsed_s, percentiles[49], percentiles[98]
    )


async def measure_recovery(changes: int, rounds: int) -> RecoveryFigures:
    """Return the recovery times after ``changes`` accepted changes."""
    cluster = Cluster(3)
    await cluster.start()
    await cluster.propose_many(changes, 200)
    load_ms, lost_ms, restarted_ms = [], [], []
    for _ in range(rounds):
        lost = cluster.leader()
        start = time.perf_counter()
        await lost.log.close()
        await cluster.propose(b"after the loss")
        lost_ms.append((time.perf_counter() - start) * 1000)
        start = time.perf_counter()
        await lost.restart()
        load_ms.append((time.perf_counter() - start) * 1000)
        await cluster.propose(b"after the restart")
    for _ in range(max(1, rounds // 4)):
        for host in cluster.hosts:
            await host.log.close()
        start = time.perf_counter()
        await asyncio.gather(*(host.restart() for host in cluster.hosts))
        await cluster.propose(b"after all")
        restarted_ms.append((time.perf_counter() - start) * 1000)
    await cluster.close()
    return RecoveryFigures(
        changes,
        statistics.median(load_ms),
        statistics.median(lost_ms),
        max(lost_ms),
        statistics.median(restarted_ms),
    )


async def measure_snapshot(state_mb: int) -> SnapshotFigures:
    """Return the cost of a snapshot of a state of ``state_mb``."""
    cluster = Cluster(1, snapshot_threshold_entries=50, snapshot_trailing_entries=0)
    await cluster.start()
    for _ in range(state_mb * 2):
        await cluster.propose(b"x" * 500_000)
    longest_ms = 0.0
    for _ in range(100):
        start = time.perf_counter()
        await cluster.propose(b"small")
        longest_ms = max(longest_ms, (time.perf_counter() - start) * 1000)
    host = cluster.hosts[0]
    await host.log.close()
    folder_bytes = sum(p.stat().st_size for p in Path(host.folder).iterdir())
    start = time.perf_counter()
    await host.restart()
    load_ms = (time.perf_counter() - start) * 1000
    await cluster.close()
    return SnapshotFigures(state_mb, folder_bytes / 1e6, load_ms, longest_ms)


async def measure_idle(replicas: int) -> IdleFigures:
    """Return the cost of an idle cluster, which only sends heartbeats."""
    cluster = Cluster(replicas)
    await cluster.start()
    meter = cluster.leader().meter
    used = resource.getrusage(resource.RUSAGE_SELF)
    before = meter.sent_bytes + meter.received_bytes
    await asyncio.sleep(IDLE_S)
    size_bytes = meter.sent_bytes + meter.received_bytes - before
    now = resource.getrusage(resource.RUSAGE_SELF)
    busy_s = now.ru_utime + now.ru_stime - used.ru_utime - used.ru_stime
    await cluster.close()
    return IdleFigures(replicas, size_bytes / IDLE_S, busy_s / IDLE_S / replicas)


def render(command: str, rates, recoveries, snapshots, idle) -> str:
    """Return the Markdown page of the results."""
    lines = [
        "# Replicated log",
        "",
        f"Command: `{command}`. All replicas and the load share one process and one "
        "core; files on the disk of the working folder, sockets on loopback.",
        "",
        "| replicas | changes on their way | changes/s | p50 ms | p99 ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {f.replicas} | {f.concurrency} | {f.changes_per_s:.0f} | {f.p50_ms:.2f} "
        f"| {f.p99_ms:.2f} |"
        for f in rates
    ]
    lines += [
        "",
        "Three replicas, time to the next accepted change:",
        "",
        "| changes before | one loads its folder ms | leader lost p50 ms "
        "| leader lost max ms | all restarted ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {f.changes} | {f.load_ms:.1f} | {f.leader_lost_p50_ms:.0f} "
        f"| {f.leader_lost_max_ms:.0f} | {f.all_restarted_ms:.0f} |"
        for f in recoveries
    ]
    lines += [
        "",
        "| state MB | folder MB | load ms | longest change ms |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {f.state_mb} | {f.folder_mb:.1f} | {f.load_ms:.0f} "
        f"| {f.longest_change_ms:.0f} |"
        for f in snapshots
    ]
    lines += [
        "",
        "A state larger than the log since its last snapshot may not be written "
        "within the 100 changes measured; its longest change then shows no pause.",
        "",
        "Idle:",
        "",
        "| replicas | leader bytes/s | share of a core for each replica |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {f.replicas} | {f.bytes_per_s:.0f} | {f.processor_share * 100:.2f} % |"
        for f in idle
    ]
    return "\n".join(lines) + "\n"


async def measure_all(changes: int, rounds: int, sizes: Sequence[int], command: str):
    """Measure everything and write the results."""
    rates = [
        await measure_rate(replicas, concurrency, changes, 200)
        for replicas in (1, 3)
        for concurrency in (1, 16, 128)
    ]
    recoveries = [await measure_recovery(size, rounds) for size in sizes]
    snapshots = [await measure_snapshot(size) for size in SNAPSHOT_SIZES_MB]
    idle = [await measure_idle(replicas) for replicas in (3, 5)]
    page = render(command, rates, recoveries, snapshots, idle)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "replication.md").write_text(page)
    document = {
        "command": command,
        "rates": [attrs.asdict(f) for f in rates],
        "recoveries": [attrs.asdict(f) for f in recoveries],
        "snapshots": [attrs.asdict(f) for f in snapshots],
        "idle": [attrs.asdict(f) for f in idle],
    }
    (RESULTS / "replication.json").write_text(json.dumps(document, indent=2) + "\n")
    print(page)


def main(
    *, changes: int = 2_000, rounds: int = 20, sizes: Sequence[int] = (500, 5_000)
) -> None:
    """Measure and write the results.

    Parameters
    ----------
    changes
        Changes for each rate.
    rounds
        Losses of the leader for each recovery.
    sizes
        Numbers of changes accepted before the losses.
    """
    command = (
        f"python -m benchmarks.replication --changes {changes} --rounds {rounds} "
        f"--sizes {' '.join(map(str, sizes))}"
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_all(changes, rounds, sizes, command))


if __name__ == "__main__":
    defopt.run(main)
