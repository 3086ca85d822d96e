"""Calls between hosts and the leading coordinator."""

from bulrushlead.fleet import Announcement, ServerRecord
from bulrushlead.wire import message


@message("coordinator.announce")
class AnnounceBatch:
    """Heartbeats that one coordinator received.

    Parameters
    ----------
    heartbeats : tuple of Announcement
        At most one for each server.
    """

    heartbeats: tuple[Announcement, ...]


@message("coordinator.fleet_snapshot")
class FleetSnapshot:
    """Servers known when it was written.

    Parameters
    ----------
    written_wall_ms : int
        Time of day, in milliseconds.
    servers : tuple of ServerRecord
        All servers.
    """

    written_wall_ms: int
    servers: tuple[ServerRecord, ...]


@message("coordinator.order")
class OrderRequest:
    """A command of an operator or of a leaving server, for the replicated log.

    Parameters
    ----------
    command : bytes
        Encoded command of ``OrderState``.
    """

    command: bytes


@message("coordinator.plan_request")
class PlanRequest:
    """Asks for the newest plan, confirmed by a quorum."""


@message("coordinator.plan_reply")
class PlanReply:
    """The newest plan as the operator sent it.

    Parameters
    ----------
    version : int
        Version of the plan; -1 if there is none.
    document : bytes
        The operator's document.
    """

    version: int
    document: bytes = b""


@message("coordinator.status")
class StatusReply:
    """Outcome of an order.

    Parameters
    ----------
    changed : bool
        Whether the order changed anything.
    """

    changed: bool
