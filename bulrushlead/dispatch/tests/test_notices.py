"""Patterns: a server that drains before the leader knows, and one that wants a pause.

Both notices come with answers, so that only the host that got the answer knows of them.
"""

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import Refusal, ServerNotices, parse_pause_ms
from bulrushlead.dispatch._notices import (
    MAX_PAUSE_MS,
    MAX_RETURN_SPREAD_MS,
    MAX_SERVERS,
    RETURN_SPREAD,
)
from bulrushlead.dispatch.tests.test_parts import WORK, build_harness
from bulrushlead.fleet import FleetServer, ServerRecord, ServerState

KEYS = [b"%d" % i for i in range(40)]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def notices(clock):
    return ServerNotices(clock, "e1")


def fleet_server(state=ServerState.READY, born_ms=1):
    record = ServerRecord("s1", born_ms, "stock", "h:80", "a", 4, state)
    return FleetServer(record, 0.0, 0.0)


def place_all(dispatcher):
    return [dispatcher.place(attrs.evolve(WORK, key=key)) for key in KEYS]


@pytest.mark.parametrize(
    ("value", "pause_ms"),
    [
        (b"2", 2_000.0),
        (b" 0.25 ", 250.0),
        (b"0", None),
        (b"-3", None),
        (b"-inf", None),
        (b"nan", None),
        (b"soon", None),
        (b"", None),
        (b"Fri, 04 Dec 2026 05:00:00 GMT", None),
        (b"1e300", MAX_PAUSE_MS),
        (b"inf", MAX_PAUSE_MS),
    ],
)
def test_pause_of_a_retry_after_field(value, pause_ms):
    assert parse_pause_ms(value) == pause_ms


@given(st.binary(max_size=12))
def test_any_retry_after_field_is_no_pause_or_a_bounded_one(value):
    pause_ms = parse_pause_ms(value)
    assert pause_ms is None or 0 < pause_ms <= MAX_PAUSE_MS


def test_draining_server_gets_no_further_request_of_this_host():
    harness = build_harness({"a": 3})
    first, other = harness.hosts[:2]
    server = next(iter(first._servers.values()))
    first.notices.record_draining(server.server_id, server.born_ms)
    assert server.server_id not in {p.server.server_id for p in place_all(first)}
    assert server.server_id in {p.server.server_id for p in place_all(other)}


def test_draining_server_stays_excluded_while_it_is_missing_from_the_view():
    harness = build_harness({"a": 3})
    dispatcher = harness.hosts[0]
    server = next(iter(dispatcher._servers.values()))
    dispatcher.notices.record_draining(server.server_id, server.born_ms)
    removed = harness.view.servers.pop(server.server_id)
    dispatcher.update(harness.view)
    harness.view.servers[server.server_id] = removed
    dispatcher.update(harness.view)
    assert server.server_id not in {p.server.server_id for p in place_all(dispatcher)}


def test_later_incarnation_is_used_again(notices):
    notices.record_draining("s1", 1)
    assert not notices.allows("s1", 1)
    assert notices.allows("s1", 2)
    notices.record_pause("s1", 2, 1_000.0)
    notices.record_draining("s1", 1)
    assert not notices.allows("s1", 2)
    assert notices.pause_left_ms("s1", 2) < math.inf


async def test_paused_server_is_used_again_after_its_pause(notices, clock):
    notices.record_pause("s1", 1, 1_000.0)
    await clock.advance_ms(999)
    assert not notices.allows("s1", 1)
    await clock.advance_ms(1 + RETURN_SPREAD * 1_000.0)
    assert notices.allows("s1", 1)


async def test_shorter_pause_does_not_end_a_longer_one(notices, clock):
    notices.record_pause("s1", 1, 4_000.0)
    notices.record_pause("s1", 1, 500.0)
    await clock.advance_ms(3_999)
    assert not notices.allows("s1", 1)


def test_hosts_return_from_a_pause_at_different_times(clock):
    """Guards against a herd: all hosts are refused at the same moment."""
    ends_ms = []
    for host in range(200):
        notices = ServerNotices(clock, f"e{host}")
        notices.record_pause("s1", 1, 2_000.0)
        ends_ms.append(notices.pause_left_ms("s1", 1))
    assert min(ends_ms) >= 2_000
    spread_ms = RETURN_SPREAD * 2_000
    assert max(ends_ms) <= 2_000 + spread_ms
    tenths = {int((end_ms - 2_000) / (spread_ms / 10)) for end_ms in ends_ms}
    assert len(tenths) == 10


def test_return_from_a_long_pause_is_spread_over_a_bounded_time(notices):
    notices.record_pause("s1", 1, MAX_PAUSE_MS)
    assert notices.pause_left_ms("s1", 1) <= MAX_PAUSE_MS + MAX_RETURN_SPREAD_MS


def test_request_is_refused_until_the_first_pause_ends():
    """A caller that returns earlier would be refused again."""
    harness = build_harness({"a": 3})
    dispatcher = harness.hosts[0]
    for number, server in enumerate(dispatcher._servers.values()):
        dispatcher.notices.record_pause(server.server_id, 1, 900.0 + 400.0 * number)
    refusal = dispatcher.place(WORK)
    assert isinstance(refusal, Refusal)
    assert 900 <= refusal.retry_after_ms <= 900 * (1 + RETURN_SPREAD)


def test_drains_are_reported_until_the_leader_publishes_them(notices):
    notices.record_draining("s1", 1)
    notices.record_pause("s2", 1, 1_000.0)
    view = {"s1": fleet_server(), "s2": fleet_server()}
    assert notices.unpublished_drains(view.get) == {"s1": 1}
    view["s1"] = fleet_server(ServerState.DRAINING)
    assert notices.unpublished_drains(view.get) == {}
    view["s1"] = fleet_server(born_ms=2)
    assert notices.unpublished_drains(view.get) == {}
    assert notices.unpublished_drains({}.get) == {}


def test_number_of_notices_is_bounded(notices):
    for number in range(MAX_SERVERS + 10):
        notices.record_draining(f"s{number}", 1)
    assert len(notices._notices) == MAX_SERVERS
    assert not notices.allows(f"s{MAX_SERVERS + 9}", 1)
