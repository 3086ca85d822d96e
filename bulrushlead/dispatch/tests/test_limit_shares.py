"""Shares of hosts in the limits of servers."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch._limit_shares import (
    MIN_LIMIT_PER_S,
    OVERSHOOT,
    SETTLE_MS,
    SLACK,
    WINDOW_MS,
    LimitShares,
    sharing_host_count,
)
from bulrushlead.dispatch.tests.limit_rule import NOTICE_MS, LimitObserver

HOSTS = [(f"e{n}", "north" if n < 20 else "south") for n in range(185)]
WINDOW_S = WINDOW_MS / 1_000.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def shares(clock):
    """The shares of every host of a large fleet, by name."""
    shares = {host_id: LimitShares(clock, host_id) for host_id, _ in HOSTS}
    for share in shares.values():
        share.set_hosts(HOSTS)
    return shares


def waits_ms(shares, limit_per_s):
    waits = {h: s.wait_ms("s1", "north", limit_per_s) for h, s in shares.items()}
    return {host_id: wait for host_id, wait in waits.items() if math.isfinite(wait)}


@given(st.floats(0.0, 1e4))
def test_all_first_requests_and_a_replaced_host_stay_within_the_tolerance(limit_per_s):
    hosts = sharing_host_count(limit_per_s)
    per_window = limit_per_s * WINDOW_S
    sent = per_window + hosts + per_window / hosts + 1
    assert sent <= OVERSHOOT * per_window + SLACK + 1e-6


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 2.2, 3.7, 12.0])
def test_shares_of_all_hosts_add_up_to_the_limit(shares, clock, limit_per_s):
    waits = waits_ms(shares, limit_per_s)
    assert len(waits) == sharing_host_count(limit_per_s)
    clock._now_ms += max(waits.values())
    for host_id in waits:
        shares[host_id].record_sent("s1")
    intervals_ms = waits_ms(shares, limit_per_s).values()
    total_per_s = sum(1_000.0 / interval_ms for interval_ms in intervals_ms)
    assert total_per_s == pytest.approx(max(limit_per_s, MIN_LIMIT_PER_S))


def test_hosts_of_the_server_s_region_share_its_limit(shares):
    north = {host_id for host_id, region in HOSTS if region == "north"}
    assert waits_ms(shares, 3.7).keys() <= north


def test_lower_limit_lengthens_the_present_wait(shares, clock):
    host_id = next(iter(waits_ms(shares, 0.3)))
    clock._now_ms += 60_000
    shares[host_id].record_sent("s1")
    before_ms = shares[host_id].wait_ms("s1", "north", 3.7)
    assert shares[host_id].wait_ms("s1", "north", 0.3) > before_ms


def test_host_that_takes_over_a_share_waits(shares, clock):
    """Pattern: a host joins and displaces another, which learns of it later."""
    limit_per_s = 50.0
    before = waits_ms(shares, limit_per_s)
    clock._now_ms += 60_000
    leaving = next(iter(before))
    for share in shares.values():
        share.set_hosts([host for host in HOSTS if host[0] != leaving])
    after = waits_ms(shares, limit_per_s)
    (joined,) = after.keys() - before.keys()
    assert after[joined] >= SETTLE_MS
    assert all(after[host_id] == 0.0 for host_id in after.keys() & before.keys())


def test_limit_that_was_withdrawn_begins_anew(shares, clock):
    share = next(shares[host_id] for host_id in waits_ms(shares, 2.2))
    clock._now_ms += 60_000
    share.drop("s1")
    assert share.wait_ms("s1", "north", 2.2) >= SETTLE_MS


@pytest.mark.parametrize("limit_per_s", [0.0, 0.7, 2.2, 6.0, 25.0])
@pytest.mark.parametrize("count", [1, 3, 11, 40])
def test_hosts_that_send_whenever_they_may_stay_within_the_tolerance(
    clock, limit_per_s, count
):
    """Pattern: every host wants to use a server; one host leaves and returns."""
    rng = random.Random(f"{limit_per_s}/{count}")
    hosts = HOSTS[:count]
    fleet = [LimitShares(clock, host_id) for host_id, _ in hosts]
    observer = LimitObserver()
    observer.name_limit(0.0, limit_per_s)
    for host_id, _ in hosts:
        observer.record_told(-NOTICE_MS, host_id)
    for step in range(300):
        clock._now_ms += rng.expovariate(1 / 60.0)
        listed = hosts[1:] if count > 1 and 100 < step < 200 else hosts
        for share in fleet:
            share.set_hosts(listed)
            while not share.wait_ms("s1", "north", limit_per_s):
                share.record_sent("s1")
                observer.record_arrival(clock.now_ms(), share.host_id)
    assert observer.worst_excess <= 0
