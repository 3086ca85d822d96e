"""Harness of a soak run: hosts, servers, callers, operators and random faults."""

import asyncio
import collections
import contextlib
import os
import random
import re
import socket
import tempfile
import time
from pathlib import Path

import aiohttp

from bulrushlead.http1 import Request
from bulrushlead.quarantine import request_fingerprint
from tests.soak.backends import (
    CRASHING_ORGANISATION,
    LONG_SHARE,
    Backend,
    Caller,
    Operator,
    call_control,
)
from tests.soak.checker import InvariantChecker
from tests.soak.faults import CRASHES, CUTS, FAULTS, OVERLAPS, PLANNED
from tests.soak.processes import PEER_PORT, READY_PORT, ZONES, Host
from tests.soak.proxy import Proxy
from tests.soak.replacements import (
    REPLACEMENTS,
    lose_all_processes,
    replace_cores_in_series,
)

CORES = 5
EDGES = 3
BACKENDS = 6
CALLERS = 8
BASE_DELAYS_MS = (0.0, 35.0)  # one way: in the same region, or to another one
NETWORKS = 200  # 127.10.0.0/16 and the next ones
START_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 2.0
QUARANTINE_REFUSAL = re.compile(
    r"REQUEST_QUARANTINED: \d+ servers have ended under request (\w+)"
)
MAX_FAULT_S = 60.0  # of a fault, after the last one was started
STALL_CHECK_S = 0.05
RECOVERY_PHASE_S = 18.0  # time to recover, then to measure the served share


