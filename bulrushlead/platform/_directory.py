"""Tells callers which hosts to connect to."""

import json
import random
from urllib.parse import parse_qs

from bulrushlead.fleet import FleetView, HostRecord
from bulrushlead.http1 import Answer, Request

MAX_ADDRESSES = 64  # callers use no more
MIN_ADDRESSES = 2  # so that a caller has another one when a host is lost
TTL_MS = 2_000  # a lost host is named for this long at most


class Directory:
    """Answers look-ups from what this host knows of the fleet.

    Parameters
    ----------
    view : FleetView
        Source of the hosts.
    zone_regions : dict of str to str
        Region of each availability zone.
    max_ttl_ms : float
        Longest time for which callers may keep an answer.
    rng : random.Random
        Chooses among equal hosts.
    """

    def __init__(
        self,
        view: FleetView,
        zone_regions: dict[str, str],
        max_ttl_ms: float,
        rng: random.Random,
    ):
        self.view = view
        self.zone_regions = zone_regions
        self.rng = rng
        self.set_max_ttl(max_ttl_ms)

    def set_max_ttl(self, max_ttl_ms: float) -> None:
        """Bound the time for which callers may keep an answer."""
        self.ttl_ms = min(TTL_MS, max_ttl_ms)

    async def answer(self, request: Request) -> Answer:
        """Answer one look-up."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/v1/resolve":
            return Answer(404)
        fields = parse_qs(query)
        zone = fields.get("zone", [""])[0]
        region = fields.get("region", [self.zone_regions.get(zone, "")])[0]
        hosts = self._hosts_for(zone, region)
        if not hosts:
            return Answer(503)
        body = {
            "addresses": [host.address for host in hosts[:MAX_ADDRESSES]],
            "ttl": f"{self.ttl_ms:.0f}ms",
        }
        headers = [(b"content-type", b"application/json")]
        return Answer(200, headers, json.dumps(body).encode())

    def _hosts_for(self, zone: str, region: str) -> list[HostRecord]:
        """Return the nearest hosts, from as many zones as give a choice."""
        hosts = [host for host in self.view.hosts if host.accepting]
        if not hosts:
            # A control host that is cut off from all hosts knows no better.
            hosts = list(self.view.hosts)
        for near in (
            [host for host in hosts if host.zone == zone],
            [host for host in hosts if host.region == region],
        ):
            if len(near) >= MIN_ADDRESSES:
                return self._shuffled(near)
        return self._shuffled(hosts)

    def _shuffled(self, hosts: list[HostRecord]) -> list[HostRecord]:
        return self.rng.sample(hosts, len(hosts))
