"""What the leading coordinator knows of the fleet, and how hosts hear of it."""

import asyncio
import math

import attrs

from bulrushlead.clock import Clock
from bulrushlead.coordinator._messages import AnnounceBatch, StatusReply
from bulrushlead.coordinator._settings import CoordinatorSettings
from bulrushlead.coordinator._state import OrderState
from bulrushlead.fleet import (
    Announcement,
    FleetRegistry,
    FleetUpdate,
    FleetView,
    ServerState,
    SyncPosition,
    SyncRequest,
)
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.replication import ReplicatedLog
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import PackedPayload, codec

# A new leader has heard every living server after this many heartbeats.
COLLECT_HEARTBEATS = 4
# News of many servers come together: hosts get them in one answer instead of ten.
GATHER_MS = 50
# Hosts that know the same get the same answer, packed once. Cold times are told
# relative to the moment of packing; this error is a few per cent of them.
PACKED_FOR_MS = 100


class FleetPublisher:
    """Collects heartbeats while this host leads, and answers requests for news.

    Parameters
    ----------
    settings : CoordinatorSettings
        Settings of the host.
    clock : Clock
        Source of time.
    view : FleetView
        What this host knows as a follower; a new leader begins with it.
    meters : CompactMeters
        Where heartbeats are counted.

    Attributes
    ----------
    registry : FleetRegistry
        Servers and entry hosts of the present leadership.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        clock: Clock,
        view: FleetView,
        meters: CompactMeters,
    ):
        self.settings = settings
        self.clock = clock
        self.view = view
        self.meters = meters
        self.registry = FleetRegistry(clock, settings.heartbeat_ms)
        self._state: OrderState | None = None
        self._log: ReplicatedLog | None = None
        self._news = asyncio.Event()
        self._told_revisions = (0, 0)
        self._leading_since_ms: float | None = None
        self._packed: dict[SyncPosition, PackedPayload] = {}
        self._packed_from: SyncPosition | None = None
        self._packed_ms = -math.inf

    def reload(self, settings: CoordinatorSettings) -> None:
        """Take changed settings."""
        self.settings = settings
        self.registry.heartbeat_ms = settings.heartbeat_ms

    def attach(self, log: ReplicatedLog, state: OrderState) -> None:
        """Follow a log and its state, which replace those of before."""
        self._log = log
        self._state = state
        self._leading_since_ms = None
        state.on_change = self._notify
        state.on_departure = self._on_departure
        log.watch_leadership(self._on_leadership)

    def require_leader(self) -> None:
        """Refuse to answer on a host that does not lead.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, with the leader if it is known.
        """
        if not self._log.is_leader():
            hint = self._log.leader_hint or "unknown"
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                f"{self.settings.peer_address} is not the leader; ask {hint}",
            )

    def check_silence(self) -> None:
        """Mark servers and hosts that have stopped reporting."""
        self.registry.check_silence()
        self.registry.update_published_loads()
        self._notify_if_changed()

    async def answer_announce(self, request: AnnounceBatch) -> StatusReply:
        """Take the heartbeats that another coordinator received."""
        self.require_leader()
        for heartbeat in request.heartbeats:
            self._take_heartbeat(heartbeat)
        self._notify_if_changed()
        return StatusReply(True)

    async def answer_sync(self, request: SyncRequest) -> PackedPayload:
        """Take a host's report; answer once there is news, or after its wait."""
        self.require_leader()
        self.registry.record_host_report(request.report)
        self._notify_if_changed()
        deadline_ms = self.clock.now_ms() + request.wait_ms
        while not self._has_news(request.position):
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            try:
                await self.clock.wait_for(self._news.wait(), left_ms)
            except TimeoutError:
                break
            await self.clock.sleep_ms(min(GATHER_MS, left_ms))
        self.require_leader()
        return self._packed_for(request.position)

    def _take_heartbeat(self, heartbeat: Announcement) -> None:
        if self._state.has_departed(heartbeat.server_id, heartbeat.born_ms):
            heartbeat = attrs.evolve(heartbeat, state=ServerState.DRAINING)
        if self.registry.announce(heartbeat):
            self.meters.count(Metric.ANNOUNCEMENTS_TOTAL, service=heartbeat.service)

    def _packed_for(self, known: SyncPosition) -> PackedPayload:
        position = self._position()
        now_ms = self.clock.now_ms()
        if position != self._packed_from or now_ms - self._packed_ms > PACKED_FOR_MS:
            self._packed.clear()
            self._packed_from, self._packed_ms = position, now_ms
        packed = self._packed.get(known)
        if packed is None:
            update = self._update_for(known, position)
            packed = self._packed[known] = PackedPayload(codec.encode(update))
        return packed

    def _position(self) -> SyncPosition:
        """Return what a host knows that has heard everything."""
        state, registry = self._state, self.registry
        return SyncPosition(
            epoch=self._epoch(),
            server_revision=registry.server_revision,
            plan_version=-1 if state.plan is None else state.plan.version,
            order_index=state.order_index,
            host_revision=registry.host_revision,
            pressure_revision=registry.load_revision,
        )

    def _update_for(self, known: SyncPosition, position: SyncPosition) -> FleetUpdate:
        is_same = known.epoch == position.epoch
        state, registry = self._state, self.registry
        plan = state.plan
        if plan is not None and plan.version <= known.plan_version:
            plan = None
        hosts = None
        if not is_same or known.host_revision < registry.host_revision:
            hosts = registry.hosts()
        return FleetUpdate(
            term=self._log.term,
            position=position,
            servers=registry.servers_after(known.server_revision if is_same else 0),
            is_full=not is_same and self._has_collected(),
            plan=plan,
            evacuated_zones=tuple(sorted(state.evacuated_zones)),
            hosts=hosts,
            control_addresses=tuple(sorted(m.address for m in self._log.members)),
            pressures=registry.loads_after(known.pressure_revision if is_same else 0),
        )

    def _has_news(self, known: SyncPosition) -> bool:
        plan = self._state.plan
        return (
            known.epoch != self._epoch()
            or known.server_revision < self.registry.server_revision
            or known.host_revision < self.registry.host_revision
            or known.order_index < self._state.order_index
            or (plan is not None and known.plan_version < plan.version)
        )

    def _epoch(self) -> str:
        # Once all living servers have been heard, everybody gets a full list.
        phase = "full" if self._has_collected() else "partial"
        return f"{self._log.replica_id}/{self._log.term}/{phase}"

    def _has_collected(self) -> bool:
        if self._leading_since_ms is None:
            return False
        led_ms = self.clock.now_ms() - self._leading_since_ms
        return led_ms > COLLECT_HEARTBEATS * self.settings.heartbeat_ms

    def _on_leadership(self, leads: bool) -> None:
        if leads:
            self._leading_since_ms = self.clock.now_ms()
            self.registry = FleetRegistry(self.clock, self.settings.heartbeat_ms)
            self.registry.restore(self.view.records(), list(self.view.hosts))
            self._mark_departures()
        else:
            self._leading_since_ms = None
        self._notify()

    def _on_departure(self, server_id: str, born_ms: int) -> None:
        if self._leading_since_ms is not None:
            self.registry.mark_draining(server_id, born_ms)

    def _mark_departures(self) -> None:
        for server_id in self.registry.ready_servers():
            born_ms = self.registry.born_ms_of(server_id)
            if self._state.has_departed(server_id, born_ms):
                self.registry.mark_draining(server_id, born_ms)

    def _notify(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    def _notify_if_changed(self) -> None:
        revisions = (self.registry.server_revision, self.registry.host_revision)
        if revisions != self._told_revisions:
            self._told_revisions = revisions
            self._notify()
