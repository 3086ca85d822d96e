"""Replicated state: the traffic plan, evacuations and departures of servers."""

from collections.abc import Callable

import attrs

from bulrushlead.coordinator._messages import StatusReply
from bulrushlead.results import BulrushleadError
from bulrushlead.traffic import TrafficPlan
from bulrushlead.wire import codec, message

UNGUARDED = -1  # seen_index of commands of builds without this field
MAX_DEPARTURES = 2_000  # about 150 KB; beyond it the oldest are dropped


@message("orders.accept_plan")
class AcceptPlan:
    """Puts a plan in force if its version is above the current one.

    Parameters
    ----------
    plan : TrafficPlan
        Plan to put in force.
    document : bytes
        Document that the operator sent; returned unchanged.
    """

    plan: TrafficPlan
    document: bytes


@message("orders.start_evacuation")
class StartEvacuation:
    """Stops new work on the servers of an availability zone.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    seen_index : int
        Log index up to which the sender knew the commands of the zone. A command that
        was held up has no effect after a later one.
    """

    zone: str
    seen_index: int = UNGUARDED


@message("orders.end_evacuation")
class EndEvacuation:
    """Allows new work on the servers of an availability zone again.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    seen_index : int
        Log index up to which the sender knew the commands of the zone. A command that
        was held up has no effect after a later one.
    """

    zone: str
    seen_index: int = UNGUARDED


@message("orders.departure")
class RecordDeparture:
    """Records the departure of a server, before the server gets an acknowledgement.

    Parameters
    ----------
    server_id : str
        Identity of the server.
    born_ms : int
        Incarnation of the server.
    """

    server_id: str
    born_ms: int


@message("orders.snapshot")
class _Snapshot:
    plan: TrafficPlan | None
    document: bytes
    evacuated_zones: tuple[str, ...]
    departures: dict[str, int]
    order_index: int
    zone_indexes: dict[str, int] = attrs.field(factory=dict)


class OrderState:
    """State machine of the coordinators' replicated log.

    Parameters
    ----------
    read_document : callable, optional
        Returns the plan in an operator's document. A plan in the log lacks the fields
        that the build which stored it did not know; the document has them.

    Attributes
    ----------
    plan : TrafficPlan or None
        Traffic plan in force.
    document : bytes
        Document that the operator sent with that plan.
    evacuated_zones : set of str
        Availability zones that are evacuated.
    departures : dict of str to int
        Newest incarnation with a recorded departure, by identity of the server. The
        server may still run.
    order_index : int
        Log index of the last change.
    zone_indexes : dict of str to int
        Log index of the last evacuation that was started or ended, by availability
        zone; also of one that changed nothing, since it was acknowledged.
    on_change : callable
        Called after each change.
    on_departure : callable
        Called with the identity and the incarnation of a departing server, before
        ``on_change``.
    """

    def __init__(self, read_document: Callable[[bytes], TrafficPlan] | None = None):
        self.read_document = read_document
        self.plan: TrafficPlan | None = None
        self.document = b""
        self.evacuated_zones: set[str] = set()
        self.departures: dict[str, int] = {}
        self.order_index = 0
        self.zone_indexes: dict[str, int] = {}
        self.on_change = lambda: None
        self.on_departure = lambda server_id, born_ms: None

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command; return the encoded ``StatusReply``."""
        command = codec.decode(command)
        overtaken_by = self.overtaking_index(command)
        if overtaken_by:
            return codec.encode(StatusReply(False, overtaken_by))
        if isinstance(command, StartEvacuation | EndEvacuation):
            self.zone_indexes[command.zone] = index
        changed = self._apply(command)
        if changed:
            self.order_index = index
            self.on_change()
        return codec.encode(StatusReply(changed))

    def overtaking_index(self, command) -> int:
        """Return the index of a later command that its sender had not seen, or 0."""
        if not isinstance(command, StartEvacuation | EndEvacuation):
            return 0  # versions of plans and of servers order the other commands
        last_index = self.zone_indexes.get(command.zone, 0)
        is_overtaken = UNGUARDED < command.seen_index < last_index
        return last_index if is_overtaken else 0

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.encode(
            _Snapshot(
                self.plan,
                self.document,
                tuple(sorted(self.evacuated_zones)),
                self.departures,
                self.order_index,
                self.zone_indexes,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot = codec.decode(data)
        self.plan = snapshot.plan and self._read(snapshot.plan, snapshot.document)
        self.document = snapshot.document
        self.evacuated_zones = set(snapshot.evacuated_zones)
        self.departures = dict(snapshot.departures)
        self.order_index = snapshot.order_index
        self.zone_indexes = dict(snapshot.zone_indexes)
        self.on_change()

    def has_departed(self, server_id: str, born_ms: int) -> bool:
        """Return whether the departure of this or a later incarnation is recorded."""
        return self.departures.get(server_id, -1) >= born_ms

    def _read(self, stored: TrafficPlan, document: bytes) -> TrafficPlan:
        """Return the plan as this build reads it, or else as it was stored."""
        if self.read_document is None or not document:
            return stored
        try:
            plan = self.read_document(document)
        except BulrushleadError:
            return stored  # accepted by a build that reads more than this one
        return plan if plan.version == stored.version else stored

    def _apply(self, command) -> bool:
        match command:
            case AcceptPlan(plan=plan, document=document):
                if self.plan is not None and plan.version <= self.plan.version:
                    return False
                self.plan = self._read(plan, document)
                self.document = document
                return True
            case StartEvacuation(zone=zone):
                if zone in self.evacuated_zones:
                    return False
                self.evacuated_zones.add(zone)
                return True
            case EndEvacuation(zone=zone):
                if zone not in self.evacuated_zones:
                    return False
                self.evacuated_zones.remove(zone)
                return True
            case RecordDeparture(server_id=server_id, born_ms=born_ms):
                if self.has_departed(server_id, born_ms):
                    return False
                self.departures.pop(server_id, None)
                self.departures[server_id] = born_ms
                while len(self.departures) > MAX_DEPARTURES:
                    del self.departures[next(iter(self.departures))]
                self.on_departure(server_id, born_ms)
                return True
        return False


def command_subject(command) -> str:
    """Return what a command is about, for log lines."""
    match command:
        case AcceptPlan(plan=plan):
            return f"version {plan.version}"
        case RecordDeparture(server_id=server_id, born_ms=born_ms):
            return f"{server_id}/{born_ms}"
    return command.zone  # of StartEvacuation or EndEvacuation
