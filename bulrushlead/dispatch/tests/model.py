"""A discrete-event simulation of servers and hosts, to compare placement policies.

Servers have slots, a bounded queue, an LRU cache of objects, a speed factor and a cold
phase for which arrivals are counted. Hosts place requests with a policy and update
their estimates from answers only. Time is virtual.
"""

import collections
import heapq
import itertools
import random

import attrs

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import (
    Dispatcher,
    DispatchSettings,
    Outcome,
    Placement,
    Work,
)
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    HostRecord,
    ServerRecord,
    ServerState,
    SyncPosition,
)
from bulrushlead.fleet._registry import MIN_PUBLISHED_LOAD
from bulrushlead.traffic import ServicePolicy, TrafficPlan

CACHE_HIT_SAVING = 0.7  # part of the work that a cached object saves
LOCAL_ONE_WAY_MS = 2.0
REMOTE_ROUND_TRIP_MS = 60.0


@attrs.define(eq=False)
class Job:
    """A caller's request with its placement."""

    key: bytes
    zone: str
    route: str
    work_ms: float
    target_latency_ms: float
    deadline_ms: float
    urgent: bool
    arrived_ms: float
    placement: Placement | None = None
    work: Work | None = None
    attempt: int = 0
    sent_ms: float = 0.0
    named_per_s: float | None = None  # limit in the answer


@attrs.define(eq=False)
class ModelServer:
    """A server with slots, a queue and an LRU cache.

    ``queue`` is the maximum number of queued requests, ``memory`` that of cached
    objects.
    """

    record: ServerRecord
    region: str
    memory: int = 48
    queue: int = 12
    speed: float = 1.0
    cold_until_ms: float = 0.0
    cold_per_s: float = 0.0
    crashed: bool = False
    running: int = 0
    waiting: collections.deque = attrs.field(factory=collections.deque)
    cached: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    arrivals: list = attrs.field(factory=list)
    max_cold_arrivals: int = 0
    hits: int = 0
    average_load: float = 0.0

    def load(self):
        return self.running + len(self.waiting)

    def mean_load(self):
        """Return a moving average of the load, as the leader would publish it."""
        self.average_load += 0.3 * (self.load() - self.average_load)
        return self.average_load

    def record_arrival(self, now_ms):
        if now_ms >= self.cold_until_ms:
            return
        self.arrivals = [t for t in self.arrivals if t > now_ms - 1_000] + [now_ms]
        self.max_cold_arrivals = max(self.max_cold_arrivals, len(self.arrivals))

    def duration_ms(self, job, now_ms):
        work_ms = job.work_ms * self.speed
        if job.key in self.cached:
            self.hits += 1
            work_ms *= 1.0 - CACHE_HIT_SAVING
        if now_ms < self.cold_until_ms:
            work_ms *= 2.0
        self.cached[job.key] = True
        self.cached.move_to_end(job.key)
        while len(self.cached) > self.memory:
            self.cached.popitem(last=False)
        return work_ms


@attrs.define
class Result:
    """Outcomes and latencies of the callers' requests."""

    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latencies_ms: list = attrs.field(factory=list)
    by_route: dict = attrs.field(factory=lambda: collections.defaultdict(list))

    @property
    def total(self):
        return self.in_target + self.late + self.refused + self.failed

    @property
    def worth(self):
        """Share of requests answered in target; late answers count a fifth."""
        return (self.in_target + 0.2 * self.late) / max(1, self.total)


