"""Tests that rate windows and link budgets stay within their limits."""

import math

from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.limits import LinkBudget, RateWindow

STEPS_MS = st.sampled_from((0, 1, 3, 8, 9, 11, 90, 500, 999, 1_000))


def move(clock, duration_ms):
    clock._now_ms += duration_ms


def worst_window(taken, window_ms=1_000):
    """Return the largest sum over any half-open window that ends at an entry."""
    return max(
        (
            sum(amount for at, amount in taken if end - window_ms < at <= end)
            for end, _ in taken
        ),
        default=0,
    )


@given(
    limit=st.integers(0, 20),
    steps=st.lists(st.tuples(STEPS_MS, st.integers(1, 8)), max_size=60),
)
def test_no_window_exceeds_the_limit(limit, steps):
    clock = ManualClock()
    window = RateWindow(clock, limit)
    taken = []
    for step_ms, amount in steps:
        move(clock, step_ms)
        if window.try_take(amount):
            taken.append((clock.now_ms(), amount))
        kept = sum(one for at, one in taken if at > clock.now_ms() - 1_010)
        assert window.used() <= kept
    assert worst_window(taken) <= limit


@given(
    limits=st.lists(st.tuples(STEPS_MS, st.integers(0, 20)), max_size=60),
)
def test_a_lowered_limit_counts_what_was_taken_before(limits):
    clock = ManualClock()
    window = RateWindow(clock, 0)
    taken = []
    for step_ms, limit in limits:
        move(clock, step_ms)
        window.set_limit(limit)
        while window.try_take():
            taken.append((clock.now_ms(), 1))
            recent = [one for at, one in taken if at > clock.now_ms() - 1_000]
            assert sum(recent) <= limit


@given(
    limit=st.integers(1, 20),
    steps=st.lists(st.tuples(STEPS_MS, st.integers(1, 8)), max_size=30),
    amount=st.integers(1, 25),
)
def test_retry_after_is_when_the_amount_fits(limit, steps, amount):
    clock = ManualClock()
    window = RateWindow(clock, limit)
    for step_ms, taken in steps:
        move(clock, step_ms)
        window.try_take(taken)
    retry_after_ms = window.retry_after_ms(amount)
    if amount > limit:
        assert retry_after_ms == math.inf
    else:
        move(clock, retry_after_ms)
        assert window.try_take(amount)


def test_a_nearly_used_limit_requests_twice_as_much():
    clock = ManualClock()
    window = RateWindow(clock, 10)
    assert window.wanted() == 0
    window.try_take(7)
    assert window.wanted() == 7
    window.try_take(1)
    assert window.wanted() == 20
    move(clock, 1_000)
    assert window.wanted() == 0


def test_amounts_in_shared_buckets_leave_the_window():
    clock = ManualClock()
    window = RateWindow(clock, 1_000)
    for _ in range(1_000):
        move(clock, 5)
        window.try_take()
    # One amount every 5 ms is 200 per window; a bucket of 10 ms holds two more.
    assert window.used() <= 202


def test_memory_of_a_window_is_bounded():
    clock = ManualClock()
    window = RateWindow(clock, 1_000_000)
    for _ in range(5_000):
        move(clock, 0.3)
        window.try_take()
    assert len(window._buckets) <= 101


@given(
    limit=st.integers(0, 100),
    steps=st.lists(
        st.tuples(STEPS_MS, st.integers(1, 60), st.integers(0, 90), st.booleans()),
        max_size=40,
    ),
)
def test_reserved_and_sent_bytes_never_exceed_the_link(limit, steps):
    clock = ManualClock()
    link = LinkBudget(clock, limit)
    sent, held = [], []
    for step_ms, estimate, actual, settles in steps:
        move(clock, step_ms)
        if (reservation := link.reserve(estimate)) is not None:
            held.append(reservation)
        if settles and held:
            reservation = held.pop(0)
            if link.record(reservation, actual):
                sent.append((clock.now_ms(), actual))
            link.settle(reservation, reservation.recorded_bytes)
        open_bytes = sum(reservation.remaining_bytes for reservation in held)
        recent = sum(one for at, one in sent if at > clock.now_ms() - 1_000)
        assert recent + open_bytes <= limit


def test_an_answer_larger_than_expected_delays_later_messages():
    clock = ManualClock()
    link = LinkBudget(clock, 100)
    reservation = link.reserve(10)
    link.settle(reservation, 150)
    link.settle(reservation, 200)
    assert link.used_bytes() == 150
    assert link.reserve(1) is None
    move(clock, 1_000)
    assert link.reserve(100) is not None


def test_without_a_share_only_reserved_bytes_are_sent():
    clock = ManualClock()
    link = LinkBudget(clock, 100)
    running = link.reserve(40)
    link.set_limit(0)
    assert link.reserve(1) is None
    assert link.record(running, 40)
