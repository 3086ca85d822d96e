"""Stand-ins for the third review: deployment, instances, operator, clients.

Only the standard library is used. The programs under test are started with the
commands of the deploy file, as separate processes on addresses of 127.0.0.0/8.
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
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PEER_PORT, CONTROL_PORT, DIRECTORY_PORT = 7720, 8166, 8164
FRONT_PORT, READY_PORT, INSTANCE_PORT = 8161, 8167, 8080
# As in the sheet of alaf-hub.
ZONES = {
    "casa-a": "casa",
    "fes-a": "fes",
    "agadir-a": "agadir",
    "casa-b": "casa",
    "fes-b": "fes",
    "agadir-b": "agadir",
}
BOUNDS = """\
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
HEARTBEAT_S = 1.5
MEMORY_MB = 300


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds of the run."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")
        self.write(f"TROUBLE={int(TROUBLE)}")

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self, line):
        """Write a line with its time."""
        self._file.write(f"{self.now_s():8.3f} {line}\n")
        self._file.flush()


class Host:
    """One process of the system, started with the command of its role."""

    def __init__(self, system, kind, number, zone):
        self.system, self.kind, self.number, self.zone = system, kind, number, zone
        self.name = f"{kind}-{zone}-{number}"
        self.ip = system.ip(1 if kind == "core" else 2, number)
        self.folder = system.folder / self.name
        self.process = None
        self.starts = 0

    @property
    def front(self):
        """Address for clients."""
        return self.ip, FRONT_PORT

    async def start(self):
        """Start."""
        role = "coordinator" if self.kind == "core" else "gateway"
        command = system_file()["roles"][role]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "boot.toml"
        path.write_text(self._settings())
        self.starts += 1
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    "BULRUSHLEAD_BOOT": str(path),
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self):
        """Return the resident memory of the process, or 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def _settings(self):
        is_core = self.kind == "core"
        serves = '["control", "directory"]' if is_core else '["edge"]'
        listen = (
            f'control = "{self.ip}:{CONTROL_PORT}"\n'
            f'directory = "{self.ip}:{DIRECTORY_PORT}"\n'
            if is_core
            else f'front = "{self.ip}:{FRONT_PORT}"\n'
            f'readinessAddr = "{self.ip}:{READY_PORT}"\n'
        )
        seeds = ", ".join(f'"{c.ip}:{CONTROL_PORT}"' for c in self.system.cores[:3])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        data = f'dataDir = "{self.folder / "data"}"\n' if is_core else ""
        first = "true" if self.starts == 0 else "false"
        return (
            f'nodeName = "{self.name}"\nrole = "{self.kind}"\n'
            f'machineClass = "{self.kind}"\nserves = {serves}\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{PEER_PORT}, {PEER_PORT + 15}]\n"
            f"seeds = [{seeds}]\nbootstrap = {first}\n"
            f"inFaultBudget = {'true' if is_core else 'false'}\n{data}"
            f'discovery = "registration"\nentry = "directory"\n'
            f'heartbeat = "{int(HEARTBEAT_S * 1000)}ms"\nconfigMode = "highest"\n'
            f"[zones]\n{zones}\n[listen]\n{listen}"
            f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\nlinkMbps = 1000.0\n"
            f"[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
            f"[bounds]\n{BOUNDS}"
        )


def system_file():
    """Return the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


class System:
    """A small deployment: coordinators and gateways."""

    def __init__(self, cores=5, edges=2, edge_zones=None):
        self.network = _free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        zones = list(ZONES)
        self.cores = []
        self.cores += [Host(self, "core", n, zones[n % 6]) for n in range(cores)]
        edge_zones = edge_zones or [zones[n % 6] for n in range(edges)]
        self.edges = [Host(self, "edge", n, zone) for n, zone in enumerate(edge_zones)]

    def ip(self, group, number):
        """Return the loopback address of a host."""
        return f"127.{self.network}.{group}.{number + 1}"

    async def start(self, timeout_s=25.0):
        """Start."""
        await asyncio.gather(*(host.start() for host in [*self.cores, *self.edges]))
        # Ready to take orders once a coordinator answers a read with 503 or 200.
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for core in self.cores:
                status, _ = await call_control(core.ip, "config.get")
                if status in (200, 503):
                    return True
            await asyncio.sleep(0.1)
        return False

    async def wait_ready(self, timeout_s=15.0):
        """Wait until every gateway says that it is ready."""
        end_s = time.monotonic() + timeout_s
        for edge in self.edges:
            while True:
                answer = await fetch(edge.ip, READY_PORT, "GET", "/v1/ready", {})
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def close(self):
        """End everything."""
        for host in [*self.cores, *self.edges]:
            with contextlib.suppress(ProcessLookupError):
                await host.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_network():
    for number in random.sample(range(32, 250), 200):
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{number}.1.1", PEER_PORT))
            except OSError:
                continue
            return number
    raise OSError("no free loopback network")


