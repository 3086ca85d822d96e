"""Which requests a shift moves to its target region."""

from bulrushlead.clock import Clock
from bulrushlead.declaration import Shift
from bulrushlead.limits._ramp import Observation, Ramp, RampSettings
from bulrushlead.limits._window import RateWindow
from bulrushlead.logs import Event, EventLogger

UNITS_PER_REQUEST = 100_000
"""Accumulator units that make one shifted request: thousandths of a percent."""


class ShiftGate:
    """Chooses requests of one shift within its percent and rate caps.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    shift : Shift
        The shift as declared.
    settings : RampSettings, optional
        When the shift grows and when it shrinks.

    Notes
    -----
    An integer accumulator adds the percent in effect for each eligible request
    and moves the request when it reaches 100 percent, which it then subtracts.
    Over any run of eligible requests the moved ones therefore number at most
    the sum of their percents, rounded up, also while the percent changes. A
    request that the rate cap holds back is not made up for later.

    The gate is closed until it has a rate share, and closes with ``suspend``.
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
        self._accumulated = 0
        self._suspended_at_ms: float | None = clock.now_ms()
        self._has_opened = False
        self._log = EventLogger("limits")

    def choose(self) -> bool:
        """Return whether this eligible request is moved to the target region.

        To be asked exactly once for each request of the service that would go
        to the source region.
        """
        percent = self.percent()
        if percent <= 0.0:
            return False
        self._accumulated += int(percent * UNITS_PER_REQUEST / 100)
        if self._accumulated < UNITS_PER_REQUEST:
            return False
        self._accumulated -= UNITS_PER_REQUEST
        return self._window.try_take()

    def observe(self, latency_ms: float, ok: bool, *, shifted: bool) -> None:
        """Take the outcome of a request.

        Parameters
        ----------
        latency_ms : float
            From sending the request to the end of the answer.
        ok : bool
            Whether a complete answer arrived.
        shifted : bool
            Whether it was moved to the target; otherwise it is the baseline.
        """
        outcome = Observation(latency_ms, ok)
        if not shifted:
            self._ramp.observe_baseline(outcome)
            return
        before = self._ramp.percent()
        self._ramp.observe_target(outcome)
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
        """Return the percent in effect now; 0 while suspended."""
        return 0.0 if self._suspended_at_ms is not None else self._ramp.percent()

    def set_shift(self, shift: Shift) -> None:
        """Put a changed declaration in force; a lower cap binds at once."""
        self.shift = shift
        self._ramp.step_percent = shift.step_percent
        self._ramp.step_interval_ms = shift.step_interval_ms
        self._ramp.set_cap(shift.percent_cap)

    def set_rate(self, rate_per_s: float) -> None:
        """Set this host's leased share of the rate cap, and open the gate.

        Parameters
        ----------
        rate_per_s : float
            Share of ``rate_cap_rps``; fractions of a request are not usable.
        """
        self._window.set_limit(min(int(rate_per_s), self.shift.rate_cap_rps))
        if self._suspended_at_ms is None:
            return
        closed_ms = self.clock.now_ms() - self._suspended_at_ms
        self._suspended_at_ms = None
        if not self._has_opened or closed_ms >= self.shift.step_interval_ms:
            self._has_opened = True
            self._ramp.restart()

    def wanted(self) -> int:
        """Return the rate share that would suit the present use."""
        return self._window.wanted()

    def suspend(self) -> None:
        """Move nothing until ``set_rate``; the lease has run out."""
        self._window.set_limit(0)
        if self._suspended_at_ms is None:
            self._suspended_at_ms = self.clock.now_ms()
