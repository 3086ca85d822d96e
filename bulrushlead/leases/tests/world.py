"""Hosts, a leader and a faulty network on drifting clocks, for the tests."""

import itertools

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.clock import ManualClock
from bulrushlead.declaration import AvailabilityZone, Host, Service
from bulrushlead.leases import (
    LeaseHolder,
    LeaseSettings,
    LeaseTable,
    LimitKey,
    RateLimit,
)
from bulrushlead.results import BulrushleadError

WINDOW_MS = 300
SETTINGS = LeaseSettings(
    lease_ms=1_000, renew_interval_ms=300, drift_percent=2, rate_window_ms=WINDOW_MS
)
SERVICES = (
    Service(name="short", max_duration_ms=100),
    Service(name="long", max_duration_ms=3_000),
)
DURATIONS_MS = {service.name: service.max_duration_ms for service in SERVICES}
ZONES = (AvailabilityZone("casa-1", "casa"), AvailabilityZone("fes-1", "fes"))
KEY = LimitKey.for_region("short", "casa")
DRIFTS = (0.9905, 1.0, 1.0095)


class DriftingClock(ManualClock):
    """Clock that runs faster or slower than true time."""

    def __init__(self, drift: float, start_ms: float):
        super().__init__(start_ms)
        self.drift = drift

    def move(self, true_ms: float) -> None:
        self._now_ms += true_ms * self.drift


def server(name, service, zone="casa-1", slots=3, incarnation="1", draining=False):
    return BackendServer(
        name=name,
        service=service,
        region=zone.split("-")[0],
        availability_zone=zone,
        address="10.0.0.1:1",
        incarnation=incarnation,
        slots=slots,
        connections=330,
        draining=draining,
    )


@attrs.define
class Work:
    """A request that runs on a backend server."""

    server: str
    end_ms: float
    host: "EntryHost | None"
    token: object


@attrs.define(eq=False)
class EntryHost:
    """One run of an entry host, and the grants that may still reach it."""

    name: str
    clock: DriftingClock
    holder: LeaseHolder
    frozen: bool = False
    inbox: list = attrs.field(factory=list)


class World:
    """True time, hosts, one leader, messages in flight, running work."""

    def __init__(self, host_count=3, known=False):
        self.now_ms = 10_000.0
        self.numbers = itertools.count(1)
        self.term = 0
        self.hosts: list[EntryHost] = []
        self.requests: list = []
        self.running: list[Work] = []
        self.limits = [(self.now_ms, 10)]
        self.spent: list = []
        self.slot_counts: list = []
        self.servers = {
            "a": server("a", "short"),
            "b": server("b", "long", slots=4),
            "c": server("c", "long", zone="fes-1"),
        }
        self.declared = tuple(
            Host(name=f"h{index}", availability_zone=ZONES[index % 2].name)
            for index in range(host_count)
        )
        self.tables: list[LeaseTable] = []
        self.change_leader(1.0, known=known)
        for index, host in enumerate(self.declared):
            self.hosts.append(self.boot(host.name, DRIFTS[index % 3]))

    def boot(self, name, drift):
        clock = DriftingClock(drift, 1_000.0 * next(self.numbers))
        holder = LeaseHolder(clock, name, f"run-{next(self.numbers)}")
        return EntryHost(name, clock, holder)

    @property
    def table(self):
        return self.tables[-1]

    def change_leader(self, drift, known=False):
        for table in self.tables:
            table.stop_term()
        self.term += 1
        clock = DriftingClock(drift, 1_000.0 * next(self.numbers))
        self.tables.append(LeaseTable(clock, SETTINGS))
        self.table.start_term(self.term, known=known)
        self.publish()

    def publish(self):
        self.table.update_servers(tuple(self.servers.values()), SERVICES)
        limit = RateLimit(KEY, self.limits[-1][1])
        self.table.update_limits((limit,), self.declared, ZONES)

    def change_server(self, name, **changes):
        self.slot_counts.append((self.now_ms, name, self.servers[name].slots))
        self.servers[name] = attrs.evolve(self.servers[name], **changes)
        self.publish()

    def change_limit(self, amount):
        self.limits.append((self.now_ms, amount))
        self.publish()

    def advance(self, duration_ms):
        self.now_ms += duration_ms
        for clock in {host.clock for host in self.hosts} | {
            table.clock for table in self.tables
        }:
            clock.move(duration_ms)
        self.end_work([work for work in self.running if work.end_ms <= self.now_ms])

    def send(self, host):
        if not host.frozen:
            self.requests.append((host, host.holder.build_request()))

    def receive(self, index):
        """Let the leader read one request; it stays deliverable again."""
        host, request = self.requests[index]
        try:
            grant = self.table.renew(request)
        except BulrushleadError:
            return
        host.inbox.append(grant)

    def apply(self, host, index):
        if not host.frozen:
            host.holder.apply_grant(host.inbox[index])

    def renew(self, host, rounds=2):
        """Renew over a network without faults; a first term takes two rounds."""
        if host.frozen:
            return
        for _ in range(rounds):
            self.send(host)
            self.receive(-1)
            if host.inbox:
                self.apply(host, -1)

    def take(self, host, name, share=1.0):
        token = None if host.frozen else host.holder.take_slot(name)
        if token is not None:
            duration_ms = DURATIONS_MS[self.servers[name].service]
            end_ms = self.now_ms + duration_ms * share / host.clock.drift
            self.running.append(Work(name, end_ms, host, token))
        return token

    def spend(self, host):
        """Use as much of the rate share as the last window leaves."""
        if host.frozen:
            return
        now_ms = host.clock.now_ms()
        used = sum(
            amount
            for _, owner, at_ms, amount in self.spent
            if owner is host and at_ms > now_ms - WINDOW_MS
        )
        amount = int(host.holder.rate(KEY)) - used
        if amount > 0:
            self.spent.append((self.now_ms, host, now_ms, amount))

    def end_work(self, ended):
        for work in ended:
            self.running.remove(work)
            if work.host is not None:
                work.host.holder.return_slot(work.token)

    def restart(self, host, drift=1.0):
        """Replace a host's process; what it started keeps running."""
        for work in self.running:
            if work.host is host:
                work.host = None
        host.frozen = True
        self.hosts[self.hosts.index(host)] = self.boot(host.name, drift)

    def slots_at_risk(self, name):
        """Return requests running or startable now at a backend server."""
        running = sum(work.server == name for work in self.running)
        return running + sum(host.holder.free_slots(name) for host in self.hosts)

    def slots_in_force(self, name, lease_ms):
        """Return the most slots that a host may still know or be using."""
        span_ms = lease_ms + DURATIONS_MS[self.servers[name].service] * 1.02
        earlier = [
            count
            for at, changed, count in self.slot_counts
            if changed == name and at > self.now_ms - span_ms
        ]
        return max([self.servers[name].slots, *earlier])

    def rate_at_risk(self):
        return sum(host.holder.rate(KEY) for host in self.hosts)

    def limit_in_force(self, span_ms):
        """Return the highest limit that some host may still know of."""
        horizon_ms = self.now_ms - span_ms
        before = [amount for at, amount in self.limits if at <= horizon_ms]
        after = [amount for at, amount in self.limits if at > horizon_ms]
        return max(before[-1:] + after)

    def spent_in_window(self):
        start_ms = self.now_ms - WINDOW_MS / 1.02
        return sum(amount for at, _, _, amount in self.spent if at > start_ms)
