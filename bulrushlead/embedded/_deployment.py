"""A complete deployment in one process, connected over loopback."""

import asyncio
import random
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path

from bulrushlead.backend import SampleServer, SampleServerSettings
from bulrushlead.clock import Clock, MonotonicClock
from bulrushlead.control import ControlHost
from bulrushlead.declaration import Declaration
from bulrushlead.embedded._plan import LOOPBACK, DeploymentPlan, ServicePlan
from bulrushlead.entry import EntryHost
from bulrushlead.operators import OperatorClient, new_request_id
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.routing import Policy
from bulrushlead.settings import ControlSettings, EntrySettings
from bulrushlead.wire import MessageClient, PeerLink

READY_TIMEOUT_MS = 20_000

HostLinkFactory = Callable[[str, str], PeerLink]


class Deployment:
    """Control hosts, entry hosts and sample backend servers in one process.

    Parameters
    ----------
    plan : DeploymentPlan
        Shape of the deployment.
    data_folder : str, default=""
        Parent folder of the control hosts' data folders; a temporary one if empty.
    seed : int, optional
        Seed of election timeouts and routing choices; random by default.
    policy : Policy, optional
        Routing policy of the entry hosts.
    link_factory : callable, optional
        Takes the name of a host and the peer address of a control host, and returns
        the link between them. By default a `MessageClient`.

    Attributes
    ----------
    controls : dict of str to ControlHost
        Running control hosts by name.
    entries : dict of str to EntryHost
        Running entry hosts by name.
    servers : dict of str to SampleServer
        Backend servers by name.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        data_folder: str = "",
        seed: int | None = None,
        policy: Policy | None = None,
        link_factory: HostLinkFactory | None = None,
    ):
        self.plan = plan
        self.data_folder = data_folder
        self.seed = seed
        self.policy = policy
        self.link_factory = link_factory
        self.clock: Clock = MonotonicClock()
        self.controls: dict[str, ControlHost] = {}
        self.entries: dict[str, EntryHost] = {}
        self.servers: dict[str, SampleServer] = {}
        self.control_settings: dict[str, ControlSettings] = {}
        self.entry_addresses: dict[str, str] = {}
        self._temporary_folder: tempfile.TemporaryDirectory | None = None
        self._rng = random.Random(seed)

    @property
    def operator_addresses(self) -> tuple[str, ...]:
        """Operator address of each control host."""
        return tuple(s.operator_address for s in self.control_settings.values())

    async def start(self) -> None:
        """Start all hosts and servers, apply the declaration and wait until ready."""
        self._create_control_settings()
        for name in self.control_settings:
            await self.start_control(name)
        for name in self.plan.entry_names():
            await self.start_entry(name)
        await self.apply(self.plan.declaration(self.entry_addresses))
        for service_plan in self.plan.services:
            await self._start_servers(service_plan)
        await self.wait_ready()

    async def drain(self) -> None:
        """Drain the entry hosts and wait until their running requests have finished."""
        await asyncio.gather(*(entry.drain() for entry in self.entries.values()))

    async def close(self) -> None:
        """Stop all entry hosts, backend servers and control hosts, in this order."""
        for name in list(self.entries):
            await self.stop_entry(name)
        for server in self.servers.values():
            await server.close()
        for name in list(self.controls):
            await self.stop_control(name)
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    async def start_control(self, name: str) -> None:
        """Start a control host on its data folder."""
        host = ControlHost(
            self.control_settings[name],
            self.clock,
            self._new_rng(),
            link_factory=self._host_link_factory(name),
        )
        await host.start()
        self.controls[name] = host

    async def stop_control(self, name: str) -> None:
        """Stop a control host and keep its data folder."""
        await self.controls.pop(name).close()

    async def start_entry(self, name: str) -> None:
        """Start an entry host, on its previous address if it ran before."""
        region, zone = self.plan.entry_location(name)
        settings = EntrySettings(
            name=name,
            region=region,
            availability_zone=zone,
            address=self.entry_addresses.get(name, f"{LOOPBACK}:0"),
            control_addresses=tuple(
                settings.peer_address for settings in self.control_settings.values()
            ),
            lookup_ttl_ms=self.plan.lookup_ttl_ms,
            sync_interval_ms=self.plan.sync_interval_ms,
        )
        host = EntryHost(
            settings,
            self.clock,
            self._new_rng(),
            self.policy,
            link_factory=self._host_link_factory(name),
        )
        await host.start()
        self.entries[name] = host
        self.entry_addresses[name] = f"{LOOPBACK}:{host.bound_port}"

    async def stop_entry(self, name: str) -> None:
        """Stop an entry host immediately, without draining it."""
        await self.entries.pop(name).close()

    async def apply(
        self,
        declaration: Declaration,
        expected_revision: int | None = None,
        request_id: str = "",
    ) -> int:
        """Apply a declaration and return its revision.

        Without ``expected_revision``, the currently accepted revision is used.
        """
        client = OperatorClient(self.operator_addresses, self.clock)
        try:
            if expected_revision is None:
                expected_revision = (await client.export()).revision
            reply = await client.apply(
                declaration,
                expected_revision,
                request_id or new_request_id(),
                force=True,
                author="embedded",
            )
        finally:
            await client.close()
        return reply.revision

    async def start_server(
        self, service_plan: ServicePlan, name: str, region: str, availability_zone: str
    ) -> SampleServer:
        """Start a backend server that announces itself to the entry hosts."""
        server = SampleServer(
            SampleServerSettings(
                name=name,
                service=service_plan.service.name,
                region=region,
                availability_zone=availability_zone,
                slots=service_plan.slots,
                connections=service_plan.connections,
                service_time_ms=service_plan.service_time_ms,
                answer_bytes=service_plan.answer_bytes,
                entry_hosts=tuple(self.entry_addresses.values()),
            ),
            self.clock,
        )
        await server.start()
        self.servers[name] = server
        return server

    async def wait_ready(self) -> None:
        """Wait until each entry host lists all servers and has slots of each service.

        Raises
        ------
        BulrushleadError
            ``PEER_TIMEOUT`` if an entry host is not ready within
            ``READY_TIMEOUT_MS``.
        """
        for entry in self.entries.values():
            try:
                await self.clock.wait_for(
                    entry.session.wait_until(lambda entry=entry: self._is_ready(entry)),
                    READY_TIMEOUT_MS,
                )
            except TimeoutError as error:
                raise BulrushleadError(
                    ResultCode.PEER_TIMEOUT,
                    f"{entry.settings.name} is not ready after {READY_TIMEOUT_MS} ms: "
                    f"revision {entry.session.revision}, knows "
                    f"{len(entry.session.servers)} of {len(self.servers)} servers",
                ) from error

    def _is_ready(self, entry: EntryHost) -> bool:
        records = entry.session.servers
        services_with_slots = {
            records[name].service
            for name in entry.holder.servers_with_free_slots()
            if name in records
        }
        return records.keys() >= self.servers.keys() and services_with_slots == {
            service_plan.service.name for service_plan in self.plan.services
        }

    def _create_control_settings(self) -> None:
        folder = self.data_folder
        if not folder:
            self._temporary_folder = tempfile.TemporaryDirectory(prefix="bulrushlead-")
            folder = self._temporary_folder.name
        ports = free_ports(3 * self.plan.controls)
        addresses = [f"{LOOPBACK}:{port}" for port in ports]
        peers = tuple(addresses[: self.plan.controls])
        for number, peer in enumerate(peers):
            name = f"control-{number + 1}"
            self.control_settings[name] = ControlSettings(
                name=name,
                peer_address=peer,
                operator_address=addresses[self.plan.controls + number],
                metrics_address=addresses[2 * self.plan.controls + number],
                peers=peers,
                data_folder=str(Path(folder) / name),
                bootstrap=True,
                lease_ms=self.plan.lease_ms,
            )

    async def _start_servers(self, service_plan: ServicePlan) -> None:
        for region in self.plan.regions:
            for zone in self.plan.zones(region):
                for number in range(service_plan.servers_per_zone):
                    name = f"{service_plan.service.name}-{zone}-{number + 1}"
                    await self.start_server(service_plan, name, region, zone)

    def _host_link_factory(self, name: str) -> Callable[[str], PeerLink]:
        if self.link_factory is None:
            return lambda address: MessageClient(address, self.clock)
        return lambda address: self.link_factory(name, address)

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))


def free_ports(count: int) -> list[int]:
    """Return ports that were free when the operating system assigned them.

    The ports are released before this function returns, so another process can bind
    them first.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
