"""A model of a large fleet: a host rarely meets the same server twice.

Extends the simulation by the leader's table of owners, by servers that leave, join and
fall silent, and by callers whose load walks from region to region.
"""

import math

import attrs

from bulrushlead.dispatch import Outcome, Placement, Work
from bulrushlead.dispatch.tests import model
from bulrushlead.fleet import ServerState, owner_group
from bulrushlead.placement import OwnerTable, PlacementServer

REGIONS = ("capital", "coast", "west")
ZONES = {f"{region}-{number}": region for region in REGIONS for number in range(3)}
# The region of a third of the callers has a tenth of the servers.
SERVERS_PER_ZONE = {"capital": 3, "coast": 13, "west": 12}
WAVE_SWING = 0.55
WAVE_PERIOD_MS = 36_000.0
KINDS = (
    {"name": "read", "share": 5, "objects": 110, "work_ms": 816.0, "target_ms": 500.0},
    {"name": "sign", "share": 2, "objects": 45, "work_ms": 1_056.0, "target_ms": 600.0},
)
DEADLINE_MS = 3_000.0
CONNECT_TIMEOUT_MS = 400.0
COLD_MS = 3_000.0
COLD_PER_S = 2.5
REPORT_INTERVAL_MS = 250
NOTICE_DELAY_MS = 1_000  # until hosts of two zones have reported a server


