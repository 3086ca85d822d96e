"""Selection of the requests that a shift moves to its target region."""

from bulrushlead.clock import Clock
from bulrushlead.declaration import Shift
from bulrushlead.limits._ramp import Observation, Ramp, RampSettings
from bulrushlead.limits._window import RateWindow
from bulrushlead.logs import Event, EventLogger

UNITS_PER_REQUEST = 100_000
"""Accumulator units per shifted request; one unit is a thousandth of a percent."""


class ShiftGate:
    """Selects requests to move, within the percent and rate caps of one shift.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    shift : Shift
        Declaration of the shift.
    settings : RampSettings, optional
        Thresholds at which the shift steps up or down.

    Notes
    -----
    For each eligible request the current percentage is added to an integer
    accumulator. When it reaches 100 percent, the request is moved and 100 percent
    is subtracted. In any sequence of eligible requests, the number moved is
    therefore at most the sum of their percentages, rounded up to whole requests,
    even while the percentage changes. If the rate cap prevents a move, no later
    request is shifted instead.

    The gate moves nothing until ``set_rate`` sets a rate share, and again after
    ``suspend``.
    """

    def __init__(
        self, clock: Clock, shift: Shift, settings: RampSettings | None = None
    ):
        self.clock = clock
        self.shift = shift
        self.settings = settings
        self._ramp = Ramp(
            clock,
            shift.percent_cap,
            shift.step_percent,
            shift.step_interval_ms,
            settings or RampSettings(),
        )
        self._window = RateWindow(clock, 0)
        self._accumulator = 0
        self._suspended_ms: float | None = clock.now_ms()
        self._has_opened = False
        self._log = EventLogger("limits")

    def choose(self) -> bool:
        """Return whether this eligible request is moved to the target region.

        Call it exactly once for each request of the service that would go to the
        source region; each call adds to the accumulator.
        """
        percent = self.percent()
        if percent <= 0.0:
            return False
        self._accumulator += int(percent * UNITS_PER_REQUEST / 100)
        if self._accumulator < UNITS_PER_REQUEST:
            return False
        self._accumulator -= UNITS_PER_REQUEST
        return self._window.try_take()

    def observe(self, latency_ms: float, ok: bool, *, shifted: bool) -> None:
        """Record the outcome of a request.

        Parameters
        ----------
        latency_ms : float
            Time from sending the request to the end of the answer.
        ok : bool
            Whether a complete answer arrived.
        shifted : bool
            Whether the request was moved to the target; otherwise its outcome
            belongs to the baseline.
        """
        observation = Observation(latency_ms, ok)
        if not shifted:
            self._ramp.observe_baseline(observation)
            return
        before = self._ramp.percent()
        self._ramp.observe_target(observation)
        after = self._ramp.percent()
        if after != before:
            self._log.write(
                Event.SHIFT_STEPPED,
                shift=self.shift.name,
                from_percent=before,
                to_percent=after,
                cap_percent=self.shift.percent_cap,
            )

    def percent(self) -> float:
        """Return the current percentage; 0 while suspended."""
        return 0.0 if self._suspended_ms is not None else self._ramp.percent()

    def set_shift(self, shift: Shift) -> None:
        """Apply a changed declaration; a lower cap takes effect at once."""
        self.shift = shift
        self._ramp.step_percent = shift.step_percent
        self._ramp.step_interval_ms = shift.step_interval_ms
        self._ramp.set_cap(shift.percent_cap)

    def set_rate(self, rate_per_s: float) -> None:
        """Set this host's leased share of the rate cap, and open the gate.

        The first call, and one after a suspension of at least a step interval,
        restarts the ramp.

        Parameters
        ----------
        rate_per_s : float
            Share of ``rate_cap_rps``, rounded down to whole requests.
        """
        self._window.set_limit(min(int(rate_per_s), self.shift.rate_cap_rps))
        if self._suspended_ms is None:
            return
        closed_ms = self.clock.now_ms() - self._suspended_ms
        self._suspended_ms = None
        if not self._has_opened or closed_ms >= self.shift.step_interval_ms:
            self._has_opened = True
            self._ramp.restart()

    def wanted(self) -> int:
        """Return the rate share to request for the current use, in requests per s."""
        return self._window.wanted()

    def suspend(self) -> None:
        """Move nothing until ``set_rate``, because the lease has expired."""
        self._window.set_limit(0)
        if self._suspended_ms is None:
            self._suspended_ms = self.clock.now_ms()
