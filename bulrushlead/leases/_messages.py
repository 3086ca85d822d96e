"""Lease messages between an entry host and the leader."""

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
        """Return the key of one direction of a link between two regions."""
        return cls(LimitKind.LINK, from_region=from_region, to_region=to_region)

    @classmethod
    def for_shift(
        cls, shift: str, service: str, from_region: str, to_region: str
    ) -> "LimitKey":
        """Return the key of a shift's rate cap."""
        return cls(LimitKind.SHIFT, service, from_region, to_region, shift)


@attrs.frozen
class RateLimit:
    """A rate limit that is divided among the entry hosts.

    Parameters
    ----------
    key : LimitKey
        Identifies the limit.
    amount_per_s : int
        Maximum requests or bytes in any second, over all entry hosts.
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
        Slots granted to the host or slots in use, whichever is larger: a reduced
        grant may be smaller than the number of requests in flight.
    in_use : int
        Slots with a request in flight.
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
        Region of the requested backend servers.
    waiting : int
        Number of waiting requests, without those in flight.
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
        Identifies the limit.
    amount_per_s : int
        Maximum requests or bytes of the host in any second.
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
        Incarnation of the server when the leader granted the share.
    count : int
        Maximum requests in flight.
    connections : int
        Maximum open connections.
    """

    server: str
    incarnation: str
    count: int
    connections: int


@message("leases.request")
class LeaseRequest:
    """Lease renewal request and report of an entry host.

    Parameters
    ----------
    host : str
        Name of the entry host.
    incarnation : str
        Identifier of this run of the entry host.
    term : int
        Highest term of which the host has accepted a reply.
    sequence : int
        Number of the request within this incarnation.
    acked_sequence : int
        Sequence of the last grant applied; 0 if none of ``term`` was applied.
    held : tuple of HeldSlots
        All slots held; the host holds none of a server that is not listed.
    rates : tuple of RateShare
        Rate shares in use, sent only while ``acked_sequence`` is 0. Otherwise the
        leader has them in the acknowledged grant.
    demands : tuple of Demand
        Requests that wait for slots.
    rate_demands : tuple of RateShare
        Shares that the host's traffic requires; a limit that is not listed
        requires none.
    leaving : bool
        Whether the host is stopping and releases the shares that it does not use.
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
    """The leader's reply to a ``LeaseRequest``.

    Parameters
    ----------
    host, incarnation : str
        Entry host that sent the request.
    term : int
        Term of the leader.
    sequence : int
        Sequence of the request that this reply belongs to.
    lease_ms : int
        Duration of the lease, measured from before the request was sent. 0 asks
        the host to report again in the new term and changes nothing else.
    slots : tuple of SlotShare
        All slot shares; the host has none of a server that is not listed.
    rates : tuple of RateShare
        All rate shares; the host has none of a limit that is not listed.
    """

    host: str
    incarnation: str
    term: int
    sequence: int
    lease_ms: int = 0
    slots: tuple[SlotShare, ...] = ()
    rates: tuple[RateShare, ...] = ()