class LargeFleet(model.SimulationHarness):
    """The large fleet, with or without the leader's table of owners.

    Parameters
    ----------
    seed : int
        Seed of arrivals, and of the servers that leave.
    uses_owners : bool
        Whether the leader assigns owners to objects; otherwise hashing does.
    """

    def __init__(self, seed, uses_owners=True):
        servers = model.build_servers(
            ZONES,
            {zone: SERVERS_PER_ZONE[region] for zone, region in ZONES.items()},
            slots=3,
            memory=16,
            queue=9,
            cold_per_s=COLD_PER_S,
        )
        self.table = None
        self.lost = {}
        self.lost_ms = {}
        self._revision = 1_000
        self._owner_revision = 0
        super().__init__(seed, ZONES, servers, hosts_per_zone=12)
        self.table = OwnerTable(self.clock) if uses_owners else None
        self.hosts_of = {
            zone: [h for h in self.hosts if h.settings.zone == zone] for zone in ZONES
        }

    def offer_wave(self, rate_per_s, until_ms):
        """Schedule callers whose load peaks in one region after the other."""
        phases = {region: n / len(REGIONS) for n, region in enumerate(REGIONS)}
        highest = rate_per_s * (1 + WAVE_SWING)
        when_ms = 0.0
        while (when_ms := when_ms + self.rng.expovariate(highest) * 1_000) < until_ms:
            zone = self.rng.choice(list(ZONES))
            angle = 2 * math.pi * (when_ms / WAVE_PERIOD_MS + phases[ZONES[zone]])
            if self.rng.random() * highest > rate_per_s * (
                1 + WAVE_SWING * math.sin(angle)
            ):
                continue
            kind = self.rng.choices(KINDS, [k["share"] for k in KINDS])[0]
            job = model.Job(
                key=f"{kind['name']}/{self.rng.randrange(kind['objects'])}".encode(),
                zone=zone,
                route=kind["name"],
                work_ms=kind["work_ms"] * self.rng.uniform(0.8, 1.2),
                target_latency_ms=kind["target_ms"],
                deadline_ms=DEADLINE_MS,
                urgent=False,
                arrived_ms=when_ms,
            )
            self.at(when_ms, lambda job=job: self._arrive(job))

    def release(self, at_ms, share, at_a_time, gap_ms):
        """Replace a share of the servers, a few at a time, by cold ones."""

        def begin():
            names = self.rng.sample(sorted(self.servers), int(share * 84))
            for step in range(0, len(names), at_a_time):
                part = names[step : step + at_a_time]
                self.at(
                    self.clock.now_ms() + step / at_a_time * gap_ms,
                    lambda part=part: self._replace(part),
                )

        self.at(at_ms, begin)

    def lose_silently(self, at_ms, share, back_after_ms):
        """Let a share of the servers fall silent; cold ones take their place later."""

        def lose():
            names = self.rng.sample(sorted(self.servers), int(share * 84))
            for name in names:
                self.servers[name].crashed = True
                self.lost_ms[name] = self.clock.now_ms()
            self.at(self.clock.now_ms() + back_after_ms, lambda: restore(names))

        def restore(names):
            for name in names:
                self._add_cold_like(self.servers[name])
                self.lost[name] = self.servers.pop(name)
            self._publish()

        self.at(at_ms, lose)

    def run(self, until_ms, publish_every_ms=1_000):
        if self.table is not None:
            for when_ms in range(0, int(until_ms), REPORT_INTERVAL_MS):
                self.at(when_ms, self._update_owners)
        return super().run(until_ms, publish_every_ms)

    def _replace(self, names):
        for name in names:
            server = self.servers[name]
            self._add_cold_like(server)
            server.record = attrs.evolve(server.record, state=ServerState.DRAINING)
        self._publish()

    def _add_cold_like(self, server):
        name = f"{server.record.zone}-{self.rng.getrandbits(32):x}"
        record = attrs.evolve(server.record, server_id=name, address=f"{name}:80")
        self.servers[name] = model.ModelServer(
            record,
            server.region,
            memory=server.memory,
            queue=server.queue,
            cold_per_s=COLD_PER_S,
            cold_until_ms=self.clock.now_ms() + COLD_MS,
        )

    def _publish(self):
        self._revision += 1
        self.publish_fleet(self._revision)

    def _update_owners(self):
        now_ms = self.clock.now_ms()
        for host in self.hosts:
            self.table.record_demand(host.demand.pop())
        self.table.update(
            PlacementServer(
                name,
                owner_group(server.region, "stock"),
                server.record.slots,
                now_ms < server.cold_until_ms,
            )
            for name, server in self.servers.items()
            if server.record.state is ServerState.READY
            and now_ms - self.lost_ms.get(name, now_ms) < NOTICE_DELAY_MS
        )
        changes = self.table.owners_since(self._owner_revision)
        self._owner_revision = self.table.revision
        for group, owners in changes.items():
            self.view.owners.setdefault(group, {}).update(owners)

    def _arrive(self, job, excluded=frozenset(), started_ms=None):
        host = self.rng.choice(self.hosts_of[job.zone])
        self._place(host, job, excluded)

    def _place(self, host, job, excluded):
        remaining_ms = job.arrived_ms + job.deadline_ms - self.clock.now_ms()
        work = Work(
            "stock",
            job.route,
            job.key,
            True,
            job.target_latency_ms,
            remaining_ms,
            excluded=excluded,
        )
        placement = host.place(work)
        if not isinstance(placement, Placement):
            self.result.refused += 1
            return
        job.placement, job.work = placement, work
        job.attempt = host.record_sent(placement)
        name = placement.server.server_id
        server = self.servers.get(name) or self.lost[name]
        delay_ms = self._one_way_ms(host, server)
        if server.crashed:
            delay_ms = CONNECT_TIMEOUT_MS
        self.at(
            self.clock.now_ms() + delay_ms,
            lambda: self._arrive_at_server(host, server, job),
        )

    def _finish(self, host, server, job, outcome):
        stats, now_ms = job.placement.server, self.clock.now_ms()
        remaining_ms = job.arrived_ms + job.deadline_ms - now_ms
        if outcome is not Outcome.ANSWERED and remaining_ms > 0:
            stats.record_outcome(outcome, now_ms, job.attempt)
            self._place(host, job, job.work.excluded | {stats.server_id})
            return
        super()._finish(host, server, job, outcome)
