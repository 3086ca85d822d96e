"""Records that the leader stores for each run of an entry host."""

import attrs

from bulrushlead.leases._messages import Demand, LeaseGrant, LimitKey
from bulrushlead.leases._pool import HolderId


@attrs.define
class UsableSlots:
    """Slots of one backend server according to the holder's last report.

    Parameters
    ----------
    count : int
        Slots that the holder may continue to use.
    in_use : int
        Slots with a request in flight.
    """

    count: int
    in_use: int


@attrs.define
class HolderRecord:
    """The leader's record of one run of an entry host.

    Parameters
    ----------
    holder : HolderId
        Identifies the host and its run.
    region : str
        Region of the host.
    sequence : int
        Highest sequence received.
    lease_end_ms : float
        Time on the leader's clock after which the holder starts no new requests.
    live : bool
        Whether the lease has not expired.
    leaving : bool
        Whether the holder is stopping and releases its shares.
    slots : dict of str to UsableSlots
        Slots of the last report, by name of the backend server.
    rates : dict of LimitKey to int
        Rate shares that the holder has confirmed.
    pending_rates : dict of LimitKey to int
        Rate shares of the last grant, which the holder has not confirmed yet.
    demands : tuple of Demand
        Requests that wait for slots at the holder.
    rate_demands : dict of LimitKey to int
        Rate shares that the holder's traffic requires.
    grant : LeaseGrant or None
        Reply to the request with ``sequence``.
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
    """Lease state of one run of an entry host, for status output and tests.

    Parameters
    ----------
    host, incarnation : str
        Identify the host and its run.
    live : bool
        Whether its lease has not expired on the leader's clock.
    remaining_ms : float
        Time until its lease expires, 0 if it has expired.
    slots : int
        Slots that it may be using, over all backend servers.
    """

    host: str
    incarnation: str
    live: bool
    remaining_ms: float
    slots: int
