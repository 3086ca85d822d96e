"""Publisher of the fleet: the leader's answers to the sync requests of hosts."""

import asyncio
import math

import attrs

from bulrushlead.clock import Clock
from bulrushlead.coordinator._messages import AnnounceBatch, StatusReply
from bulrushlead.coordinator._organisation_calls import OrganisationCalls
from bulrushlead.coordinator._settings import CoordinatorSettings
from bulrushlead.coordinator._state import OrderState
from bulrushlead.coordinator._suspect_calls import SuspectCalls
from bulrushlead.fleet import (
    Announcement,
    FleetRegistry,
    FleetUpdate,
    FleetView,
    ServerState,
    SyncPosition,
    SyncRequest,
    owner_group,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.organisations import QuotaTable
from bulrushlead.placement import OwnerTable, PlacementServer
from bulrushlead.quarantine import SuspectTable
from bulrushlead.replication import ReplicatedLog
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import TrafficPlan
from bulrushlead.wire import MessageServer, PackedPayload, codec

# After this many heartbeat intervals, a new leader has a heartbeat of every running
# server.
COLLECT_HEARTBEATS = 4
# Changes of many servers arrive close together. With this delay, hosts get them in one
# answer instead of ten.
BATCH_DELAY_MS = 50
# Hosts at the same position get the same answer, which is encoded once. Its
# ``cold_left_ms`` values count from the time of encoding, so this age makes them wrong
# by a few per cent.
MAX_PACKED_AGE_MS = 100
# Hosts without the state of this leader get the same full answer for this time, also if
# a few records have changed since: after an election all hosts ask at once, and each of
# their reports changes the list of hosts. They get the rest with their next request.
MAX_FULL_AGE_MS = 250


class FleetPublisher:
    """Records heartbeats while this host leads, and answers sync requests.

    Parameters
    ----------
    settings : CoordinatorSettings
        Settings of the host.
    clock : Clock
        Source of time.
    view : FleetView
        State that this host received as a follower; a new leader starts from it.
    meters : CompactMeters
        Meters that count the heartbeats.

    Attributes
    ----------
    registry : FleetRegistry
        Servers and entry hosts registered in the current leadership term.
    owners : OwnerTable
        Servers that own objects in the current leadership term.
    suspects : SuspectTable
        Requests under which servers ended; a follower learns them from the leader.
    quotas : QuotaTable
        What hosts admit of each organisation in the current leadership term.
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
        self.owners = OwnerTable(clock)
        self.suspects = SuspectTable(clock)
        self.quotas = QuotaTable(clock, settings.organisations)
        self._state: OrderState | None = None
        self._log: ReplicatedLog | None = None
        self._changed = asyncio.Event()
        self._notified_revisions = (0, 0, 0, 0)
        self._leading_since_ms: float | None = None
        self._packed: dict[SyncPosition, PackedPayload] = {}
        self._packed_position: SyncPosition | None = None
        self._packed_ms = -math.inf
        self._full_packed: dict[int, PackedPayload] = {}  # by version of the plan
        self._full_version: tuple[str, int] | None = None
        self._full_packed_ms = -math.inf
        meters.register_gauge(
            Metric.OWNED_OBJECTS, lambda: float(self.owners.object_count)
        )
        self._events = EventLogger("coordinator")

    def reload(self, settings: CoordinatorSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.registry.heartbeat_ms = settings.heartbeat_ms
        self.quotas.settings = settings.organisations

    def attach(self, log: ReplicatedLog, state: OrderState) -> None:
        """Subscribe to a log and its state, which replace the previous ones."""
        self._log = log
        self._state = state
        self._leading_since_ms = None
        state.on_change = self._on_change
        state.on_departure = self._on_departure
        log.watch_leadership(self._on_leadership)

    def register(self, messages: MessageServer) -> None:
        """Answer the calls of hosts and of other coordinators."""
        messages.register_handler(SyncRequest, self.handle_sync)
        messages.register_handler(AnnounceBatch, self.handle_heartbeats)
        SuspectCalls(self).register(messages)
        OrganisationCalls(self).register(messages)

    @property
    def plan(self) -> TrafficPlan | None:
        """Plan in force; None before the first one."""
        return self._state.plan

    def require_leader(self) -> None:
        """Raise an error if this host is not the leader.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, with the address of the leader if it is known.
        """
        if not self._log.is_leader():
            hint = self._log.leader_hint or "unknown"
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                f"{self.settings.peer_address} is not the leader; ask {hint}",
            )

    def check_silence(self) -> None:
        """Mark or remove silent servers and hosts; publish changed loads and limits.

        Waiting hosts are notified of changed servers and hosts, not of changed loads.
        """
        self.registry.check_silence()
        self.registry.update_published_loads()
        self.registry.publish_limits()
        self.suspects.expire()
        self.quotas.check()
        self._update_owners()
        self.notify_if_changed()

    async def handle_heartbeats(self, request: AnnounceBatch) -> StatusReply:
        """Record the heartbeats that another coordinator received."""
        self.require_leader()
        for heartbeat in request.heartbeats:
            self._record_heartbeat(heartbeat)
        self.notify_if_changed()
        return StatusReply(True)

    def apply_published(self, update: FleetUpdate) -> None:
        """Learn as a follower what a successor of the leader must know."""
        self.suspects.merge(update.suspects)

    async def handle_sync(self, request: SyncRequest) -> PackedPayload:
        """Record the report of a host; answer after a change or after ``wait_ms``."""
        self.require_leader()
        self.registry.record_host_report(request.report)
        self.suspects.merge(request.report.suspects)
        self.owners.record_demand(request.report.demand)
        self.quotas.record_report(request.report.host_id, request.report.usage)
        self.notify_if_changed()
        deadline_ms = self.clock.now_ms() + request.wait_ms
        while not self._has_changes(request.position):
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                break
            try:
                await self.clock.wait_for(self._changed.wait(), remaining_ms)
            except TimeoutError:
                break
            await self.clock.sleep_ms(min(BATCH_DELAY_MS, remaining_ms))
        self.require_leader()
        return self._pack_update(request.position)

    def _record_heartbeat(self, heartbeat: Announcement) -> None:
        if self._state.has_departed(heartbeat.server_id, heartbeat.born_ms):
            heartbeat = attrs.evolve(heartbeat, state=ServerState.DRAINING)
        if self.registry.record_heartbeat(heartbeat):
            self.meters.count(Metric.ANNOUNCEMENTS_TOTAL, service=heartbeat.service)

    def _pack_update(self, since: SyncPosition) -> PackedPayload:
        if since.epoch != self._epoch():
            return self._pack_full_update(since.plan_version)
        position = self._current_position()
        now_ms = self.clock.now_ms()
        if (
            position != self._packed_position
            or now_ms - self._packed_ms > MAX_PACKED_AGE_MS
        ):
            self._packed.clear()
            self._packed_position, self._packed_ms = position, now_ms
        packed = self._packed.get(since)
        if packed is None:
            update = self._build_update(since, position)
            packed = self._packed[since] = PackedPayload(codec.encode(update))
        return packed

    def _pack_full_update(self, plan_version: int) -> PackedPayload:
        """Return the answer for a host that lacks the state of this leader."""
        now_ms = self.clock.now_ms()
        # A command that was acknowledged must be in every later answer.
        version = (self._epoch(), self._state.order_index)
        if (
            version != self._full_version
            or now_ms - self._full_packed_ms > MAX_FULL_AGE_MS
        ):
            self._full_packed.clear()
            self._full_version, self._full_packed_ms = version, now_ms
        packed = self._full_packed.get(plan_version)
        if packed is None:
            update = self._build_update(
                SyncPosition(plan_version=plan_version), self._current_position()
            )
            packed = self._full_packed[plan_version] = PackedPayload(
                codec.encode(update)
            )
        return packed

    def _current_position(self) -> SyncPosition:
        """Return the position of a host that has received every change."""
        state, registry = self._state, self.registry
        return SyncPosition(
            epoch=self._epoch(),
            server_revision=registry.server_revision,
            plan_version=-1 if state.plan is None else state.plan.version,
            order_index=state.order_index,
            host_revision=registry.host_revision,
            pressure_revision=registry.load_revision,
            owner_revision=self.owners.revision,
            suspect_revision=self.suspects.published_revision,
            quota_revision=self.quotas.revision,
        )

    def _build_update(self, since: SyncPosition, position: SyncPosition) -> FleetUpdate:
        is_same_epoch = since.epoch == position.epoch
        state, registry = self._state, self.registry
        plan = state.plan
        if plan is not None and plan.version <= since.plan_version:
            plan = None
        hosts = None
        if not is_same_epoch or since.host_revision < registry.host_revision:
            hosts = registry.hosts()
        return FleetUpdate(
            term=self._log.term,
            position=position,
            servers=registry.servers_since(
                since.server_revision if is_same_epoch else 0
            ),
            is_full=not is_same_epoch and self._has_collected(),
            plan=plan,
            evacuated_zones=tuple(sorted(state.evacuated_zones)),
            hosts=hosts,
            control_addresses=tuple(sorted(m.address for m in self._log.members)),
            pressures=registry.loads_since(
                since.pressure_revision if is_same_epoch else 0
            ),
            owners=self.owners.owners_since(
                since.owner_revision if is_same_epoch else 0
            ),
            suspects=self.suspects.published_since(
                since.suspect_revision if is_same_epoch else 0
            ),
            quotas=self.quotas.published_since(
                since.quota_revision if is_same_epoch else 0
            ),
        )

    def _has_changes(self, since: SyncPosition) -> bool:
        plan = self._state.plan
        return (
            since.epoch != self._epoch()
            or since.server_revision < self.registry.server_revision
            or since.host_revision < self.registry.host_revision
            or since.suspect_revision < self.suspects.published_revision
            or since.quota_revision < self.quotas.revision
            or since.order_index < self._state.order_index
            or (plan is not None and since.plan_version < plan.version)
        )

    def _epoch(self) -> str:
        # The epoch changes once the heartbeats of all running servers have arrived, so
        # that every host gets a full list.
        phase = "full" if self._has_collected() else "partial"
        return f"{self._log.replica_id}/{self._log.term}/{phase}"

    def _has_collected(self) -> bool:
        if self._leading_since_ms is None:
            return False
        leading_ms = self.clock.now_ms() - self._leading_since_ms
        return leading_ms > COLLECT_HEARTBEATS * self.settings.heartbeat_ms

    def _on_leadership(self, is_leader: bool) -> None:
        if is_leader:
            self._leading_since_ms = self.clock.now_ms()
            self.registry = FleetRegistry(self.clock, self.settings.heartbeat_ms)
            self.registry.restore(self.view.records(), list(self.view.hosts))
            self._mark_departures()
            self.owners = OwnerTable(self.clock)
            self.owners.restore(self.view.owners)
            self._update_owners()
            hosts = [host.host_id for host in self.view.hosts if host.accepting]
            settings = self.settings.organisations
            self.quotas = QuotaTable(self.clock, settings, hosts)
            self._update_quotas()
        else:
            self._leading_since_ms = None
        self._notify()

    def _on_change(self) -> None:
        self._update_quotas()
        self._notify()

    def _update_quotas(self) -> None:
        if self._state.plan is not None:
            self.quotas.set_organisations(self._state.plan.organisations)

    def _on_departure(self, server_id: str, born_ms: int) -> None:
        if self._leading_since_ms is not None:
            self.registry.mark_draining(server_id, born_ms)

    def _update_owners(self) -> None:
        regions = self.settings.zone_regions
        moves = self.owners.update(
            PlacementServer(
                record.server_id,
                owner_group(regions.get(record.zone, ""), record.service),
                record.slots,
                record.cold_left_ms > 0,
            )
            for record in self.registry.owner_candidates(self._state.evacuated_zones)
        )
        if not moves:
            return
        for reason, count in moves.items():
            self.meters.count(
                Metric.OWNER_MOVES_TOTAL, amount=count, reason=reason.value
            )
        self._events.write(
            Event.OWNERS_CHANGED,
            moves={reason.value: count for reason, count in moves.items()},
            objects=self.owners.object_count,
            revision=self.owners.revision,
        )

    def _mark_departures(self) -> None:
        for server_id in self.registry.ready_servers():
            born_ms = self.registry.born_ms_of(server_id)
            if self._state.has_departed(server_id, born_ms):
                self.registry.mark_draining(server_id, born_ms)

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def notify_if_changed(self) -> None:
        """Answer the waiting sync requests if there is something to publish."""
        revisions = (
            self.registry.server_revision,
            self.registry.host_revision,
            self.suspects.published_revision,
            self.quotas.revision,
        )
        if revisions != self._notified_revisions:
            self._notified_revisions = revisions
            self._notify()
