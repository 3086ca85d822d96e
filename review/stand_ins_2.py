"""Stand-ins for the cases of the second review: platform, servers, operator, clients.

They use the standard library only. Each deployment has a loopback network of its own;
its hosts have one address each and the same ports, as on the platform.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = {
    "casa-a": "casa",
    "fes-a": "fes",
    "agadir-a": "agadir",
    "casa-b": "casa",
    "fes-b": "fes",
}
HOST_NAME = "ficu95.example"
SERVICE = "huvo11a"
GRACE_S = 6.0
RESTART_DELAY_S = 0.3  # until the platform starts a process again that has ended
BOUNDS = """
seedLag = "3s"
reuseAfter = "2s"
contact = "4000ms"
ack = "4000ms"
catchUp = "4s"
drain = "2500ms"
grace = "6s"
lossSlack = "200ms"
configApply = "2500ms"
rollbackSlack = "250ms"
maxStretch = "6000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
warmupOvershoot = 1.5
warmupSlack = 5
evacuation = "5000ms"
recover = "15s"
ttl_max = "5s"
shiftMost = 0.15
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def now_s(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Write one line with its time."""
        self.file.write(f"{self.now_s():8.3f} s  {text}\n")
        self.file.flush()


class Platform:
    """Chooses addresses and ports, and starts the processes of a small deployment."""

    def __init__(self, record, cores=5, edges=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.front, self.ready, self.control, self.directory = self._free_ports(4)
        self.peer = self._free_range(8)
        zones = list(ZONES)
        self.cores = [
            Host(self, "core", n, zones[n % len(zones)]) for n in range(cores)
        ]
        self.edges = [
            Host(self, "edge", n, zones[n % len(zones)]) for n in range(edges)
        ]
        self.seeds = [core.ip for core in self.cores[:3]]

    def _is_free(self, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"{self.network}.1", port))
            except OSError:
                return False
        return True

    def _free_ports(self, count):
        ports = random.sample(range(8100, 8900), 40)
        return [port for port in ports if self._is_free(port)][:count]

    def _free_range(self, count):
        first = random.randrange(7000, 7900, 16)
        while not all(self._is_free(first + n) for n in range(count)):
            first += 16
        return first

    def ip(self, number):
        """Return an address of the deployment."""
        return f"{self.network}.{number}"

    async def close(self):
        """End all processes and remove their files."""
        for host in (*self.cores, *self.edges):
            await host.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Host:
    """One machine with one process of the system."""

    def __init__(self, platform, kind, number, zone):
        self.platform = platform
        self.kind = kind
        self.zone = zone
        self.name = f"{kind}-{zone}-{number + 1}"
        self.ip = platform.ip((10 if kind == "core" else 40) + number)
        self.folder = platform.folder / self.name
        self.data = self.folder / "data"
        self.process = None
        self.starts = 0

    @property
    def control(self):
        """Return the address for instances and the operator."""
        return (self.ip, self.platform.control)

    @property
    def front(self):
        """Return the address for clients."""
        return (self.ip, self.platform.front)

    def write_settings(self, bootstrap):
        """Write the settings file as DEPLOY.md shows it."""
        platform = self.platform
        is_core = self.kind == "core"
        seeds = ", ".join(f'"{ip}:{platform.control}"' for ip in platform.seeds)
        if is_core:
            serves = '["control", "directory"]'
            listen = (
                f'control = "{self.ip}:{platform.control}"\n'
                f'directory = "{self.ip}:{platform.directory}"\n'
            )
            data = f'dataDir = "{self.data}"\n'
            self.data.mkdir(parents=True, exist_ok=True)
        else:
            serves = '["edge"]'
            listen = (
                f'front = "{self.ip}:{platform.front}"\n'
                f'readinessAddr = "{self.ip}:{platform.ready}"\n'
            )
            data = ""
        zones = "".join(f'{zone} = "{region}"\n' for zone, region in ZONES.items())
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "boot.toml"
        new = path.with_suffix(".new")
        new.write_text(
            f'nodeName = "{self.name}"\nrole = "{self.kind}"\n'
            f'machineClass = "{self.kind}"\nserves = {serves}\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{platform.peer}, {platform.peer + 7}]\n"
            f"seeds = [{seeds}]\nbootstrap = {str(bootstrap).lower()}\n{data}"
            f"inFaultBudget = {str(is_core).lower()}\n"
            'discovery = "registration"\nentry = "directory"\nheartbeat = "1500ms"\n'
            'contracts = ["base","drain","config","cost","retry","recover","places"]\n'
            f'configMode = "highest"\n[zones]\n{zones}[listen]\n{listen}'
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
            f"[bounds]{BOUNDS}"
        )
        new.rename(path)
        return path

    async def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        path = self.write_settings(bootstrap)
        self.starts += 1
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bulrushlead.platform",
                cwd=ROOT,
                env={
                    "BULRUSHLEAD_BOOT": str(path),
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self.platform.record.write(
            f"{self.name} starts, start {self.starts}, bootstrap = {bootstrap}"
        )

    @property
    def alive(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
            self.platform.record.write(f"{self.name} gets {number.name}")

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def close(self):
        """Kill the process without a line in the record."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def log_text(self):
        """Return what all processes of this host have logged."""
        parts = sorted(self.folder.glob("log-*.txt"))
        return "".join(part.read_text(errors="replace") for part in parts)


async def http_call(
    address, method, target, headers=(), body=b"", timeout_s=1.0, host=HOST_NAME
):
    """Send one request on a connection of its own; return status, headers and body.

    The status is 0 if there is no answer, or no whole one, in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
            head += [f"{name}: {value}" for name, value in headers]
            head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(head).encode() + body)
            return await read_answer(reader)
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    """Read one answer that has a length."""
    line = await reader.readline()
    if not line:
        raise ConnectionResetError("closed without an answer")
    status = int(line.split()[1])
    headers = await read_fields(reader)
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length)


async def read_fields(reader):
    """Read the header fields of a message; names in lower case."""
    headers = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return headers


def configuration(version, routes, services=(SERVICE,), weights=None):
    """Return a whole configuration with routes by path prefix and type."""
    resources = []
    for prefix, kind in routes.items():
        spec = {
            "host": HOST_NAME,
            "pathPrefix": prefix,
            "type": kind,
            "timeout": "2500ms",
            "targetLatency": "400ms",
            "priority": 1,
            "service": services[0],
            "maxAttempts": 2,
            "sessionAffinity": False,
            "allowedRegions": [],
        }
        name = "r-" + prefix.strip("/")
        resources.append(
            {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}
        )
    for service in services:
        spec = {
            "healthPath": "/health",
            "maxConnections": 390,
            "protocol": "h1",
            "tls": False,
            "warmup": "3s",
            "warmupPerS": 7.4,
        }
        resources.append(
            {"resourceKind": "services", "metadata": {"name": service}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": version, "resources": resources}


class Operator:
    """Sends each order to one core host after the other until one acknowledges it."""

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record

    async def order(self, call, subject="", document=None, for_s=4.0):
        """Return whether an order was acknowledged; it is sent again for some time."""
        body = b"" if document is None else json.dumps(document).encode()
        target = f"/v1/rpc?call={call}" + (f"&of={subject}" if subject else "")
        until_s = time.monotonic() + for_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            core = random.choice([c for c in self.platform.cores if c.alive])
            status, _, _ = await http_call(
                core.control,
                "POST",
                target,
                [("Content-Type", "application/json")],
                body,
            )
            self.record.write(f"operator: {call} {subject} at {core.name}: {status}")
            if 200 <= status < 300:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.0)
        return False

    async def read(self):
        """Return the configuration that some core host answers, or None."""
        for core in random.sample(self.platform.cores, len(self.platform.cores)):
            if not core.alive:
                continue
            status, _, body = await http_call(
                core.control, "POST", "/v1/rpc?call=config.get"
            )
            if status == 200:
                return json.loads(body)
        return None


class Server:
    """A sound instance: it announces itself, and runs what names it."""

    def __init__(self, platform, record, number, service=SERVICE, zone=None):
        self.platform = platform
        self.record = record
        self.server_id = f"i-{number:08x}"
        self.service = service
        self.zone = zone or list(ZONES)[number % len(ZONES)]
        self.address = (platform.ip(80 + number), 8080)
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.capacity = 16
        self.work_s = 0.05
        self.runs = []
        self._server = None
        self._beats = None
        self._connections = set()

    async def start(self):
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._announce())

    async def close(self):
        """Close all connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()

    async def _announce(self):
        while True:
            await self.heartbeat("ready")
            await asyncio.sleep(1.5)

    async def heartbeat(self, state):
        """Announce this server to one node after the other; return whether one acks."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmupLeft": "0ms",
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        target = f"/v1/rpc?call=instances.heartbeat&of={self.server_id}"
        cores = [core for core in self.platform.cores if core.alive]
        for core in random.sample(cores, len(cores)):
            status, _, _ = await http_call(
                core.control,
                "POST",
                target,
                [("Content-Type", "application/json")],
                json.dumps(document).encode(),
            )
            if 200 <= status < 300:
                return True
        return False

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            while line := await reader.readline():
                await self._answer(line, reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _answer(self, line, reader, writer):
        method, path, _ = line.decode("latin-1").split()
        headers = await read_fields(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        fields = [f"Request-Id: {request_id}", f"Server-Load: 1,0,{self.capacity}"]
        if path == "/health":
            status, body = "200 OK", b""
            fields.append(f"Instance-Id: {self.server_id}")
        elif headers.get("expect-instance", self.server_id) != self.server_id:
            status, body = "421 Misdirected Request", b""
            fields.append("Not-Executed: 1")
        else:
            self.runs.append((request_id, path))
            self.record.write(
                f"{self.server_id} of {self.service} runs {method} {path} {request_id}"
            )
            await asyncio.sleep(self.work_s)
            status, body = "200 OK", f"{self.service} {path}".encode()
            fields.append(f"Server-Seal: {self.server_id}.{request_id}")
        fields.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""])
        writer.write(head.encode() + body)
        await writer.drain()
