"""Which servers hosts cannot reach, from the reports of all hosts."""

import math

import attrs

# Reports of this age still count; hosts try an unreachable server again within 4 s.
REPORT_TTL_MS = 5_000
MIN_REPORTING_ZONES = 2


@attrs.define(eq=False)
class Reachability:
    """Reports of hosts that one server is unreachable, or that it answered them.

    Hosts may be cut off themselves, all those of a zone too. So reports of several
    zones are needed, and a server that answers any host is not unreachable.
    """

    _reports: dict[str, tuple[str, float]] = attrs.field(factory=dict)  # zone, time
    _answered_ms: float = -math.inf

    def record_unreachable(self, host_id: str, zone: str, now_ms: float) -> None:
        """Record that a host of an availability zone could not connect."""
        self._reports[host_id] = (zone, now_ms)

    def record_answer(self, now_ms: float) -> None:
        """Record that a host had an answer from the server."""
        self._answered_ms = now_ms
        self._reports.clear()

    def withdraw(self, host_id: str) -> None:
        """Drop the report of a host that reaches no server at all."""
        self._reports.pop(host_id, None)

    def is_unreachable(
        self, now_ms: float, last_heartbeat_ms: float, silent: bool
    ) -> bool:
        """Return whether hosts of several zones cannot reach the server.

        A heartbeat or an answer after their reports shows that the server runs. The
        reports on a silent server do not expire, since no host tries it any more.
        """
        oldest_ms = last_heartbeat_ms
        if not silent:
            oldest_ms = max(oldest_ms, now_ms - REPORT_TTL_MS)
        zones = {
            zone for zone, time_ms in self._reports.values() if time_ms > oldest_ms
        }
        return len(zones) >= MIN_REPORTING_ZONES

    def report_ages_ms(self, now_ms: float) -> dict[str, int]:
        """Return the age of the report of each host, in milliseconds."""
        return {
            host_id: round(now_ms - time_ms)
            for host_id, (_, time_ms) in self._reports.items()
        }

    def answer_age_ms(self, now_ms: float) -> int | None:
        """Return the milliseconds since a host had an answer; None if none had."""
        age_ms = now_ms - self._answered_ms
        return round(age_ms) if math.isfinite(age_ms) else None
