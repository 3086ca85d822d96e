"""Answers look-ups: the addresses of the hosts that callers should connect to."""

import json
import random
from urllib.parse import parse_qs

from bulrushlead.fleet import FleetView, HostRecord
from bulrushlead.http1 import Answer, Request, RequestLimits

LIMITS = RequestLimits(max_body_bytes=16 * 1024)  # look-ups have no body
MAX_ADDRESSES = 64  # callers ignore any further addresses
MIN_ADDRESSES = 2  # a caller needs an alternative when a host fails
TTL_MS = 2_000  # longest time for which callers may use a failed host's address


class Directory:
    """Answers look-ups from this host's view of the fleet.

    Parameters
    ----------
    view : FleetView
        Source of the host records.
    zone_regions : dict of str to str
        Region of each availability zone.
    max_ttl_ms : float
        Longest time for which callers may cache an answer, in milliseconds.
    rng : random.Random
        Shuffles the hosts of equal distance.
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
        """Set the longest time for which callers may cache an answer."""
        self.ttl_ms = min(TTL_MS, max_ttl_ms)

    async def answer(self, request: Request) -> Answer:
        """Answer one look-up; the status is 503 if no host is known."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/v1/resolve":
            return Answer(404)
        fields = parse_qs(query)
        zone = fields.get("zone", [""])[0]
        region = fields.get("region", [self.zone_regions.get(zone, "")])[0]
        hosts = self._select_hosts(zone, region)
        if not hosts:
            return Answer(503)
        body = {
            "addresses": [host.address for host in hosts[:MAX_ADDRESSES]],
            "ttl": f"{self.ttl_ms:.0f}ms",
        }
        headers = [(b"content-type", b"application/json")]
        return Answer(200, headers, json.dumps(body).encode())

    def _select_hosts(self, zone: str, region: str) -> list[HostRecord]:
        """Return the hosts of the zone, else of the region, else all hosts.

        A group is used only if it has ``MIN_ADDRESSES`` hosts or more.
        """
        hosts = [host for host in self.view.hosts if host.accepting]
        if not hosts:
            # The view of a control host that is cut off from all hosts is stale: no
            # host is known to accept callers, so all are returned.
            hosts = list(self.view.hosts)
        # A host that reaches no server lets others carry its requests. Callers should
        # rather go to those.
        hosts = [host for host in hosts if host.reaches_servers] or hosts
        for nearby in (
            [host for host in hosts if host.zone == zone],
            [host for host in hosts if host.region == region],
        ):
            if len(nearby) >= MIN_ADDRESSES:
                return self._shuffled(nearby)
        return self._shuffled(hosts)

    def _shuffled(self, hosts: list[HostRecord]) -> list[HostRecord]:
        return self.rng.sample(hosts, len(hosts))
