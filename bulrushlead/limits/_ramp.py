"""Ramp of a shift, driven by the outcomes observed at its target region."""

from collections import deque

import attrs

from bulrushlead.clock import Clock


@attrs.frozen
class RampSettings:
    """Thresholds at which a ramp steps up or down.

    Parameters
    ----------
    min_observations : int
        Outcomes of shifted requests needed at one step before the ramp steps up
        or down.
    window : int
        Maximum number of recent observations stored for each region.
    latency_factor : float
        A target is healthy while its 90th percentile of latency is at most this
        many times the baseline's plus ``latency_allowance_ms``.
    latency_allowance_ms : float
        Extra latency expected from the longer distance to the target.
    error_allowance_percent : float
        A target is healthy while its error percentage exceeds the baseline's by
        at most this many percentage points.
    """

    min_observations: int = 20
    window: int = 200
    latency_factor: float = 1.5
    latency_allowance_ms: float = 100.0
    error_allowance_percent: float = 2.0


@attrs.frozen
class Observation:
    """Outcome of one request.

    Parameters
    ----------
    latency_ms : float
        Time from sending the request to the end of the answer.
    ok : bool
        Whether a complete answer arrived.
    """

    latency_ms: float
    ok: bool


class ObservationWindow:
    """The most recent observations at the source or the target of a shift.

    Parameters
    ----------
    size : int
        Maximum number of observations stored.
    """

    def __init__(self, size: int):
        self.size = size
        self._observations: deque[Observation] = deque(maxlen=size)

    def __len__(self) -> int:
        return len(self._observations)

    def add(self, observation: Observation) -> None:
        """Append an observation; a full window drops its oldest one."""
        self._observations.append(observation)

    def clear(self) -> None:
        """Remove all observations."""
        self._observations.clear()

    def errors(self) -> int:
        """Return the number of errors."""
        return sum(not observation.ok for observation in self._observations)

    def error_percent(self) -> float:
        """Return the percentage of errors, 0 to 100."""
        return 100.0 * self.errors() / len(self) if self._observations else 0.0

    def latency_p90_ms(self) -> float:
        """Return the 90th percentile of the latency of complete answers, in ms."""
        latencies = sorted(
            observation.latency_ms
            for observation in self._observations
            if observation.ok
        )
        return latencies[(len(latencies) * 9) // 10] if latencies else 0.0


class Ramp:
    """Sets the percentage of eligible requests that a shift moves.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    cap_percent, step_percent : float
        Largest percentage, and the size of a step in percentage points.
    step_interval_ms : float
        Minimum time between two steps up.
    settings : RampSettings
        Thresholds at which to step up or down.

    Notes
    -----
    The baseline consists of the outcomes of requests that stay in the source
    region at the same time. If too few stay, the target's latency is compared with
    the last known latency of the baseline, and its error percentage with 0. The
    ramp steps down as soon as ``min_observations`` outcomes at a step show an
    unhealthy target, even within ``step_interval_ms``. If errors persist at the
    first step, the percentage falls to 0, and the ramp restarts after a pause that
    doubles each time, up to ``MAX_PAUSE_INTERVALS`` step intervals. If only the
    latency is too high at the first step, the percentage stays.
    """

    MAX_PAUSE_INTERVALS = 32

    def __init__(
        self,
        clock: Clock,
        cap_percent: float,
        step_percent: float,
        step_interval_ms: float,
        settings: RampSettings,
    ):
        self.clock = clock
        self.cap_percent = cap_percent
        self.step_percent = step_percent
        self.step_interval_ms = step_interval_ms
        self.settings = settings
        self._target = ObservationWindow(settings.window)
        self._baseline = ObservationWindow(settings.window)
        self._last_baseline_p90_ms = 0.0
        self._pause_intervals = 1
        self._percent = 0.0
        self._resume_at_ms = float("-inf")
        self._last_step_at_ms = clock.now_ms()

    def percent(self) -> float:
        """Return the current percentage, never above the cap."""
        if self._percent == 0.0 and self.clock.now_ms() >= self._resume_at_ms:
            self.restart()
        return min(self._percent, self.cap_percent)

    def restart(self) -> None:
        """Return to the first step, because the target's cache may be cold."""
        self._set_percent(self.step_percent)

    def observe_baseline(self, observation: Observation) -> None:
        """Record the outcome of a request that stayed in the source region."""
        self._baseline.add(observation)

    def observe_target(self, observation: Observation) -> None:
        """Record the outcome of a shifted request, and step up or down if due."""
        self._target.add(observation)
        if len(self._target) < self.settings.min_observations:
            return
        if not self._is_target_healthy():
            self._step_down()
        elif self.clock.now_ms() - self._last_step_at_ms >= self.step_interval_ms:
            self._step_up()

    def set_cap(self, cap_percent: float) -> None:
        """Change the cap; a lower cap takes effect at once."""
        self.cap_percent = cap_percent
        self._percent = min(self._percent, max(cap_percent, 0.0))

    def _is_target_healthy(self) -> bool:
        settings = self.settings
        has_baseline = len(self._baseline) >= settings.min_observations
        baseline_errors = self._baseline.error_percent() if has_baseline else 0.0
        allowed_errors = baseline_errors + settings.error_allowance_percent
        if self._target.error_percent() > allowed_errors:
            return False
        if has_baseline:
            self._last_baseline_p90_ms = self._baseline.latency_p90_ms()
        if self._last_baseline_p90_ms == 0.0:
            return True
        limit_ms = (
            self._last_baseline_p90_ms * settings.latency_factor
            + settings.latency_allowance_ms
        )
        return self._target.latency_p90_ms() <= limit_ms

    def _step_up(self) -> None:
        self._pause_intervals = 1
        self._set_percent(self._percent + self.step_percent)

    def _step_down(self) -> None:
        lower = self._percent - self.step_percent
        if lower > 0:
            self._set_percent(lower)
        elif self._target.error_percent() > self.settings.error_allowance_percent:
            pause_ms = self._pause_intervals * self.step_interval_ms
            self._resume_at_ms = self.clock.now_ms() + pause_ms
            self._pause_intervals = min(
                self._pause_intervals * 2, self.MAX_PAUSE_INTERVALS
            )
            self._set_percent(0.0)
        else:
            self._set_percent(self._percent)

    def _set_percent(self, percent: float) -> None:
        self._percent = max(0.0, min(percent, self.cap_percent))
        self._last_step_at_ms = self.clock.now_ms()
        self._target.clear()
        self._baseline.clear()
