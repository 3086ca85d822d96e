"""Test harness: entry hosts, a leader and a faulty network on drifting clocks."""

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
DRIFTS = (0.9905, 1.0, 1.0095)  # clock rates; any two differ by less than 2 %


class DriftingClock(ManualClock):
    """Clock that runs faster or slower than the simulated time."""

    def __init__(self, drift: float, start_ms: float):
        super().__init__(start_ms)
        self.drift = drift

    def move(self, duration_ms: float) -> None:
        self._now_ms += duration_ms * self.drift


def build_server(
    name, service, zone="casa-1", slots=3, incarnation="1", draining=False
):
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
class RunningRequest:
    """A request that runs on a backend server."""

    server: str
    end_ms: float
    host: "EntryHost | None"
    token: object


@attrs.define(eq=False)
class EntryHost:
    """One run of an entry host, and the grants that can still be delivered to it."""

    name: str
    clock: DriftingClock
    holder: LeaseHolder
    suspended: bool = False
    inbox: list = attrs.field(factory=list)


class Harness:
    """Simulated time, hosts, one leader, messages in flight and running requests."""

    def __init__(self, host_count=3, no_prior_grants=False):
        self.now_ms = 10_000.0
        self.numbers = itertools.count(1)
        self.term = 0
        self.hosts: list[EntryHost] = []
        self.requests: list = []
        self.running: list[RunningRequest] = []
        self.limits = [(self.now_ms, 10)]
        self.rate_uses: list = []
        self.slot_counts: list = []
        self.servers = {
            "a": build_server("a", "short"),
            "b": build_server("b", "long", slots=4),
            "c": build_server("c", "long", zone="fes-1"),
        }
        self.declared = tuple(
            Host(name=f"h{index}", availability_zone=ZONES[index % 2].name)
            for index in range(host_count)
        )
        self.tables: list[LeaseTable] = []
        self.change_leader(1.0, no_prior_grants=no_prior_grants)
        for index, host in enumerate(self.declared):
            self.hosts.append(self.start_host(host.name, DRIFTS[index % 3]))

    def start_host(self, name, drift):
        clock = DriftingClock(drift, 1_000.0 * next(self.numbers))
        holder = LeaseHolder(clock, name, f"run-{next(self.numbers)}")
        return EntryHost(name, clock, holder)

    @property
    def table(self):
        return self.tables[-1]

    def change_leader(self, drift, no_prior_grants=False):
        for table in self.tables:
            table.stop_term()
        self.term += 1
        clock = DriftingClock(drift, 1_000.0 * next(self.numbers))
        self.tables.append(LeaseTable(clock, SETTINGS))
        self.table.start_term(self.term, no_prior_grants=no_prior_grants)
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
        self.end_requests(
            [request for request in self.running if request.end_ms <= self.now_ms]
        )

    def send(self, host):
        if not host.suspended:
            self.requests.append((host, host.holder.build_request()))

    def receive(self, index):
        """Deliver one request to the leader; it can be delivered again."""
        host, request = self.requests[index]
        try:
            grant = self.table.renew(request)
        except BulrushleadError:
            return
        host.inbox.append(grant)

    def apply(self, host, index):
        if not host.suspended:
            host.holder.apply_grant(host.inbox[index])

    def renew(self, host, rounds=2):
        """Renew without network faults; the first grant of a term takes two rounds."""
        if host.suspended:
            return
        for _ in range(rounds):
            self.send(host)
            self.receive(-1)
            if host.inbox:
                self.apply(host, -1)

    def start_request(self, host, name, fraction=1.0):
        token = None if host.suspended else host.holder.acquire_slot(name)
        if token is not None:
            duration_ms = DURATIONS_MS[self.servers[name].service]
            end_ms = self.now_ms + duration_ms * fraction / host.clock.drift
            self.running.append(RunningRequest(name, end_ms, host, token))
        return token

    def use_rate(self, host):
        """Use the part of the rate share that the current window has left."""
        if host.suspended:
            return
        now_ms = host.clock.now_ms()
        used = sum(
            amount
            for _, owner, at_ms, amount in self.rate_uses
            if owner is host and at_ms > now_ms - WINDOW_MS
        )
        amount = int(host.holder.rate(KEY)) - used
        if amount > 0:
            self.rate_uses.append((self.now_ms, host, now_ms, amount))

    def end_requests(self, ended):
        for request in ended:
            self.running.remove(request)
            if request.host is not None:
                request.host.holder.release_slot(request.token)

    def restart(self, host, drift=1.0):
        """Replace a host's process; the requests that it started keep running."""
        for request in self.running:
            if request.host is host:
                request.host = None
        host.suspended = True
        self.hosts[self.hosts.index(host)] = self.start_host(host.name, drift)

    def usable_slots(self, name):
        """Return the requests that run or may start now at a backend server."""
        running = sum(request.server == name for request in self.running)
        return running + sum(host.holder.free_slots(name) for host in self.hosts)

    def slots_in_force(self, name, lease_ms):
        """Return the largest slot count that may still be leased or in use."""
        span_ms = lease_ms + DURATIONS_MS[self.servers[name].service] * 1.02
        earlier = [
            count
            for at, changed, count in self.slot_counts
            if changed == name and at > self.now_ms - span_ms
        ]
        return max([self.servers[name].slots, *earlier])

    def usable_rate(self):
        return sum(host.holder.rate(KEY) for host in self.hosts)

    def limit_in_force(self, span_ms):
        """Return the highest limit that may still be leased to a host."""
        horizon_ms = self.now_ms - span_ms
        before = [amount for at, amount in self.limits if at <= horizon_ms]
        after = [amount for at, amount in self.limits if at > horizon_ms]
        return max(before[-1:] + after)

    def rate_used_in_window(self):
        # A window on a fast host clock is shorter in simulated time.
        start_ms = self.now_ms - WINDOW_MS / 1.02
        return sum(amount for at, _, _, amount in self.rate_uses if at > start_ms)
