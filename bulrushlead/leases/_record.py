"""What the leader remembers of one run of an entry host."""

import attrs

from bulrushlead.leases._messages import Demand, LeaseGrant, LimitKey
from bulrushlead.leases._pool import HolderId


@attrs.define
class UsableSlots:
    """Slots of one backend server by the holder's last report.

    Parameters
    ----------
    count : int
        Slots that the holder may go on using.
    in_use : int
        Slots with a request in flight.
    """

    count: int
    in_use: int


@attrs.define
class HolderRecord:
    """What the leader remembers of one run of an entry host.

    Parameters
    ----------
    holder : HolderId
        Which run of which host.
    region : str
        Region of the host.
    sequence : int
        Highest sequence received.
    lease_end_ms : float
        Time on the leader's clock after which the holder starts no new work.
    live : bool
        Whether the lease still runs.
    leaving : bool
        Whether the holder gives up its shares.
    slots : dict of str to UsableSlots
        Last report, by name of the backend server.
    rates : dict of LimitKey to int
        Rate shares that the holder has confirmed.
    pending_rates : dict of LimitKey to int
        Rate shares of the last grant, which may or may not be applied.
    demands : tuple of Demand
        Requests waiting at the holder.
    rate_demands : dict of LimitKey to int
        Rate shares that the holder would like.
    grant : LeaseGrant or None
        Answer to the request with ``sequence``.
    """

    holder: HolderId
    region: str = ""
    sequence: int = 0
    lease_end_ms: float = 0.0
    live: bool = True
    leaving: bool = False
    slots: dict[str, UsableSlots] = attrs.field(factory=dict)
    rates: dict[LimitKey, int] = attrs.field(factory=dict)
    pending_rates: dict[LimitKey, int] = attrs.field(factory=dict)
    demands: tuple[Demand, ...] = ()
    rate_demands: dict[LimitKey, int] = attrs.field(factory=dict)
    grant: LeaseGrant | None = None


@attrs.frozen
class HolderView:
    """What one run of an entry host holds, for status and tests.

    Parameters
    ----------
    host, incarnation : str
        Which run of which host.
    live : bool
        Whether its lease still runs by the leader's clock.
    remaining_ms : float
        Time until its lease ends, 0 if it has ended.
    slots : int
        Slots that it may be using, over all backend servers.
    """

    host: str
    incarnation: str
    live: bool
    remaining_ms: float
    slots: int
