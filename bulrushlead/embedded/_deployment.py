"""A whole deployment in one process: the same programs, wired on loopback."""

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

LinkMaker = Callable[[str, str], PeerLink]


class Deployment:
    """Control hosts, entry hosts and sample backend servers in one process.

    Parameters
    ----------
    plan : DeploymentPlan
        Shape of the deployment.
    data_folder : str, default=""
        Folder for the data folders of the control hosts; temporary if empty.
    seed : int, optional
        Seed of election times and routing choices; random by default.
    policy : Policy, optional
        Routing policy of the entry hosts.
    link_to : callable, optional
        Makes the link from a host, by name, to the peer address of a control
        host.

    Attributes
    ----------
    controls : dict of str to ControlHost
        Control hosts that run, by name.
    entries : dict of str to EntryHost
        Entry hosts that run, by name.
    servers : dict of str to SampleServer
        Backend servers that run, by name.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        data_folder: str = "",
        seed: int | None = None,
        policy: Policy | None = None,
        link_to: LinkMaker | None = None,
    ):
        self.plan = plan
        self.data_folder = data_folder
        self.seed = seed
        self.policy = policy
        self.link_to = link_to
        self.clock: Clock = MonotonicClock()
        self.controls: dict[str, ControlHost] = {}
        self.entries: dict[str, EntryHost] = {}
        self.servers: dict[str, SampleServer] = {}
        self.control_settings: dict[str, ControlSettings] = {}
        self.entry_addresses: dict[str, str] = {}
        self._temporary: tempfile.TemporaryDirectory | None = None
        self._rng = random.Random(seed)

    @property
    def operator_addresses(self) -> tuple[str, ...]:
        """Addresses of all control hosts for operators' calls."""
        return tuple(s.operator_address for s in self.control_settings.values())

    async def start(self) -> None:
        """Start everything, apply the declaration and wait until it serves."""
        self._plan_controls()
        for name in self.control_settings:
            await self.start_control(name)
        for name in self.plan.entry_names():
            await self.start_entry(name)
        await self.apply(self.plan.declaration(self.entry_addresses))
        for service in self.plan.services:
            await self._start_servers(service)
        await self.wait_ready()

    async def drain(self) -> None:
        """Stop the entry hosts gracefully: what runs ends, nothing is cut off."""
        await asyncio.gather(*(entry.drain() for entry in self.entries.values()))

    async def close(self) -> None:
        """Stop everything, control hosts last."""
        for name in list(self.entries):
            await self.stop_entry(name)
        for server in self.servers.values():
            await server.close()
        for name in list(self.controls):
            await self.stop_control(name)
        if self._temporary is not None:
            self._temporary.cleanup()

    async def start_control(self, name: str) -> None:
        """Start a control host on the data folder that it has."""
        host = ControlHost(
            self.control_settings[name],
            self.clock,
            self._new_rng(),
            link_to=self._link_maker(name),
        )
        await host.start()
        self.controls[name] = host

    async def stop_control(self, name: str) -> None:
        """Stop a control host; its data folder stays."""
        await self.controls.pop(name).close()

    async def start_entry(self, name: str) -> None:
        """Start an entry host on the address that it had before, if any."""
        region, zone = self.plan.entry_zone(name)
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
            link_to=self._link_maker(name),
        )
        await host.start()
        self.entries[name] = host
        self.entry_addresses[name] = f"{LOOPBACK}:{host.bound_port}"

    async def stop_entry(self, name: str) -> None:
        """Stop an entry host at once, without draining it."""
        await self.entries.pop(name).close()

    async def apply(
        self,
        declaration: Declaration,
        expected_revision: int | None = None,
        request_id: str = "",
    ) -> int:
        """Put a declaration in force and return its revision."""
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
        self, plan: ServicePlan, name: str, region: str, availability_zone: str
    ) -> SampleServer:
        """Start a backend server that announces itself to every entry host."""
        server = SampleServer(
            SampleServerSettings(
                name=name,
                service=plan.service.name,
                region=region,
                availability_zone=availability_zone,
                slots=plan.slots,
                connections=plan.connections,
                service_time_ms=plan.service_time_ms,
                answer_bytes=plan.answer_bytes,
                entry_hosts=tuple(self.entry_addresses.values()),
            ),
            self.clock,
        )
        await server.start()
        self.servers[name] = server
        return server

    async def wait_ready(self) -> None:
        """Wait until the entry hosts know every backend server and hold slots.

        Raises
        ------
        BulrushleadError
            ``PEER_TIMEOUT`` if that takes too long.
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
        known = entry.session.servers
        held = {
            known[name].service
            for name in entry.holder.servers_with_free_slots()
            if name in known
        }
        return known.keys() >= self.servers.keys() and held == {
            plan.service.name for plan in self.plan.services
        }

    def _plan_controls(self) -> None:
        folder = self.data_folder
        if not folder:
            self._temporary = tempfile.TemporaryDirectory(prefix="bulrushlead-")
            folder = self._temporary.name
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

    async def _start_servers(self, plan: ServicePlan) -> None:
        for region in self.plan.regions:
            for zone in self.plan.zones(region):
                for number in range(plan.servers_per_zone):
                    name = f"{plan.service.name}-{zone}-{number + 1}"
                    await self.start_server(plan, name, region, zone)

    def _link_maker(self, name: str) -> Callable[[str], PeerLink]:
        if self.link_to is None:
            return lambda address: MessageClient(address, self.clock)
        return lambda address: self.link_to(name, address)

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))


def free_ports(count: int) -> list[int]:
    """Return ports that the operating system gave and that are free again."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((LOOPBACK, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
