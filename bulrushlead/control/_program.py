"""Assembles the components of a control host and runs them."""

import asyncio
import contextlib
import datetime
import random
import ssl
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.control._drains import StartDrain
from bulrushlead.control._state import ControlState
from bulrushlead.control._terms import BeginTerm
from bulrushlead.distribution import Publisher, SyncReply, SyncRequest
from bulrushlead.keys import (
    AbandonHost,
    AbandonKey,
    ClaimKey,
    FinishKey,
    ForgetKeys,
    ListUnknownKeys,
    ReadKey,
    ResolveKey,
)
from bulrushlead.leases import LeaseSettings
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import Meters, Metric
from bulrushlead.operators import (
    AcceptedConfiguration,
    ApplyDeclaration,
    ApplyReply,
    ClusterStatus,
    ConfigurationState,
    Credentials,
    OperatorServer,
)
from bulrushlead.replication import FileStorage, ReplicaSettings, ReplicatedLog
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.settings import ControlSettings
from bulrushlead.wire import (
    ByteMeter,
    ErrorReply,
    MessageClient,
    MessageServer,
    PeerLink,
    codec,
)

PROPOSE_TIMEOUT_MS = 1_500  # also for read barriers
TICK_INTERVAL_MS = 200  # also the delay before a retry of ``BeginTerm``
STORAGE_RETRY_MS = 500  # a full disk usually stays full for seconds

_KEY_COMMANDS = (
    ClaimKey,
    FinishKey,
    AbandonKey,
    AbandonHost,
    ResolveKey,
    ForgetKeys,
)


