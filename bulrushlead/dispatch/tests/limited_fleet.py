"""A model of a fleet whose servers name limits in their answers."""

import collections
import math

import attrs

from bulrushlead.dispatch import Dispatcher, Outcome
from bulrushlead.dispatch.tests import model
from bulrushlead.dispatch.tests.limit_rule import LimitObserver
from bulrushlead.fleet._observed_limit import newer_limit

ZONES = {f"{region}-{n}": region for region in ("casa", "fes") for n in range(2)}
REPORT_INTERVAL_MS = 500
CUT_NOTICED_MS = 1_000  # by the host itself; see ``Connectivity``
KIND = {
    "name": "read",
    "share": 1,
    "objects": 80,
    "work_ms": 360.0,
    "target_ms": 300.0,
    "deadline_ms": 2_000.0,
}


class LimitedFleet(model.SimulationHarness):
    """Hosts, servers that may name limits, and callers.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    hosts_per_zone, servers_per_zone : int
        Size of the fleet, which has four zones in two regions.
    """

    def __init__(self, seed, hosts_per_zone, servers_per_zone):
        servers = model.build_servers(ZONES, dict.fromkeys(ZONES, servers_per_zone))
        self.limits = {}
        self._published = {}
        self._revision = 1_000
        self.observers = collections.defaultdict(LimitObserver)
        self._cut_ms = {}  # by name of the host that is cut off, the beginning
        super().__init__(seed, ZONES, servers, hosts_per_zone)

    def name_limit(self, at_ms, limit_per_s, server_ids):
        """Let servers name a limit from a time on; None withdraws it."""

        def name():
            for server_id in server_ids:
                self.limits[server_id] = limit_per_s
                self.observers[server_id].name_limit(self.clock.now_ms(), limit_per_s)

        self.at(at_ms, name)

    def restart_hosts(self, at_ms, count):
        """Replace the first hosts by ones that know only what the leader publishes."""

        def restart():
            for number in range(count):
                self.hosts[number] = Dispatcher(self.clock, self.hosts[number].settings)
            self._exchange()

        self.at(at_ms, restart)

    def cut_hosts(self, from_ms, until_ms, host_ids):
        """Cut hosts off from all servers; other hosts then carry their requests."""

        def cut():
            self._cut_ms.update(dict.fromkeys(host_ids, self.clock.now_ms()))

        def heal():
            for host_id in host_ids:
                del self._cut_ms[host_id]

        self.at(from_ms, cut)
        self.at(until_ms, heal)

    def sharing_hosts(self, server_id, limit_per_s):
        """Return the names of the hosts that share the limit of a server."""
        region = self.servers[server_id].region
        return [
            host.settings.host_id
            for host in self.hosts
            if math.isfinite(
                host.limits._shares.wait_ms(server_id, region, limit_per_s)
            )
        ]

    def run(self, until_ms, publish_every_ms=1_000):
        for when_ms in range(0, int(until_ms), REPORT_INTERVAL_MS):
            self.at(when_ms, self._exchange)
        return super().run(until_ms, publish_every_ms)

    def _exchange(self):
        """Pass the hosts' reports to the leader, and its records to the hosts."""
        now_ms = self.clock.now_ms()
        for host in self.hosts:
            notices = host.limits.unpublished(self.view.servers.get)
            for server_id, notice in notices.items():
                limit = newer_limit(self._published.get(server_id), notice, now_ms)
                if limit is not None:
                    self._published[server_id] = limit
        for server_id, limit in self._published.items():
            server = self.servers[server_id]
            server.record = attrs.evolve(server.record, limit=limit.at(now_ms))
        self.records = tuple(
            attrs.evolve(record, reaches_servers=not self._knows_cut(record.host_id))
            for record in self.records
        )
        self._revision += 1
        self.publish_fleet(self._revision)

    def servers_by_load(self):
        """Return the servers, those that own most objects first."""
        owned = collections.Counter(sorted(self.servers))
        for host in self.hosts:
            for number in range(KIND["objects"]):
                key = f"{KIND['name']}/{number}".encode()
                owned[host._rankings["stock"].order(key)[0][0].server_id] += 1
        return [server_id for server_id, _ in owned.most_common()]

    def worst_excess(self):
        return max(observer.worst_excess for observer in self.observers.values())

    def arrivals_per_s(self, server_id, from_ms, until_ms):
        count = sum(
            from_ms <= when_ms < until_ms
            for when_ms in self.observers[server_id].arrivals
        )
        return count * 1_000.0 / (until_ms - from_ms)

    def _knows_cut(self, host_id):
        cut_ms = self._cut_ms.get(host_id)
        return cut_ms is not None and self.clock.now_ms() >= cut_ms + CUT_NOTICED_MS

    def _sending_host(self, host):
        if host.settings.host_id not in self._cut_ms:
            return host
        if not self._knows_cut(host.settings.host_id):
            return None
        others = [h for h in self.hosts if h.settings.host_id not in self._cut_ms]
        return self.rng.choice(others) if others else None

    def _arrive_at_server(self, host, server, job):
        job.sent_ms = self.clock.now_ms() - self._one_way_ms(host, server)
        self.observers[server.record.server_id].record_arrival(
            self.clock.now_ms(), host.settings.host_id
        )
        super()._arrive_at_server(host, server, job)

    def _end(self, host, server, job):
        job.named_per_s = self.limits.get(server.record.server_id)
        super()._end(host, server, job)

    def _finish(self, host, server, job, outcome):
        server_id, now_ms = server.record.server_id, self.clock.now_ms()
        if outcome is Outcome.ANSWERED:
            host.limits.record_answer(
                server_id, server.record.born_ms, job.named_per_s, job.sent_ms
            )
            if job.named_per_s is not None:
                self.observers[server_id].record_told(now_ms, host.settings.host_id)
        super()._finish(host, server, job, outcome)
