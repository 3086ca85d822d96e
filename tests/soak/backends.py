"""Backend servers, callers and operators of the soak.

They use aiohttp, so that they share no HTTP code with ``bulrushlead.http1``.
"""

import asyncio
import contextlib
import json
import random

import aiohttp
from aiohttp import web

from tests.soak.checker import expected_body
from tests.soak.organisations import tenants
from tests.soak.processes import CONTROL_PORT, DIRECTORY_PORT

SLOTS = 4
MAX_QUEUED = 12
HEARTBEAT_S = 0.5
SERVICE_TIME_RANGE_S = (0.02, 0.12)
LONG_SERVICE_TIME_RANGE_S = (2.6, 3.6)  # on the long route, for more than half a grace
LONG_SHARE = 0.02  # of the requests, while there is planned work only
TIMEOUTS_MS = {"read": 2_000, "order": 2_000, "long": 4_000}
SERVICE = "stock"
SHUTDOWN_S = 0.1
CRASH_AFTER_S = 0.06  # from the begin of a run
CRASHING_ORGANISATION = "labs"  # of the callers whose requests crash servers
CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Backend:
    """A backend server that sends heartbeats and records the requests that it runs.

    Parameters
    ----------
    harness : Harness
        Supplies addresses, clocks and the checker.
    number : int
        Position in the deployment; determines address and zone.
    incarnation : int, default=0
        Number of restarts at this position. Each one has a new server identity.
    """

    def __init__(self, harness, number, incarnation=0):
        self.harness = harness
        self.rng = random.Random(f"{harness.seed}/{number}/{incarnation}")
        self.number = number
        self.incarnation = incarnation
        self.server_id = f"s{number}-{incarnation}"
        self.address, self.bind_address = harness.backend_addresses(number)
        self.zone = harness.zone_of(number)
        self.born_ms = harness.wall_ms()
        self.sequence = 0
        self.state = "ready"
        self.limit_field = None
        self.in_flight = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self._runner = None
        self._task = None

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_S
        )
        await self._runner.setup()
        host, _, port = self.bind_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._task = asyncio.create_task(self._heartbeat_loop())

    async def crash(self):
        """Stop without announcing it."""
        self._task.cancel()
        await self._runner.cleanup()

    def abort(self):
        """End all connections at once, as a process that dies does."""
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def drain(self):
        """Announce draining, keep serving until the hosts have reacted, then stop."""
        self.state = "draining"
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)
        self.harness.checker.record_departure(self.server_id)
        await asyncio.sleep(4.0)
        await self.crash()

    def name_limit(self, limit_per_s):
        """Name a limit in all later answers; None withdraws it."""
        self.limit_field = None if limit_per_s is None else f"{limit_per_s:.2f}"
        self.harness.checker.record_limit(self.server_id, limit_per_s)

    def name_malformed_limit(self):
        """Name a limit that is no number; the one before still holds."""
        self.limit_field = "few"

    async def _heartbeat_loop(self):
        while True:
            if self.state == "ready":
                await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self):
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
        status, _ = await self.harness.call_control(call, fields)
        return status == 200

    async def _serve(self, request):
        checker = self.harness.checker
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.server_id:
            return web.Response(status=421)
        await request.read()
        checker.record_arrival(self.server_id, request_id)
        if request.path in self.harness.crashing_paths:
            checker.record_crashing_arrival(request.path)
        if self.in_flight >= SLOTS + MAX_QUEUED:
            headers = self._answer_headers(request_id)
            return web.Response(status=503, headers={**headers, "Not-Executed": "1"})
        self.in_flight += 1
        try:
            async with self.slots:
                checker.record_run(self.server_id, request_id)
                checker.organisations.record_run(request_id, request.headers)
                if request.path in self.harness.crashing_paths:
                    await asyncio.sleep(CRASH_AFTER_S)
                    self.harness.spawn(self.harness.crash(self, request.path))
                    await asyncio.sleep(CALL_TIMEOUT.total)
                is_long = request.path.startswith("/long/")
                times_s = LONG_SERVICE_TIME_RANGE_S if is_long else SERVICE_TIME_RANGE_S
                await asyncio.sleep(self.rng.uniform(*times_s))
            headers = self._answer_headers(request_id)
            headers["Server-Seal"] = self.server_id
            return web.Response(
                body=expected_body(self.server_id, request_id), headers=headers
            )
        finally:
            self.in_flight -= 1

    def _answer_headers(self, request_id):
        headers = {"Request-Id": request_id}
        if self.limit_field is not None:
            headers["Server-Limit"] = self.limit_field
            self.harness.checker.record_limited_answer(self.server_id, request_id)
        return headers


