"""Learns how long requests take, from their answers alone."""

import attrs

WEIGHT = 0.05  # of the newest answer; about the last twenty count
KNOWN_SHARE = 0.5  # first guess of what a remembered object saves
MAX_KNOWN_SHARE = 0.7  # a small gain must still keep objects in their place


@attrs.define
class _Durations:
    first_ms: float | None = None
    other_ms: float | None = None


@attrs.frozen
class WorkEstimate:
    """Expected work of a request.

    Parameters
    ----------
    known_ms : float
        At the first server for its object.
    fresh_ms : float
        At a server that has to begin from nothing.
    is_learned : bool
        Whether answers have been seen.
    """

    known_ms: float
    fresh_ms: float
    is_learned: bool


class DurationEstimates:
    """Mean durations by route, for the first server of an object and others."""

    def __init__(self):
        self._routes: dict[str, _Durations] = {}
        self._services: dict[str, float] = {}

    def of(self, route: str, target_ms: float) -> WorkEstimate:
        """Return the expected work of a route's requests.

        Parameters
        ----------
        route : str
            Name of the route.
        target_ms : float
            First guess, in milliseconds.
        """
        durations = self._routes.get(route)
        if durations is None or durations.first_ms is None:
            return WorkEstimate(KNOWN_SHARE * target_ms, target_ms, False)
        first_ms, other_ms = durations.first_ms, durations.other_ms
        fresh_ms = max(other_ms or 0.0, first_ms / MAX_KNOWN_SHARE)
        return WorkEstimate(first_ms, fresh_ms, True)

    def mean_of(self, service: str, target_ms: float) -> float:
        """Return the mean duration of the service's requests."""
        return self._services.get(service, target_ms)

    def note(self, route: str, service: str, is_first: bool, work_ms: float) -> None:
        """Take the time of an answer, without its estimated queueing."""
        durations = self._routes.setdefault(route, _Durations())
        if is_first:
            durations.first_ms = _mix(durations.first_ms, work_ms)
        else:
            durations.other_ms = _mix(durations.other_ms, work_ms)
        self._services[service] = _mix(self._services.get(service), work_ms)


def _mix(known_ms: float | None, new_ms: float) -> float:
    return new_ms if known_ms is None else known_ms + WEIGHT * (new_ms - known_ms)
