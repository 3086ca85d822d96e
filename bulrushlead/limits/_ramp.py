"""Growth of a shift by what its target shows."""

from collections import deque

import attrs

from bulrushlead.clock import Clock


@attrs.frozen
class RampSettings:
    """When a shift grows and when it shrinks.

    Parameters
    ----------
    min_observations : int
        Shifted requests that a step must have shown before the next.
    window : int
        Most recent observations kept of each side.
    latency_factor : float
        A target is well while its 90th percentile is at most this many times
        the baseline's plus ``latency_allowance_ms``.
    latency_allowance_ms : float
        Extra latency that the longer way explains.
    error_allowance_percent : float
        A target is well while its share of errors exceeds the baseline's by at
        most this.
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
        From sending the request to the end of the answer.
    ok : bool
        Whether a complete answer arrived.
    """

    latency_ms: float
    ok: bool


class OutcomeWindow:
    """The most recent outcomes of one side of a shift.

    Parameters
    ----------
    size : int
        Most outcomes kept.
    """

    def __init__(self, size: int):
        self.size = size
        self._outcomes: deque[Observation] = deque(maxlen=size)

    def __len__(self) -> int:
        return len(self._outcomes)

    def add(self, outcome: Observation) -> None:
        """Append an outcome, dropping the oldest one if there are too many."""
        self._outcomes.append(outcome)

    def clear(self) -> None:
        """Forget every outcome."""
        self._outcomes.clear()

    def errors(self) -> int:
        """Return the number of errors."""
        return sum(not outcome.ok for outcome in self._outcomes)

    def error_percent(self) -> float:
        """Return the share of errors, 0 to 100."""
        return 100.0 * self.errors() / len(self) if self._outcomes else 0.0

    def latency_p90_ms(self) -> float:
        """Return the 90th percentile of the latency of complete answers."""
        latencies = sorted(o.latency_ms for o in self._outcomes if o.ok)
        return latencies[(len(latencies) * 9) // 10] if latencies else 0.0


class Ramp:
    """Decides by how many percent a shift is in effect.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    cap_percent, step_percent : float
        Largest value, and the size of a step.
    step_interval_ms : float
        Least time between two steps up.
    settings : RampSettings
        When to grow and when to shrink.

    Notes
    -----
    The baseline is what requests that stay in the source region show at the
    same time. Where too few stay, the last known latency of the source and the
    target's errors alone decide. The ramp steps down as soon as a step shows enough
    observations that are not well, even within ``step_interval_ms``. If errors
    persist on the first step it falls to 0, and starts again after a pause that
    doubles each time, up to ``MAX_PAUSE_STEPS`` intervals.
    """

    MAX_PAUSE_STEPS = 32

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
        self._target = OutcomeWindow(settings.window)
        self._baseline = OutcomeWindow(settings.window)
        self._known_base_ms = 0.0
        self._pause_steps = 1
        self._percent = 0.0
        self._resume_at_ms = float("-inf")
        self._stepped_at_ms = clock.now_ms()

    def percent(self) -> float:
        """Return the percent in effect now, never above the cap."""
        if self._percent == 0.0 and self.clock.now_ms() >= self._resume_at_ms:
            self.restart()
        return min(self._percent, self.cap_percent)

    def restart(self) -> None:
        """Begin again at the first step, as for a cold cache."""
        self._move_to(self.step_percent)

    def observe_baseline(self, outcome: Observation) -> None:
        """Take the outcome of a request that stayed in the source region."""
        self._baseline.add(outcome)

    def observe_target(self, outcome: Observation) -> None:
        """Take the outcome of a shifted request, and step if it is due."""
        self._target.add(outcome)
        if len(self._target) < self.settings.min_observations:
            return
        if not self._is_well():
            self._step_down()
        elif self.clock.now_ms() - self._stepped_at_ms >= self.step_interval_ms:
            self._step_up()

    def set_cap(self, cap_percent: float) -> None:
        """Change the cap; a lower cap binds at once."""
        self.cap_percent = cap_percent
        self._percent = min(self._percent, max(cap_percent, 0.0))

    def _is_well(self) -> bool:
        settings = self.settings
        has_baseline = len(self._baseline) >= settings.min_observations
        base_errors = self._baseline.error_percent() if has_baseline else 0.0
        allowed_errors = base_errors + settings.error_allowance_percent
        if self._target.error_percent() > allowed_errors:
            return False
        if has_baseline:
            self._known_base_ms = self._baseline.latency_p90_ms()
        if self._known_base_ms == 0.0:
            return True
        limit_ms = (
            self._known_base_ms * settings.latency_factor
            + settings.latency_allowance_ms
        )
        return self._target.latency_p90_ms() <= limit_ms

    def _step_up(self) -> None:
        self._pause_steps = 1
        self._move_to(self._percent + self.step_percent)

    def _step_down(self) -> None:
        lower = self._percent - self.step_percent
        if lower > 0:
            self._move_to(lower)
        elif self._target.error_percent() > self.settings.error_allowance_percent:
            pause_ms = self._pause_steps * self.step_interval_ms
            self._resume_at_ms = self.clock.now_ms() + pause_ms
            self._pause_steps = min(self._pause_steps * 2, self.MAX_PAUSE_STEPS)
            self._move_to(0.0)
        else:
            self._move_to(self._percent)

    def _move_to(self, percent: float) -> None:
        self._percent = max(0.0, min(percent, self.cap_percent))
        self._stepped_at_ms = self.clock.now_ms()
        self._target.clear()
        self._baseline.clear()
