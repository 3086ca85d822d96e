"""Which servers hosts cannot reach, from the reports of all hosts."""

import attrs

# Reports of this age still count; hosts try an unreachable server again within 4 s.
REPORT_TTL_MS = 5_000
MIN_REPORTING_ZONES = 2


@attrs.define(eq=False)
class Reachability:
    """Reports that one server is unreachable.

    Hosts of one zone may be cut off themselves, so that reports of several zones are
    needed.
    """

    _reported_ms: dict[str, float] = attrs.field(factory=dict)  # newest, by zone

    def record_unreachable(self, zone: str, now_ms: float) -> None:
        """Record that a host of an availability zone could not connect."""
        self._reported_ms[zone] = now_ms

    def is_unreachable(
        self, now_ms: float, last_heartbeat_ms: float, silent: bool
    ) -> bool:
        """Return whether hosts of several zones cannot reach the server.

        A heartbeat after their reports shows that the server runs. The reports on a
        silent server do not expire, since no host tries it any more.
        """
        oldest_ms = last_heartbeat_ms
        if not silent:
            oldest_ms = max(oldest_ms, now_ms - REPORT_TTL_MS)
        zones = sum(time_ms > oldest_ms for time_ms in self._reported_ms.values())
        return zones >= MIN_REPORTING_ZONES

    def report_ages_ms(self, now_ms: float) -> dict[str, int]:
        """Return the age of the newest report of each zone, in milliseconds."""
        return {zone: round(now_ms - ms) for zone, ms in self._reported_ms.items()}
