"""Coordinator: one replica of the log, which publishes the fleet while it leads."""

import asyncio
import contextlib
import os
import random
from collections.abc import Awaitable, Callable

from bulrushlead.clock import Clock
from bulrushlead.coordinator._cache import FleetCache
from bulrushlead.coordinator._heartbeats import HeartbeatQueue
from bulrushlead.coordinator._messages import (
    AnnounceBatch,
    OrderRequest,
    PlanReply,
    PlanRequest,
)
from bulrushlead.coordinator._orders import (
    LEADER_CALL_TIMEOUT_MS,
    UNKNOWN_BORN_MS,
    OrderCalls,
)
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._settings import CoordinatorSettings
from bulrushlead.coordinator._state import (
    AcceptPlan,
    EndEvacuation,
    OrderState,
    RecordDeparture,
    StartEvacuation,
)
from bulrushlead.fleet import (
    Announcement,
    FleetView,
    HostReport,
    LeaderSession,
    ServerState,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.replication import (
    FileStorage,
    ReplicaSettings,
    ReplicatedLog,
    set_files_aside,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import TrafficPlan, check_plan
from bulrushlead.wire import LinkFactory, MessageServer

CHECK_INTERVAL_MS = 250
FORWARD_INTERVAL_MS = 100  # heartbeats are collected this long and sent in one message
READ_TIMEOUT_MS = 800
RETIRE_TIMEOUT_MS = 500
LEAVE_TIMEOUT_MS = 300  # delays a planned stop
MIN_VOTERS = 3  # fewer voters tolerate no further failure
STORAGE_RETRY_MS = 500  # extra pause, since a full disk usually stays full for seconds
# The fleet cache may lack newer servers: they announce themselves after a restart.
SAVE_INTERVAL_MS = 2_000
# The view ages while the leader is lost. An older view is not saved, since the fleet
# cache would present its records as current.
MAX_VIEW_AGE_MS = 3_000
# Times of the replicated log; here heartbeats are messages of the leader. Callers wait
# for an election after the loss of a leader and after a power loss of all hosts, so the
# election timeouts are short. The shortest one still covers a stall of 100 ms on top of
# three round trips between regions.
REPLICA_HEARTBEAT_MS = 100
LEADER_LEASE_MS = 400  # at most 0.9 of ELECTION_MIN_MS; see ReplicaSettings
ELECTION_MIN_MS = 450
ELECTION_MAX_MS = 750


class Coordinator:
    """Accepts commands and heartbeats, and publishes the fleet to hosts.

    Messages and metrics call the commands orders.

    Parameters
    ----------
    settings : CoordinatorSettings
        Settings of the host.
    clock : Clock
        Source of time.
    link_factory : callable
        Creates the link to the peer address of another host.
    rng : random.Random
        Source of replica identities and election timeouts; seeded differently in each
        process.
    read_document : callable, optional
        Returns the plan in an operator's document; see ``OrderState``.

    Attributes
    ----------
    view : FleetView
        State of the fleet, as received from the leader, also while this host leads;
        restored from the fleet cache at the start.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        clock: Clock,
        link_factory: LinkFactory,
        rng: random.Random,
        read_document: Callable[[bytes], TrafficPlan] | None = None,
    ):
        self.settings = settings
        self.read_document = read_document
        self.clock = clock
        self.link_factory = link_factory
        self.rng = rng
        self.meters = CompactMeters()
        self.view = FleetView(clock)
        self.cache = FleetCache(os.path.join(settings.data_folder, "fleet"))
        self.publisher = FleetPublisher(settings, clock, self.view, self.meters)
        self.orders = OrderCalls(clock, self.publisher, self.meters)
        self._may_bootstrap = settings.bootstrap
        self.state, self.log = self._build_log()
        self.session = LeaderSession(
            clock,
            (settings.peer_address, *settings.seeds),
            link_factory,
            self.view,
            self._build_report,
            self.publisher.apply_published,
            rng,
        )
        self.orders.session = self.session
        host, _, port = settings.peer_address.rpartition(":")
        self.messages = MessageServer(settings.listen_ip or host, int(port))
        self.heartbeats = HeartbeatQueue(clock, self._send_heartbeats)
        self._tasks: list[asyncio.Task] = []
        self.meters.register_gauge(
            Metric.IS_LEADER, lambda: float(self.log.is_leader())
        )
        self.meters.register_gauge(Metric.TERM, lambda: self.log.term)
        self.meters.register_gauge(Metric.APPLIED_INDEX, lambda: self.log.last_applied)
        self.meters.register_gauge(Metric.SERVERS, lambda: len(self.view.servers))
        self._events = EventLogger("coordinator")

    async def start(self) -> None:
        """Listen for other hosts and start the replica of the log."""
        self.publisher.register(self.messages)
        self.messages.register_handler(OrderRequest, self.orders.handle)
        self.messages.register_handler(PlanRequest, self._handle_plan_request)
        self.view.restore(self.cache.load())
        await self.messages.start()
        await self._start_log()
        await self.session.start()
        for step, interval_ms in (
            (self.heartbeats.forward, FORWARD_INTERVAL_MS),
            (self._check, CHECK_INTERVAL_MS),
            (self._save_fleet, SAVE_INTERVAL_MS),
        ):
            self._tasks.append(asyncio.create_task(self._repeat(step, interval_ms)))

    def reload(self, settings: CoordinatorSettings) -> None:
        """Apply changed settings; a new peer address or folder also needs a restart."""
        self.settings = settings
        self.session.seeds = (settings.peer_address, *settings.seeds)
        self.log.set_seeds(settings.seeds)
        self.publisher.reload(settings)

    async def close(self) -> None:
        """Stop; acknowledged commands are already on the disks of a quorum."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.log.is_open:
            # Without an answer the others wait for the silence of this replica.
            with contextlib.suppress(BulrushleadError):
                await self.log.leave(LEAVE_TIMEOUT_MS)
        await self.session.close()
        await self.log.close()
        await self.messages.close()

    def _build_log(self) -> tuple[OrderState, ReplicatedLog]:
        state = OrderState(self.read_document)
        log = ReplicatedLog(
            self._replica_settings(),
            self.clock,
            FileStorage(self.settings.data_folder),
            self.link_factory,
            state,
            self.rng,
        )
        self.publisher.attach(log, state)
        self.orders.attach(log, state)
        return state, log

    async def _start_log(self) -> None:
        """Start the log; after a failure, ``_run_checks`` retries later.

        Damaged files are handled like a lost disk: they are moved aside for the
        operators, and the replica joins again under a new identity.
        """
        self.log.register(self.messages)
        try:
            await self.log.start()
        except BulrushleadError as error:
            if error.code not in (
                ResultCode.STORAGE_DAMAGED,
                ResultCode.STORAGE_FAILED,
            ):
                raise
            self._events.write(
                Event.STORAGE_FAILED, code=error.code.value, error=error.detail
            )
            if error.code is ResultCode.STORAGE_DAMAGED:
                # The replica joins the existing cluster instead of forming a new one.
                self._may_bootstrap = False
                await self._set_files_aside()

    async def _set_files_aside(self) -> None:
        try:
            await asyncio.to_thread(set_files_aside, self.settings.data_folder)
        except OSError as error:
            # The next attempt to start the log finds the same damage again.
            self._events.write(
                Event.STORAGE_FAILED,
                code=ResultCode.STORAGE_FAILED.value,
                error=f"damaged files are not moved aside: {error}",
            )

    async def _restart_log(self) -> None:
        """Replace the log, which failed or never started, by a new one.

        After a failed sync, the page cache may contain bytes that are not on the disk.
        The new log therefore rewrites its journal when it starts.
        """
        await self.log.close()
        self.state, self.log = self._build_log()
        await self._start_log()

    async def accept_plan(self, plan: TrafficPlan, document: bytes) -> bool:
        """Put a plan in force and return True if its version is above the current one.

        Raises
        ------
        BulrushleadError
            ``DECLARATION_INVALID`` if the plan is invalid, or the error of the call if
            no leader accepted it.
        """
        check_plan(plan, self.settings.zone_regions.values())
        return await self.orders.submit(AcceptPlan(plan, document))

    async def start_evacuation(self, zone: str) -> bool:
        """Stop new work on the servers of a zone; return whether this is a change."""
        return await self.orders.submit_guarded(StartEvacuation(zone))

    async def end_evacuation(self, zone: str) -> bool:
        """Allow new work in an availability zone; return whether this is a change."""
        return await self.orders.submit_guarded(EndEvacuation(zone))

    async def read_plan(self) -> PlanReply:
        """Return the newest plan, confirmed by a quorum after the start of the call."""
        if self.log.is_leader():
            return await self._handle_plan_request(PlanRequest())
        return await self.session.call_leader(PlanRequest(), LEADER_CALL_TIMEOUT_MS)

    async def announce(self, heartbeat: Announcement) -> None:
        """Deliver a heartbeat to the leader; commit the departure of a draining server.

        Raises
        ------
        BulrushleadError
            If the leader did not record it, or the departure could not be committed.
        """
        if heartbeat.state is not ServerState.DRAINING:
            await self.heartbeats.deliver(heartbeat)
            return
        if not self.state.has_departed(heartbeat.server_id, heartbeat.born_ms):
            await self.orders.submit(
                RecordDeparture(heartbeat.server_id, heartbeat.born_ms)
            )
        self.heartbeats.add(heartbeat)

    async def deregister(self, server_id: str, born_ms: int | None) -> None:
        """Commit a server's departure, whereupon the leader marks it as draining.

        Parameters
        ----------
        server_id : str
            Identity of the server.
        born_ms : int or None
            Incarnation of the server. If None, that of its pending heartbeat, or the
            one that this host knows, or else the one registered by the leader.
        """
        if born_ms is None:
            newest = self.heartbeats.newest(server_id)
            known = self.view.servers.get(server_id)
            if newest is not None:
                born_ms = newest.born_ms
            else:
                # Taken here, since a call that is held up may reach the leader after
                # the server has started again.
                born_ms = known.record.born_ms if known else UNKNOWN_BORN_MS
        await self.orders.submit(RecordDeparture(server_id, born_ms))

    def _build_report(self) -> HostReport:
        settings = self.settings
        # A control host has no address for callers and does not accept requests.
        return HostReport(settings.host_id, "", settings.zone, settings.region, False)

    def _replica_settings(self) -> ReplicaSettings:
        settings = self.settings
        is_seed = settings.peer_address in settings.seeds
        return ReplicaSettings(
            address=settings.peer_address,
            peers=tuple(s for s in settings.seeds if s != settings.peer_address),
            data_folder=settings.data_folder,
            bootstrap=self._may_bootstrap and is_seed,
            admit_newcomers=True,
            min_voters=max(MIN_VOTERS, 2 * settings.tolerated_losses + 1),
            heartbeat_ms=REPLICA_HEARTBEAT_MS,
            lease_ms=LEADER_LEASE_MS,
            election_min_ms=ELECTION_MIN_MS,
            election_max_ms=ELECTION_MAX_MS,
        )

    async def _handle_plan_request(self, request: PlanRequest) -> PlanReply:
        state = self.state  # of this log; both are replaced after a storage failure
        await self.log.read_barrier(READ_TIMEOUT_MS)
        if state.plan is None:
            return PlanReply(-1)  # no plan yet
        return PlanReply(state.plan.version, state.document)

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], interval_ms: float
    ) -> None:
        while True:
            await self.clock.sleep_ms(interval_ms)
            try:
                await step()
            except Exception as error:
                # Logged instead of raised: without these steps, the process would go on
                # as a leader that receives no heartbeats.
                self._events.write(Event.UNEXPECTED_ERROR, error=repr(error))

    async def _send_heartbeats(self, batch: AnnounceBatch) -> None:
        if self.log.is_leader():
            await self.publisher.handle_heartbeats(batch)
        else:
            await self.session.call_leader(batch, LEADER_CALL_TIMEOUT_MS)

    async def _save_fleet(self) -> None:
        if self.view.servers and self.view.age_ms() < MAX_VIEW_AGE_MS:
            await self.cache.save(self.view.records())

    async def _check(self) -> None:
        if not self.log.is_open:
            await self.clock.sleep_ms(STORAGE_RETRY_MS)
            await self._restart_log()
            return
        if not self.log.is_leader():
            return
        self.publisher.check_silence()
        try:
            await self.log.retire_silent_voter(RETIRE_TIMEOUT_MS)
            await self.log.remove_silent_learner(RETIRE_TIMEOUT_MS)
        except BulrushleadError as error:
            # This event also reports that a silent member could not be removed.
            self._events.write(
                Event.REPLICA_STALLED, code=error.code.value, error=error.detail
            )
