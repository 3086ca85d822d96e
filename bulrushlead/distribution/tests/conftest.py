"""Test harness: one leader and three entry hosts on a manual clock."""

import random

import pytest

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import ManualClock
from bulrushlead.declaration import (
    AvailabilityZone,
    Declaration,
    Host,
    Region,
    Service,
)
from bulrushlead.distribution import (
    HostView,
    Publisher,
    Session,
    SessionListener,
)
from bulrushlead.leases import LeaseHolder, LeaseSettings
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec

LEASE_MS = 2_000
INTERVAL_MS = 300
HOSTS = ("e1", "e2", "e3")
DECLARATION = Declaration(
    regions=(Region("fes"),),
    availability_zones=(AvailabilityZone("fes-a", "fes"),),
    hosts=tuple(Host(name, "fes-a") for name in HOSTS),
    services=(Service("stock", max_duration_ms=1_000),),
)


class Link:
    """Link from one entry host to the leader that a test can cut."""

    def __init__(self, harness):
        self.harness = harness
        self.is_cut = False
        self.replies = []

    async def call(self, request, timeout_ms):
        if self.is_cut:
            await self.harness.clock.sleep_ms(timeout_ms)
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "cut")
        request = codec.decode(codec.encode(request))
        reply = codec.decode(codec.encode(self.harness.leader.answer(request)))
        self.replies.append(reply)
        return reply


class Harness:
    """One leader at a time and three entry hosts on a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.term = 0
        self.revision = 0
        self.declaration = Declaration()
        self.leader = None
        self.links, self.sessions = {}, {}
        self.change_leader(no_prior_grants=True)

    def change_leader(self, no_prior_grants=False):
        if self.leader is not None:
            self.leader.stop_term()
        self.term += 1
        self.leader = Publisher(
            self.clock, lambda: True, LeaseSettings(lease_ms=LEASE_MS), 3_000
        )
        self.leader.start_term(self.term, no_prior_grants=no_prior_grants)
        self.publish()

    def publish(self, drains=()):
        self.leader.set_configuration(self.revision, self.declaration, drains)

    def accept_declaration(self, declaration, drains=()):
        self.revision += 1
        self.declaration = declaration
        self.publish(drains)

    async def add_host(self, name):
        link = self.links[name] = Link(self)
        view = HostView(name, "192.0.2.1:80", "fes", "fes-a", 100)
        session = self.sessions[name] = Session(
            view,
            self.clock,
            link,
            LeaseHolder(self.clock, name, f"{name}-run"),
            INTERVAL_MS,
            random.Random(name),
            SessionListener(lambda *_: None, lambda: None, lambda _: None),
        )
        await session.start()

    def announce(self, name="s1", sequence=1, draining=False, host="e1"):
        server = BackendServer(
            name, "stock", "fes", "fes-a", "192.0.2.9:80", "run", 4, 100, draining
        )
        self.sessions[host].queue_announcement(Announcement(server, sequence))

    async def run_ms(self, duration_ms):
        for _ in range(int(duration_ms // 100)):
            await self.clock.advance_ms(100)
            self.leader.tick()


@pytest.fixture
async def harness():
    harness = Harness()
    harness.accept_declaration(DECLARATION)
    for name in HOSTS:
        await harness.add_host(name)
    await harness.run_ms(1_000)
    yield harness
    for session in harness.sessions.values():
        await session.close()
