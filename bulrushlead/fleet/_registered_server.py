"""State of one backend server in the registry of the leader."""

import math

import attrs

from bulrushlead.clock import decayed
from bulrushlead.fleet._messages import Announcement, ServerRecord, ServerState
from bulrushlead.fleet._observed_limit import ObservedLimit
from bulrushlead.fleet._reachability import Reachability

LOAD_HALF_LIFE_MS = 2_000  # about as long as a queue of a few requests lasts
MIN_COLD_CHANGE_MS = 500  # smaller changes of the end of the warm-up are jitter


@attrs.define(eq=False)
class RegisteredServer:
    """State of one backend server.

    Parameters
    ----------
    heartbeat : Announcement
        The newest heartbeat.
    last_heartbeat_ms, cold_until_ms : float
        Receipt of the newest heartbeat and end of the warm-up, in milliseconds of the
        leader's clock.
    revision, load_revision : int
        Revisions of the server record and of the published load.
    silent : bool
        Whether several heartbeats are missing.
    load, published_load : float
        Moving average of the reported loads, at ``load_updated_ms``, and its last
        published value, as multiples of the slots.
    reachability : Reachability
        Reports of hosts that could not connect to it.
    unreachable : bool
        Whether these reports showed last time that it is unreachable.
    limit : ObservedLimit or None
        Request limit that it named.
    """

    heartbeat: Announcement
    last_heartbeat_ms: float
    cold_until_ms: float
    revision: int
    silent: bool = False
    load: float = 0.0
    load_updated_ms: float = 0.0
    published_load: float = 0.0
    load_revision: int = 0
    reachability: Reachability = attrs.field(factory=Reachability)
    unreachable: bool = False
    limit: ObservedLimit | None = None

    def load_at(self, now_ms: float) -> float:
        """Return the decayed load at a time, as a multiple of the slots."""
        return decayed(self.load, now_ms - self.load_updated_ms, LOAD_HALF_LIFE_MS)

    def precedes(self, heartbeat: Announcement) -> bool:
        """Return whether a heartbeat is newer than the newest one so far."""
        previous = self.heartbeat
        if heartbeat.born_ms != previous.born_ms:
            return heartbeat.born_ms > previous.born_ms
        if (
            previous.state is ServerState.DRAINING
            and heartbeat.state is ServerState.READY
        ):
            return False  # an incarnation cannot return from draining
        return heartbeat.sequence > previous.sequence

    def differs(self, new: Announcement, cold_until_ms: float) -> bool:
        """Return whether a newer heartbeat changes the server's record."""
        old = self.heartbeat
        # A heartbeat of a silent server is a change, since it is not silent any more. A
        # changed end of the warm-up counts only while the server is still cold.
        return (
            self.silent
            or math.fabs(cold_until_ms - self.cold_until_ms) > MIN_COLD_CHANGE_MS
            and new.cold_left_ms > 0
            or (old.born_ms, old.service, old.address, old.zone, old.slots, old.state)
            != (new.born_ms, new.service, new.address, new.zone, new.slots, new.state)
        )

    def record_at(self, now_ms: float) -> ServerRecord:
        """Return the record to publish, with ages and remaining times at a time."""
        heartbeat = self.heartbeat
        return ServerRecord(
            server_id=heartbeat.server_id,
            born_ms=heartbeat.born_ms,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            state=heartbeat.state,
            version=heartbeat.version,
            cold_left_ms=max(0.0, self.cold_until_ms - now_ms),
            silent=self.silent,
            revision=self.revision,
            limit=None if self.limit is None else self.limit.at(now_ms),
        )