class Harness:
    """A deployment on addresses of the loopback network 127.0.0.0/8.

    Parameters
    ----------
    seed : int
        Seed of the faults, their times, and the load.
    fault_duration_s : float
        Duration of the fault injection, in seconds.
    logs : str or None, default=None
        Folder to which the hosts' logs are copied if an invariant is violated or the
        run does not come to its end.
    cores, edges : int
        Numbers of core hosts (coordinator and directory) and edge hosts (gateways).
    """

    def __init__(self, seed, fault_duration_s, logs=None, cores=CORES, edges=EDGES):
        self.logs = logs
        self.seed = seed
        self.fault_duration_s = fault_duration_s
        self.rng = random.Random(seed)
        self.network, self._network_holder = _reserve_network()
        self._folder = tempfile.TemporaryDirectory(prefix="soak-")
        self.folder = Path(self._folder.name)
        self.started_s = time.monotonic()
        self.checker = InvariantChecker(self.clock)
        self.cores = [Host(self, "core", n) for n in range(cores)]
        self.edges = [Host(self, "edge", n) for n in range(edges)]
        self.backends = [Backend(self, n) for n in range(BACKENDS)]
        for core in self.cores:
            self._add_proxy(core)
        self.seeds = self.cores[:3]
        self.all_cores = list(self.cores)  # with those that are gone for good
        self.backend_proxies = [Proxy(b.address, b.bind_address) for b in self.backends]
        # Every fourth seed injects no faults, only planned work; every fourth one cuts
        # gateways off; every eighth one sends requests that crash servers. Of sixteen,
        # one has more planned work at once and one replaces core hosts; that one and
        # another one lose all processes.
        self.faults = {0: PLANNED, 2: CUTS, 4: PLANNED, 5: CRASHES, 6: CUTS}.get(
            seed % 8, FAULTS
        )
        self.faults = {12: OVERLAPS, 15: REPLACEMENTS}.get(seed % 16, self.faults)
        self.loses_all_processes = seed % 8 == 7
        self.long_share = LONG_SHARE if self.faults is PLANNED else 0.0
        self.history = []
        self.version = 1
        self.operators = [Operator(self, name) for name in "ab"]
        self._session = None
        self._tasks = set()
        self.core_fault_active = False
        self.series_active = False
        self.cut_active = False
        self.crashing_paths = set()
        self.crashing_count = 0
        self.is_complete = False

    def clock(self):
        return time.monotonic() - self.started_s

    def wall_ms(self):
        return int(time.time() * 1000)

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number + 1}"

    def seed_ips(self):
        return [core.ip for core in self.seeds]

    @property
    def core_proxies(self):
        return [core.proxy for core in self.cores]

    def _add_proxy(self, core):
        core.proxy = Proxy(f"{core.ip}:{PEER_PORT}", f"{core.bind_ip}:{PEER_PORT}")
        core.proxy.base_delay_ms = self.rng.choice(BASE_DELAYS_MS)

    def add_core(self, zone):
        """Return a new core host with an empty disk, which is not started yet."""
        core = Host(self, "core", len(self.all_cores), zone)
        core.first_start = False
        self._add_proxy(core)
        self.all_cores.append(core)
        return core

    def retire_core(self, core, new):
        """Let a new core host take the place of one that is gone for good."""
        self.cores[self.cores.index(core)] = new
        if core in self.seeds:
            others = [other for other in self.cores if other not in self.seeds]
            self.seeds[self.seeds.index(core)] = self.rng.choice(others)

    def core_ips(self):
        return [core.ip for core in self.cores]

    def backend_addresses(self, number):
        return f"{self.ip(3, number)}:8080", f"{self.ip(7, number)}:8080"

    def zone_of(self, number):
        return list(ZONES)[number % len(ZONES)]

    def region_of(self, zone):
        return ZONES[zone]

    async def call_control(self, call, document):
        ip = self.rng.choice(self.core_ips())
        return await call_control(self._session, ip, call, document)

    async def run(self):
        """Run the soak and return the violations of invariants."""
        try:
            async with aiohttp.ClientSession() as self._session:
                self.spawn(self._measure_stalls())
                await self._start()
                await self._inject_faults()
                if self.loses_all_processes:
                    self._heal()
                    await self._run_fault(lose_all_processes)
                await self._recover_and_check()
            self.is_complete = True
        finally:
            await self._close()
        return self.checker.violations

    def copy_logs(self, folder):
        """Copy the hosts' logs and what the harness did to ``folder`` for diagnosis."""
        Path(folder).mkdir(parents=True, exist_ok=True)
        counts = str(dict(self.checker.counts))
        lines = [*self.checker.violations, counts, *self.history]
        (Path(folder) / "history.txt").write_text("\n".join(lines) + "\n")
        for path in self.folder.glob("*/log-*.txt"):
            target = Path(folder) / f"{path.parent.name}-{path.name}"
            target.write_bytes(path.read_bytes())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self):
        for proxy in (*self.core_proxies, *self.backend_proxies):
            await proxy.start()
        for host in (*self.cores, *self.edges):
            await host.start()
        for backend in self.backends:
            await backend.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.operators[0].put(self.version)
        for number in range(CALLERS):
            self.spawn(Caller(self, number).run())
        self.spawn(self._poll_configuration())
        await asyncio.sleep(2.0)

    async def _measure_stalls(self):
        """Count how late this process runs: a busy machine also delays the hosts."""
        counts = self.checker.counts
        while True:
            started_s = self.clock()
            await asyncio.sleep(STALL_CHECK_S)
            late_ms = round((self.clock() - started_s - STALL_CHECK_S) * 1_000)
            counts["longest stall, ms"] = max(counts["longest stall, ms"], late_ms)
            counts["stalls over 200 ms"] += late_ms > 200

    async def _poll_configuration(self):
        while True:
            await asyncio.sleep(0.5)
            await self.operators[1].read()

    async def _inject_faults(self):
        """Start faults one after the other without waiting for their end.

        Each fault lasts for a while, so that faults overlap.
        """
        end_s = self.clock() + self.fault_duration_s
        running = []
        if self.faults is REPLACEMENTS:
            running.append(self.spawn(self._run_fault(replace_cores_in_series)))
            await asyncio.sleep(0)
        while self.clock() < end_s or self.series_active:
            fault = self.rng.choice(self.faults)
            running.append(self.spawn(self._run_fault(fault)))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await self._wait_for(running)

    async def _wait_for(self, faults):
        """Wait for the end of faults; those of operators last until one leads."""
        if not faults:
            return
        _, pending = await asyncio.wait(faults, timeout=MAX_FAULT_S)
        for task in pending:
            task.cancel()
        if pending:
            names = ", ".join(sorted({task.get_name() for task in pending}))
            self.checker.record_violation(
                "RECOVER", f"{MAX_FAULT_S:.0f} s after the faults still waits: {names}"
            )
        for task in faults:
            if task not in pending:
                task.result()

    async def _run_fault(self, fault):
        self.history.append(f"{self.clock():.1f} s {fault.__name__}")
        asyncio.current_task().set_name(fault.__name__)
        await fault(self)

    async def crash(self, backend, path):
        """Crash a server because of a request; start it again after some seconds."""
        if backend.state != "ready":
            return
        backend.state = "crashed"
        self.checker.record_crash(path)
        backend.abort()
        await backend.crash()
        await asyncio.sleep(3.0)
        number = backend.number
        self.backends[number] = Backend(self, number, backend.incarnation + 1)
        await self.backends[number].start()

    def _heal(self):
        for proxy in (*self.core_proxies, *self.backend_proxies):
            proxy.heal()
        for host in (*self.cores, *self.edges):
            host.resume()
            host.heal_links()

    async def _recover_and_check(self):
        self._heal()
        for host in (*self.cores, *self.edges):
            await host.start()
        self.checker.faults_ended_s = self.clock()
        await asyncio.sleep(RECOVERY_PHASE_S)
        document = None
        async with asyncio.timeout(5.0):
            while document is None:
                document = await self.operators[0].read()
        self.checker.check_after_recovery(document)
        for edge in self.edges:
            self.checker.check_readiness(edge.name, await self._is_ready(edge))
        self._check_refusals()

    def _check_refusals(self):
        """Check that no sound request was refused because servers ended under it."""
        bad = {
            request_fingerprint(
                Request(method, path.encode(), [(b"host", b"h")]),
                CRASHING_ORGANISATION,
            )
            for path in self.crashing_paths
            for method in (b"GET", b"POST")
        }
        refused = collections.Counter()
        for path in self.folder.glob("edge-*/log-*.txt"):
            for line in path.read_text(errors="replace").splitlines():
                match = QUARANTINE_REFUSAL.search(line)
                if match is not None:
                    refused[match.group(1)] += 1
        for fingerprint in refused.keys() - bad:
            self.checker.record_violation(
                "BUDGET",
                f"sound request {fingerprint} was refused {refused[fingerprint]} times",
            )

    async def _is_ready(self, edge):
        url = f"http://{edge.ip}:{READY_PORT}/v1/ready"
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (OSError, aiohttp.ClientError, TimeoutError):
            return False

    async def _close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in (*self.all_cores, *self.edges):
            await host.close()
        for backend in self.backends:
            with contextlib.suppress(Exception):
                await backend.crash()
        core_proxies = [core.proxy for core in self.all_cores]
        for proxy in (*core_proxies, *self.backend_proxies):
            await proxy.close()
        if self.logs and (self.checker.violations or not self.is_complete):
            self.copy_logs(Path(self.logs) / f"seed-{self.seed}")
        self._folder.cleanup()
        self._network_holder.close()

    @contextlib.asynccontextmanager
    async def choose_core(self):
        """Choose a core host for a fault; yield None while another one is affected.

        The system tolerates the loss of one core host at a time.
        """
        if self.core_fault_active:
            yield None
            return
        self.core_fault_active = True
        self.checker.record_fault()
        try:
            yield self.rng.choice(self.cores)
        finally:
            self.checker.record_fault()
            # A host stays unavailable until it has caught up with the log.
            await asyncio.sleep(4.0)
            self.core_fault_active = False

    def sleep_between(self, low, high):
        return asyncio.sleep(self.rng.uniform(low, high))


def _reserve_network():
    """Return a network that no concurrent run uses, and the socket that holds it."""
    for offset in range(NETWORKS):
        network = 10 + (os.getpid() + offset) % NETWORKS
        holder = socket.socket()
        try:
            holder.bind((f"127.{network}.0.1", PEER_PORT))
            return network, holder
        except OSError:
            holder.close()
    raise RuntimeError("all networks for soaks are in use")
