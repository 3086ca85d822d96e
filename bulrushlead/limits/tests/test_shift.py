"""Tests of a shift's percent and rate caps, and of its ramp."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.declaration import Shift
from bulrushlead.limits import ShiftGate
from bulrushlead.limits._shift import UNITS_PER_REQUEST


def move(clock, duration_ms):
    clock._now_ms += duration_ms


def build(cap=100.0, step=100.0, rate=1_000_000, interval_ms=1_000):
    clock = ManualClock()
    shift = Shift("s", "stock", "casa", "fes", cap, rate, step, interval_ms)
    gate = ShiftGate(clock, shift)
    gate.set_rate(rate)
    return clock, shift, gate


def observe(gate, count, latency_ms, ok=True, base_ms=50.0):
    for _ in range(count):
        gate.observe(base_ms, True, shifted=False)
    for _ in range(count):
        gate.observe(latency_ms, ok, shifted=True)


@given(percent=st.floats(0, 100), count=st.integers(1, 300))
def test_no_window_shifts_more_than_its_percent_rounded_up(percent, count):
    _, _, gate = build(cap=percent)
    chosen = [gate.choose() for _ in range(count)]
    for size in {1, 2, 3, 7, 50, count}:
        for start in range(count - size + 1):
            moved = sum(chosen[start : start + size])
            assert moved <= math.ceil(percent * size / 100)


@given(changes=st.lists(st.tuples(st.floats(0, 100), st.integers(0, 12)), max_size=30))
def test_no_credit_is_saved_up_while_the_percent_changes(changes):
    _, shift, gate = build()
    units, chosen = [], []
    for percent, count in changes:
        gate.set_shift(Shift("s", "stock", "casa", "fes", percent, 1_000, 100.0))
        for _ in range(count):
            chosen.append(gate.choose())
            units.append(math.ceil(percent * UNITS_PER_REQUEST / 100))
    for start in range(len(chosen)):
        for end in range(start, len(chosen) + 1):
            allowed = math.ceil(sum(units[start:end]) / UNITS_PER_REQUEST)
            assert sum(chosen[start:end]) <= allowed


@given(
    rate=st.integers(0, 10),
    steps=st.lists(st.sampled_from((0, 1, 50, 400, 1_000)), max_size=80),
)
def test_the_rate_share_holds_over_every_second(rate, steps):
    clock, _, gate = build(rate=rate)
    moved = []
    for step_ms in steps:
        move(clock, step_ms)
        if gate.choose():
            moved.append(clock.now_ms())
        assert sum(at > clock.now_ms() - 1_000 for at in moved) <= rate


def test_requests_blocked_by_the_rate_cap_are_not_moved_later():
    clock, _, gate = build(cap=50.0, rate=1_000)
    gate.set_rate(1)
    assert sum(gate.choose() for _ in range(20)) == 1
    move(clock, 1_000)
    gate.set_rate(1_000)
    assert sum(gate.choose() for _ in range(4)) <= 2


def test_a_healthy_target_steps_up_to_the_cap():
    clock, _, gate = build(cap=25.0, step=10.0)
    assert gate.percent() == 10.0
    observe(gate, 30, 80.0)
    assert gate.percent() == 10.0
    for expected in (20.0, 25.0, 25.0):
        move(clock, 1_000)
        observe(gate, 30, 80.0)
        assert gate.percent() == expected


def test_too_few_observations_do_not_step_up():
    clock, _, gate = build(step=10.0)
    move(clock, 10_000)
    observe(gate, 19, 80.0)
    assert gate.percent() == 10.0


@pytest.mark.parametrize(("latency_ms", "ok"), [(500.0, True), (80.0, False)])
def test_an_unhealthy_target_steps_down_at_once(latency_ms, ok):
    clock, _, gate = build(step=10.0)
    for _ in range(3):
        move(clock, 1_000)
        observe(gate, 30, 80.0)
    assert gate.percent() == 40.0
    observe(gate, 20, latency_ms, ok)
    assert gate.percent() == 30.0


def test_the_pause_doubles_each_time_the_target_fails():
    clock, _, gate = build(step=10.0)
    observe(gate, 20, 80.0, ok=False)
    assert gate.percent() == 0.0
    move(clock, 1_000)
    assert gate.percent() == 10.0
    observe(gate, 20, 80.0, ok=False)
    move(clock, 1_999)
    assert gate.percent() == 0.0
    move(clock, 1)
    assert gate.percent() == 10.0


def test_the_last_baseline_latency_applies_without_source_observations():
    clock, _, gate = build(step=10.0)
    move(clock, 1_000)
    observe(gate, 30, 80.0)
    for _ in range(20):
        gate.observe(900.0, True, shifted=True)
    assert gate.percent() == 10.0


def test_a_suspended_gate_moves_nothing_and_restarts_after_a_step_interval():
    clock, _, gate = build(step=10.0)
    move(clock, 1_000)
    observe(gate, 30, 80.0)
    assert gate.percent() == 20.0
    gate.suspend()
    assert not any(gate.choose() for _ in range(100))
    move(clock, 500)
    gate.set_rate(1_000)
    assert gate.percent() == 20.0
    gate.suspend()
    move(clock, 1_000)
    gate.set_rate(1_000)
    assert gate.percent() == 10.0


def test_a_lowered_cap_takes_effect_at_once():
    _, shift, gate = build()
    assert gate.percent() == 100.0
    gate.set_shift(Shift("s", "stock", "casa", "fes", 3.0, 1_000))
    assert gate.percent() == 3.0
    assert sum(gate.choose() for _ in range(100)) <= 3
