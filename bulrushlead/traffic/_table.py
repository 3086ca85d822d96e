"""Looks up the route of a request."""

import attrs

from bulrushlead.traffic._plan import Route, TrafficPlan


@attrs.frozen
class _Entry:
    prefix: bytes
    route: Route


class RouteTable:
    """Routes by host name, longest path prefix first.

    Parameters
    ----------
    plan : TrafficPlan
        Plan whose routes are looked up.
    """

    def __init__(self, plan: TrafficPlan):
        by_host: dict[bytes, list[_Entry]] = {}
        for route in plan.routes:
            entry = _Entry(route.path_prefix.encode(), route)
            by_host.setdefault(route.host.encode(), []).append(entry)
        for entries in by_host.values():
            entries.sort(key=lambda entry: len(entry.prefix), reverse=True)
        self._by_host = by_host

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : bytes
            Value of the host field, with or without a port.
        target : bytes
            Path and query of the request.
        """
        name = host.partition(b":")[0].lower()
        path = target.partition(b"?")[0]
        for entry in self._by_host.get(name, ()):
            if path.startswith(entry.prefix):
                return entry.route
        return None
