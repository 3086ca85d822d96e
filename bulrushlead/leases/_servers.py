"""Backend servers together with the accounting of their slots."""

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.leases._messages import SlotShare
from bulrushlead.leases._pool import SharePool


@attrs.define
class ServerEntry:
    """A backend server and the accounting of its slots.

    Parameters
    ----------
    server : BackendServer
        Description from the last announcement.
    pool : SharePool
        Accounting of its slots.
    announced : bool
        Whether the server announced itself to this leader; False if only a holder
        reported it.
    """

    server: BackendServer
    pool: SharePool
    announced: bool = True


@attrs.frozen
class SlotGroup:
    """Identifies the backend servers of one service in one region."""

    service: str
    region: str


def slot_capacity(server: BackendServer) -> int:
    """Return the slots that may be granted; 0 for a draining server."""
    return 0 if server.draining else max(0, server.slots)


def slot_share(server: BackendServer, count: int) -> SlotShare:
    """Return a share of ``count`` slots with a proportional connection limit."""
    per_slot = server.connections // max(1, server.slots)
    return SlotShare(server.name, server.incarnation, count, per_slot * count)


def placeholder_server(name: str) -> BackendServer:
    """Return a placeholder for a server that only a holder has reported."""
    return BackendServer(
        name=name,
        service="",
        region="",
        availability_zone="",
        address="",
        incarnation="",
        slots=0,
        connections=0,
        draining=True,
    )
