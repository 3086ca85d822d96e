"""Limits that servers name in their answers: what a host learns from them."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import ServerLimits, parse_limit_per_s
from bulrushlead.dispatch._server_limits import MAX_SERVERS
from bulrushlead.fleet import FleetServer, LimitNotice, ServerRecord, ServerState


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return ServerLimits(clock, "e1")


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (b"2.2", 2.2),
        (b" 7 ", 7.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"2,2", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_limit_of_a_field(value, limit_per_s):
    assert parse_limit_per_s(value) == limit_per_s


@given(st.binary(max_size=12))
def test_any_limit_field_names_none_or_a_finite_one(value):
    limit_per_s = parse_limit_per_s(value)
    assert limit_per_s is None or 0 <= limit_per_s < float("inf")


def test_limit_is_named_changed_and_withdrawn(limits, clock):
    for limit_per_s in (5.0, 2.0, 3.0, None):
        clock._now_ms += 100
        limits.record_answer("s1", 1, limit_per_s, sent_ms=clock.now_ms() - 10)
        assert limits.limit_per_s("s1", 1) == limit_per_s


@pytest.mark.parametrize("later", [None, 9.0])
def test_answer_that_was_overtaken_does_not_raise_the_limit(limits, clock, later):
    clock._now_ms += 100
    limits.record_answer("s1", 1, 2.0, sent_ms=90)
    clock._now_ms += 50
    limits.record_answer("s1", 1, later, sent_ms=80)
    assert limits.limit_per_s("s1", 1) == 2.0


def test_limit_holds_for_one_incarnation(limits):
    limits.record_answer("s1", 1, 2.0, sent_ms=0)
    assert limits.limit_per_s("s1", 2) is None
    limits.record_answer("s1", 2, 4.0, sent_ms=0)
    limits.record_answer("s1", 1, 1.0, sent_ms=0)
    assert limits.limit_per_s("s1", 2) == 4.0


def test_number_of_limits_is_bounded(limits):
    for number in range(MAX_SERVERS + 5):
        limits.record_answer(f"s{number}", 1, 2.0, sent_ms=0)
    assert limits.limited_count == MAX_SERVERS


def fleet_server(limit=None, born_ms=1):
    record = ServerRecord("s1", born_ms, "stock", "h:80", "a", 4, ServerState.READY)
    return FleetServer(attrs.evolve(record, limit=limit), 0.0, 0.0)


def test_limit_is_reported_until_the_fleet_view_shows_it(limits, clock):
    limits.record_answer("s1", 1, 2.0, sent_ms=0)
    clock._now_ms += 40
    notice = LimitNotice(1, 2.0, 40)
    assert limits.unpublished(lambda _: fleet_server()) == {"s1": notice}
    assert not limits.unpublished(lambda _: fleet_server(notice))
    assert not limits.unpublished(lambda _: fleet_server(born_ms=2))
    assert not limits.unpublished(lambda _: None)
    limits.record_answer("s1", 1, None, sent_ms=clock.now_ms())
    withdrawn = LimitNotice(1, None, 0.0)
    assert limits.unpublished(lambda _: fleet_server(notice)) == {"s1": withdrawn}


def test_newer_of_the_own_and_the_published_limit_counts(limits, clock):
    limits.record_answer("s1", 1, 2.0, sent_ms=0)
    clock._now_ms += 100
    limits.record_published("s1", LimitNotice(1, 5.0, 300.0), clock.now_ms())
    assert limits.limit_per_s("s1", 1) == 2.0
    limits.record_published("s1", LimitNotice(1, None, 20.0), clock.now_ms())
    assert limits.limit_per_s("s1", 1) is None
    limits.record_published("s1", LimitNotice(2, 3.0, 900.0), clock.now_ms())
    assert limits.limit_per_s("s1", 2) == 3.0
