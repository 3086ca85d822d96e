"""Assembles the components of an entry host and runs them."""

import random
import secrets
import ssl
from collections.abc import Callable

from bulrushlead.backend import Announcement
from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration
from bulrushlead.distribution import (
    HostView,
    LeaderClient,
    ReportedLoad,
    Session,
    SessionListener,
)
from bulrushlead.entry._http import EntryHttp
from bulrushlead.entry._limits import TrafficLimits
from bulrushlead.entry._lookups import Lookups
from bulrushlead.entry._parts import SteeringParts
from bulrushlead.entry._placement import Placer
from bulrushlead.entry._steering import Steering
from bulrushlead.forwarding import Forwarder, ForwarderSettings
from bulrushlead.keys import KeyCoordinator, KeySettings
from bulrushlead.leases import LeaseHolder
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import Meters, Metric
from bulrushlead.routing import LatencyAware, Policy, Router, RouterSettings
from bulrushlead.settings import EntrySettings
from bulrushlead.wire import ByteMeter, MessageClient, PeerLink

KEY_CALL_TIMEOUT_MS = 1_000
FINAL_SYNC_TIMEOUT_MS = 1_000  # for the sync that reports the released lease
INCARNATION_BYTES = 8


class EntryHost:
    """An entry host: answers look-ups and forwards requests to backend servers.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the host.
    clock : Clock
        Source of time.
    rng : random.Random
        Random numbers for jitter and for the router.
    policy : Policy, optional
        Routing policy; the default is ``LatencyAware()``.
    ssl_context : ssl.SSLContext, optional
        TLS context of connections to control hosts.
    link_factory : callable, optional
        Returns the link to the control host at an address.

    Attributes
    ----------
    bound_port : int
        Port that callers connect to, after ``start()``.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        policy: Policy | None = None,
        ssl_context: ssl.SSLContext | None = None,
        link_factory: Callable[[str], PeerLink] | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.policy = policy or LatencyAware()
        self.ssl_context = ssl_context
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.meters = Meters()
        self.byte_meter = ByteMeter()
        self.router = Router(clock, rng, RouterSettings(), self.policy)
        self.holder = LeaseHolder(clock, settings.name, self.incarnation)
        self.control = LeaderClient(
            settings.control_addresses, clock, rng, link_factory or self._link_to
        )
        self.session = Session(
            self._host_view(settings.address),
            clock,
            self.control,
            self.holder,
            settings.sync_interval_ms,
            rng,
            SessionListener(
                self._on_configuration, self._on_servers, self._on_reported_loads
            ),
        )
        self.limits = TrafficLimits(clock, self.holder, settings.region)
        self.lookups = Lookups(self.session, clock, settings.lookup_ttl_ms)
        self.forwarder = Forwarder(
            clock, ForwarderSettings(max_answer_bytes=settings.max_answer_bytes)
        )
        self.keys = KeyCoordinator(
            clock,
            _KeyControl(self.control),
            KeySettings(settings.name, self.incarnation),
        )
        self.placer = Placer(
            self.session,
            self.holder,
            self.limits,
            self.router,
            clock,
            settings.region,
            settings.availability_zone,
        )
        self.steering = Steering(clock, settings.region, self._parts())
        address, _, port = settings.address.rpartition(":")
        self.http = EntryHttp(
            address,
            int(port),
            clock,
            self.session,
            self.lookups,
            self.steering,
            self.meters,
            settings.max_body_bytes,
        )
        self._draining = False
        self._log = EventLogger("entry")

    @property
    def bound_port(self) -> int:
        """Port that callers connect to."""
        return self.http.bound_port

    async def start(self) -> None:
        """Listen; requests are refused until the first sync with the leader."""
        await self.forwarder.start()
        await self.keys.start()
        await self.http.start()
        address = self.settings.address.rpartition(":")[0]
        self.session.host = self._host_view(f"{address}:{self.bound_port}")
        await self.session.start()
        self._log.write(
            Event.PROCESS_STARTED,
            program="entry",
            name=self.settings.name,
            port=self.bound_port,
        )

    async def drain(self) -> None:
        """Stop gracefully.

        Look-ups stop returning the host at once. The host serves callers until
        cached look-up answers have expired, then finishes the running requests and
        releases its lease.
        """
        if self._draining:
            return
        self._draining = True
        self._log.write(
            Event.PROCESS_STOPPING, program="entry", name=self.settings.name
        )
        self.session.set_draining()
        await self.clock.sleep_ms(self.settings.lookup_ttl_ms)
        await self.http.stop_listening()
        await self.http.wait_idle()
        await self.keys.close()
        self.holder.release_shares()
        self.session.request_sync()
        await self._wait_final_sync()

    async def close(self) -> None:
        """Close all components at once; call ``drain`` first for a graceful stop."""
        self.steering.close()
        await self.http.close()
        await self.keys.abort()
        await self.session.close()
        await self.placer.close()
        await self.forwarder.close()
        await self.control.close()
        self._log.write(Event.PROCESS_STOPPED, program="entry", name=self.settings.name)

    def _link_to(self, address: str) -> MessageClient:
        return MessageClient(address, self.clock, self.byte_meter, self.ssl_context)

    def _parts(self) -> SteeringParts:
        return SteeringParts(
            session=self.session,
            holder=self.holder,
            limits=self.limits,
            router=self.router,
            placer=self.placer,
            forwarder=self.forwarder,
            keys=self.keys,
            meters=self.meters,
            region_of=self.lookups.region_of,
        )

    def _host_view(self, address: str) -> HostView:
        settings = self.settings
        return HostView(
            name=settings.name,
            address=address,
            region=settings.region,
            availability_zone=settings.availability_zone,
            capacity_rps=settings.capacity_rps,
        )

    def _on_configuration(self, revision: int, declaration: Declaration) -> None:
        self.router.set_links(declaration.links)
        self.limits.set_configuration(declaration)
        self.lookups.set_configuration(declaration)
        self.steering.set_configuration(declaration)
        self.meters.set(Metric.REVISION, revision)

    def _on_servers(self) -> None:
        self.lookups.refresh_hosts()
        self.limits.refresh()
        self.steering.wake()
        self.meters.set(Metric.LEASE_REMAINING_MS, self.holder.remaining_ms)
        self.meters.set(
            Metric.CONTROL_BYTES, self.byte_meter.sent_bytes, direction="sent"
        )
        self.meters.set(
            Metric.CONTROL_BYTES, self.byte_meter.received_bytes, direction="received"
        )

    def _on_reported_loads(self, loads: tuple[ReportedLoad, ...]) -> None:
        now_ms = self.clock.now_ms()
        for report in loads:
            server = self.session.servers.get(report.server)
            if server is not None:
                self.router.record_report(
                    Announcement(server, 0, report.load), now_ms - report.age_ms
                )

    async def _wait_final_sync(self) -> None:
        try:
            await self.clock.wait_for(
                self.session.wait_until(
                    lambda: not self.holder.servers_with_free_slots()
                ),
                FINAL_SYNC_TIMEOUT_MS,
            )
        except TimeoutError:
            return


class _KeyControl:
    """Sends the commands of the key coordinator to the leader."""

    def __init__(self, control: LeaderClient):
        self.control = control

    async def call(self, command: object) -> object:
        """Return the leader's reply to a command."""
        return await self.control.call(command, KEY_CALL_TIMEOUT_MS)