class Message:
    """A request or an answer as it was read."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        """Status code of an answer."""
        return int(self.first.split(" ")[1])

    def header(self, name):
        """Return the value of a header field, or None."""
        return self.headers.get(name.lower())


async def read_head(reader):
    """Return the first line and the header fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body that belongs to a head."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_message(reader):
    """Return a whole message, or None if the connection ended before its end."""
    try:
        head = await read_head(reader)
        if head is None:
            return None
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def render(first, headers, body=b""):
    """Return a message as bytes."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def fetch(ip, port, method, path, headers, body=b"", timeout_s=1.0):
    """Send one request on a connection of its own; return the answer or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=2**20)
            headers = {"Host": f"{ip}:{port}", **headers}
            headers["Content-Length"] = len(body)
            writer.write(render(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_control(ip, call, document=None):
    """Call the control interface; status 0 if there is no answer within a second."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    answer = await fetch(
        ip, CONTROL_PORT, "POST", f"/v1/rpc?call={call}", headers, body
    )
    return (0, b"") if answer is None else (answer.status, answer.body)


async def order(system, record, call, document=None, timeout_s=10.0):
    """Send an order of the operator until it is acknowledged; return whether it was."""
    end_s = time.monotonic() + timeout_s
    number = 0
    while time.monotonic() < end_s:
        core = system.cores[number % len(system.cores)]
        number += 1
        status, _ = await call_control(core.ip, call, document)
        if status == 200:
            record.write(f"operator: {call} acknowledged by {core.name}")
            return True
        if status in (400, 409, 412, 413, 422):
            record.write(f"operator: {call} refused with {status} by {core.name}")
            return False
        await asyncio.sleep(0.1)
    return False


def route(name, kind, service, timeout_ms, target_ms, **more):
    """Return a route of a configuration."""
    spec = {
        "host": "review.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeout": f"{timeout_ms}ms",
        "targetLatency": f"{target_ms}ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sessionAffinity": False,
        "allowedRegions": [],
        **more,
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, **more):
    """Return a service of a configuration."""
    spec = {
        "healthPath": "/health",
        "maxConnections": 390,
        "protocol": "h1",
        "tls": False,
        "warmup": "3s",
        "warmupPerS": 7.4,
        **more,
    }
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


def limits(**more):
    """Return the limits of a configuration."""
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
        **more,
    }
    return {"resourceKind": "limits", "metadata": {}, "spec": spec}


class Instance:
    """An instance: sends heartbeats, checks Expect-Instance, calls ``run``."""

    def __init__(self, system, record, number, service_name, zone, run):
        self.system, self.record = system, record
        self.id = f"i-{service_name}-{number}"
        self.service, self.zone = service_name, zone
        self.ip = system.ip(3, number)
        self.run = run  # coroutine function (instance, message, writer)
        self.state = "ready"
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.extra = {}  # header fields of all answers
        self._server = self._task = None
        self.writers = set()

    async def start(self):
        """Start."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, INSTANCE_PORT, limit=2**20
        )
        self._task = asyncio.create_task(self._beat())

    async def close(self):
        """End everything."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat_once(self):
        """Send a heartbeat until a coordinator acknowledges it."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": f"{self.ip}:{INSTANCE_PORT}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "state": self.state,
            "warmupLeft": "0ms",
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        for core in random.sample(self.system.cores, len(self.system.cores)):
            call = f"instances.heartbeat&of={self.id}"
            if (await call_control(core.ip, call, fields))[0] == 200:
                return True
        return False

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                if headers.get("expect-instance") not in (None, self.id):
                    await read_body(reader, headers)
                    self.answer(writer, headers, 421, seal=False, not_run=True)
                    continue
                if first.split(" ")[1] == "/health":
                    self.answer(writer, {"request-id": ""}, 200, seal=False)
                    continue
                if await self.run(self, first, headers, reader, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, writer, headers, status, body=b"", seal=True, not_run=False):
        """Write an answer."""
        fields = {"Request-Id": headers.get("request-id", ""), **self.extra}
        if seal:
            fields["Server-Seal"] = f"{self.id}.{headers.get('request-id')}"
        if not_run:
            fields["Not-Executed"] = "1"
        fields["Content-Length"] = len(body)
        writer.write(render(f"HTTP/1.1 {status} X", fields, body))


def finish(record, broken, detail):
    """Write the result and return the exit code."""
    record.write(f"{'BROKEN' if broken else 'held'}: {detail}")
    print(("BROKEN: " if broken else "held: ") + detail)
    return BROKEN if broken else HELD


def main(scenario, folder):
    """Run a scenario within 110 seconds; exit with 2 if it could not run."""
    record = Record(folder)

    async def run():
        async with asyncio.timeout(110):
            return await scenario(record)

    try:
        code = asyncio.run(run())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
