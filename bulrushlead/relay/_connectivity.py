"""Whether this host reaches any backend server."""

import asyncio
from collections.abc import Callable

from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger

# Servers to which no connection could be opened, with none opened to any other one
# meanwhile, before the host checks whether it is cut off itself.
SUSPICIOUS_SERVERS = 2
# With an answer this recent, connections that are open still reach their servers.
RECENT_ANSWER_MS = 1_000


class Connectivity:
    """Evidence on the links between this host and all servers.

    A single server that cannot be reached is probably down. If none of several can, the
    host suspects its own links; a ``ServerProber`` then confirms or clears that.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_cut_off : bool
        Whether no new connection to any server can be opened.
    on_change : callable or None
        Called when ``is_cut_off`` has changed.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.is_cut_off = False
        self.on_change: Callable[[], None] | None = None
        self._failed: set[str] = set()
        self._suspected = asyncio.Event()
        self._connected_ms = float("-inf")
        self._answered_ms = float("-inf")
        self._cut_off_since_ms = 0.0
        self._log = EventLogger("relay")

    @property
    def failed(self) -> frozenset[str]:
        """Addresses to which no connection could be opened since the last success."""
        return frozenset(self._failed)

    @property
    def has_failures(self) -> bool:
        """Whether the newest attempt to open a connection failed."""
        return bool(self._failed)

    @property
    def is_suspected(self) -> bool:
        """Whether the last attempts suggest that the host is cut off."""
        return self._suspected.is_set()

    def record_connected(self) -> None:
        """Record that a connection to a server was opened."""
        self._connected_ms = self.clock.now_ms()
        self._failed.clear()
        self._suspected.clear()
        if self.is_cut_off:
            self._set_cut_off(False)

    def record_failure(self, address: str) -> None:
        """Record that no connection to a server could be opened, or one went silent."""
        self._failed.add(address)
        if len(self._failed) >= SUSPICIOUS_SERVERS:
            self._suspected.set()

    def record_answer(self) -> None:
        """Record an answer of a server, on whichever connection."""
        self._answered_ms = self.clock.now_ms()

    def confirm_cut_off(self) -> None:
        """Record that probes of further servers failed, too."""
        self._suspected.set()
        if not self.is_cut_off:
            self._set_cut_off(True)

    async def wait_for_suspicion(self) -> None:
        """Return when the host suspects that it is cut off."""
        await self._suspected.wait()

    def was_connected_since(self, time_ms: float) -> bool:
        """Return whether a connection was opened or an answer came since a time."""
        return max(self._connected_ms, self._answered_ms) >= time_ms

    def is_isolated(self) -> bool:
        """Return whether the host is cut off and gets no answers any more."""
        answer_age_ms = self.clock.now_ms() - self._answered_ms
        return self.is_cut_off and answer_age_ms > RECENT_ANSWER_MS

    def _set_cut_off(self, is_cut_off: bool) -> None:
        now_ms = self.clock.now_ms()
        self.is_cut_off = is_cut_off
        if is_cut_off:
            self._cut_off_since_ms = now_ms
            self._log.write(Event.HOST_CUT_OFF, failed=sorted(self._failed)[:8])
        else:
            self._log.write(
                Event.HOST_RECONNECTED,
                cut_off_ms=round(now_ms - self._cut_off_since_ms),
            )
        if self.on_change is not None:
            self.on_change()
