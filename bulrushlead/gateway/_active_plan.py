"""The plan in force on a host, prepared for its requests."""

from bulrushlead.organisations import Caller
from bulrushlead.traffic import Route, RouteTable, TrafficPlan, WeightedSplit


class ActivePlan:
    """Routes of a plan, the service of each request, and its rank.

    Parameters
    ----------
    plan : TrafficPlan
        The plan.
    """

    def __init__(self, plan: TrafficPlan):
        self.version = plan.version
        self._table = RouteTable(plan)
        self._splits: dict[tuple[str, str], WeightedSplit] = {}
        self._top_priorities: dict[str, int] = {}
        ranks = {organisation.priority for organisation in plan.organisations}
        for route in plan.routes:
            # As in the table, the first of two routes with one pattern is in force.
            self._splits.setdefault(route.pattern, WeightedSplit(route.shares))
            priorities = [rank for rank in ranks if rank is not None]
            if route.public or not ranks or None in ranks:
                priorities.append(route.priority)
            top_priority = min(priorities)
            for share in route.shares:
                known = self._top_priorities.get(share.service, top_priority)
                self._top_priorities[share.service] = min(known, top_priority)

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """Return the route of a request, or None."""
        return self._table.find(host, target)

    def next_service(self, route: Route) -> str:
        """Return the service that handles the next request of a route."""
        return self._splits[route.pattern].next_service()

    def is_urgent(self, route: Route, service: str, caller: Caller) -> bool:
        """Return whether a request has the highest priority of its service."""
        priority = route.priority
        organisation = caller.organisation
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return priority <= self._top_priorities[service]
