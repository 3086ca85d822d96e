"""Calls between hosts and the leading coordinator."""

from bulrushlead.fleet import Announcement, ServerRecord
from bulrushlead.wire import message


@message("coordinator.announce")
class AnnounceBatch:
    """Heartbeats that one coordinator received and forwards to the leader.

    Parameters
    ----------
    heartbeats : tuple of Announcement
        Newest heartbeats received, at most one for each server.
    """

    heartbeats: tuple[Announcement, ...]


@message("coordinator.fleet_snapshot")
class FleetSnapshot:
    """Server records that ``FleetCache`` saves.

    Parameters
    ----------
    written_wall_ms : int
        Time of day of the save, in milliseconds.
    servers : tuple of ServerRecord
        Records of all servers.
    """

    written_wall_ms: int
    servers: tuple[ServerRecord, ...]


@message("coordinator.order")
class OrderRequest:
    """Command of an operator or of a departing server, for the replicated log.

    Parameters
    ----------
    command : bytes
        Encoded command that ``OrderState`` applies.
    """

    command: bytes


@message("coordinator.plan_request")
class PlanRequest:
    """Requests the newest traffic plan, confirmed by a quorum."""


@message("coordinator.plan_reply")
class PlanReply:
    """The newest traffic plan as the operator sent it.

    Parameters
    ----------
    version : int
        Version of the plan; -1 if there is none.
    document : bytes
        Document that the operator sent.
    """

    version: int
    document: bytes = b""


@message("coordinator.status")
class StatusReply:
    """Result of a command or of a batch of heartbeats.

    Parameters
    ----------
    changed : bool
        Whether the command changed the state; always True for heartbeats.
    overtaken_by : int
        Log index of a later command that the sender had not seen, because of which
        this one has no effect; 0 if there is none.
    """

    changed: bool
    overtaken_by: int = 0
