"""Learns how long requests take, from their answers alone."""

import attrs

WEIGHT = 0.05  # of the newest answer; about the last twenty count
KNOWN_SHARE = 0.5  # first guess of what a remembered object saves


@attrs.define
class _Durations:
    known_ms: float | None = None
    fresh_ms: float | None = None


class DurationEstimates:
    """Mean durations by route, for servers that know the object and others."""

    def __init__(self):
        self._routes: dict[str, _Durations] = {}
        self._services: dict[str, float] = {}

    def of(self, route: str, target_ms: float) -> tuple[float, float]:
        """Return the expected work with and without a remembered object.

        Parameters
        ----------
        route : str
            Name of the route.
        target_ms : float
            First guess, in milliseconds.
        """
        durations = self._routes.get(route)
        if durations is None:
            return KNOWN_SHARE * target_ms, target_ms
        known_ms, fresh_ms = durations.known_ms, durations.fresh_ms
        if fresh_ms is None:
            fresh_ms = max(target_ms, known_ms or 0.0)
        if known_ms is None:
            known_ms = KNOWN_SHARE * fresh_ms
        return min(known_ms, fresh_ms), fresh_ms

    def mean_of(self, service: str, target_ms: float) -> float:
        """Return the mean duration of the service's requests."""
        return self._services.get(service, target_ms)

    def note(self, route: str, service: str, is_home: bool, work_ms: float) -> None:
        """Take the time of an answer, without its estimated queueing."""
        durations = self._routes.setdefault(route, _Durations())
        if is_home:
            durations.known_ms = _mix(durations.known_ms, work_ms)
        else:
            durations.fresh_ms = _mix(durations.fresh_ms, work_ms)
        self._services[service] = _mix(self._services.get(service), work_ms)


def _mix(known_ms: float | None, new_ms: float) -> float:
    return new_ms if known_ms is None else known_ms + WEIGHT * (new_ms - known_ms)
