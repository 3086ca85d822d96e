"""Catalogue of the log events."""

from enum import IntEnum

import attrs


class Event(IntEnum):
    """Numbered events; a released number never changes its meaning."""

    # Processes.
    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    UNEXPECTED_ERROR = 103
    SETTINGS_RELOADED = 104
    STOP_PROGRESS = 105
    LINES_DROPPED = 110

    # Look-ups, routing and placement.
    LOOKUP_ANSWERED = 200
    LOOKUP_REFUSED = 201
    ROUTE_CHOSEN = 210
    REQUEST_REFUSED = 211
    REQUEST_DONE = 212
    ATTEMPT_FAILED = 213
    RETRY_CHOSEN = 214
    REQUEST_FAILED = 215
    REQUEST_UNANSWERED = 216

    # Configuration and distribution.
    CONFIGURATION_ACCEPTED = 300
    CONFIGURATION_REFUSED = 301
    CONFIGURATION_IN_FORCE = 302
    SESSION_OPENED = 310
    SESSION_LOST = 311
    ORDER_ACCEPTED = 320
    ORDER_REFUSED = 321
    HEARTBEATS_DELAYED = 322
    ORDER_OVERTAKEN = 323

    # Replicated log.
    LEADER_ELECTED = 400
    LEADER_LOST = 401
    SNAPSHOT_WRITTEN = 402
    SNAPSHOT_INSTALLED = 403
    MEMBERSHIP_CHANGED = 404
    REPLICA_STALLED = 405
    CAMPAIGN_FAILED = 406
    ADMISSION_DELAYED = 407
    JOIN_DELAYED = 408

    # Storage.
    TAIL_REPAIRED = 450
    STORAGE_FAILED = 451
    STORAGE_OPENED = 452
    FLEET_RECALLED = 460
    FLEET_CACHE_UNUSABLE = 461

    # Limits and leases.
    LEASE_GRANTED = 500
    LEASE_EXPIRED = 501
    SHIFT_STEPPED = 510
    LIMIT_REACHED = 511

    # Backend servers and signals.
    BACKEND_ANNOUNCED = 600
    BACKEND_LEAVING = 601
    BACKEND_GONE = 602
    BACKEND_DISTRUSTED = 603
    BACKEND_TRUSTED = 604
    ZONE_DISTRUSTED = 605
    ZONE_TRUSTED = 606
    BACKEND_SILENT = 607
    BACKEND_DRAIN_NOTICED = 608
    BACKEND_PAUSED = 609
    DRAIN_STARTED = 610
    DRAIN_ENDED = 611
    OWNERS_CHANGED = 612
    BACKEND_LIMIT_CHANGED = 613
    BACKEND_LIMIT_MALFORMED = 614
    BACKEND_UNREACHABLE = 615
    BACKEND_REACHABLE = 616
    BACKEND_ENDED = 617
    CONNECTION_LOST = 618
    HOST_CHANGED = 620
    HOST_CUT_OFF = 621
    HOST_RECONNECTED = 622
    REQUEST_SUSPECTED = 630
    REQUEST_QUARANTINED = 631
    QUARANTINE_ENDED = 632
    TRIAL_GRANTED = 633
    QUOTA_EXCEEDED = 640
    QUOTA_KEPT = 641

    # Idempotency keys.
    KEY_CLAIMED = 700
    KEY_FINISHED = 701
    KEY_REPLAYED = 702
    KEY_LOST = 703

    # Connections between processes.
    MESSAGE_REFUSED = 800


@attrs.frozen
class EventInfo:
    """Log level and meaning of an event.

    Parameters
    ----------
    level : str
        Name of the log level.
    summary : str
        One sentence for the catalogue.
    """

    level: str
    summary: str


_E = Event

