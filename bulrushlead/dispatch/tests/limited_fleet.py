"""A model of a fleet whose servers name limits in their answers."""

import collections

from bulrushlead.dispatch import Outcome
from bulrushlead.dispatch.tests import model
from bulrushlead.dispatch.tests.limit_rule import LimitObserver

ZONES = {f"{region}-{n}": region for region in ("casa", "fes") for n in range(2)}
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
        self.observers = collections.defaultdict(LimitObserver)
        super().__init__(seed, ZONES, servers, hosts_per_zone)

    def name_limit(self, at_ms, limit_per_s, server_ids):
        """Let servers name a limit from a time on; None withdraws it."""

        def name():
            for server_id in server_ids:
                self.limits[server_id] = limit_per_s
                self.observers[server_id].name_limit(self.clock.now_ms(), limit_per_s)

        self.at(at_ms, name)

    def worst_excess(self):
        return max(observer.worst_excess() for observer in self.observers.values())

    def arrivals_per_s(self, server_id, from_ms, until_ms):
        count = sum(
            from_ms <= when_ms < until_ms
            for when_ms, _ in self.observers[server_id].arrivals
        )
        return count * 1_000.0 / (until_ms - from_ms)

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
