from bulrushlead.clock import ManualClock
from bulrushlead.entry._demand import DemandEstimate


async def test_a_peak_is_needed_for_some_seconds_and_then_forgotten():
    clock = ManualClock()
    demand = DemandEstimate(clock, half_life_ms=5_000)
    demand.observe(8)
    demand.observe(0)
    assert demand.needed() == 8
    await clock.advance_ms(5_000)
    assert demand.needed() == 4
    await clock.advance_ms(30_000)
    assert demand.needed() == 0


async def test_a_higher_demand_counts_at_once():
    clock = ManualClock()
    demand = DemandEstimate(clock)
    demand.observe(2)
    demand.observe(5)
    assert demand.needed() == 5
