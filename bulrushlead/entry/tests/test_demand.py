"""Tests of the demand estimate.

Without the decay a host loses its slots between two bursts and refuses the second.
"""

from bulrushlead.clock import ManualClock
from bulrushlead.entry._demand import DemandEstimate


async def test_demand_decays_after_a_peak():
    clock = ManualClock()
    demand = DemandEstimate(clock, half_life_ms=5_000)
    demand.observe(8)
    demand.observe(0)
    assert demand.slots_needed() == 8
    await clock.advance_ms(5_000)
    assert demand.slots_needed() == 4
    await clock.advance_ms(30_000)
    assert demand.slots_needed() == 0


async def test_demand_rises_at_once():
    clock = ManualClock()
    demand = DemandEstimate(clock)
    demand.observe(2)
    demand.observe(5)
    assert demand.slots_needed() == 5
