"""Harness of the scenarios: a deployment, faults of its links, and callers."""

import asyncio
import random

import aiohttp
import attrs

from bulrushlead.declaration import RequestClass, Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageClient

WAIT_TIMEOUT_MS = 30_000
SLOTS = 4
MAX_DURATION_MS = 3_000


def plan_for(name):
    """Return the plan of a small deployment, modelled on one in ``examples``."""
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
    """The answer that a caller received; status 0 if the connection failed."""

    status: int
    content: dict

    @property
    def ran(self):
        """Whether the request ran, as the answer says: "yes", "no" or "unknown"."""
        return self.content.get("ran", "yes" if self.status == 200 else "unknown")


class FaultyLink:
    """A link to a peer that a test can cut.

    A call over a cut link times out, whether its request or its reply is lost.
    """

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
    """Links to the control hosts; those from and to a host in ``cut_hosts`` are cut."""

    def __init__(self):
        self.cut_hosts = set()
        self.hosts_by_address = {}
        self.clock = None

    def link_to(self, host, address):
        return FaultyLink(self, host, address, self.clock)

    def is_cut(self, host, address):
        return (
            host in self.cut_hosts
            or self.hosts_by_address.get(address) in self.cut_hosts
        )


class Harness:
    """A deployment, the faults injected into it, and the answers of its callers."""

    def __init__(self, name, folder):
        self.links = FaultyLinks()
        self.deployment = Deployment(
            plan_for(name), str(folder), seed=7, link_factory=self.links.link_to
        )
        self.links.clock = self.deployment.clock
        self.services = [p.service.name for p in self.deployment.plan.services]
        self.answers = []
        self.pending = []
        self.paths = []
        self.accepted_revisions = []
        self.stopping = []
        self.rng = random.Random(7)

    async def start(self):
        await self.deployment.start()
        for name, settings in self.deployment.control_settings.items():
            self.links.hosts_by_address[settings.peer_address] = name

    async def close(self):
        self.unblock_requests()
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
        return [execution for server in found for execution in server.execution_log]

    def runs_of(self, key):
        return len(
            [execution for execution in self.executions() if execution.key == key]
        )

    def block_requests(self):
        for server in self.servers():
            server.faults.gate = asyncio.Event()

    def unblock_requests(self):
        for server in self.servers():
            if server.faults.gate is not None:
                server.faults.gate.set()
                server.faults.gate = None

    async def wait_until(self, condition):
        """Wait until a condition holds, and fail after ``WAIT_TIMEOUT_MS``."""
        deadline_ms = self.deployment.clock.now_ms() + WAIT_TIMEOUT_MS
        while not condition():
            assert self.deployment.clock.now_ms() < deadline_ms, (
                "timed out waiting for the condition"
            )
            await asyncio.sleep(0.02)

    def leader(self):
        """Return the name of the leader, or None.

        A leader that is cut off may not have stepped down yet and does not count.
        """
        for name, host in self.deployment.controls.items():
            if host.log.is_leader() and name not in self.links.cut_hosts:
                return name
        return None

    async def wait_for_leader(self, other_than=None):
        await self.wait_until(lambda: self.leader() not in (None, other_than))
        return self.leader()

    async def send(self, number, service, path, method="GET", key=None, **options):
        """Send one request through entry host ``number`` and record its answer."""
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

    def start_request(self, *args, **options):
        task = asyncio.ensure_future(self.send(*args, **options))
        self.pending.append(task)
        return task

    async def wait_for_pending(self):
        """Wait for every pending request."""
        tasks, self.pending = self.pending, []
        return await asyncio.gather(*tasks)

    async def send_until_served(self, number, service, path, **options):
        """Retry a request until a complete answer arrives."""
        deadline_ms = self.deployment.clock.now_ms() + WAIT_TIMEOUT_MS
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