class SimulationHarness:
    """Event loop over hosts, servers and callers in virtual time."""

    def __init__(self, seed, zones, servers, hosts_per_zone=2, policy=None):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.zones = zones
        self.servers = {s.record.server_id: s for s in servers}
        self.policy = policy
        self.result = Result()
        self._events = []
        self._order = itertools.count()
        self.view = FleetView(self.clock)
        names = [(f"{zone}-{i}", zone) for zone in zones for i in range(hosts_per_zone)]
        self.records = tuple(
            HostRecord(name, f"10.9.0.{i}:80", zone, zones[zone], True)
            for i, (name, zone) in enumerate(names)
        )
        self.hosts = [
            Dispatcher(
                self.clock,
                DispatchSettings(name, zone, zones[zone], zones, 0.2, 60, 10_000, 5),
            )
            for name, zone in names
        ]
        self.publish_fleet()

    def publish_fleet(self, revision=1):
        """Publish the current state of the servers to every host."""
        now_ms = self.clock.now_ms()
        update = FleetUpdate(
            term=1,
            position=SyncPosition("e", revision),
            is_full=True,
            servers=tuple(
                attrs.evolve(s.record, cold_left_ms=max(0.0, s.cold_until_ms - now_ms))
                for s in self.servers.values()
            ),
            plan=TrafficPlan(
                1,
                services=(
                    ServicePolicy(
                        "stock",
                        warmup_per_s=max(s.cold_per_s for s in self.servers.values()),
                    ),
                ),
            ),
            hosts=self.records,
            pressures=self._published_loads(),
        )
        self.view.apply(update)
        for host in self.hosts:
            host.update(self.view)

    def _published_loads(self):
        loads = {
            server_id: round(server.mean_load() / server.record.slots, 1)
            for server_id, server in self.servers.items()
        }
        # 0 removes a load that was published before.
        return {
            server_id: load if load >= MIN_PUBLISHED_LOAD else 0.0
            for server_id, load in loads.items()
        }

    def at(self, when_ms, action):
        """Schedule an action at a time."""
        heapq.heappush(self._events, (when_ms, next(self._order), action))

    def offer(self, kinds, rate_per_s, until_ms, from_ms=0.0):
        """Schedule Poisson arrivals of the given kinds of requests."""
        when_ms = from_ms
        while (
            when_ms := when_ms + self.rng.expovariate(rate_per_s) * 1_000
        ) < until_ms:
            kind = self.rng.choices(kinds, [k["share"] for k in kinds])[0]
            zone = self.rng.choice(list(self.zones))
            key = f"{kind['name']}/{self.rng.randrange(kind['objects'])}".encode()
            job = Job(
                key=key,
                zone=zone,
                route=kind["name"],
                work_ms=kind["work_ms"] * self.rng.uniform(0.8, 1.2),
                target_latency_ms=kind["target_ms"],
                deadline_ms=kind["deadline_ms"],
                urgent=kind.get("urgent", False),
                arrived_ms=when_ms,
            )
            self.at(when_ms, lambda job=job: self._arrive(job))

    def run(self, until_ms, publish_every_ms=1_000):
        for number, when_ms in enumerate(range(0, int(until_ms), publish_every_ms)):
            self.at(when_ms, lambda n=number: self.publish_fleet(n + 2))
        while self._events and self._events[0][0] <= until_ms:
            when_ms, _, action = heapq.heappop(self._events)
            self.clock._now_ms = max(self.clock._now_ms, when_ms)
            action()
        return self.result

    def _arrive(self, job):
        hosts = [h for h in self.hosts if h.settings.zone == job.zone]
        host = self._sending_host(self.rng.choice(hosts))
        if host is None:
            self.result.failed += 1
            self.result.by_route[job.route].append(None)
            return
        work = Work(
            "stock",
            job.route,
            job.key,
            True,
            job.target_latency_ms,
            job.deadline_ms,
            job.urgent,
            region=self.zones[job.zone],
        )
        place = self.policy or type(host).place
        placement = place(host, work)
        if not isinstance(placement, Placement):
            self.result.refused += 1
            self.result.by_route[job.route].append(None)
            return
        job.placement, job.work = placement, work
        job.attempt = host.record_sent(placement)
        server = self.servers[placement.server.server_id]
        self.at(
            self.clock.now_ms() + self._one_way_ms(host, server),
            lambda: self._arrive_at_server(host, server, job),
        )

    def _sending_host(self, host):
        """Return the host that sends a request to a server, or None if none can."""
        return host

    def _one_way_ms(self, host, server):
        return (
            LOCAL_ONE_WAY_MS
            if server.region == host.settings.region
            else REMOTE_ROUND_TRIP_MS / 2
        )

    def _arrive_at_server(self, host, server, job):
        now_ms = self.clock.now_ms()
        server.record_arrival(now_ms)
        if server.crashed:
            self._finish(host, server, job, Outcome.UNREACHABLE)
        elif server.running < server.record.slots:
            self._start(host, server, job)
        elif len(server.waiting) < server.queue:
            server.waiting.append((host, job))
        else:
            self._finish(host, server, job, Outcome.REFUSED)

    def _start(self, host, server, job):
        server.running += 1
        duration_ms = server.duration_ms(job, self.clock.now_ms())
        self.at(self.clock.now_ms() + duration_ms, lambda: self._end(host, server, job))

    def _end(self, host, server, job):
        server.running -= 1
        if server.waiting:
            self._start(*server.waiting[0][:1], server, server.waiting.popleft()[1])
        self.at(
            self.clock.now_ms() + self._one_way_ms(host, server),
            lambda: self._finish(host, server, job, Outcome.ANSWERED),
        )

    def _finish(self, host, server, job, outcome):
        now_ms = self.clock.now_ms()
        stats = job.placement.server
        latency_ms = now_ms - job.arrived_ms
        stats.record_load(server.load(), now_ms)
        stats.record_outcome(outcome, now_ms, job.attempt)
        if outcome is not Outcome.ANSWERED:
            self.result.failed += 1
            self.result.by_route[job.route].append(None)
            return
        work_ms = max(latency_ms - job.placement.wait_ms, 0.2 * latency_ms)
        host.estimates.record_answer(
            job.route, "stock", job.placement.rank == 0, work_ms
        )
        self.result.latencies_ms.append(latency_ms)
        self.result.by_route[job.route].append(latency_ms)
        if latency_ms <= job.target_latency_ms:
            self.result.in_target += 1
        else:
            self.result.late += 1


def build_servers(zones, per_zone, slots=4, **options):
    """Return servers, with ``per_zone`` giving their number in each zone."""
    servers = []
    for zone, count in per_zone.items():
        for number in range(count):
            server_id = f"{zone}-{number}"
            record = ServerRecord(
                server_id,
                1,
                "stock",
                f"{server_id}:80",
                zone,
                slots,
                ServerState.READY,
            )
            servers.append(ModelServer(record, zones[zone], **options))
    return servers


def round_robin():
    """Return a policy that cycles through the servers."""
    counter = itertools.count()

    def place(host, work):
        servers = sorted(host._servers.values(), key=lambda s: s.server_id)
        server = servers[next(counter) % len(servers)]
        return Placement(server, 0, 0.0, work.target_latency_ms, work.target_latency_ms)

    return place


def least_in_flight(host, work):
    """Select the server with the fewest requests of this host in flight."""
    servers = sorted(host._servers.values(), key=lambda s: (s.in_flight, s.hash))
    return Placement(servers[0], 0, 0.0, work.target_latency_ms, work.target_latency_ms)


def two_choices(host, work):
    """Select the less loaded of two random servers."""
    rng = random.Random(f"{host.settings.host_id}/{work.key}/{host.clock.now_ms()}")
    pair = rng.sample(list(host._servers.values()), 2)
    server = min(pair, key=lambda s: s.load(host.clock.now_ms()))
    return Placement(server, 0, 0.0, work.target_latency_ms, work.target_latency_ms)
