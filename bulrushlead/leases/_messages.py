"""Messages between an entry host and the control leader about leases."""

from enum import Enum

import attrs

from bulrushlead.wire import message


class LimitKind(Enum):
    """What a rate limit protects."""

    REGION = "region"
    LINK = "link"
    SHIFT = "shift"


@message("leases.limit_key")
class LimitKey:
    """Identifies one rate limit.

    Parameters
    ----------
    kind : LimitKind
        What the limit protects.
    service : str
        Name of the service; empty for a link.
    from_region, to_region : str
        Names of the regions; ``from_region`` is empty for a region's capacity.
    shift : str
        Name of the shift; empty for other kinds.
    """

    kind: LimitKind
    service: str = ""
    from_region: str = ""
    to_region: str = ""
    shift: str = ""

    @classmethod
    def for_region(cls, service: str, region: str) -> "LimitKey":
        """Return the key of a region's capacity for a service."""
        return cls(LimitKind.REGION, service=service, to_region=region)

    @classmethod
    def for_link(cls, from_region: str, to_region: str) -> "LimitKey":
        """Return the key of one way between two regions."""
        return cls(LimitKind.LINK, from_region=from_region, to_region=to_region)

    @classmethod
    def for_shift(
        cls, shift: str, service: str, from_region: str, to_region: str
    ) -> "LimitKey":
        """Return the key of a shift's rate cap."""
        return cls(LimitKind.SHIFT, service, from_region, to_region, shift)


@attrs.frozen
class RateLimit:
    """A limit that is divided among the entry hosts.

    Parameters
    ----------
    key : LimitKey
        Which limit.
    amount_per_s : int
        Requests or bytes in any second, over all entry hosts.
    """

    key: LimitKey
    amount_per_s: int


@message("leases.held_slots")
class HeldSlots:
    """Slots of one backend server that an entry host holds.

    Parameters
    ----------
    server : str
        Name of the backend server.
    count : int
        Slots that the host may use, including those in use.
    in_use : int
        Slots with a request in flight; more than ``count`` after a reduction.
    """

    server: str
    count: int = 0
    in_use: int = 0


@message("leases.demand")
class Demand:
    """Requests that wait for a slot.

    Parameters
    ----------
    service : str
        Name of the service.
    region : str
        Region whose backend servers are wanted.
    waiting : int
        Requests waiting, without those in flight.
    """

    service: str
    region: str
    waiting: int


@message("leases.rate_share")
class RateShare:
    """One host's share of a rate limit.

    Parameters
    ----------
    key : LimitKey
        Which limit.
    amount_per_s : int
        Requests or bytes in any second.
    """

    key: LimitKey
    amount_per_s: int


@message("leases.slot_share")
class SlotShare:
    """One host's share of a backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : str
        Run of the server that the leader knew when it granted.
    count : int
        Requests that may be in flight.
    connections : int
        Connections that may be open.
    """

    server: str
    incarnation: str
    count: int
    connections: int


@message("leases.request")
class LeaseRequest:
    """Report and renewal of an entry host.

    Parameters
    ----------
    host : str
        Name of the entry host.
    incarnation : str
        Identifier of this run of the entry host.
    term : int
        Highest term from which the host has accepted an answer.
    sequence : int
        Counts the requests of this incarnation.
    acked_sequence : int
        Sequence of the grant in use, 0 if it is not of ``term``.
    held : tuple of HeldSlots
        Everything held; a server that is missing here is not held.
    rates : tuple of RateShare
        Rate shares in use; only sent while ``acked_sequence`` is 0.
    demands : tuple of Demand
        Requests that wait for slots.
    rate_demands : tuple of RateShare
        Shares that would suit what the host sends; a missing limit wants none.
    leaving : bool
        Whether the host is stopping and gives back what it does not use.
    """

    host: str
    incarnation: str
    term: int
    sequence: int
    acked_sequence: int = 0
    held: tuple[HeldSlots, ...] = ()
    rates: tuple[RateShare, ...] = ()
    demands: tuple[Demand, ...] = ()
    rate_demands: tuple[RateShare, ...] = ()
    leaving: bool = False


@message("leases.grant")
class LeaseGrant:
    """The leader's answer to a ``LeaseRequest``.

    Parameters
    ----------
    host, incarnation : str
        Entry host that asked.
    term : int
        Term of the leader.
    sequence : int
        Sequence of the request that this answers.
    lease_ms : int
        Duration of the lease, counted from before the request was sent; 0 asks
        the host to report again under the new term and changes nothing else.
    slots : tuple of SlotShare
        All slot shares; a server that is missing here has none.
    rates : tuple of RateShare
        All rate shares; a limit that is missing here has none.
    """

    host: str
    incarnation: str
    term: int
    sequence: int
    lease_ms: int = 0
    slots: tuple[SlotShare, ...] = ()
    rates: tuple[RateShare, ...] = ()
