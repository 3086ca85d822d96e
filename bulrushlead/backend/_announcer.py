"""Announces a backend server to the entry hosts."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import aiohttp

from bulrushlead.backend._headers import ANNOUNCE_PATH
from bulrushlead.backend._model import Announcement
from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.wire import codec

ANNOUNCE_TIMEOUT_MS = 500  # for each entry host that is tried


class Announcer:
    """Sends an announcement to one entry host at each interval.

    If an entry host fails or rejects the announcement, the next one is tried within
    the same interval. The entry host that last accepted an announcement is tried
    first.

    Parameters
    ----------
    describe : callable
        Returns the current `Announcement`; the announcer sets its sequence.
    entry_hosts : sequence of str
        ``host:port`` of entry hosts, in order of preference.
    clock : Clock
        Clock for the interval and the timeouts.
    interval_ms : float, default=500
        Time between two announcements, in milliseconds.

    Attributes
    ----------
    sequence : int
        Sequence number of the latest announcement, whether accepted or not.
    """

    def __init__(
        self,
        describe: Callable[[], Announcement],
        entry_hosts: Sequence[str],
        clock: Clock,
        interval_ms: float = 500,
    ):
        self.describe = describe
        self.entry_hosts = entry_hosts
        self.clock = clock
        self.interval_ms = interval_ms
        self.sequence = 0
        self._preferred_index = 0
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._session: aiohttp.ClientSession | None = None
        self._log = EventLogger("backend")

    async def start(self) -> None:
        """Start announcing: once immediately, then at each interval."""
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop announcing and close the HTTP session."""
        if self._task is None:
            return
        task, self._task = self._task, None
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self._session.close()

    def announce_now(self) -> None:
        """Send the next announcement without waiting for the interval."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            await self._announce()
            with contextlib.suppress(TimeoutError):
                await self.clock.wait_for(self._wake.wait(), self.interval_ms)

    async def _announce(self) -> None:
        self.sequence += 1
        count = len(self.entry_hosts)
        for offset in range(count):
            index = (self._preferred_index + offset) % count
            if await self._post(self.entry_hosts[index]):
                self._preferred_index = index
                return

    async def _post(self, entry_host: str) -> bool:
        current = self.describe()
        announcement = Announcement(
            server=current.server,
            sequence=self.sequence,
            reported_load=current.reported_load,
        )
        try:
            return await self.clock.wait_for(
                self._send(entry_host, announcement), ANNOUNCE_TIMEOUT_MS
            )
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            self._log.write(
                Event.ATTEMPT_FAILED, call="announce", host=entry_host, error=error
            )
            return False

    async def _send(self, entry_host: str, announcement: Announcement) -> bool:
        async with self._session.post(
            f"http://{entry_host}{ANNOUNCE_PATH}", json=codec.to_plain(announcement)
        ) as answer:
            return 200 <= answer.status < 300