class Caller:
    """A caller that looks up hosts and sends each request once.

    It reuses its connections as long as they are open. Every third caller keeps the
    answer of a look-up far longer than it may.
    """

    def __init__(self, harness, number):
        self.harness = harness
        self.rng = random.Random(f"{harness.seed}/caller/{number}")
        self.number = number
        self.zone = harness.zone_of(number)
        self.count = 0
        self.hosts = []
        self.last_lookup_s = -1e9
        self.lookup_ttl_s = 15.0 if number % 3 == 0 else 2.0

    async def run(self):
        connector = aiohttp.TCPConnector(keepalive_timeout=60, limit=4)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(12.0))
                await self._look_up(session)
                if self.hosts:
                    await self._send_request(session)

    async def _look_up(self, session):
        if self.harness.clock() - self.last_lookup_s < self.lookup_ttl_s:
            return
        for ip in self.rng.sample(self.harness.core_ips(), 3):
            url = (
                f"http://{ip}:{DIRECTORY_PORT}/v1/resolve?name=h"
                f"&region={self.harness.region_of(self.zone)}&zone={self.zone}"
            )
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(url, timeout=CALL_TIMEOUT) as answer:
                    if answer.status == 200:
                        self.hosts = (await answer.json())["addresses"]
                        self.last_lookup_s = self.harness.clock()
                        return

    async def _send_request(self, session):
        checker = self.harness.checker
        is_long = self.rng.random() < self.harness.long_share
        unsafe = is_long or self.rng.random() < 0.4
        self.count += 1
        request_id = f"{self.number}-{self.count}"
        host = self.rng.choice(self.hosts)
        key, is_served = checker.organisations.choose_key(self.rng, request_id)
        request = checker.record_request(request_id, unsafe, host, is_served)
        path = "long" if is_long else "order" if unsafe else "read"
        timeout_ms = TIMEOUTS_MS[path]
        headers = {
            "Host": "h",
            "Request-Id": request_id,
            "Api-Key": key,
            "Tenant": "nobody",
            "Deadline-Ms": str(timeout_ms),
            "Affinity-Key": str(self.rng.randrange(20)),
        }
        try:
            async with session.request(
                "POST" if unsafe else "GET",
                f"http://{host}/{path}/x",
                headers=headers,
                data=b"order" if unsafe else None,
                timeout=aiohttp.ClientTimeout(timeout_ms / 1000 + 0.2, connect=1.0),
            ) as answer:
                body = await answer.read()
                echoed = answer.headers.get("Request-Id")
                checker.record_answer(request_id, answer.status, body, echoed)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            checker.record_failed_request(request, type(error).__name__)
            self.last_lookup_s = -1e9


class CrashingCaller:
    """A caller whose one request crashes each server that runs it."""

    def __init__(self, harness, number):
        self.harness = harness
        self.number = number
        self.unsafe = harness.rng.random() < 0.3
        self.path = f"/{'order' if self.unsafe else 'read'}/crash-{number}"

    async def run(self, duration_s):
        """Send the request several times a second to any host."""
        self.harness.crashing_paths.add(self.path)
        started_s = self.harness.clock()
        end_s = started_s + duration_s
        count = 0
        async with aiohttp.ClientSession() as session:
            while self.harness.clock() < end_s:
                self.harness.spawn(self._send(session, f"c{self.number}-{count}"))
                count += 1
                await asyncio.sleep(self.harness.rng.uniform(0.1, 0.5))
            await asyncio.sleep(CALL_TIMEOUT.total)
        self.harness.checker.check_crashing(self.path, started_s, end_s)

    async def _send(self, session, request_id):
        host = self.harness.rng.choice(self.harness.edges).front_address
        checker = self.harness.checker
        checker.record_request(request_id, self.unsafe, host, False)
        key, _ = checker.organisations.choose_key(
            self.harness.rng, request_id, CRASHING_ORGANISATION
        )
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.request(
                "POST" if self.unsafe else "GET",
                f"http://{host}{self.path}",
                headers={
                    "Host": "h",
                    "Request-Id": request_id,
                    "Api-Key": key,
                    "Deadline-Ms": "2000",
                    "Affinity-Key": "7",
                },
                timeout=CALL_TIMEOUT,
            ) as answer:
                body = await answer.read()
                echoed = answer.headers.get("Request-Id")
                self.harness.checker.record_answer(
                    request_id, answer.status, body, echoed
                )


class Operator:
    """Changes the configuration, evacuates zones, and reads the configuration."""

    def __init__(self, harness, name):
        self.harness = harness
        self.rng = random.Random(f"{harness.seed}/operator/{name}")

    async def put(self, version):
        """Send a configuration until it is acknowledged."""
        document = plan_document(version, self.rng.randrange(10**6))
        checker = self.harness.checker
        checker.record_plan_sent(version, document)
        while True:
            status, _ = await self.harness.call_control("config.put", document)
            if status == 200:
                checker.record_plan_acked(version)
                return
            if status in (400, 409, 412, 413, 422):
                checker.record_violation(
                    "CONFIG", f"version {version} refused: {status}"
                )
                return
            await asyncio.sleep(0.2)

    async def read(self):
        """Read the configuration once and check it; return None on failure."""
        sent_s = self.harness.clock()
        status, body = await self.harness.call_control("config.get", None)
        if status != 200:
            return None
        document = json.loads(body)
        self.harness.checker.check_plan_read(sent_s, document)
        return document

    async def evacuate(self, zone, duration_s):
        for action, pause_s in (("start", duration_s), ("end", 0.0)):
            while True:
                call = f"evacuations.{action}&of={zone}"
                if (await self.harness.call_control(call, None))[0] == 200:
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
            "timeout": f"{TIMEOUTS_MS[name]}ms",
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
    resources = [route("read", "safe"), route("order", "unsafe")]
    resources += [route("long", "unsafe"), service, *tenants(version)]
    return {"version": version, "resources": resources}


async def call_control(session, ip, call, document):
    """Call the control interface of a host.

    Returns
    -------
    tuple
        Status and body; status 0 if no answer arrived.
    """
    url = f"http://{ip}:{CONTROL_PORT}/v1/rpc?call={call}"
    try:
        async with session.post(url, json=document, timeout=CALL_TIMEOUT) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, b""
