"""Components of an entry host that `Steering` depends on."""

from collections.abc import Callable

import attrs

from bulrushlead.distribution import Session
from bulrushlead.entry._limits import TrafficLimits
from bulrushlead.entry._placement import Placer
from bulrushlead.forwarding import Forwarder
from bulrushlead.keys import KeyCoordinator
from bulrushlead.leases import LeaseHolder
from bulrushlead.metrics import Meters
from bulrushlead.routing import Router


@attrs.frozen
class SteeringParts:
    """Components of an entry host that `Steering` depends on.

    Parameters
    ----------
    session, holder, limits, router, placer, forwarder, keys, meters
        Components of the entry host.
    region_of : callable
        Returns the home region of a caller's address, or an empty string.
    """

    session: Session
    holder: LeaseHolder
    limits: TrafficLimits
    router: Router
    placer: Placer
    forwarder: Forwarder
    keys: KeyCoordinator
    meters: Meters
    region_of: Callable[[str], str]
