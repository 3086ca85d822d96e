"""Monotonic time in milliseconds, with a manual clock for tests."""

from bulrushlead.clock._clock import Clock, ManualClock, MonotonicClock, decayed

__all__ = ["Clock", "ManualClock", "MonotonicClock", "decayed"]
