"""The gateway program: connects its components."""

import random

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Dispatcher
from bulrushlead.fleet import FleetUpdate, FleetView, HostReport, LeaderSession
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._forwarding import RequestForwarder
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
from bulrushlead.wire import LinkFactory

# Interval at which a draining gateway closes idle connections: short, so that the
# process ends soon after its last request.
CLOSE_IDLE_INTERVAL_MS = 50
ACCEPT_SHARE = 0.55  # of the drain time; the rest is for requests in progress


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
        self.forwarder = RequestForwarder(
            clock, dialect, self.dispatcher, self.pool, rng, self.meters
        )
        self.front = HttpServer.at(settings.front_address, self.forwarder.answer, clock)
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
        self.meters.register_gauge(Metric.FLEET_AGE_MS, self.dispatcher.fleet_age_ms)
        self.meters.register_gauge(Metric.SERVERS, lambda: len(self.view.servers))
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
        await self.session.start()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; addresses and location change only with a restart."""
        self.settings = settings
        self.session.seeds = settings.seeds
        self.dispatcher.reload(settings.dispatch)

    async def drain(self) -> None:
        """Stop accepting requests and wait for those in progress.

        Callers use this host until their lookups expire, so it accepts requests for a
        share of the drain time. Later requests are refused; accepted ones have the
        rest of the time to finish.
        """
        self.front.drain()
        now_ms = self.clock.now_ms()
        accept_until_ms = now_ms + self.settings.drain_ms * ACCEPT_SHARE
        deadline_ms = now_ms + self.settings.drain_ms
        await self.clock.sleep_ms(accept_until_ms - now_ms)
        self.front.stop_listening()
        self.forwarder.stop()
        while not self.front.close_idle() and self.clock.now_ms() < deadline_ms:
            await self.clock.sleep_ms(CLOSE_IDLE_INTERVAL_MS)

    async def close(self) -> None:
        """Close all connections without waiting for requests in progress."""
        await self.session.close()
        await self.front.close()
        await self.readiness.close()
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
        return HostReport(
            settings.host_id,
            settings.front_address,
            settings.zone,
            settings.region,
            self.is_ready,
            self.dispatcher.pop_mean_loads(),
            self.dispatcher.notices.unpublished_drains(self.view.servers.get),
            self.dispatcher.demand.pop(),
            self.dispatcher.pop_unreachable(),
            self.dispatcher.limits.unpublished(self.view.servers.get),
            answered,
        )

    def _on_update(self, update: FleetUpdate) -> None:
        plan = self.view.plan
        if update.plan is not None and plan is not None:
            self._activate_plan(plan)
        self.dispatcher.update(self.view)

    def _activate_plan(self, plan) -> None:
        self.forwarder.set_plan(plan)
        limits = plan.limits
        self.front.limits = RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        self._log.write(
            Event.CONFIGURATION_IN_FORCE, version=plan.version, routes=len(plan.routes)
        )

    async def _answer_readiness(self, request: Request) -> Answer:
        return Answer(200 if self.is_ready else 503)
