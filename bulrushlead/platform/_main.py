"""The process of one host on the platform."""

import asyncio
import contextlib
import os
import random
import signal
import sys

import uvloop

from bulrushlead.clock import MonotonicClock
from bulrushlead.logs import Event, EventLogger, LogFormat, build_handler
from bulrushlead.platform._settings import HostSettings, load_host_settings
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import MessageClient

SETTINGS_VARIABLE = "BULRUSHLEAD_BOOT"
EXIT_SETTINGS = 3


def main() -> None:
    """Run until SIGTERM."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_host_settings(path)
    except BulrushleadError as error:
        print(f"{SETTINGS_VARIABLE}={path}: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    with build_handler(LogFormat.JSON, sys.stdout).applicationbound():
        uvloop.run(_run(settings))


async def _run(settings: HostSettings) -> None:
    log = EventLogger("platform")
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    clock = MonotonicClock()
    rng = random.Random(os.urandom(16))
    log.write(Event.PROCESS_STARTED, host_id=settings.host_id, zone=settings.zone)
    async with contextlib.AsyncExitStack() as stack:
        draining = []
        if settings.serves_callers:
            gateway = _build_gateway(settings, clock, rng)
            await gateway.start()
            stack.push_async_callback(gateway.close)
            draining.append(gateway)
        if settings.serves_control or settings.serves_directory:
            for part in _build_control(settings, clock, rng):
                await part.start()
                stack.push_async_callback(part.close)
        await stopping.wait()
        log.write(Event.PROCESS_STOPPING, host_id=settings.host_id)
        for gateway in draining:
            await gateway.drain()
    log.write(Event.PROCESS_STOPPED, host_id=settings.host_id)


def _build_gateway(settings: HostSettings, clock: MonotonicClock, rng: random.Random):
    # Imported here: a control host must not pay for what it does not run.
    from bulrushlead.gateway import Gateway
    from bulrushlead.platform._dialect import DIALECT

    return Gateway(
        settings.for_gateway(),
        DIALECT,
        clock,
        lambda address: MessageClient(address, clock),
        rng,
    )


def _build_control(settings: HostSettings, clock: MonotonicClock, rng: random.Random):
    from bulrushlead.coordinator import Coordinator
    from bulrushlead.http1 import HttpServer
    from bulrushlead.platform._control import ControlInterface
    from bulrushlead.platform._directory import Directory

    coordinator = Coordinator(
        settings.for_coordinator(),
        clock,
        lambda address: MessageClient(address, clock),
        rng,
    )
    parts = [coordinator]
    if settings.serves_control:
        interface = ControlInterface(coordinator, settings.zone_regions, clock)
        host, _, port = settings.control_address.rpartition(":")
        parts.append(HttpServer(host, int(port), interface.answer, clock))
    if settings.serves_directory:
        directory = Directory(
            coordinator.view, settings.zone_regions, settings.lookup_ttl_ms, rng
        )
        host, _, port = settings.directory_address.rpartition(":")
        parts.append(HttpServer(host, int(port), directory.answer, clock))
    return parts
