"""A backend server for tests, experiments and the embedded program."""

import asyncio
import json
import secrets

import attrs
from aiohttp import web

from bulrushlead.backend._announcer import Announcer
from bulrushlead.backend._execution import (
    ClosePoint,
    Execution,
    ExecutionEnd,
    ServerFaults,
)
from bulrushlead.backend._headers import (
    ATTEMPT_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    RAN_HEADER,
    TIMEOUT_MS_HEADER,
)
from bulrushlead.backend._model import Announcement, BackendServer
from bulrushlead.clock import Clock

DEFAULT_TIMEOUT_MS = 30_000  # for requests without a valid timeout header


@attrs.frozen
class SampleServerSettings:
    """Settings of a sample backend server.

    Parameters
    ----------
    name, service, region, availability_zone : str
        As in `BackendServer`.
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 lets the operating system assign one.
    slots : int
        Maximum number of concurrent requests; further ones are refused as not run.
    connections : int
        Maximum number of connections to announce; not enforced.
    service_time_ms : float
        Service time of each request, in milliseconds.
    answer_bytes : int
        Minimum size of an answer's body, in bytes; shorter bodies are padded.
    entry_hosts : tuple of str
        ``host:port`` of the entry hosts to announce to; if empty, the server does not
        announce itself.
    announce_interval_ms : float
        Time between two announcements, in milliseconds.
    """

    name: str
    service: str
    region: str
    availability_zone: str
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 4
    connections: int = 390
    service_time_ms: float = 0.0
    answer_bytes: int = 0
    entry_hosts: tuple[str, ...] = ()
    announce_interval_ms: float = 500


