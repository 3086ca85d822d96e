"""Runs the programs of one host on the platform."""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import Callable

import attrs
import uvloop

from bulrushlead.clock import MonotonicClock
from bulrushlead.http1 import Answer, HttpServer, Request
from bulrushlead.logs import (
    MAX_LINES_PER_S,
    BufferedStream,
    Event,
    EventLogger,
    LogFormat,
    build_handler,
)
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.platform._settings import (
    FIXED_FIELDS,
    HostSettings,
    changed_fields,
    load_host_settings,
)
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import MessageClient

SETTINGS_VARIABLE = "BULRUSHLEAD_BOOT"
EXIT_SETTINGS = 3
METRICS_PORT = 9464  # usual port of metrics exporters; also in deploy/system.toml
SETTINGS_CHECK_MS = 1_000  # the file may change without a signal


def main() -> None:
    """Run until SIGTERM.

    With ``--listen-peers IP`` the host accepts other hosts' connections on that
    address instead of the one in the settings, for a host behind a forwarder.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    parser = argparse.ArgumentParser(prog="bulrushlead.platform")
    parser.add_argument("--listen-peers", default="", metavar="IP")
    arguments = parser.parse_args()
    fingerprint = file_fingerprint(path)
    try:
        settings = attrs.evolve(
            load_host_settings(path), peer_listen_ip=arguments.listen_peers
        )
    except BulrushleadError as error:
        print(f"{SETTINGS_VARIABLE}={path}: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    stream = BufferedStream(sys.stdout.fileno())
    stream.start()
    try:
        handler = build_handler(LogFormat.JSON, stream, max_lines_per_s=MAX_LINES_PER_S)
        with handler.applicationbound():
            uvloop.run(Process(settings, path, stream, fingerprint).run())
    finally:
        stream.close()


class Process:
    """Starts and stops the programs of one host and reloads their settings.

    Parameters
    ----------
    settings : HostSettings
        Settings at the start.
    path : str
        File that the settings were loaded from.
    stream : BufferedStream
        Stream that log lines are written to.
    fingerprint : tuple of int
        ``file_fingerprint`` of the file before it was loaded.
    """

    def __init__(
        self,
        settings: HostSettings,
        path: str,
        stream: BufferedStream,
        fingerprint: tuple[int, int],
    ):
        self.settings = settings
        self.path = path
        self.stream = stream
        self.fingerprint = fingerprint
        self.clock = MonotonicClock()
        self.rng = random.Random(os.urandom(16))
        self._stop_requested = asyncio.Event()
        self._reload_requested = asyncio.Event()
        self._reload_callbacks: list[Callable[[HostSettings], None]] = []
        self._servers: list[HttpServer] = []
        self._log = EventLogger("platform")

    async def run(self) -> None:
        """Start the programs, wait for SIGTERM, then finish running requests."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        settings = self.settings
        self._log.write(
            Event.PROCESS_STARTED,
            host_id=settings.host_id,
            zone=settings.zone,
            region=settings.region,
            seeds=settings.seeds,
            first_start=settings.is_first_start,
        )
        async with contextlib.AsyncExitStack() as stack:
            gateways = []
            meters = None
            if settings.serves_callers:
                gateway = _build_gateway(settings, self.clock, self.rng)
                gateways.append(gateway)
                await self._start_component(stack, gateway)
                self._reload_callbacks.append(
                    lambda new: gateway.reload(new.for_gateway())
                )
                self._servers += gateway.request_servers
                meters = gateway.meters
            if settings.serves_control or settings.serves_directory:
                meters = await self._start_control(stack)
            if meters is not None:
                await self._start_metrics(stack, meters)
            watcher = asyncio.create_task(self._watch_settings())
            await self._stop_requested.wait()
            watcher.cancel()
            started_ms = self.clock.now_ms()
            before = self._count_unanswered()
            self._log.write(
                Event.PROCESS_STOPPING,
                host_id=settings.host_id,
                grace_ms=round(settings.grace_ms),
                connections=sum(len(one.connections) for one in self._servers),
                in_progress=sum(one.count_in_progress() for one in self._servers),
            )
            for gateway in gateways:
                await gateway.drain()
        self._log.write(
            Event.PROCESS_STOPPED,
            host_id=settings.host_id,
            took_ms=round(self.clock.now_ms() - started_ms),
            broken_off=sum(one.unanswered.broken_off for one in self._servers),
            unanswered=self._count_unanswered() - before,
            in_progress=sum(one.count_in_progress() for one in self._servers),
        )

    def _count_unanswered(self) -> int:
        return sum(one.unanswered.count for one in self._servers)

    async def _start_component(self, stack, component) -> None:
        await component.start()
        stack.push_async_callback(component.close)

    async def _start_server(self, stack, server: HttpServer) -> None:
        await self._start_component(stack, server)
        self._servers.append(server)

    async def _start_control(self, stack) -> CompactMeters:
        # Imported here to save memory: a host loads only the program that it runs.
        from bulrushlead.coordinator import Coordinator
        from bulrushlead.platform import _control, _directory
        from bulrushlead.platform._plans import decode_plan

        settings, clock = self.settings, self.clock
        coordinator = Coordinator(
            settings.for_coordinator(),
            clock,
            lambda address: MessageClient(address, clock),
            self.rng,
            decode_plan,
        )
        await self._start_component(stack, coordinator)
        self._reload_callbacks.append(
            lambda new: coordinator.reload(new.for_coordinator())
        )
        if settings.serves_control:
            interface = _control.ControlInterface(
                coordinator, settings.zone_regions, clock
            )
            await self._start_server(
                stack,
                HttpServer.at(
                    settings.control_address, interface.answer, clock, _control.LIMITS
                ),
            )
        if settings.serves_directory:
            directory = _directory.Directory(
                coordinator.view,
                settings.zone_regions,
                settings.lookup_ttl_ms,
                self.rng,
            )
            await self._start_server(
                stack,
                HttpServer.at(
                    settings.directory_address,
                    directory.answer,
                    clock,
                    _directory.LIMITS,
                ),
            )
            self._reload_callbacks.append(
                lambda new: directory.set_max_ttl(new.lookup_ttl_ms)
            )
        return coordinator.meters

    async def _start_metrics(self, stack, meters: CompactMeters) -> None:
        meters.register_gauge(Metric.LINES_DROPPED_TOTAL, lambda: self.stream.dropped)
        headers = [(b"content-type", b"text/plain; version=0.0.4")]

        async def answer(request: Request) -> Answer:
            return Answer(200, headers, meters.render().encode())

        server = HttpServer(self.settings.ip, METRICS_PORT, answer, self.clock)
        try:
            await self._start_component(stack, server)
        except OSError as error:
            # A host serves callers even if its metrics port is not available.
            self._log.write(
                Event.UNEXPECTED_ERROR, error=f"metrics endpoint not started: {error}"
            )

    async def _watch_settings(self) -> None:
        """Reload the settings on SIGHUP and whenever the file has changed."""
        while True:
            try:
                await self.clock.wait_for(
                    self._reload_requested.wait(), SETTINGS_CHECK_MS
                )
            except TimeoutError:
                if file_fingerprint(self.path) == self.fingerprint:
                    continue
            self._reload_requested.clear()
            self.fingerprint = file_fingerprint(self.path)
            try:
                self._reload()
            except BulrushleadError as error:
                # The process continues with its current settings.
                self._log.write(
                    Event.UNEXPECTED_ERROR, error=str(error), code=error.code.value
                )
            except Exception as error:
                # Logged instead of raised, so that a later file is still loaded.
                self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))

    def _reload(self) -> None:
        settings = load_host_settings(self.path)
        for reload in self._reload_callbacks:
            reload(settings)
        changed = changed_fields(self.settings, settings)
        self.settings = attrs.evolve(
            settings, peer_listen_ip=self.settings.peer_listen_ip
        )
        self._log.write(
            Event.SETTINGS_RELOADED,
            changed=[name for name in changed if name not in FIXED_FIELDS],
            needs_restart=[name for name in changed if name in FIXED_FIELDS],
            seeds=settings.seeds,
        )


def file_fingerprint(path: str) -> tuple[int, int]:
    """Return what changes whenever a file is replaced: its time and size."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)  # the file is being replaced; the next check finds it
    return (status.st_mtime_ns, status.st_size)


def _build_gateway(settings: HostSettings, clock: MonotonicClock, rng: random.Random):
    # Imported here to save memory: a host loads only the program that it runs.
    from bulrushlead.gateway import Gateway
    from bulrushlead.platform._dialect import DIALECT

    return Gateway(
        settings.for_gateway(),
        DIALECT,
        clock,
        lambda address: MessageClient(address, clock),
        rng,
    )
