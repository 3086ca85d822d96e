"""Helpers that run commands and daemons."""

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop

from bulrushlead.logs import LogFormat, build_handler
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.settings import LogSettings, TlsSettings


def run_async(awaitable: Awaitable[int | None]) -> int | None:
    """Run a coroutine on a uvloop event loop and return its result."""
    return uvloop.run(awaitable)


def run_daemon(start: Callable[[], AsyncIterator[None]], log: LogSettings) -> int:
    """Run a daemon until SIGINT or SIGTERM, then stop it gracefully.

    Parameters
    ----------
    start : callable
        Returns an async generator that starts the daemon, yields once it serves, and
        stops it when resumed.
    log : LogSettings
        Format and level of the log.

    Returns
    -------
    int
        Exit code.
    """
    handler = build_handler(LogFormat(log.format), sys.stderr, log.level)
    with handler.applicationbound():
        uvloop.run(_run_until_signal(start))
    return 0


def new_rng() -> random.Random:
    """Return a random number generator seeded by the operating system."""
    return random.Random(random.SystemRandom().getrandbits(64))


def is_tls_configured(tls: TlsSettings) -> bool:
    """Return whether the certificate, key and authority files are all configured.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_INVALID`` if only some of the files are configured.
    """
    files = (tls.certificate_file, tls.key_file, tls.authority_file)
    if any(files) and not all(files):
        raise BulrushleadError(
            ResultCode.SETTINGS_INVALID,
            "tls: certificate_file, key_file and authority_file go together; "
            "set all three or none",
        )
    return all(files)


async def _run_until_signal(start: Callable[[], AsyncIterator[None]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # A second signal has no effect: the shutdown in progress continues.
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with contextlib.asynccontextmanager(start)():
        await stop.wait()
