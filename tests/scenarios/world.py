"""What the scenarios act on: a deployment, its faults and its callers."""

import asyncio
import random

import aiohttp
import attrs

from bulrushlead.declaration import RequestClass, Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageClient

PATIENCE_MS = 30_000
SLOTS = 4
MAX_DURATION_MS = 3_000


def plan_for(name):
    """Return a small deployment in the shape of one of the brief's."""
    regions, interactive, bulk = {
        "release signature": (("capital", "oeste"), "releases", "archive"),
        "feed order": (("casa", "fes"), "orders", "tracking"),
    }[name]
    return DeploymentPlan(
        regions=regions,
        controls=3,
        services=(
            ServicePlan(
                Service(interactive, max_duration_ms=MAX_DURATION_MS), slots=SLOTS
            ),
            ServicePlan(
                Service(
                    bulk,
                    request_class=RequestClass.BULK,
                    max_duration_ms=MAX_DURATION_MS,
                ),
                slots=SLOTS,
            ),
        ),
        lookup_ttl_ms=300,
    )


@attrs.frozen
class Answer:
    """What a caller was told; status 0 means that the connection broke."""

    status: int
    content: dict

    @property
    def ran(self):
        return self.content.get("ran", "yes" if self.status == 200 else "unknown")


class FaultyLink:
    """A link that a test can cut without notice."""

    def __init__(self, links, host, address, clock):
        self.links, self.host, self.address = links, host, address
        self.clock = clock
        self.client = MessageClient(address, clock)

    async def call(self, request, timeout_ms):
        if self.links.is_cut(self.host, self.address):
            await self.clock.sleep_ms(timeout_ms)
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "the link is cut")
        reply = await self.client.call(request, timeout_ms)
        if self.links.is_cut(self.host, self.address):
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "the link is cut")
        return reply

    async def close(self):
        await self.client.close()


class FaultyLinks:
    """Links between all hosts; a host that is cut off reaches nobody."""

    def __init__(self):
        self.cut_hosts = set()
        self.addresses = {}
        self.clock = None

    def link_to(self, host, address):
        return FaultyLink(self, host, address, self.clock)

    def is_cut(self, host, address):
        return host in self.cut_hosts or self.addresses.get(address) in self.cut_hosts


class World:
    """A deployment with its faults, and callers with what they were told."""

    def __init__(self, name, folder):
        self.links = FaultyLinks()
        self.deployment = Deployment(
            plan_for(name), str(folder), seed=7, link_to=self.links.link_to
        )
        self.links.clock = self.deployment.clock
        self.services = [p.service.name for p in self.deployment.plan.services]
        self.answers = []
        self.pending = []
        self.paths = []
        self.accepted = []
        self.stopping = []
        self.rng = random.Random(7)

    async def start(self):
        await self.deployment.start()
        for name, settings in self.deployment.control_settings.items():
            self.links.addresses[settings.peer_address] = name

    async def close(self):
        self.open_gates()
        for task in (*self.pending, *self.stopping):
            task.cancel()
        await asyncio.gather(*self.pending, *self.stopping, return_exceptions=True)
        await self.deployment.close()

    def entry_name(self, number):
        return self.deployment.plan.entry_names()[number - 1]

    def servers(self, service=None, region=None):
        return [
            server
            for server in self.deployment.servers.values()
            if service in (None, server.settings.service)
            and region in (None, server.settings.region)
        ]

    def executions(self, service=None, region=None):
        found = self.servers(service, region)
        return [entry for server in found for entry in server.execution_log]

    def runs_of(self, key):
        return len([entry for entry in self.executions() if entry.key == key])

    def hold(self):
        for server in self.servers():
            server.faults.gate = asyncio.Event()

    def open_gates(self):
        for server in self.servers():
            if server.faults.gate is not None:
                server.faults.gate.set()
                server.faults.gate = None

    async def until(self, condition):
        """Wait until a condition holds; the waiting itself proves nothing."""
        deadline_ms = self.deployment.clock.now_ms() + PATIENCE_MS
        while not condition():
            assert self.deployment.clock.now_ms() < deadline_ms, "it never came true"
            await asyncio.sleep(0.02)

    def leader(self):
        for name, host in self.deployment.controls.items():
            if host.log.is_leader() and name not in self.links.cut_hosts:
                return name
        return None

    async def wait_for_leader(self, other_than=None):
        await self.until(lambda: self.leader() not in (None, other_than))
        return self.leader()

    async def send(self, number, service, path, method="GET", key=None, **options):
        """Send one request and note what the caller was told."""
        address = self.deployment.entry_addresses[self.entry_name(number)]
        headers = {"Idempotency-Key": key} if key else {}
        if "timeout_ms" in options:
            headers["Bulrushlead-Timeout-Ms"] = str(options["timeout_ms"])
        url = f"http://{address}/v1/services/{service}{path}"
        self.paths.append(path)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method, url, headers=headers, data=options.get("body")
                ) as response,
            ):
                answer = Answer(response.status, await response.json())
        except (aiohttp.ClientError, OSError):
            answer = Answer(0, {})
        self.answers.append((path, key, answer))
        return answer

    def send_later(self, *words, **options):
        task = asyncio.ensure_future(self.send(*words, **options))
        self.pending.append(task)
        return task

    async def settle(self):
        """Wait for every caller that still waits."""
        tasks, self.pending = self.pending, []
        return await asyncio.gather(*tasks)

    async def send_until_served(self, number, service, path, **options):
        """Send, as a caller that comes back, until a complete answer arrives."""
        deadline_ms = self.deployment.clock.now_ms() + PATIENCE_MS
        while True:
            answer = await self.send(number, service, path, **options)
            if answer.status == 200:
                return answer
            assert self.deployment.clock.now_ms() < deadline_ms, answer
            await asyncio.sleep(0.1)

    async def look_up(self, number, service):
        address = self.deployment.entry_addresses[self.entry_name(number)]
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f"http://{address}/v1/lookup", params={"service": service}
            ) as response,
        ):
            return Answer(response.status, await response.json())

    def revisions(self):
        return {e.session.revision for e in self.deployment.entries.values()}

    def declaration(self):
        return self.deployment.plan.declaration(self.deployment.entry_addresses)
