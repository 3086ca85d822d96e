"""One backend server as this host observes it: load, failures and slowness."""

import math
from enum import Enum

import attrs
import xxhash

from bulrushlead.clock import decayed
from bulrushlead.fleet import ServerRecord

FAILURE_WEIGHT = 0.2  # of the newest outcome in the failure rate
FAILURE_HALF_LIFE_MS = 3_000  # decay of the failure rate without new outcomes
SLOWNESS_WEIGHT = 0.2  # of the newest answer in the slowness
SLOWNESS_HALF_LIFE_MS = 5_000
MAX_SLOWNESS = 10.0  # bounds how long one very late answer excludes a server
LOAD_WEIGHT = 0.4  # of the newest report in the load from other hosts
LOAD_HALF_LIFE_MS = 1_000  # decay of that load, since it changes quickly
FULL_AFTER_REFUSAL_MS = 150  # about half the duration of a short request
UNREACHABLE_BACKOFF_MS = 300
UNREACHABLE_MAX_BACKOFF_MS = 4_000
MAX_FAILURE_RATE = 0.5  # above it, a server gets only probes
PROBE_INTERVAL_MS = 1_000
STALE_FLEET_MS = 3_000  # an older fleet view may lack a server's restart
RECENT_ANSWER_MS = 1_500  # an answer within this time rules out an unnoticed restart