class SampleServer:
    """Backend server with a fixed service time that records every execution.

    Parameters
    ----------
    settings : SampleServerSettings
        Settings of the server.
    clock : Clock
        Clock for service times, timeouts and announcements.

    Attributes
    ----------
    execution_log : list of Execution
        Every execution, in order of its start.
    faults : ServerFaults
        Injected faults; a test can change them at any time.
    bound_port : int
        Port that the server listens on after ``start()``.
    incarnation : str
        Identifier of this run, new at each ``start()``.
    draining : bool
        Whether it announces itself as draining.
    running : int
        Number of requests that are running.
    refused_without_free_slot : int
        Number of requests refused because every slot was in use.
    """

    def __init__(self, settings: SampleServerSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.execution_log: list[Execution] = []
        self.faults = ServerFaults()
        self.bound_port = settings.port
        self.incarnation = ""
        self.draining = False
        self.running = 0
        self.refused_without_free_slot = 0
        self._changed = asyncio.Condition()
        self._announcer: Announcer | None = None
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening, and announcing if entry hosts are configured."""
        self.incarnation = secrets.token_hex(8)
        self.draining = False
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(self._server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.address, self.bound_port)
        await site.start()
        self.bound_port = self._runner.addresses[0][1]
        if self.settings.entry_hosts:
            self._announcer = Announcer(
                self.describe,
                self.settings.entry_hosts,
                self.clock,
                self.settings.announce_interval_ms,
            )
            await self._announcer.start()

    async def close(self) -> None:
        """Stop immediately; running requests are cancelled."""
        if self._announcer is not None:
            await self._announcer.close()
            self._announcer = None
        if self._runner is not None:
            for connection in self._server.connections:
                connection.force_close()
            await self._runner.cleanup()
            self._runner = None

    async def stop_reports(self) -> None:
        """Stop announcing, but continue to run requests."""
        if self._announcer is not None:
            await self._announcer.close()
            self._announcer = None

    async def drain(self) -> None:
        """Announce the server as draining; it still runs requests that it receives."""
        self.draining = True
        if self._announcer is not None:
            self._announcer.announce_now()

    async def wait_running(self, count: int) -> None:
        """Wait until exactly ``count`` requests are running."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.running == count)

    async def wait_executions(self, count: int) -> None:
        """Wait until at least ``count`` executions have started."""
        async with self._changed:
            await self._changed.wait_for(lambda: len(self.execution_log) >= count)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections) if self._server else 0

    def executions_of(self, key: str) -> list[Execution]:
        """Return the executions of requests with an idempotency key."""
        return [entry for entry in self.execution_log if entry.key == key]

    def describe_server(self) -> BackendServer:
        """Return the server record to announce."""
        settings = self.settings
        return BackendServer(
            name=settings.name,
            service=settings.service,
            region=settings.region,
            availability_zone=settings.availability_zone,
            address=f"{settings.address}:{self.bound_port}",
            incarnation=self.incarnation,
            slots=settings.slots,
            connections=settings.connections,
            draining=self.draining,
        )

    def describe(self) -> Announcement:
        """Return an announcement of the server with its current load."""
        load = self.faults.reported_load
        if load is None:
            load = min(1.0, self.running / self.settings.slots)
        return Announcement(server=self.describe_server(), reported_load=load)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if self.faults.close_at is ClosePoint.BEFORE_RUNNING:
            return self._abort_connection(request)
        if self.running >= self.settings.slots:
            self.refused_without_free_slot += 1
            return self._refuse(request)
        if self.faults.refuse:
            return self._refuse(request)
        execution = await self._run(request, body)
        if self.faults.close_at is ClosePoint.AFTER_RUNNING:
            return self._abort_connection(request)
        if execution.end is ExecutionEnd.CANCELLED:
            return web.Response(status=504, headers=_echoed_headers(request))
        return await self._answer(request, execution)

    async def _run(self, request: web.BaseRequest, body: bytes) -> Execution:
        execution = Execution(
            sequence=len(self.execution_log) + 1,
            key=request.headers.get(IDEMPOTENCY_KEY_HEADER),
            method=request.method,
            path=request.path_qs,
            body=body,
            draining=self.draining,
            started_ms=self.clock.now_ms(),
        )
        self.execution_log.append(execution)
        self.running += 1
        try:
            await self._notify_waiters()
            await self.clock.wait_for(self._simulate_work(), _timeout_ms(request))
            execution.end = ExecutionEnd.DONE
        except TimeoutError:
            execution.end = ExecutionEnd.CANCELLED
        except asyncio.CancelledError:
            execution.end = ExecutionEnd.CANCELLED
            raise
        finally:
            self.running -= 1
            await self._notify_waiters()
        return execution

    async def _simulate_work(self) -> None:
        if self.faults.gate is not None:
            await self.faults.gate.wait()
        duration_ms = self.settings.service_time_ms + self.faults.extra_ms
        if duration_ms > 0:
            await self.clock.sleep_ms(duration_ms)

    async def _notify_waiters(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _refuse(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            status=503, headers={**_echoed_headers(request), RAN_HEADER: "no"}
        )

    def _abort_connection(self, request: web.BaseRequest) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        # aiohttp requires a response; this one is not sent.
        return web.Response()

    async def _answer(
        self, request: web.BaseRequest, execution: Execution
    ) -> web.StreamResponse:
        body = self._render_body(execution)
        headers = {**_echoed_headers(request), "Content-Type": "application/json"}
        if not self.faults.truncate:
            return web.Response(status=self.faults.status, body=body, headers=headers)
        response = web.StreamResponse(status=self.faults.status, headers=headers)
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        request.transport.close()
        return response

    def _render_body(self, execution: Execution) -> bytes:
        fields = {
            "server": self.settings.name,
            "execution": execution.sequence,
            "key": execution.key,
            "method": execution.method,
            "path": execution.path,
        }
        return json.dumps(fields).encode().ljust(self.settings.answer_bytes)


def _echoed_headers(request: web.BaseRequest) -> dict[str, str]:
    attempt_id = request.headers.get(ATTEMPT_ID_HEADER)
    return {ATTEMPT_ID_HEADER: attempt_id} if attempt_id else {}


def _timeout_ms(request: web.BaseRequest) -> float:
    try:
        return float(request.headers.get(TIMEOUT_MS_HEADER, DEFAULT_TIMEOUT_MS))
    except ValueError:
        return DEFAULT_TIMEOUT_MS
