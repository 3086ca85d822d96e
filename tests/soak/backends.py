"""Backend servers and callers of the soak, on an HTTP library of their own."""

import asyncio
import contextlib
import json
import random

import aiohttp
from aiohttp import web

from tests.soak.ledger import whole_body
from tests.soak.processes import CONTROL_PORT, DIRECTORY_PORT

SLOTS = 4
QUEUE = 12
HEARTBEAT_S = 0.5
WORK_S = (0.02, 0.12)
SERVICE = "stock"
CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Backend:
    """A server that announces itself, runs requests and counts them.

    Parameters
    ----------
    world : World
        Addresses, proxies and the ledger.
    number : int
        Place; a new incarnation at the same place has a new identity.
    """

    def __init__(self, world, number, incarnation=0):
        self.world = world
        self.rng = random.Random(f"{world.seed}/{number}/{incarnation}")
        self.number = number
        self.incarnation = incarnation
        self.server_id = f"s{number}-{incarnation}"
        self.address, self.real = world.backend_addresses(number)
        self.zone = world.zone_of(number)
        self.born_ms = world.wall_ms()
        self.sequence = 0
        self.state = "ready"
        self.busy = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self._runner = None
        self._task = None

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        host, _, port = self.real.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._task = asyncio.create_task(self._announce())

    async def crash(self):
        """Go down without a word."""
        self._task.cancel()
        await self._runner.cleanup()

    async def leave(self):
        """Say so, serve on for a while, then end."""
        self.state = "draining"
        while not await self._beat():
            await asyncio.sleep(0.1)
        self.world.ledger.note_departure(self.server_id)
        await asyncio.sleep(4.0)
        await self.crash()

    async def _announce(self):
        while True:
            if self.state == "ready":
                await self._beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self):
        self.sequence += 1
        fields = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": SLOTS,
            "state": self.state,
            "warmupLeft": "0ms",
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        call = f"instances.heartbeat&of={self.server_id}"
        status, _ = await self.world.call_control(call, fields)
        return status == 200

    async def _serve(self, request):
        ledger = self.world.ledger
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.server_id:
            return web.Response(status=421)
        await request.read()
        ledger.note_arrival(self.server_id, request_id)
        headers = {"Request-Id": request_id}
        if self.busy >= SLOTS + QUEUE:
            return web.Response(status=503, headers={**headers, "Not-Executed": "1"})
        self.busy += 1
        try:
            async with self.slots:
                ledger.note_run(self.server_id, request_id)
                await asyncio.sleep(self.rng.uniform(*WORK_S))
            headers["Server-Seal"] = self.server_id
            return web.Response(
                body=whole_body(self.server_id, request_id), headers=headers
            )
        finally:
            self.busy -= 1


class Caller:
    """Looks hosts up, keeps its connections open, repeats only what it may."""

    def __init__(self, world, number):
        self.world = world
        self.rng = random.Random(f"{world.seed}/caller/{number}")
        self.number = number
        self.zone = world.zone_of(number)
        self.count = 0
        self.hosts = []
        self.looked_up_s = -1e9

    async def run(self):
        connector = aiohttp.TCPConnector(keepalive_timeout=60, limit=4)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(12.0))
                await self._look_up(session)
                if self.hosts:
                    await self._ask(session)

    async def _look_up(self, session):
        if self.world.clock() - self.looked_up_s < 2.0:
            return
        for ip in self.rng.sample(self.world.core_ips(), 3):
            url = (
                f"http://{ip}:{DIRECTORY_PORT}/v1/resolve?name=h"
                f"&region={self.world.region_of(self.zone)}&zone={self.zone}"
            )
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(url, timeout=CALL_TIMEOUT) as answer:
                    if answer.status == 200:
                        self.hosts = (await answer.json())["addresses"]
                        self.looked_up_s = self.world.clock()
                        return

    async def _ask(self, session):
        ledger = self.world.ledger
        unsafe = self.rng.random() < 0.4
        self.count += 1
        request_id = f"{self.number}-{self.count}"
        host = self.rng.choice(self.hosts)
        asked = ledger.ask(request_id, unsafe, host)
        path = "order" if unsafe else "read"
        headers = {
            "Host": "h",
            "Request-Id": request_id,
            "Deadline-Ms": "2000",
            "Affinity-Key": str(self.rng.randrange(20)),
        }
        try:
            async with session.request(
                "POST" if unsafe else "GET",
                f"http://{host}/{path}/x",
                headers=headers,
                data=b"order" if unsafe else None,
                timeout=aiohttp.ClientTimeout(total=2.2, connect=1.0),
            ) as answer:
                body = await answer.read()
                echoed = answer.headers.get("Request-Id")
                ledger.note_answer(request_id, answer.status, body, echoed)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            ledger.note_no_answer(asked, type(error).__name__)
            self.looked_up_s = -1e9


class Operator:
    """Changes the configuration and evacuates zones, and reads back."""

    def __init__(self, world, name):
        self.world = world
        self.rng = random.Random(f"{world.seed}/operator/{name}")

    async def put(self, version):
        """Send a configuration until it is acknowledged."""
        document = plan_document(version, self.rng.randrange(10**6))
        ledger = self.world.ledger
        ledger.note_plan_sent(version, document)
        while True:
            status, _ = await self.world.call_control("config.put", document)
            if status == 200:
                ledger.note_plan_acked(version)
                return
            if status in (400, 409, 412, 413, 422):
                ledger.break_promise("CONFIG", f"version {version} refused: {status}")
                return
            await asyncio.sleep(0.2)

    async def read(self):
        """Read the configuration once and check it; None without an answer."""
        sent_s = self.world.clock()
        status, body = await self.world.call_control("config.get", None)
        if status != 200:
            return None
        document = json.loads(body)
        self.world.ledger.note_plan_read(sent_s, document)
        return document

    async def evacuate(self, zone, for_s):
        for verb, pause_s in (("start", for_s), ("end", 0.0)):
            while True:
                call = f"evacuations.{verb}&of={zone}"
                if (await self.world.call_control(call, None))[0] == 200:
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(pause_s)


def plan_document(version, mark):
    """Return a configuration whose content depends on ``mark``."""

    def route(name, kind):
        spec = {
            "host": "h",
            "pathPrefix": f"/{name}/",
            "type": kind,
            "timeout": "2s",
            "targetLatency": "300ms",
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
            "sessionAffinity": True,
            "allowedRegions": [],
        }
        return {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}

    service = {
        "resourceKind": "services",
        "metadata": {"name": SERVICE},
        "spec": {"maxConnections": 300, "warmup": "1s", "warmupPerS": 10, "mark": mark},
    }
    resources = [route("read", "safe"), route("order", "unsafe"), service]
    return {"version": version, "resources": resources}


async def call_control(session, ip, call, document):
    """Call the control interface of a host.

    Returns
    -------
    tuple
        Status, 0 without an answer, and body.
    """
    url = f"http://{ip}:{CONTROL_PORT}/v1/rpc?call={call}"
    try:
        async with session.post(url, json=document, timeout=CALL_TIMEOUT) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, b""
