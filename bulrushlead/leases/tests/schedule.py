"""A seeded random schedule of messages, faults and changes."""

import heapq
import itertools
import random

from bulrushlead.leases.tests.world import DRIFTS, KEY, SETTINGS, WINDOW_MS, World
from bulrushlead.results import BulrushleadError

LEASE_BOUND_MS = SETTINGS.with_margin(SETTINGS.lease_ms) * 1.02
DELAYS_MS = (1, 1, 2, 5, 20, 20, 200, 600, 900, 1_300, 4_000)
LOSS = 0.1
DUPLICATE = 0.15


def check(world):
    """Assert that no share can be used twice, now or over the last window."""
    for name in world.servers:
        at_risk = world.slots_at_risk(name)
        slots = world.slots_in_force(name, LEASE_BOUND_MS)
        assert at_risk <= slots, f"{at_risk} of {slots} slots of {name}"
    limit = world.limit_in_force(LEASE_BOUND_MS)
    assert world.rate_at_risk() <= limit, "sum of the rate shares"
    limit = world.limit_in_force(LEASE_BOUND_MS + WINDOW_MS)
    assert world.spent_in_window() <= limit, "sum over a window"


class Schedule:
    """Event queue on true time that plays one seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.world = World(known=self.random.random() < 0.7)
        self.events: list = []
        self.order = itertools.count()
        for index in range(len(self.world.hosts)):
            self.at(self.random.randint(0, 100), self.renew, index)
            self.at(self.random.randint(0, 100), self.work, index)
        self.at(400, self.disturb)

    def at(self, delay_ms, action, *arguments):
        due_ms = self.world.now_ms + delay_ms
        heapq.heappush(self.events, (due_ms, next(self.order), action, arguments))

    def play(self, steps):
        for _ in range(steps):
            due_ms, _, action, arguments = heapq.heappop(self.events)
            while (ends := self.next_end_ms()) is not None and ends <= due_ms:
                self.world.advance(max(0.0, ends - self.world.now_ms))
                check(self.world)
            self.world.advance(max(0.0, due_ms - self.world.now_ms))
            action(*arguments)
            check(self.world)

    def next_end_ms(self):
        return min((work.end_ms for work in self.world.running), default=None)

    def transmit(self, action, *arguments):
        copies = 1 + (self.random.random() < DUPLICATE)
        for _ in range(copies):
            if self.random.random() >= LOSS:
                self.at(self.random.choice(DELAYS_MS), action, *arguments)

    def renew(self, index):
        host = self.world.hosts[index]
        if not host.frozen:
            self.transmit(self.receive, host, host.holder.build_request())
        self.at(self.random.choice((50, 300, 300, 950, 1_500)), self.renew, index)

    def receive(self, host, request):
        try:
            grant = self.world.table.renew(request)
        except BulrushleadError:
            return
        self.transmit(self.apply, host, grant)

    def apply(self, host, grant):
        if host not in self.world.hosts:
            host = next(h for h in self.world.hosts if h.name == host.name)
        if not host.frozen:
            host.holder.apply_grant(grant)

    def work(self, index):
        host = self.world.hosts[index]
        for name, server in self.world.servers.items():
            if self.random.random() < 0.5:
                waiting = self.random.choice((0, 0, 3, 10))
                host.holder.note_demand(server.service, server.region, waiting)
            if self.random.random() < 0.3:
                self.world.take(host, name, self.random.choice((0.1, 0.5, 1.0)))
        self.world.spend(host)
        host.holder.note_rate_demand(KEY, self.random.choice((0, 3, 20)))
        self.at(self.random.choice((5, 40, 150)), self.work, index)

    def disturb(self):
        pick = self.random.choice(
            (self.freeze, self.restart, self.elect, self.limit, self.server)
        )
        pick(self.random.randrange(len(self.world.hosts)))
        self.at(self.random.choice((50, 400, 1_500, 5_000)), self.disturb)

    def freeze(self, index):
        host = self.world.hosts[index]
        host.frozen = True
        self.at(self.random.choice((100, 900, 1_200, 6_000)), self.thaw, host)

    def thaw(self, host):
        host.frozen = host not in self.world.hosts

    def restart(self, index):
        drift = self.random.choice(DRIFTS)
        self.world.restart(self.world.hosts[index], drift)

    def elect(self, _):
        self.world.change_leader(self.random.choice(DRIFTS))

    def limit(self, _):
        self.world.change_limit(self.random.choice((0, 3, 10, 20)))

    def server(self, _):
        name = self.random.choice("abc")
        self.world.change_server(
            name,
            draining=self.random.random() < 0.3,
            slots=self.random.choice((1, 3, 3, 4)),
            incarnation=str(self.random.random()),
        )
