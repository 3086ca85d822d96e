"""Seeded random schedule of messages, faults and configuration changes."""

import heapq
import itertools
import random

from bulrushlead.leases.tests.harness import DRIFTS, KEY, SETTINGS, WINDOW_MS, Harness
from bulrushlead.results import BulrushleadError

# The leader's clock may run slower than simulated time.
LEASE_BOUND_MS = SETTINGS.with_margin(SETTINGS.lease_ms) * 1.02
DELAYS_MS = (1, 1, 2, 5, 20, 20, 200, 600, 900, 1_300, 4_000)
LOSS_PROBABILITY = 0.1
DUPLICATE_PROBABILITY = 0.15


def check_invariants(harness):
    """Assert that no share can be used twice, now or within the last window."""
    for name in harness.servers:
        usable = harness.usable_slots(name)
        slots = harness.slots_in_force(name, LEASE_BOUND_MS)
        assert usable <= slots, f"{usable} of {slots} slots of {name}"
    limit = harness.limit_in_force(LEASE_BOUND_MS)
    assert harness.usable_rate() <= limit, "sum of the rate shares"
    limit = harness.limit_in_force(LEASE_BOUND_MS + WINDOW_MS)
    assert harness.rate_used_in_window() <= limit, "sum over a window"


class Schedule:
    """Event queue in simulated time that runs the schedule of one seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.harness = Harness(no_prior_grants=self.random.random() < 0.7)
        self.events: list = []
        self.order = itertools.count()
        for index in range(len(self.harness.hosts)):
            self.at(self.random.randint(0, 100), self.renew, index)
            self.at(self.random.randint(0, 100), self.start_requests, index)
        self.at(400, self.inject_fault)

    def at(self, delay_ms, action, *arguments):
        due_ms = self.harness.now_ms + delay_ms
        heapq.heappush(self.events, (due_ms, next(self.order), action, arguments))

    def run(self, steps):
        for _ in range(steps):
            due_ms, _, action, arguments = heapq.heappop(self.events)
            while (ends := self.next_end_ms()) is not None and ends <= due_ms:
                self.harness.advance(max(0.0, ends - self.harness.now_ms))
                check_invariants(self.harness)
            self.harness.advance(max(0.0, due_ms - self.harness.now_ms))
            action(*arguments)
            check_invariants(self.harness)

    def next_end_ms(self):
        return min((request.end_ms for request in self.harness.running), default=None)

    def transmit(self, action, *arguments):
        copies = 1 + (self.random.random() < DUPLICATE_PROBABILITY)
        for _ in range(copies):
            if self.random.random() >= LOSS_PROBABILITY:
                self.at(self.random.choice(DELAYS_MS), action, *arguments)

    def renew(self, index):
        host = self.harness.hosts[index]
        if not host.suspended:
            self.transmit(self.receive, host, host.holder.build_request())
        self.at(self.random.choice((50, 300, 300, 950, 1_500)), self.renew, index)

    def receive(self, host, request):
        try:
            grant = self.harness.table.renew(request)
        except BulrushleadError:
            return
        self.transmit(self.apply, host, grant)

    def apply(self, host, grant):
        if host not in self.harness.hosts:
            # After a restart the current run receives the grant of the earlier one.
            host = next(h for h in self.harness.hosts if h.name == host.name)
        if not host.suspended:
            host.holder.apply_grant(grant)

    def start_requests(self, index):
        host = self.harness.hosts[index]
        for name, server in self.harness.servers.items():
            if self.random.random() < 0.5:
                waiting = self.random.choice((0, 0, 3, 10))
                host.holder.set_demand(server.service, server.region, waiting)
            if self.random.random() < 0.3:
                self.harness.start_request(
                    host, name, self.random.choice((0.1, 0.5, 1.0))
                )
        self.harness.use_rate(host)
        host.holder.set_rate_demand(KEY, self.random.choice((0, 3, 20)))
        self.at(self.random.choice((5, 40, 150)), self.start_requests, index)

    def inject_fault(self):
        action = self.random.choice(
            (
                self.suspend,
                self.restart,
                self.change_leader,
                self.change_limit,
                self.change_server,
            )
        )
        action(self.random.randrange(len(self.harness.hosts)))
        self.at(self.random.choice((50, 400, 1_500, 5_000)), self.inject_fault)

    def suspend(self, index):
        host = self.harness.hosts[index]
        host.suspended = True
        self.at(self.random.choice((100, 900, 1_200, 6_000)), self.resume, host)

    def resume(self, host):
        host.suspended = host not in self.harness.hosts

    def restart(self, index):
        drift = self.random.choice(DRIFTS)
        self.harness.restart(self.harness.hosts[index], drift)

    def change_leader(self, _):
        self.harness.change_leader(self.random.choice(DRIFTS))

    def change_limit(self, _):
        self.harness.change_limit(self.random.choice((0, 3, 10, 20)))

    def change_server(self, _):
        name = self.random.choice("abc")
        self.harness.change_server(
            name,
            draining=self.random.random() < 0.3,
            slots=self.random.choice((1, 3, 3, 4)),
            incarnation=str(self.random.random()),
        )
