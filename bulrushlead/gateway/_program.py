"""The gateway program: connects its components."""

import asyncio
import random

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    HostReport,
    LeaderSession,
    ServerRecord,
    ServerState,
)
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._evidence_link import EvidenceLink
from bulrushlead.gateway._forwarding import RequestForwarder
from bulrushlead.gateway._relaying import HostRelay
from bulrushlead.gateway._settings import GatewaySettings
from bulrushlead.http1 import (
    Answer,
    ConnectionPool,
    HttpServer,
    Request,
    RequestLimits,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.relay import (
    CarrierTable,
    Connectivity,
    RelayClient,
    RelayService,
    ServerProber,
)
from bulrushlead.wire import LinkFactory

# Interval at which a draining gateway closes idle connections: short, so that the
# process ends soon after its last request.
CLOSE_IDLE_INTERVAL_MS = 50
# Room for the header fields that a host adds to a request that it passes on.
MAX_ORDER_BYTES = 4 * 1024
# Longer than a request of a connected caller travels or waits to be read.
CLOSE_IDLE_AFTER_MS = 150
ACCEPT_SHARE = 0.55  # of the drain time; the rest is for requests in progress
ANSWER_MARGIN_MS = 100  # for the answer to a request whose time ends


class Gateway:
    """An entry host that forwards callers' requests to announced backend servers.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the host.
    dialect : Dialect
        Names of header fields.
    clock : Clock
        Source of time.
    link_factory : callable
        Creates the link to the peer address of a coordinator.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        clock: Clock,
        link_factory: LinkFactory,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.meters = CompactMeters()
        self.view = FleetView(clock)
        self.dispatcher = Dispatcher(clock, settings.dispatch)
        self.pool = ConnectionPool(clock, dialect.request_id)
        self.connectivity = Connectivity(clock)
        self.connectivity.on_change = self._on_connectivity
        self.pool.on_silent = self.connectivity.record_failure
        self.prober = ServerProber(
            clock, self.connectivity, self.pool, self._probe_targets, rng
        )
        self.carriers = CarrierTable(clock, settings.host_id, settings.region, rng)
        self.relay_client = RelayClient(clock, self.carriers)
        relay = HostRelay(
            clock,
            self.dispatcher,
            self.connectivity,
            self.carriers,
            self.relay_client,
            self.meters,
        )
        self.forwarder = RequestForwarder(
            clock,
            dialect,
            self.dispatcher,
            self.pool,
            rng,
            self.meters,
            self.connectivity,
            relay,
            settings.organisations,
        )
        self.forwarder.callers.quota.is_keeper = lambda name: (
            self.carriers.keeper(name) == settings.host_id
        )
        self.relay_service = RelayService(self.forwarder.carry, self.meters)
        self.peer_server: HttpServer | None = None
        if settings.peer_address:
            self.peer_server = HttpServer.at(
                settings.peer_address, self.relay_service.answer, clock
            )
        self.front = HttpServer.at(settings.front_address, self.forwarder.answer, clock)
        self.front.unanswered.id_header = dialect.request_id
        if self.peer_server is not None:
            self.peer_server.bodies = self.front.bodies
            self.peer_server.unanswered.id_header = dialect.request_id
        self.readiness = HttpServer.at(
            settings.readiness_address, self._answer_readiness, clock
        )
        self.session = LeaderSession(
            clock,
            settings.seeds,
            link_factory,
            self.view,
            self._report,
            self._on_update,
            rng,
        )
        self.observer = self.forwarder.observer
        self.evidence_link = EvidenceLink(settings.host_id, self.session, self.observer)
        self.observer.on_evidence = self.evidence_link.send_soon
        self.forwarder.gate.request_trial = self.evidence_link.request_trial
        self.meters.register_gauge(
            Metric.QUARANTINED_REQUESTS, lambda: len(self.observer.table.quarantined)
        )
        self.meters.register_gauge(Metric.FLEET_AGE_MS, self.dispatcher.fleet_age_ms)
        self.meters.register_gauge(Metric.SERVERS, lambda: len(self.view.servers))
        self.meters.register_gauge(
            Metric.CUT_OFF, lambda: float(self.connectivity.is_cut_off)
        )
        self.meters.register_gauge(
            Metric.UNREACHABLE_SERVERS, self.dispatcher.unreachable_count
        )
        self.meters.register_gauge(
            Metric.LIMITED_SERVERS, lambda: self.dispatcher.limits.limited_count
        )
        self._log = EventLogger("gateway")

    async def start(self) -> None:
        """Start listening and subscribe to the plan and the fleet."""
        await self.readiness.start()
        await self.front.start()
        await self._start_peer_server()
        await self.prober.start()
        await self.session.start()

    async def _start_peer_server(self) -> None:
        if self.peer_server is None:
            return
        try:
            await self.peer_server.start()
        except OSError as error:
            # The host serves its own callers even if it cannot carry for others.
            self.peer_server = None
            self._log.write(
                Event.UNEXPECTED_ERROR, error=f"peer port not available: {error}"
            )

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; addresses and location change only with a restart."""
        self.settings = settings
        self.session.seeds = settings.seeds
        self.dispatcher.reload(settings.dispatch)
        self.forwarder.callers.reload(settings.organisations)

    async def drain(self) -> None:
        """Stop accepting requests and wait for those in progress.

        Callers use this host until their lookups expire, so it accepts requests for a
        share of the drain time, if the time of each ends within it. All others are
        refused: a caller can repeat a request that has not run, but may not repeat
        one that is broken off.
        """
        servers = self.request_servers
        for server in servers:
            server.drain()
        now_ms = self.clock.now_ms()
        accept_until_ms = now_ms + self.settings.drain_ms * ACCEPT_SHARE
        deadline_ms = now_ms + self.settings.drain_ms
        self.forwarder.begin_stop(deadline_ms - ANSWER_MARGIN_MS)
        await self.clock.sleep_ms(accept_until_ms - now_ms)
        self._write_progress("refuses all", deadline_ms)
        for server in servers:
            await server.stop_listening()
        self.forwarder.stop()
        while sum(not server.close_idle(CLOSE_IDLE_AFTER_MS) for server in servers):
            if self.clock.now_ms() >= deadline_ms:
                break
            await self.clock.sleep_ms(CLOSE_IDLE_INTERVAL_MS)
        self._write_progress("closes", deadline_ms)

    def _write_progress(self, step: str, deadline_ms: float) -> None:
        self._log.write(
            Event.STOP_PROGRESS,
            step=step,
            left_ms=round(deadline_ms - self.clock.now_ms()),
            connections=sum(len(one.connections) for one in self.request_servers),
            in_progress=sum(one.count_in_progress() for one in self.request_servers),
        )

    @property
    def request_servers(self) -> list[HttpServer]:
        """Servers of requests: of callers, and of hosts that pass theirs on."""
        return [self.front, *([self.peer_server] if self.peer_server else [])]

    async def close(self) -> None:
        """Close all connections without waiting for requests in progress."""
        for server in [*self.request_servers, self.readiness]:
            await server.close()
        # Together, since a coordinator that does not answer delays the session's end.
        await asyncio.gather(
            self.session.close(),
            self.prober.close(),
            self.forwarder.close(),
            self.evidence_link.close(),
        )
        self.relay_client.close_idle()
        self.pool.close()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this host."""
        return (
            self.view.plan is not None
            and bool(self.view.servers)
            and not self.front.draining
        )

    def _report(self) -> HostReport:
        settings = self.settings
        answered = self.dispatcher.pop_answered()
        unreachable = ()
        # A host that may be cut off cannot tell which servers are unreachable.
        if not self.connectivity.is_suspected:
            unreachable = self.dispatcher.pop_unreachable()
        return HostReport(
            host_id=settings.host_id,
            address=settings.front_address,
            zone=settings.zone,
            region=settings.region,
            accepting=self.is_ready,
            loads=self.dispatcher.pop_mean_loads(),
            draining=self.dispatcher.notices.unpublished_drains(self.view.servers.get),
            demand=self.dispatcher.demand.pop(),
            unreachable=unreachable,
            limits=self.dispatcher.limits.unpublished(self.view.servers.get),
            answered=answered,
            peer_address=settings.peer_address if self.peer_server is not None else "",
            reaches_servers=not self.connectivity.is_cut_off,
            suspects=self.observer.report(self.view.position.epoch),
            usage=self.forwarder.callers.quota.report(),
        )

    def _on_connectivity(self) -> None:
        if not self.connectivity.is_cut_off:
            self.dispatcher.reset_unreachable()
            self.relay_client.close_idle()

    def _probe_targets(self) -> list[ServerRecord]:
        return [
            server.record
            for server in self.view.servers.values()
            if server.record.state is ServerState.READY
        ]

    def _on_update(self, update: FleetUpdate) -> None:
        plan = self.view.plan
        if update.plan is not None and plan is not None:
            self._activate_plan(plan)
        self.dispatcher.update(self.view)
        self.observer.apply(update.position.epoch, update.suspects)
        self.observer.review(self._has_ended)
        self.carriers.update(self.view.hosts)
        callers, asked_ms = self.forwarder.callers, self.view.confirmed_ms
        callers.quota.record_update(update.position.epoch, update.quotas, asked_ms)
        callers.access.confirm(asked_ms)

    def _has_ended(self, server_id: str, born_ms: int) -> bool:
        server = self.view.servers.get(server_id)
        return (
            server is None or server.record.born_ms != born_ms or server.record.silent
        )

    def _activate_plan(self, plan) -> None:
        self.forwarder.set_plan(plan)
        limits = plan.limits
        self.front.limits = RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        if self.peer_server is not None:
            self.peer_server.limits = RequestLimits(
                limits.max_header_bytes + MAX_ORDER_BYTES, limits.max_body_bytes
            )
        self._log.write(
            Event.CONFIGURATION_IN_FORCE, version=plan.version, routes=len(plan.routes)
        )

    async def _answer_readiness(self, request: Request) -> Answer:
        return Answer(200 if self.is_ready else 503)
