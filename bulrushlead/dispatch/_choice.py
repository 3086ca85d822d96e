"""Who should take it: the preferred servers of an object, and the choice of one."""

from collections.abc import Callable

import attrs

from bulrushlead.dispatch._admission import longest_wait_ms
from bulrushlead.dispatch._ranking import offloads_object
from bulrushlead.dispatch._server import ServerStats
from bulrushlead.dispatch._work import Placement, Work

PREFERRED_SERVERS = 2  # usually the object's owner and the next in the ranking
# Fleet-wide load of a server, as a multiple of its slots, from which its objects may be
# shared with their second preferred server: one object alone may fill its owner. The
# second server must have free slots. When all servers are full, sharing would move
# objects to servers that have not cached them, and the added work would make every
# answer late.
OVERLOADED_FLEET_LOAD = 2.0
# Share of the second preferred server's slots that may be used, this request included.
MAX_SECOND_SERVER_UTILISATION = 0.6
# Ratio of a server's recent durations to the expected ones from which it is slow. A
# slow server is preferred only if there is no faster one to prefer.
SLOW_RATIO = 3.0


@attrs.frozen
class Candidate:
    """A server that may get the request.

    Parameters
    ----------
    server : ServerStats
        The server.
    cold : bool
        Whether it is limited to the warm-up rate, since its caches may be empty.
    """

    server: ServerStats
    cold: bool


@attrs.frozen
class Option:
    """A possible placement.

    Parameters
    ----------
    placement : Placement
        The placement.
    wait_cost, work_cost : float
        Expected wait and work in milliseconds, increased by the failure rate.
    """

    placement: Placement
    wait_cost: float
    work_cost: float

    @property
    def cost(self) -> float:
        """Sum of both costs, in milliseconds."""
        return self.wait_cost + self.work_cost


def choose_preferred(preferred: list[Option], work: Work) -> Placement:
    """Return the first preferred server, or another one in its place.

    Another one is returned if it costs less, slowness and failures included, or if
    the first is overloaded, its wait over the limit, and the other has free slots.
    """
    first = preferred[0]
    for other in preferred[1:]:
        # Only the other's queue counts, since a queue alone must not move an object
        # to a server that has not cached it.
        if other.cost < first.work_cost:
            return other.placement
        if first.placement.wait_ms > longest_wait_ms(work) and _should_share(
            first.placement, other.placement
        ):
            return other.placement
    return first.placement


def preferred_candidates(
    members: list[ServerStats],
    work: Work,
    now_ms: float,
    cold_if_usable: Callable[[ServerStats], bool | None],
) -> list[Candidate]:
    """Return all usable servers or, for sticky work, the preferred ones.

    A server is responsible for an object unless it offloads it because of its load.
    The preferred servers are the first in ranking order, at most
    ``PREFERRED_SERVERS``, of the first of these groups that is not empty:

    1. responsible servers that are not slow
    2. responsible servers
    3. servers that are not slow
    4. all usable servers

    Parameters
    ----------
    members : list of ServerStats
        Servers of a region, in ranking order.
    work : Work
        The request.
    now_ms : float
        Current time, in milliseconds.
    cold_if_usable : callable
        Returns whether a server is or may be cold, or None if it may not be used.
    """
    usable: list[Candidate] = []
    responsible: list[Candidate] = []
    not_slow: list[Candidate] = []
    for server in members:
        cold = cold_if_usable(server)
        if cold is None:
            continue
        candidate = Candidate(server, cold)
        usable.append(candidate)
        if not work.sticky or offloads_object(server, work.key):
            continue
        responsible.append(candidate)
        if server.slowness(now_ms) < SLOW_RATIO:
            not_slow.append(candidate)
        if len(not_slow) == PREFERRED_SERVERS:
            return not_slow
    if not work.sticky:
        return usable
    if not responsible:
        not_slow = [c for c in usable if c.server.slowness(now_ms) < SLOW_RATIO]
    return (not_slow or responsible or usable)[:PREFERRED_SERVERS]


def _should_share(first: Placement, other: Placement) -> bool:
    """Return whether the first server is overloaded and the other has free slots.

    A fleet-wide load of 0 means that the load is below the published minimum.
    """
    return (
        first.server.fleet_load >= OVERLOADED_FLEET_LOAD
        and not other.server.fleet_load
        and other.load + 1.0 <= MAX_SECOND_SERVER_UTILISATION * other.server.slots
    )
