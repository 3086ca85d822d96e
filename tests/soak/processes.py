"""Runs the hosts as operating system processes and signals them."""

import asyncio
import contextlib
import os
import shutil
import signal
import sys
from pathlib import Path

from tests.soak.organisations import BOUNDS

ROOT = Path(__file__).parents[2]
PEER_PORT = 7720
CONTROL_PORT = 8166
DIRECTORY_PORT = 8164
FRONT_PORT = 8161
READY_PORT = 8167
METRICS_PORT = 9464
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
GRACE_S = 6.0
CUT_FILE = "cut.txt"  # see tests.soak.cut_host


class Host:
    """One process of the system under test.

    Parameters
    ----------
    harness : Harness
        Supplies addresses and folders.
    kind : str
        ``edge`` or ``core``.
    number : int
        Number within the kind.
    zone : str or None, default=None
        Availability zone; by number if None.
    """

    def __init__(self, harness, kind, number, zone=None):
        self.harness = harness
        self.kind = kind
        self.name = f"{kind}-{number}"
        self.zone = zone or list(ZONES)[number % len(ZONES)]
        group = 1 if kind == "core" else 2
        self.ip = harness.ip(group, number)
        # Peers connect to a proxy at ``ip``, which forwards to ``bind_ip``.
        self.bind_ip = harness.ip(group + 4, number) if kind == "core" else self.ip
        self.folder = harness.folder / self.name
        self.data = self.folder / "data"
        self.source = ROOT  # of the build that the next start runs
        self.proxy = None  # of a core host
        self.process = None
        self.paused = False
        self.stopping = False
        # Two faults may start a host at the same time. Without the lock, the reference
        # to one of the two processes is lost and nothing ever kills it.
        self._starting = asyncio.Lock()
        self.first_start = True
        self.starts = 0

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    @property
    def front_address(self):
        """Address for callers."""
        return f"{self.ip}:{FRONT_PORT}"

    async def start(self):
        # Shielded, since a process that is spawned while the run is cancelled must be
        # stored in ``process`` to be killed.
        await asyncio.shield(asyncio.ensure_future(self._start_unless_alive()))

    async def close(self):
        """Kill the process, including one that is still starting."""
        async with self._starting:
            self.resume()
            await self.kill()

    async def _start_unless_alive(self):
        async with self._starting:
            if self.alive and self.stopping:
                # Another fault stops it. The platform starts what has ended.
                await self._wait_for_end()
            if not self.alive:
                await self._spawn()

    async def _spawn(self):
        self.data.mkdir(parents=True, exist_ok=True)
        settings = self.write_settings()
        self.first_start = False
        self.starts += 1
        program = "bulrushlead.platform"
        if self.kind == "edge":
            program = "tests.soak.cut_host"
        command = [sys.executable, "-m", program]
        if self.bind_ip != self.ip:
            command += ["--listen-peers", self.bind_ip]
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self.source,
                env={"BULRUSHLEAD_BOOT": str(settings), "PATH": os.environ["PATH"]},
                stdout=log,
                stderr=log,
            )
        self.paused = self.stopping = False

    def write_settings(self):
        """Write the settings with the present seeds; return their path."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "boot.toml"
        # Renamed, so that a host never reads half of it.
        path.with_suffix(".new").write_text(self._settings())
        return path.with_suffix(".new").rename(path)

    def reload(self):
        self.signal(signal.SIGHUP)

    def signal(self, number):
        if self.alive:
            self.stopping |= number == signal.SIGTERM
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.signal(signal.SIGCONT)

    async def stop(self):
        """Request a planned stop; kill the process after its grace period."""
        self.signal(signal.SIGTERM)
        if not await self._wait_for_end():
            self.harness.checker.record_grace_exceeded(self.name)

    async def _wait_for_end(self):
        """Kill the process unless it ends in its grace period; return whether so."""
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    def cut_links(self, new, open_connections):
        """Cut the links to all servers; see ``tests.soak.cut_host``."""
        (self.folder / CUT_FILE).write_text(f"{new} {open_connections}")

    def heal_links(self):
        (self.folder / CUT_FILE).unlink(missing_ok=True)

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def truncate_journal_tail(self, rng):
        """Truncate each journal by up to 63 bytes, as a torn write does."""
        for path in sorted(self.data.glob("journal-*")):
            size = path.stat().st_size
            lost = rng.randrange(1, 64)
            if size > 4096:
                os.truncate(path, size - lost)

    def _settings(self):
        is_core = self.kind == "core"
        serves = '["control", "directory"]' if is_core else '["edge"]'
        if is_core:
            listen = (
                f'control = "{self.ip}:{CONTROL_PORT}"\n'
                f'directory = "{self.ip}:{DIRECTORY_PORT}"\n'
            )
        else:
            listen = (
                f'front = "{self.ip}:{FRONT_PORT}"\n'
                f'readinessAddr = "{self.ip}:{READY_PORT}"\n'
            )
        seeds = ", ".join(f'"{ip}:{CONTROL_PORT}"' for ip in self.harness.seed_ips())
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        data = f'dataDir = "{self.data}"\n' if is_core else ""
        first = "true" if self.first_start else "false"
        return (
            f'nodeName = "{self.name}"\nserves = {serves}\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{PEER_PORT}, {PEER_PORT + 9}]\n"
            f'seeds = [{seeds}]\nbootstrap = {first}\n{data}heartbeat = "500ms"\n'
            f"[zones]\n{zones}\n[listen]\n{listen}[bounds]\n"
            f'grace = "{GRACE_S:.0f}s"\nretryBudgetRatio = 0.2\nbudgetWindow = "10s"\n'
            "retryBudgetSlack = 60\nwarmupOvershoot = 1.5\nwarmupSlack = 5\n"
            'ttl_max = "5s"\n' + BOUNDS
        )