class Outcome(Enum):
    """How an attempt at a server ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    SHED = "shed"
    LOST = "lost"
    OVERDUE = "overdue"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    ABANDONED = "abandoned"


_ANSWERS = (Outcome.ANSWERED, Outcome.FAILED, Outcome.REFUSED, Outcome.SHED)


@attrs.frozen
class _Attempt:
    sent_ms: float
    expected_duration_ms: float


@attrs.define(eq=False)
class ServerStats:
    """State of one incarnation of a server, as observed by this host.

    Parameters
    ----------
    server_id, address, zone, region, service : str
        Identity and location.
    born_ms : int
        Start time of the server, in milliseconds; identifies the incarnation.
    slots : int
        Maximum number of requests that it runs concurrently.
    ready : bool
        Whether it accepts requests and its zone is not evacuated.
    silent : bool
        Whether the leader has missed several of its heartbeats.
    created_ms : float
        Time when this host learned of this incarnation, in milliseconds of its clock;
        minus infinity if that was with its first update.
    cold_until_ms, record_received_ms : float
        End of its warm-up, and arrival of its last record from the leader, in
        milliseconds of this host's clock.
    reported_load : float
        Requests in its last load report, running and queued.
    fleet_load : float
        Load over all hosts, as a multiple of its slots.
    version : str
        Its software version.
    """

    server_id: str
    born_ms: int
    address: str
    zone: str
    region: str
    service: str
    slots: int
    ready: bool = True
    silent: bool = False
    created_ms: float = -math.inf
    cold_until_ms: float = 0.0
    record_received_ms: float = 0.0
    reported_load: float = 0.0
    fleet_load: float = 0.0
    version: str = ""
    _load_sum: float = 0.0
    _load_count: int = 0
    hash: int = 0
    _attempts: dict[int, "_Attempt"] = attrs.field(factory=dict)
    _attempt_count: int = 0
    _other_hosts_load: float = 0.0
    _other_hosts_load_ms: float = 0.0
    _full_until_ms: float = 0.0
    _failure_rate: float = 0.0
    _failure_rate_ms: float = 0.0
    _slowness: float = 1.0
    _slowness_ms: float = 0.0
    _unreachable_until_ms: float = 0.0
    _unreachable_count: int = 0
    _next_probe_ms: float = 0.0
    _last_answer_ms: float = -1e12
    _connection_lost_ms: float = -1e12
    _unreachable_reported: bool = True
    _answer_reported: bool = True

    def __attrs_post_init__(self):
        self.hash = xxhash.xxh32_intdigest(self.server_id.encode())

    @property
    def in_flight(self) -> int:
        """Number of this host's attempts in progress."""
        return len(self._attempts)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests at the server, running and queued."""
        load = self.in_flight + self._other_hosts_load_at(now_ms)
        if now_ms < self._full_until_ms:
            load = max(load, self.slots + 1.0)
        return load

    def slowness(self, now_ms: float) -> float:
        """Return the ratio of its recent durations to the expected ones, at least 1.

        Only answered requests count: counting overdue ones too moves objects away from
        slow servers sooner, and overloads the servers that have not cached them.
        """
        excess = decayed(
            self._slowness - 1.0, now_ms - self._slowness_ms, SLOWNESS_HALF_LIFE_MS
        )
        return 1.0 + excess

    def failure_rate(self, now_ms: float) -> float:
        """Return the recent share of failed attempts, with decay."""
        age_ms = now_ms - self._failure_rate_ms
        return decayed(self._failure_rate, age_ms, FAILURE_HALF_LIFE_MS)

    def is_available(self, now_ms: float) -> bool:
        """Return whether the server may get an attempt now, probes included."""
        if not self.ready or self.is_unreachable(now_ms):
            return False
        if self.failure_rate(now_ms) > MAX_FAILURE_RATE:
            return now_ms >= self._next_probe_ms
        return True

    def is_unreachable(self, now_ms: float) -> bool:
        """Return whether it gets no attempt because this host could not connect."""
        return now_ms < self._unreachable_until_ms

    def reset_unreachable(self) -> None:
        """Forget that no connection to it could be opened."""
        self._unreachable_until_ms = 0.0
        self._unreachable_count = 0
        self._unreachable_reported = True
        self._failure_rate = 0.0

    def may_be_cold(self, now_ms: float, fleet_age_ms: float) -> bool:
        """Return whether the server is cold, or may have restarted unnoticed."""
        if now_ms < self.cold_until_ms:
            return True
        if now_ms - self._last_answer_ms < RECENT_ANSWER_MS:
            return False
        return (
            fleet_age_ms > STALE_FLEET_MS
            or self._connection_lost_ms > self.record_received_ms
        )

    def record_sent(self, now_ms: float, expected_duration_ms: float) -> int:
        """Count an attempt as in progress.

        Parameters
        ----------
        now_ms : float
            Current time, in milliseconds.
        expected_duration_ms : float
            Expected time until its answer, in milliseconds.

        Returns
        -------
        int
            Number of the attempt, for ``record_outcome``.
        """
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self._attempt_count += 1
        self._attempts[self._attempt_count] = _Attempt(
            now_ms, max(1.0, expected_duration_ms)
        )
        return self._attempt_count

    def record_load(self, load: float, now_ms: float) -> None:
        """Record the server's reported load, which includes this host's requests."""
        self.reported_load = load
        self._load_sum += load
        self._load_count += 1
        other_hosts_load = max(0.0, load - self.in_flight)
        current = self._other_hosts_load_at(now_ms)
        self._other_hosts_load = current + LOAD_WEIGHT * (other_hosts_load - current)
        self._other_hosts_load_ms = now_ms

    def pop_mean_load(self) -> float | None:
        """Return and reset the mean reported load, as a multiple of the slots.

        None if the server has not reported since the last call.
        """
        if not self._load_count:
            return None
        mean = self._load_sum / self._load_count / self.slots
        self._load_sum, self._load_count = 0.0, 0
        return round(mean, 1)

    def pop_unreachable(self) -> bool:
        """Return whether the server was unreachable since the last call."""
        reported, self._unreachable_reported = self._unreachable_reported, True
        return not reported

    def pop_answered(self) -> bool:
        """Return whether the server answered since the last call without its load."""
        reported, self._answer_reported = self._answer_reported, True
        return not reported and not self._load_count

    def record_duration_ratio(self, ratio: float, now_ms: float) -> None:
        """Record the ratio of an answer's duration to the expected one."""
        current = self.slowness(now_ms)
        ratio = min(MAX_SLOWNESS, max(1.0, ratio))
        self._slowness = current + SLOWNESS_WEIGHT * (ratio - current)
        self._slowness_ms = now_ms

    def record_outcome(self, outcome: Outcome, now_ms: float, attempt: int) -> None:
        """Record the end of an attempt and its outcome."""
        ended = self._attempts.pop(attempt)
        if outcome is Outcome.ANSWERED:
            self.record_duration_ratio(
                (now_ms - ended.sent_ms) / ended.expected_duration_ms, now_ms
            )
        if outcome is Outcome.ABANDONED:
            return
        if outcome in _ANSWERS:
            self._answer_reported = False
        if outcome in (Outcome.REFUSED, Outcome.SHED):
            if outcome is Outcome.REFUSED:
                self._full_until_ms = now_ms + FULL_AFTER_REFUSAL_MS
            self._last_answer_ms = now_ms
            return
        failed = outcome is not Outcome.ANSWERED
        current = self.failure_rate(now_ms)
        self._failure_rate = current + FAILURE_WEIGHT * (float(failed) - current)
        self._failure_rate_ms = now_ms
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            self._last_answer_ms = now_ms
            self._unreachable_count = 0
        elif outcome in (Outcome.UNREACHABLE, Outcome.MISDIRECTED):
            self._record_unreachable(now_ms)
        elif outcome is Outcome.LOST:
            self._connection_lost_ms = now_ms
            self._last_answer_ms = -1e12

    def discard_attempt(self, attempt: int) -> None:
        """Forget an attempt that was not sent, if it is still in progress."""
        self._attempts.pop(attempt, None)

    def _other_hosts_load_at(self, now_ms: float) -> float:
        return decayed(
            self._other_hosts_load,
            now_ms - self._other_hosts_load_ms,
            LOAD_HALF_LIFE_MS,
        )

    def _record_unreachable(self, now_ms: float) -> None:
        self._connection_lost_ms = now_ms
        self._last_answer_ms = -1e12
        backoff_ms = UNREACHABLE_BACKOFF_MS * 2**self._unreachable_count
        self._unreachable_until_ms = now_ms + min(
            backoff_ms, UNREACHABLE_MAX_BACKOFF_MS
        )
        self._unreachable_count += 1
        self._unreachable_reported = False


def new_stats(record: ServerRecord, zone_regions: dict[str, str]) -> ServerStats:
    """Return the state of a server that this host has not used yet."""
    return ServerStats(
        record.server_id,
        record.born_ms,
        record.address,
        record.zone,
        # Servers in zones without a configured region form a region of their own.
        zone_regions.get(record.zone, ""),
        record.service,
        max(1, record.slots),  # estimates divide by the slots
        version=record.version,
    )


def matches_record(stats: ServerStats, record: ServerRecord) -> bool:
    """Return whether incarnation, address, service and slots equal the record's."""
    return (stats.born_ms, stats.address, stats.service, stats.slots) == (
        record.born_ms,
        record.address,
        record.service,
        max(1, record.slots),
    )
