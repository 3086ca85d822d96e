"""Long random schedules; the parameter of a failing test is its seed.

They guard against granting a share again while an earlier holder may still use it,
which can happen when messages are lost, delayed or duplicated, clocks drift, or hosts
and leaders change.
"""

import pytest

from bulrushlead.leases.tests.schedule import Schedule


@pytest.mark.parametrize("seed", range(40))
def test_no_share_is_used_twice(seed):
    Schedule(seed).run(1_200)
