"""Stand-ins for the platform, instances, operators and clients of the review cases.

Only the standard library is used. The project's programs run as separate processes with
the command of ``deploy/system.toml``; nothing of them is imported here.
"""

# ruff: noqa: D102, D103
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = {
    "casa-a": "casa",
    "fes-a": "fes",
    "agadir-a": "agadir",
    "casa-b": "casa",
    "fes-b": "fes",
    "agadir-b": "agadir",
}
# Bounds of the sheet of the feed merchants, in seconds where a time is meant.
CONTACT_S = 4.0
EVACUATION_S = 5.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0  # a caller of ``control`` moves on after a second
START_TIMEOUT_S = 30.0
NAME = "feed.example"
# To ask the kernel which process has opened a connection.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
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


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


def command():
    """Return the command of both roles in the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    commands = {role["run"] for role in roles.values()}
    if len(commands) != 1:
        raise CannotRunError(f"one command for all roles expected: {commands}")
    words = commands.pop().split()
    if words[0] in ("python3", "python"):
        words[0] = sys.executable
    return words


def free_network():
    """Return the first two bytes of a loopback network that nobody uses."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        network = f"127.{rng.randrange(20, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.1.1", 9464))
            return network
        except OSError:
            continue
    raise CannotRunError("no free loopback network")


class Machine:
    """One process of the system."""

    def __init__(self, deployment, kind, number, zone):
        self.deployment = deployment
        self.kind = kind
        self.name = f"{kind}-{number}"
        self.zone = zone
        group = 1 if kind == "core" else 2
        self.ip = f"{deployment.network}.{group}.{number + 1}"
        self.folder = deployment.folder / self.name
        self.peer_ip = self.ip
        if deployment.peers is not None and kind == "core":
            self.peer_ip = f"{deployment.network}.5.{number + 1}"
        self.process = None
        self.starts = 0

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        data = self.folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        settings = self.folder / "boot.toml"
        settings.write_text(self._settings(data))
        self.starts += 1
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(),
                *(["--listen-peers", self.peer_ip] if self.peer_ip != self.ip else []),
                cwd=ROOT,
                env={
                    "BULRUSHLEAD_BOOT": str(settings),
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.alive:
            self.process.send_signal(number)

    async def kill(self):
        if self.alive:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def log_text(self):
        return "".join(
            path.read_text(errors="replace") for path in self.folder.glob("log-*.txt")
        )

    def _settings(self, data):
        deployment = self.deployment
        is_core = self.kind == "core"
        if is_core:
            listen = (
                f'control = "{self.ip}:{deployment.control_port}"\n'
                f'directory = "{self.ip}:{deployment.directory_port}"\n'
            )
        else:
            listen = (
                f'front = "{self.ip}:{deployment.front_port}"\n'
                f'readinessAddr = "{self.ip}:{deployment.ready_port}"\n'
            )
        seeds = ", ".join(
            f'"{core.ip}:{deployment.control_port}"' for core in deployment.seeds
        )
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        serves = '["control", "directory"]' if is_core else '["edge"]'
        role = "coordinator" if is_core else "gateway"
        data_line = f'dataDir = "{data}"\n' if is_core else ""
        first_port = deployment.peer_port
        return (
            f'nodeName = "{self.name}"\nrole = "{role}"\n'
            f'machineClass = "{self.kind}"\nserves = {serves}\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{first_port}, {first_port + 15}]\n"
            f"seeds = [{seeds}]\n"
            f"bootstrap = {'true' if self.starts == 0 else 'false'}\n"
            f"inFaultBudget = {'true' if is_core else 'false'}\n"
            f'discovery = "registration"\nentry = "directory"\n{data_line}'
            f'heartbeat = "{HEARTBEAT_S * 1000:.0f}ms"\n'
            'contracts = ["base","drain","config","cost","retry","recover","places"]\n'
            'configMode = "highest"\n'
            f"[zones]\n{zones}\n[listen]\n{listen}"
            "[limits]\ncpuShare = 0.86\ncores = 1\nmemoryMb = 300\nmaxFds = 4100\n"
            "linkMbps = 1000.0\ndiskMb = 256\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
            f"[bounds]{BOUNDS}"
        )


class PeerNetwork:
    """The network between the coordinators; it can cut one of them off.

    Each coordinator listens for its peers on an address of its own, by the option
    ``--listen-peers`` of the program, and a proxy stands at the address that they
    connect to. During a cut nothing passes, in either direction. Bytes that are under
    way then arrive once the cut has healed, unless their sender resets the connection.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.cut_off = None  # machine that is partitioned from the other coordinators
        self._servers = []
        self._tasks = set()

    async def start(self):
        for core in self.deployment.cores:
            self._servers.append(
                await asyncio.start_server(
                    lambda reader, writer, core=core: self._accept(
                        core, reader, writer
                    ),
                    core.ip,
                    self.deployment.peer_port,
                )
            )

    async def close(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_cut(self, source, target):
        return self.cut_off is not None and self.cut_off in (source, target)

    def _source(self, port, target):
        """Return the coordinator that has opened a connection, or None."""
        inode = socket_inode(port, target.ip, self.deployment.peer_port)
        for core in self.deployment.cores:
            if inode and core.alive and has_socket(core.process.pid, inode):
                return core
        return None

    async def _accept(self, target, reader, writer):
        self._tasks.add(asyncio.current_task())
        source = self._source(writer.get_extra_info("peername")[1], target)
        other = None
        try:
            while self.is_cut(source, target):
                await asyncio.sleep(0.02)
            from_target, other = await asyncio.open_connection(
                target.peer_ip, self.deployment.peer_port
            )
            await asyncio.gather(
                self._pass_on(reader, other, source, target),
                self._pass_on(from_target, writer, source, target),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            for one in (writer, other):
                if one is not None:
                    one.close()

    async def _pass_on(self, reader, writer, source, target):
        held = asyncio.Queue()

        async def receive():
            try:
                while data := await reader.read(65536):
                    held.put_nowait(data)
            except ConnectionError:
                while not held.empty():  # a reset: what is under way is lost
                    held.get_nowait()
                writer.transport.abort()
            held.put_nowait(b"")

        task = asyncio.create_task(receive())
        try:
            while True:
                data = await held.get()
                while self.is_cut(source, target):
                    await asyncio.sleep(0.02)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pass
        finally:
            task.cancel()


def socket_inode(source_port, target_ip, target_port):
    """Return the inode of the open connection between two loopback addresses, or 0."""
    address = struct.pack(
        "!HH4s12x4s12x",
        source_port,
        target_port,
        socket.inet_aton("127.0.0.1"),
        socket.inet_aton(target_ip),
    )
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF)
    request += address + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    header = struct.pack(
        "=IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as diag:
        diag.send(header + request)
        reply = diag.recv(4096)
    if struct.unpack_from("=H", reply, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", reply, 84)[0]


def has_socket(pid, inode):
    """Return whether a process has an open socket."""
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            if os.readlink(path) == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False


class Instance:
    """A sound instance: one request at a time on a connection, ``slots`` in all."""

    def __init__(self, deployment, service, zone, number, slots=4):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{service}-{number}"
        self.ip = f"{deployment.network}.3.{number + 1}"
        self.address = f"{self.ip}:{deployment.instance_port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = lambda request: 0.1
        self.running = 0
        self.arrivals = []  # time of arrival, identifier of the request
        self.runs = []  # the same, of requests that it began to work on
        self.queue = asyncio.Semaphore(slots)
        self._server = None
        self._task = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.deployment.instance_port
        )
        self._task = asyncio.create_task(self._beat())

    async def close(self):
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self):
        """Send a heartbeat to one node after the other until one acknowledges it."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": self.state,
            "warmupLeft": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        cores = list(self.deployment.cores)
        random.shuffle(cores)
        for core in cores[:3]:
            status, _ = await call_control(
                self.deployment, core, f"instances.heartbeat&of={self.id}", body
            )
            if 200 <= status < 300:
                return True
        return False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                work = asyncio.ensure_future(self._answer(request))
                gone = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                if work not in done:  # it drops a request whose connection closes
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    return
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                writer.write(work.result())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        start, headers, _ = request
        request_id = headers.get("request-id", "")
        if start.split(" ")[1] == "/health":
            return render(200, {"Instance-Id": self.id}, b"")
        if headers.get("expect-instance", self.id) != self.id:
            return render(421, {"Request-Id": request_id, "Not-Executed": "1"}, b"")
        now_s = self.record.now()
        self.arrivals.append((now_s, request_id))
        self.record.write(f"{self.id} in {self.zone} receives {request_id}")
        async with self.queue:
            self.running += 1
            self.runs.append((self.record.now(), request_id))
            try:
                limit_s = float(headers.get("deadline-ms", "60000")) / 1000
                work_s = self.work_s(request)
                await asyncio.sleep(min(work_s, limit_s))
                if work_s > limit_s:
                    self.record.write(f"{self.id} ends {request_id} at its deadline")
                    return render(504, self._fields(request_id), b"")
            except asyncio.CancelledError:
                self.record.write(f"{self.id} drops {request_id}: connection closed")
                raise
            finally:
                self.running -= 1
        self.record.write(f"{self.id} has run {request_id}")
        return render(200, self._fields(request_id), f"{self.id} {request_id}".encode())

    def _fields(self, request_id):
        load = f"{self.running},0,{self.slots}"
        return {"Request-Id": request_id, "Server-Seal": self.id, "Server-Load": load}


class Deployment:
    """The system with its machines, on one loopback network."""

    def __init__(
        self,
        folder,
        n_cores=5,
        edge_zones=("casa-a", "fes-a", "agadir-a"),
        with_peer_network=False,
    ):
        self.record = Record(folder)
        self.peers = PeerNetwork(self) if with_peer_network else None
        self.network = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (
            self.control_port,
            self.directory_port,
            self.front_port,
            self.ready_port,
            self.instance_port,
        ) = (8166, 8164, 8161, 8167, 8080)
        self.peer_port = 7720
        zones = list(ZONES)
        self.cores = [
            Machine(self, "core", n, zones[n % len(zones)]) for n in range(n_cores)
        ]
        self.edges = [
            Machine(self, "edge", n, zone) for n, zone in enumerate(edge_zones)
        ]
        self.seeds = self.cores[:3]  # machines that the next settings file names
        self.instances = []
        self.removed = []  # machines that have been taken away

    async def start(self, document):
        """Start all machines and instances; return once requests are served."""
        if self.peers is not None:
            await self.peers.start()
        await asyncio.gather(*(m.start() for m in (*self.cores, *self.edges)))
        for instance in self.instances:
            await instance.start()
        deadline_s = self.record.now() + START_TIMEOUT_S
        while True:
            status, _ = await call_control(self, self.cores[0], "config.put", document)
            if status == 200:
                break
            if self.record.now() > deadline_s:
                raise CannotRunError("the first configuration was not acknowledged")
            await asyncio.sleep(0.3)
        self.record.say("first configuration acknowledged")
        while not all([await self.is_ready(edge) for edge in self.edges]):
            if self.record.now() > deadline_s:
                raise CannotRunError("the gateways are not ready")
            await asyncio.sleep(0.3)
        await asyncio.sleep(2 * HEARTBEAT_S)  # all instances have announced themselves
        self.record.say("all gateways are ready")

    async def is_ready(self, edge):
        try:
            status, _, _ = await exchange(
                edge.ip, self.ready_port, "GET", "/v1/ready", {}, b"", 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def leader(self):
        """Return the coordinator whose metrics say that it leads."""
        for _ in range(20):
            for core in self.cores:
                try:
                    _, _, body = await exchange(
                        core.ip, 9464, "GET", "/metrics", {}, b"", 1.0
                    )
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    continue
                for line in body.decode().splitlines():
                    if line.startswith("bulrushlead_is_leader") and float(
                        line.split()[-1]
                    ):
                        return core
            await asyncio.sleep(0.5)
        raise CannotRunError("no coordinator leads")

    async def close(self):
        for instance in self.instances:
            await instance.close()
        for machine in (*self.cores, *self.removed, *self.edges):
            await machine.kill()
        if self.peers is not None:
            await self.peers.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader):
    """Return start line, headers and body of one message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def render(status, headers, body):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(ip, port, method, target, headers, body, timeout_s):
    """Send one request on a new connection; return status, headers and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(render_request(method, target, headers, body))
            answer = await read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise ConnectionResetError("closed without an answer")
    return int(answer[0].split(" ")[1]), answer[1], answer[2]


def render_request(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call_control(deployment, core, call, document):
    """Call ``control`` on one node; return status and body, status 0 for no answer."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Host": core.ip}
    if document is not None:
        headers["Content-Type"] = "application/json"
    try:
        status, _, answer = await exchange(
            core.ip,
            deployment.control_port,
            "POST",
            f"/v1/rpc?call={call}",
            headers,
            body,
            CALL_TIMEOUT_S,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    return status, answer


class Operator:
    """Sends an order to one node after the other until one acknowledges it.

    Like most HTTP clients it keeps connections open for later calls. One that has not
    answered in time is closed.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self._connections = {}

    async def _call(self, node, call, document):
        """Return the status of one call, 0 for no answer."""
        body = b"" if document is None else json.dumps(document).encode()
        headers = {"Host": node.ip}
        if document is not None:
            headers["Content-Type"] = "application/json"
        data = render_request("POST", f"/v1/rpc?call={call}", headers, body)
        connection = self._connections.pop(node.name, None)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if connection is None or connection[0].at_eof():
                    connection = await asyncio.open_connection(
                        node.ip, self.deployment.control_port
                    )
                reader, writer = connection
                writer.write(data)
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            if connection is not None:
                connection[1].close()
            return 0
        if answer[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            self._connections[node.name] = connection
        return int(answer[0].split(" ")[1])

    def close(self):
        for _, writer in self._connections.values():
            writer.close()

    async def order(self, call, nodes, document=None, give_up_s=4.0):
        """Return when the order was acknowledged."""
        started_s = self.record.now()
        number = 0
        while self.record.now() - started_s < give_up_s:
            node = nodes[number % len(nodes)]
            number += 1
            self.record.say(f"operator sends {call} to {node.name}")
            status = await self._call(node, call, document)
            if 200 <= status < 300:
                self.record.say(f"operator: {node.name} acknowledges {call}")
                return self.record.now()
            self.record.say(
                f"operator: {node.name} answers {status or 'nothing'} to {call}"
            )
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{call} was not acknowledged")


def route(name, prefix, kind, service, timeout_ms, target_ms, priority=1):
    return {
        "resourceKind": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": NAME,
            "pathPrefix": prefix,
            "type": kind,
            "timeout": f"{timeout_ms}ms",
            "targetLatency": f"{target_ms}ms",
            "priority": priority,
            "service": service,
            "maxAttempts": 2,
            "sessionAffinity": False,
            "allowedRegions": [],
        },
    }


def service(name):
    return {
        "resourceKind": "services",
        "metadata": {"name": name},
        "spec": {
            "healthPath": "/health",
            "maxConnections": 390,
            "protocol": "h1",
            "tls": False,
            "warmup": "3s",
            "warmupPerS": 7.4,
        },
    }


def limits():
    return {
        "resourceKind": "limits",
        "metadata": {},
        "spec": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def run_case(folder, play):
    """Play a case and end with 1, 0 or 2: rule broken, kept, case could not run."""

    async def run():
        deployment = Deployment(folder, **getattr(play, "layout", {}))
        try:
            async with asyncio.timeout(115):
                return await play(deployment, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await deployment.close()
            await asyncio.sleep(0.1)

    sys.unraisablehook = lambda _: None  # streams that are left when the loop has ended
    try:
        breaks = asyncio.run(run())
    except Exception as error:  # also an error of the case itself proves nothing
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in breaks[:10]:
        print(line)
    print(f"breaks of the rule: {len(breaks)}")
    sys.exit(1 if breaks else 0)