class ControlHost:
    """A control host: one replica of the log, which may be the leader.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the host.
    clock : Clock
        Source of time.
    rng : random.Random
        Random numbers for identities and election timeouts, which must differ
        between processes.
    ssl_context_server, ssl_context_client : ssl.SSLContext, optional
        TLS contexts of connections between processes.
    credentials : Credentials, optional
        TLS credentials of operators' calls.
    link_factory : callable, optional
        Returns the link to the control host at an address.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        rng: random.Random,
        ssl_context_server: ssl.SSLContext | None = None,
        ssl_context_client: ssl.SSLContext | None = None,
        credentials: Credentials | None = None,
        link_factory: Callable[[str], PeerLink] | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.ssl_context_client = ssl_context_client
        self.meters = Meters()
        self.byte_meter = ByteMeter()
        self.link_factory = link_factory or self._link_to
        self.state = ControlState()
        self.log = self._build_log()
        self.publisher = Publisher(
            clock,
            lambda: self.log.is_leader(),
            LeaseSettings(lease_ms=settings.lease_ms),
            settings.announcement_timeout_ms,
            self._on_entry_restart,
        )
        address, _, port = settings.peer_address.rpartition(":")
        self.messages = MessageServer(
            address, int(port), self.byte_meter, ssl_context_server
        )
        address, _, port = settings.operator_address.rpartition(":")
        self.operators = OperatorServer(
            address, int(port), _ControlBackend(self), credentials, clock
        )
        self._metrics_runner: web.AppRunner | None = None
        self._tick_task: asyncio.Task | None = None
        self._storage_task: asyncio.Task | None = None
        self._term_task: asyncio.Task | None = None
        self._abandon_tasks: set[asyncio.Task] = set()
        self._log = EventLogger("control")

    async def start(self) -> None:
        """Load the data folder, start the replica and serve calls."""
        self.state.configuration.add_listener(self._on_accepted)
        self._register_handlers()
        await self.messages.start()
        await self.log.start()
        await self.operators.start()
        await self._start_metrics()
        self._tick_task = asyncio.create_task(self._run_checks())
        # A task of its own, since a disk that does not answer delays these checks.
        self._storage_task = asyncio.create_task(self._run_storage_checks())
        self._log.write(
            Event.PROCESS_STARTED, program="control", name=self.settings.name
        )

    async def close(self) -> None:
        """Stop serving calls and stop the replica."""
        self._log.write(
            Event.PROCESS_STOPPING, program="control", name=self.settings.name
        )
        tasks = (self._tick_task, self._storage_task, self._term_task)
        for task in (*tasks, *self._abandon_tasks):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        await self.operators.close()
        await self.log.close()
        await self.messages.close()
        if self._metrics_runner is not None:
            await self._metrics_runner.cleanup()
        self._log.write(
            Event.PROCESS_STOPPED, program="control", name=self.settings.name
        )

    async def propose(self, command: Any) -> Any:
        """Append a command to the log and return its reply.

        Parameters
        ----------
        command : message
            A command of the replicated state.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, ``NO_QUORUM``, ``CHANGE_OUTCOME_UNKNOWN`` or the code
            with which the state refuses the command.
        """
        data = await self.log.propose(codec.encode(command), PROPOSE_TIMEOUT_MS)
        reply = codec.decode(data)
        if isinstance(reply, ErrorReply):
            raise BulrushleadError(ResultCode(reply.code), reply.detail)
        return reply

    def _build_log(self) -> ReplicatedLog:
        log = ReplicatedLog(
            self._replica_settings(),
            self.clock,
            FileStorage(self.settings.data_folder),
            self.link_factory,
            self.state,
            self.rng,
        )
        log.watch_leadership(self._on_leadership)
        return log

    def _replica_settings(self) -> ReplicaSettings:
        settings = self.settings
        return ReplicaSettings(
            address=settings.peer_address,
            peers=[p for p in settings.peers if p != settings.peer_address],
            data_folder=settings.data_folder,
            bootstrap=settings.bootstrap,
        )

    def _link_to(self, address: str) -> MessageClient:
        return MessageClient(
            address, self.clock, self.byte_meter, self.ssl_context_client
        )

    def _register_handlers(self) -> None:
        self.log.register(self.messages)
        self.messages.register_handler(SyncRequest, self._answer_sync)
        for command in _KEY_COMMANDS:
            self.messages.register_handler(command, self.propose)
        for query in (ReadKey, ListUnknownKeys):
            self.messages.register_handler(query, self._answer_key_query)

    async def _answer_sync(self, request: SyncRequest) -> SyncReply:
        return self.publisher.answer(request)

    async def _answer_key_query(self, query: ReadKey | ListUnknownKeys) -> Any:
        state = self.state  # of this log; both are replaced after a storage failure
        await self.log.read_barrier(PROPOSE_TIMEOUT_MS)
        return state.keys.read(query)

    def _on_accepted(self, accepted: AcceptedConfiguration) -> None:
        self._log.write(Event.CONFIGURATION_ACCEPTED, revision=accepted.revision)
        self.meters.set(Metric.REVISION, accepted.revision)
        self._publish_configuration()

    def _publish_configuration(self) -> None:
        current = self.state.configuration.current
        self.publisher.set_configuration(
            current.revision,
            current.declaration,
            self.state.drains.active(current.declaration),
        )

    def _on_entry_restart(self, host: str, incarnation: str) -> None:
        task = asyncio.create_task(self._abandon_keys(host, incarnation))
        self._abandon_tasks.add(task)
        task.add_done_callback(self._abandon_tasks.discard)

    async def _abandon_keys(self, host: str, incarnation: str) -> None:
        """Mark keys that earlier incarnations of an entry host claimed as unknown."""
        try:
            await self.propose(AbandonHost(host, incarnation))
        except BulrushleadError as error:
            # The keys then stay in progress until a repeated request abandons them,
            # once their entry host has restarted or a time limit has passed.
            self._log.write(Event.KEY_LOST, host=host, detail=error)

    def _on_leadership(self, is_leader: bool) -> None:
        if self._term_task is not None:
            self._term_task.cancel()
            self._term_task = None
        self.publisher.stop_term()
        if is_leader:
            self._term_task = asyncio.create_task(self._start_term(self.log.term))

    async def _start_term(self, term: int) -> None:
        """Record in the log that leases may be granted, then start granting."""
        while self.log.term == term:
            try:
                reply = await self.propose(BeginTerm(term))
            except BulrushleadError:
                await self.clock.sleep_ms(TICK_INTERVAL_MS)
                continue
            if self.log.term == term and self.log.is_leader():
                self.publisher.start_term(term, no_prior_grants=reply.first)
                self._publish_configuration()
            return

    async def _run_checks(self) -> None:
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            self.publisher.tick()
            self._set_gauges()
            if self.log.is_leader():
                await self._start_due_drains()

    async def _run_storage_checks(self) -> None:
        while True:
            await self.clock.sleep_ms(STORAGE_RETRY_MS)
            if self.log.is_open:
                continue
            try:
                await self._restart_log()
            except Exception as error:
                # Logged instead of raised: without this loop the replica would stay
                # stopped until an operator restarts the process.
                self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))

    async def _restart_log(self) -> None:
        """Replace the log, whose storage failed, and its state by new ones."""
        await self.log.close()
        previous, self.state = self.state, ControlState()
        self.state.configuration.copy_listeners(previous.configuration)
        self.log = self._build_log()
        self.log.register(self.messages)
        try:
            await self.log.start()
        except BulrushleadError as error:
            self._log.write(
                Event.STORAGE_FAILED, code=error.code.value, error=error.detail
            )

    async def _start_due_drains(self) -> None:
        declaration = self.state.configuration.current.declaration
        now = datetime.datetime.now(datetime.UTC)
        for drain in self.state.drains.due(declaration, now):
            try:
                await self.propose(StartDrain(drain.name, drain.start_at))
            except BulrushleadError as error:
                # The next tick or the next leader retries.
                self._log.write(
                    Event.CONFIGURATION_REFUSED, drain=drain.name, detail=error
                )
                continue
            self._log.write(
                Event.DRAIN_STARTED,
                drain=drain.name,
                target=drain.target.value,
                target_name=drain.target_name,
            )
            self._publish_configuration()

    def _set_gauges(self) -> None:
        self.meters.set(Metric.IS_LEADER, int(self.log.is_leader()))
        self.meters.set(Metric.TERM, self.log.term)
        self.meters.set(Metric.APPLIED_INDEX, self.log.last_applied)
        self.meters.set(
            Metric.CONTROL_BYTES, self.byte_meter.sent_bytes, direction="sent"
        )
        self.meters.set(
            Metric.CONTROL_BYTES, self.byte_meter.received_bytes, direction="received"
        )

    async def _start_metrics(self) -> None:
        address, _, port = self.settings.metrics_address.rpartition(":")
        app = web.Application()
        app.router.add_get("/metrics", self.meters.serve)
        self._metrics_runner = web.AppRunner(app, access_log=None)
        await self._metrics_runner.setup()
        await web.TCPSite(self._metrics_runner, address, int(port)).start()


class _ControlBackend:
    """Implements `OperatorBackend` for a control host."""

    def __init__(self, host: ControlHost):
        self.host = host

    @property
    def state(self) -> ConfigurationState:
        """Configuration state of this replica."""
        return self.host.state.configuration

    async def propose(self, command: ApplyDeclaration) -> ApplyReply:
        """Append a change to the log and return its reply."""
        return await self.host.propose(command)

    async def read_barrier(self) -> None:
        """Wait until this replica has applied every change accepted before the call."""
        await self.host.log.read_barrier(PROPOSE_TIMEOUT_MS)

    def status(self) -> ClusterStatus:
        """Return the revision in force on each entry host."""
        return ClusterStatus(
            revision=self.state.current.revision,
            leader=self.host.settings.name,
            term=self.host.log.term,
            hosts=self.host.publisher.statuses(),
        )

    def backend_servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers that are currently announced."""
        return self.host.publisher.registry.table.values()

    def is_leader(self) -> bool:
        """Return whether this replica is the leader with a valid lease."""
        return self.host.log.is_leader()

    def leader_hint(self) -> str:
        """Return an empty string: replicas know only each other's peer addresses."""
        return ""
