"""Session that synchronises an entry host with the leader."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from bulrushlead.backend import Announcement, BackendServer
from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration
from bulrushlead.distribution._messages import (
    HostView,
    ReportedLoad,
    SyncReply,
    SyncRequest,
)
from bulrushlead.distribution._update import apply_update
from bulrushlead.leases import LeaseHolder
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode

MAX_PENDING_ANNOUNCEMENTS = 1_000
"""While this many are queued, further announcements are discarded."""

JITTER_RATIO = 0.1
"""Width of the random variation of the interval, as a fraction of it."""

MIN_PAUSE_MS = 10
"""Minimum pause between two requests, also after ``request_sync``."""


class LeaderCaller(Protocol):
    """Sends requests to the leader."""

    async def call(self, request: Any, timeout_ms: float) -> Any:
        """Return the leader's reply to a request."""
        ...


@attrs.frozen
class SessionListener:
    """Callbacks for changes that a session receives.

    Parameters
    ----------
    configuration : callable
        Called with the revision and the declaration that came into force.
    servers : callable
        Called without arguments when servers, hosts or shares may have changed.
    loads : callable
        Called with the reported loads of backend servers.
    """

    configuration: Callable[[int, Declaration], None]
    servers: Callable[[], None]
    loads: Callable[[tuple[ReportedLoad, ...]], None]


class Session:
    """Synchronises an entry host with the leader.

    Parameters
    ----------
    host : HostView
        The entry host itself.
    clock : Clock
        Source of time.
    control : LeaderCaller
        Sends requests to the leader.
    holder : LeaseHolder
        Holder of this host's lease.
    interval_ms : float
        Time between two synchronisation requests.
    rng : random.Random
        Random source for jitter.
    listener : SessionListener
        Callbacks for changes.

    Attributes
    ----------
    revision : int
        Revision in force at this host; it never decreases.
    declaration : Declaration
        Configuration in force at this host.
    servers : dict of str to BackendServer
        Backend servers by name.
    hosts : dict of str to HostView
        Entry hosts that report to the leader, including draining ones, by name.
    """

    def __init__(
        self,
        host: HostView,
        clock: Clock,
        control: LeaderCaller,
        holder: LeaseHolder,
        interval_ms: float,
        rng: random.Random,
        listener: SessionListener,
    ):
        self.host = host
        self.clock = clock
        self.control = control
        self.holder = holder
        self.interval_ms = interval_ms
        self.rng = rng
        self.listener = listener
        self.revision = 0
        self.declaration = Declaration()
        self.servers: dict[str, BackendServer] = {}
        self.hosts: dict[str, HostView] = {}
        self._term = 0
        self._servers_version = 0
        self._hosts_version = 0
        self._announcements: dict[str, Announcement] = {}
        self._sync_requested = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._connected = False
        self._synced = asyncio.Condition()
        self._log = EventLogger("distribution")

    async def start(self) -> None:
        """Start the synchronisation task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the synchronisation task."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def is_valid(self) -> bool:
        """Return whether configuration and shares may be used now."""
        return self.revision > 0 and self.holder.is_valid()

    def request_sync(self) -> None:
        """Send the next request without waiting for the interval."""
        self._sync_requested.set()

    def queue_announcement(self, announcement: Announcement) -> None:
        """Queue the announcement of a backend server for the next request."""
        if len(self._announcements) < MAX_PENDING_ANNOUNCEMENTS:
            self._announcements[announcement.server.name] = announcement
        previous = self.servers.get(announcement.server.name)
        if previous is None or previous != announcement.server:
            self.request_sync()

    def set_draining(self) -> None:
        """Mark this host as draining, so that it accepts no new callers."""
        self.host = attrs.evolve(self.host, draining=True)
        self.request_sync()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true, rechecked after each synchronisation."""
        async with self._synced:
            await self._synced.wait_for(condition)

    async def _run(self) -> None:
        while True:
            self._sync_requested.clear()
            pause_ms = await self._sync_safely()
            await self._pause(pause_ms)

    async def _pause(self, pause_ms: float) -> None:
        jitter = 1 + JITTER_RATIO * (self.rng.random() - 0.5)
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(self._sync_requested.wait(), pause_ms * jitter)
        await self.clock.sleep_ms(MIN_PAUSE_MS)

    async def _sync_safely(self) -> float:
        try:
            await self._sync()
        except BulrushleadError as error:
            if self._connected:
                self._log.write(Event.SESSION_LOST, detail=error)
            self._connected = False
            return self.interval_ms
        except Exception as error:
            # One failed synchronisation must not end the session.
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            return self.interval_ms
        finally:
            async with self._synced:
                self._synced.notify_all()
        if not self._connected:
            self._connected = True
            self._log.write(Event.SESSION_OPENED, term=self._term)
        return 0 if self.holder.needs_report() else self.interval_ms

    async def _sync(self) -> None:
        request = self._build_request()
        reply = await self.control.call(request, self.interval_ms * 3)
        if not isinstance(reply, SyncReply):
            raise BulrushleadError(
                ResultCode.MESSAGE_MALFORMED,
                f"expected SyncReply, received {type(reply).__name__}",
            )
        self._check_not_stale(reply)
        for announcement in request.announcements:
            if self._announcements.get(announcement.server.name) is announcement:
                del self._announcements[announcement.server.name]
        self._apply_configuration(reply)
        self._apply_tables(reply)
        self.holder.apply_grant(reply.grant)
        self.listener.servers()
        self.listener.loads(reply.loads)

    def _build_request(self) -> SyncRequest:
        lease = self.holder.build_request()
        is_new_term = lease.term != self._term
        return SyncRequest(
            host=self.host,
            incarnation=self.holder.incarnation,
            term=self._term,
            revision=self.revision,
            servers_version=self._servers_version,
            hosts_version=self._hosts_version,
            lease=lease,
            announcements=tuple(self._announcements.values()),
            known_servers=tuple(self.servers.values()) if is_new_term else (),
        )

    def _check_not_stale(self, reply: SyncReply) -> None:
        update = reply.configuration
        if reply.term < self._term or (
            update is not None and update.revision < self.revision
        ):
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                f"reply of term {reply.term} is older than term {self._term} or "
                f"revision {self.revision} of this host; the reply is discarded",
            )

    def _apply_configuration(self, reply: SyncReply) -> None:
        update = reply.configuration
        if update is None:
            return
        self.declaration = apply_update(self.declaration, self.revision, update)
        self.revision = update.revision
        self._log.write(Event.CONFIGURATION_IN_FORCE, revision=self.revision)
        self.listener.configuration(self.revision, self.declaration)

    def _apply_tables(self, reply: SyncReply) -> None:
        if reply.grant.lease_ms <= 0:
            # A new leader's tables are empty until hosts report to it.
            return
        if reply.servers_full:
            self.servers.clear()
        for name in reply.servers_removed:
            self.servers.pop(name, None)
        self.servers.update({server.name: server for server in reply.servers})
        if reply.hosts_full:
            self.hosts.clear()
        for name in reply.hosts_removed:
            self.hosts.pop(name, None)
        self.hosts.update({host.name: host for host in reply.hosts})
        self._term = reply.term
        self._servers_version = reply.servers_version
        self._hosts_version = reply.hosts_version
