"""Request limit of one server as the leader knows it from the reports of hosts."""

import math

import attrs

from bulrushlead.fleet._messages import LimitNotice


@attrs.define
class ObservedLimit:
    """Newest request limit that any host observed in an answer of a server.

    Parameters
    ----------
    notice : LimitNotice
        The limit, with its age at the receipt of the report.
    observed_ms : float
        Time of the observation, in milliseconds of the leader's clock.
    """

    notice: LimitNotice
    observed_ms: float

    def at(self, now_ms: float) -> LimitNotice:
        """Return the limit with its age at a time."""
        return attrs.evolve(self.notice, age_ms=max(0.0, now_ms - self.observed_ms))


def newer_limit(
    known: ObservedLimit | None, notice: LimitNotice, now_ms: float
) -> ObservedLimit | None:
    """Return the limit that a host reports if it is valid and newer than the known one.

    Parameters
    ----------
    known : ObservedLimit or None
        The limit of the same incarnation so far.
    notice : LimitNotice
        The reported limit.
    now_ms : float
        Current time, in milliseconds.
    """
    limit_per_s = notice.limit_per_s
    if limit_per_s is not None and not (
        math.isfinite(limit_per_s) and limit_per_s >= 0
    ):
        return None
    if not math.isfinite(notice.age_ms):
        return None
    observed_ms = now_ms - max(0.0, notice.age_ms)
    if known is not None and observed_ms <= known.observed_ms:
        return None
    return ObservedLimit(notice, observed_ms)
