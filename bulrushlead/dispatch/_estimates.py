"""Estimates the duration of requests from the times of their answers."""

import attrs

# Weight of the newest answer in the moving average, which thus covers about the last 20
# answers.
NEWEST_WEIGHT = 0.05
# Weights of an answer that is faster or slower than the fast answers before it: they
# keep the mean near the fastest answers, which waited in no queue.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01
# Assumed ratio of a request's duration with the object cached to its duration without,
# until the first answer.
INITIAL_CACHED_RATIO = 0.5
# Upper limit of that ratio, so that objects stay at their preferred server even if the
# estimated gain is small.
MAX_CACHED_RATIO = 0.7


@attrs.define
class _Durations:
    first_ms: float | None = None
    other_ms: float | None = None
    unqueued_ms: float | None = None


@attrs.frozen
class WorkEstimate:
    """Expected duration of a request, without queueing.

    Parameters
    ----------
    cached_ms : float
        Duration at the object's first preferred server, in milliseconds.
    uncached_ms : float
        Duration at a server that has not cached the object, in milliseconds.
    is_measured : bool
        Whether the estimate comes from answers rather than from the target latency.
    unqueued_ms : float
        Duration of the fastest answers of first preferred servers, in milliseconds.
        Unlike the mean, it does not rise with the queues.
    """

    cached_ms: float
    uncached_ms: float
    is_measured: bool
    unqueued_ms: float


class DurationEstimates:
    """Mean durations by route, for the first preferred server and for others.

    The requests of a route are the group that ``Work.duration_group`` names.
    """

    def __init__(self):
        self._groups: dict[int | str, _Durations] = {}
        self._services: dict[str, float] = {}

    def for_group(self, group: int | str, target_latency_ms: float) -> WorkEstimate:
        """Return the expected duration of a route's requests.

        Parameters
        ----------
        group : int or str
            Group of the requests.
        target_latency_ms : float
            Target latency, in milliseconds, used until an answer arrives.
        """
        durations = self._groups.get(group)
        if durations is None or durations.first_ms is None:
            cached_ms = INITIAL_CACHED_RATIO * target_latency_ms
            return WorkEstimate(cached_ms, target_latency_ms, False, cached_ms)
        first_ms, other_ms = durations.first_ms, durations.other_ms
        uncached_ms = max(other_ms or 0.0, first_ms / MAX_CACHED_RATIO)
        return WorkEstimate(first_ms, uncached_ms, True, durations.unqueued_ms)

    def service_mean_ms(self, service: str, target_latency_ms: float) -> float:
        """Return the service's mean duration; before any answer, the target latency."""
        return self._services.get(service, target_latency_ms)

    def record_answer(
        self, group: int | str, service: str, is_first: bool, work_ms: float
    ) -> None:
        """Add the duration of an answer, without its estimated queueing."""
        durations = self._groups.setdefault(group, _Durations())
        if is_first:
            durations.first_ms = _moving_average(durations.first_ms, work_ms)
            durations.unqueued_ms = _fast_average(durations.unqueued_ms, work_ms)
        else:
            durations.other_ms = _moving_average(durations.other_ms, work_ms)
        self._services[service] = _moving_average(self._services.get(service), work_ms)


def _moving_average(mean_ms: float | None, new_ms: float) -> float:
    return new_ms if mean_ms is None else mean_ms + NEWEST_WEIGHT * (new_ms - mean_ms)


def _fast_average(mean_ms: float | None, new_ms: float) -> float:
    if mean_ms is None:
        return new_ms
    weight = FASTER_WEIGHT if new_ms < mean_ms else SLOWER_WEIGHT
    return mean_ms + weight * (new_ms - mean_ms)
