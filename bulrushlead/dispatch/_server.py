"""What this host has seen of one backend server."""

from enum import Enum

import attrs
import xxhash

from bulrushlead.clock import faded

FAILURE_WEIGHT = 0.2  # of the newest outcome in the failure rate
FAILURE_HALF_LIFE_MS = 3_000  # without outcomes the failure rate fades
SPEED_WEIGHT = 0.2  # of the newest answer in the slowness
SPEED_HALF_LIFE_MS = 5_000
MAX_SLOWNESS = 10.0  # one lost answer must not ban a server for long
LOAD_WEIGHT = 0.4  # of the newest report in the load that others cause
LOAD_HALF_LIFE_MS = 1_000  # an old report says little
FULL_HOLD_MS = 150  # after a refusal, about half of a short request
UNREACHABLE_BASE_MS = 300
UNREACHABLE_MAX_MS = 4_000
MAX_FAILURE_RATE = 0.5
PROBE_INTERVAL_MS = 1_000  # between tries at a server that fails
STALE_FLEET_MS = 3_000  # older news says nothing about a restart
RECENT_SUCCESS_MS = 1_500


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


@attrs.frozen
class _Attempt:
    sent_ms: float
    usual_ms: float


@attrs.define(eq=False)
class ServerStats:
    """State of one incarnation of a server, as seen by this host.

    Parameters
    ----------
    server_id, address, zone, region, service : str
        Identity and place.
    born_ms : int
        Incarnation.
    slots : int
        Requests that it works on at the same time.
    pressure : float
        Load that all hosts together have seen, as a multiple of its slots.
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
    cold_until_ms: float = 0.0
    told_ms: float = 0.0
    reported_load: float = 0.0
    pressure: float = 0.0
    _load_sum: float = 0.0
    _load_count: int = 0
    hash: int = 0
    _attempts: dict[int, "_Attempt"] = attrs.field(factory=dict)
    _attempt_count: int = 0
    _others: float = 0.0
    _others_ms: float = 0.0
    _full_until_ms: float = 0.0
    _failure_rate: float = 0.0
    _failure_ms: float = 0.0
    _slowness: float = 1.0
    _slowness_ms: float = 0.0
    _unreachable_until_ms: float = 0.0
    _unreachable_count: int = 0
    _next_probe_ms: float = 0.0
    _success_ms: float = -1e12
    _broken_ms: float = -1e12

    def __attrs_post_init__(self):
        self.hash = xxhash.xxh32_intdigest(self.server_id.encode())

    @property
    def in_flight(self) -> int:
        """Attempts of this host in progress."""
        return len(self._attempts)

    def load(self, now_ms: float) -> float:
        """Return the estimated requests at the server, waiting ones included."""
        load = self.in_flight + self._others_at(now_ms)
        if now_ms < self._full_until_ms:
            load = max(load, self.slots + 1.0)
        return load

    def slowness(self, now_ms: float) -> float:
        """Return how much longer it takes than usual, as a factor.

        Only answers count. Counting requests that are overdue moved objects away
        from slow servers sooner, and the servers that did not know them collapsed.
        """
        left = faded(
            self._slowness - 1.0, now_ms - self._slowness_ms, SPEED_HALF_LIFE_MS
        )
        return 1.0 + left

    def failure_rate(self, now_ms: float) -> float:
        """Return the recent share of failed attempts."""
        age_ms = now_ms - self._failure_ms
        return faded(self._failure_rate, age_ms, FAILURE_HALF_LIFE_MS)

    def is_available(self, now_ms: float) -> bool:
        """Return whether an attempt makes sense now."""
        if not self.ready or now_ms < self._unreachable_until_ms:
            return False
        if self.failure_rate(now_ms) > MAX_FAILURE_RATE:
            return now_ms >= self._next_probe_ms
        return True

    def may_be_cold(self, now_ms: float, fleet_age_ms: float) -> bool:
        """Return whether it is cold, or may have been restarted unnoticed."""
        if now_ms < self.cold_until_ms:
            return True
        if now_ms - self._success_ms < RECENT_SUCCESS_MS:
            return False
        return fleet_age_ms > STALE_FLEET_MS or self._broken_ms > self.told_ms

    def note_sent(self, now_ms: float, usual_ms: float) -> int:
        """Count an attempt in progress.

        Parameters
        ----------
        now_ms : float
            Time of the attempt.
        usual_ms : float
            Time within which its answer is expected.

        Returns
        -------
        int
            Number of the attempt, for ``note_outcome``.
        """
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self._attempt_count += 1
        self._attempts[self._attempt_count] = _Attempt(now_ms, max(1.0, usual_ms))
        return self._attempt_count

    def note_load(self, load: float, now_ms: float) -> None:
        """Take the load that the server reported, this host's part included."""
        self.reported_load = load
        self._load_sum += load
        self._load_count += 1
        others = max(0.0, load - self.in_flight)
        known = self._others_at(now_ms)
        self._others = known + LOAD_WEIGHT * (others - known)
        self._others_ms = now_ms

    def take_mean_load(self) -> float | None:
        """Return the mean of the reports since the last call, in slots, or None."""
        if not self._load_count:
            return None
        mean = self._load_sum / self._load_count / self.slots
        self._load_sum, self._load_count = 0.0, 0
        return round(mean, 1)

    def note_duration(self, ratio: float, now_ms: float) -> None:
        """Take an answer's time against the usual one, as a factor."""
        known = self.slowness(now_ms)
        ratio = min(MAX_SLOWNESS, max(1.0, ratio))
        self._slowness = known + SPEED_WEIGHT * (ratio - known)
        self._slowness_ms = now_ms

    def note_outcome(self, outcome: Outcome, now_ms: float, attempt: int) -> None:
        """Take the end of an attempt."""
        ended = self._attempts.pop(attempt)
        if outcome is Outcome.ANSWERED:
            self.note_duration((now_ms - ended.sent_ms) / ended.usual_ms, now_ms)
        if outcome is Outcome.ABANDONED:
            return
        if outcome in (Outcome.REFUSED, Outcome.SHED):
            if outcome is Outcome.REFUSED:
                self._full_until_ms = now_ms + FULL_HOLD_MS
            self._success_ms = now_ms
            return
        failed = outcome is not Outcome.ANSWERED
        known = self.failure_rate(now_ms)
        self._failure_rate = known + FAILURE_WEIGHT * (float(failed) - known)
        self._failure_ms = now_ms
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            self._success_ms = now_ms
            self._unreachable_count = 0
        elif outcome in (Outcome.UNREACHABLE, Outcome.MISDIRECTED):
            self._note_unreachable(now_ms)
        elif outcome is Outcome.LOST:
            self._broken_ms = now_ms
            self._success_ms = -1e12

    def _others_at(self, now_ms: float) -> float:
        return faded(self._others, now_ms - self._others_ms, LOAD_HALF_LIFE_MS)

    def _note_unreachable(self, now_ms: float) -> None:
        self._broken_ms = now_ms
        self._success_ms = -1e12
        hold_ms = UNREACHABLE_BASE_MS * 2**self._unreachable_count
        self._unreachable_until_ms = now_ms + min(hold_ms, UNREACHABLE_MAX_MS)
        self._unreachable_count += 1
