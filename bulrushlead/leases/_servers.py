"""Backend servers as the accounting of their slots sees them."""

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
        The server as last announced.
    pool : SharePool
        Who may be using its slots.
    announced : bool
        Whether this leader has heard of it, or only a holder reported it.
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
    """Return the slots that may be granted; none of a draining server."""
    return 0 if server.draining else max(0, server.slots)


def slot_share(server: BackendServer, count: int) -> SlotShare:
    """Return a share of ``count`` slots and its part of the connections."""
    per_slot = server.connections // max(1, server.slots)
    return SlotShare(server.name, server.incarnation, count, per_slot * count)


def unknown_server(name: str) -> BackendServer:
    """Return a stand-in for a server that a holder knows and the leader not."""
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
