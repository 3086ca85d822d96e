import pytest

from bulrushlead.clock import ManualClock


class SteppedClock(ManualClock):
    """A clock that also advances without a running event loop."""

    def advance(self, duration_ms):
        self._now_ms += duration_ms


@pytest.fixture
def clock():
    return SteppedClock(1_000_000.0)