EVENTS: dict[Event, EventInfo] = {
    _E.PROCESS_STARTED: EventInfo("INFO", "A process has started."),
    _E.PROCESS_STOPPING: EventInfo("INFO", "A graceful shutdown has started."),
    _E.PROCESS_STOPPED: EventInfo("INFO", "A process has stopped."),
    _E.UNEXPECTED_ERROR: EventInfo("ERROR", "An unexpected error was caught."),
    _E.STOP_PROGRESS: EventInfo("INFO", "A graceful shutdown has reached a step."),
    _E.SETTINGS_RELOADED: EventInfo("INFO", "The settings were reloaded."),
    _E.LINES_DROPPED: EventInfo(
        "WARNING", "Log lines were dropped because their reader is too slow."
    ),
    _E.LOOKUP_ANSWERED: EventInfo("INFO", "A look-up was answered."),
    _E.LOOKUP_REFUSED: EventInfo("WARNING", "A look-up was refused."),
    _E.ROUTE_CHOSEN: EventInfo("INFO", "A backend server was chosen."),
    _E.REQUEST_REFUSED: EventInfo("WARNING", "A request was refused."),
    _E.REQUEST_DONE: EventInfo("INFO", "A request was answered."),
    _E.ATTEMPT_FAILED: EventInfo("WARNING", "An attempt at a request failed."),
    _E.RETRY_CHOSEN: EventInfo("INFO", "A request is retried on another server."),
    _E.REQUEST_FAILED: EventInfo("WARNING", "A request ended without success."),
    _E.REQUEST_UNANSWERED: EventInfo(
        "WARNING", "A connection ended before the whole answer to a request."
    ),
    _E.CONFIGURATION_ACCEPTED: EventInfo(
        "INFO", "A configuration change was accepted."
    ),
    _E.CONFIGURATION_REFUSED: EventInfo(
        "WARNING", "A configuration change or the start of a drain was refused."
    ),
    _E.CONFIGURATION_IN_FORCE: EventInfo(
        "INFO", "A configuration or traffic plan took effect."
    ),
    _E.SESSION_OPENED: EventInfo("INFO", "A session with a control host was opened."),
    _E.SESSION_LOST: EventInfo("WARNING", "The session with a control host was lost."),
    _E.ORDER_ACCEPTED: EventInfo("INFO", "A command is stored on a quorum."),
    _E.ORDER_OVERTAKEN: EventInfo(
        "INFO", "A command had no effect, as a later one was not known to its sender."
    ),
    _E.ORDER_REFUSED: EventInfo(
        "WARNING", "A command was refused or its outcome is unknown."
    ),
    _E.HEARTBEATS_DELAYED: EventInfo(
        "WARNING", "Heartbeats could not be sent to the leader yet."
    ),
    _E.LEADER_ELECTED: EventInfo("INFO", "This replica became the leader."),
    _E.LEADER_LOST: EventInfo("WARNING", "This replica is no longer the leader."),
    _E.SNAPSHOT_WRITTEN: EventInfo("INFO", "A snapshot was written."),
    _E.SNAPSHOT_INSTALLED: EventInfo("INFO", "A snapshot was installed."),
    _E.MEMBERSHIP_CHANGED: EventInfo("INFO", "The set of replicas changed."),
    _E.REPLICA_STALLED: EventInfo(
        "WARNING", "A replica does not acknowledge, cannot join or cannot be removed."
    ),
    _E.CAMPAIGN_FAILED: EventInfo(
        "WARNING", "This replica was not elected as the leader."
    ),
    _E.ADMISSION_DELAYED: EventInfo(
        "WARNING", "This leader does not add or promote a replica that asks to join."
    ),
    _E.JOIN_DELAYED: EventInfo(
        "WARNING", "This replica asks to join, and is no voter or hears no leader."
    ),
    _E.TAIL_REPAIRED: EventInfo("WARNING", "An incomplete last record was removed."),
    _E.STORAGE_FAILED: EventInfo("ERROR", "A write or sync failed."),
    _E.STORAGE_OPENED: EventInfo("INFO", "The data folder of a replica was opened."),
    _E.FLEET_RECALLED: EventInfo("INFO", "The cached server list was read from disk."),
    _E.FLEET_CACHE_UNUSABLE: EventInfo(
        "WARNING", "The cached server list is not used."
    ),
    _E.LEASE_GRANTED: EventInfo("INFO", "A lease was granted to a host."),
    _E.LEASE_EXPIRED: EventInfo("WARNING", "A lease expired."),
    _E.SHIFT_STEPPED: EventInfo("INFO", "A shift changed its percentage."),
    _E.LIMIT_REACHED: EventInfo("WARNING", "A request exceeded a limit."),
    _E.BACKEND_ANNOUNCED: EventInfo("INFO", "A backend server announced itself."),
    _E.BACKEND_LEAVING: EventInfo("INFO", "A backend server is draining."),
    _E.BACKEND_GONE: EventInfo("WARNING", "A backend server was removed."),
    _E.BACKEND_DISTRUSTED: EventInfo("WARNING", "A backend server was ejected."),
    _E.BACKEND_TRUSTED: EventInfo("INFO", "An ejected backend server is used again."),
    _E.ZONE_DISTRUSTED: EventInfo("WARNING", "An availability zone was ejected."),
    _E.ZONE_TRUSTED: EventInfo("INFO", "An ejected zone is used again."),
    _E.BACKEND_SILENT: EventInfo("WARNING", "Heartbeats of a server are missing."),
    _E.BACKEND_DRAIN_NOTICED: EventInfo(
        "INFO", "An answer of a backend server says that the server is draining."
    ),
    _E.BACKEND_PAUSED: EventInfo(
        "INFO", "A backend server refused and asked this host to pause."
    ),
    _E.DRAIN_STARTED: EventInfo("INFO", "A planned drain has started."),
    _E.DRAIN_ENDED: EventInfo("INFO", "A planned drain has ended."),
    _E.OWNERS_CHANGED: EventInfo(
        "INFO", "The leader gave objects to other backend servers."
    ),
    _E.BACKEND_LIMIT_CHANGED: EventInfo(
        "INFO", "A backend server named, changed or withdrew its request limit."
    ),
    _E.BACKEND_LIMIT_MALFORMED: EventInfo(
        "WARNING", "A backend server named a request limit that is not a number."
    ),
    _E.BACKEND_UNREACHABLE: EventInfo(
        "WARNING", "The leader takes objects from a server that hosts cannot reach."
    ),
    _E.BACKEND_REACHABLE: EventInfo(
        "INFO", "The leader gives objects to a server again that hosts did not reach."
    ),
    _E.BACKEND_ENDED: EventInfo(
        "WARNING", "A backend server that lost a request accepts no connection."
    ),
    _E.CONNECTION_LOST: EventInfo(
        "INFO", "A request was lost, and its backend server was not seen to end."
    ),
    _E.HOST_CHANGED: EventInfo(
        "INFO", "A host started or stopped accepting callers or reaching servers."
    ),
    _E.HOST_CUT_OFF: EventInfo(
        "WARNING", "This host cannot open a connection to any backend server."
    ),
    _E.HOST_RECONNECTED: EventInfo(
        "INFO", "This host can open connections to backend servers again."
    ),
    _E.REQUEST_SUSPECTED: EventInfo(
        "WARNING", "A backend server ended while it had a request."
    ),
    _E.REQUEST_QUARANTINED: EventInfo(
        "WARNING", "Several backend servers ended under a request; it is refused."
    ),
    _E.QUARANTINE_ENDED: EventInfo(
        "INFO", "A request that was refused for crashes may be sent again."
    ),
    _E.TRIAL_GRANTED: EventInfo(
        "WARNING", "A host may send a quarantined request once."
    ),
    _E.QUOTA_EXCEEDED: EventInfo(
        "INFO", "An organisation exceeds its quota; hosts admit a fraction."
    ),
    _E.QUOTA_KEPT: EventInfo("INFO", "An organisation is within its quota again."),
    _E.KEY_CLAIMED: EventInfo("INFO", "An idempotency key was claimed."),
    _E.KEY_FINISHED: EventInfo("INFO", "The outcome of a key was recorded."),
    _E.KEY_REPLAYED: EventInfo("INFO", "A recorded answer was sent again."),
    _E.KEY_LOST: EventInfo("WARNING", "The outcome of a key is unknown."),
    _E.MESSAGE_REFUSED: EventInfo(
        "WARNING", "A connection ended with an invalid message or an error."
    ),
}


def render_catalogue() -> str:
    """Return the Markdown table of all events.

    Returns
    -------
    str
        One row per event: number, name, level, meaning.
    """
    rows = ["| event | name | level | meaning |", "| --- | --- | --- | --- |"]
    rows += [
        f"| {event.value} | {event.name} | {info.level} | {info.summary} |"
        for event, info in sorted(EVENTS.items())
    ]
    return "\n".join(rows) + "\n"
