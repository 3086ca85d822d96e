"""Deep seeded schedules; the parameter of a failing test is its seed."""

import pytest

from bulrushlead.leases.tests.schedule import Schedule


@pytest.mark.parametrize("seed", range(40))
def test_no_share_is_used_twice(seed):
    Schedule(seed).play(1_200)
