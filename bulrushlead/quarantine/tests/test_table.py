"""Tests of the evidence on requests under which servers end."""

import itertools
import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.logs import Event
from bulrushlead.quarantine import (
    Crash,
    CrashNotice,
    SuspectNotice,
    SuspectTable,
    Trial,
)
from bulrushlead.quarantine._table import (
    MAX_SUSPECTS,
    PAUSE_MS,
    QUARANTINE_RETAINED_MS,
    RECHECK_AFTER_MS,
    RETAINED_MS,
)


@pytest.fixture
def table(clock):
    return SuspectTable(clock)


def crash(table, server, sent_ms, ended_ms, fingerprint="bad", completed_ms=-math.inf):
    return table.record_crash(
        fingerprint, "stock", server, Crash(sent_ms, ended_ms, "v1"), completed_ms
    )


def crash_three(table, fingerprint="bad", start_ms=999_000.0):
    for number in range(3):
        sent_ms = start_ms + 100 * number
        crash(table, f"s{number}", sent_ms, sent_ms + 60, fingerprint)


def test_three_crashes_in_a_row_quarantine_a_request(table):
    for number, expected in enumerate([False, False, True]):
        crash(table, f"s{number}", 999_000.0 + number, 999_060.0 + number)
        assert ("bad" in table.quarantined) is expected


def test_one_server_counts_once_whoever_reports_it(table):
    """Guards against counting the reports of several hosts as several crashes."""
    for _ in range(5):
        crash(table, "s1", 999_000.0, 999_060.0)
    assert table.crash_count("bad") == 1


def test_a_complete_run_clears_a_request(table):
    crash_three(table)
    assert table.record_completed("bad", 999_500.0)
    assert table.crash_count("bad") == 0
    assert not table.quarantined


def test_a_run_that_ended_before_a_crash_does_not_clear_it(table):
    """Guards against a request that was sound before a release of its servers."""
    crash(table, "s0", 999_000.0, 999_060.0)
    assert not table.record_completed("bad", 998_000.0)
    assert table.crash_count("bad") == 1


def test_servers_lost_at_the_same_moment_do_not_convict_a_frequent_request(table):
    """Guards against refusing what ran everywhere when a zone was lost."""
    for number in range(6):
        crash(table, f"s{number}", 999_000.0 + number, 999_040.0, "same", 998_990.0)
    assert table.crash_count("same") == 1


def test_a_request_that_is_refused_is_not_freed_by_another_bad_one(table):
    """Guards against one bad request that lets another one start anew."""
    crash_three(table, "first")
    for number in range(2, 6):
        sent_ms = 999_100.0 + 100 * number
        crash(table, f"s{number}", sent_ms, sent_ms + 60, "second")
    assert table.quarantined == {"first", "second"}


@pytest.mark.parametrize("is_reported", [False, True])
def test_a_request_that_was_sent_after_the_end_of_a_server_is_no_suspect(
    table, is_reported
):
    """Guards against counting what a proxy accepts for a server that is gone."""
    crash(table, "s0", 999_000.0, 999_060.0, "bad")
    if is_reported:
        late = SuspectNotice("stock", {"s0": CrashNotice(600.0, 550.0)})
        assert table.merge({"late": late}) == set()
    else:
        assert not crash(table, "s0", 999_400.0, 999_450.0, "late")
    assert table.crash_count("late") == 0


def test_the_order_of_reports_does_not_matter(clock):
    """Guards against hosts that decide differently on the same evidence."""
    notices = [
        SuspectNotice("stock", {"s0": CrashNotice(900.0, 800.0)}),
        SuspectNotice("stock", {"s1": CrashNotice(700.0, 600.0)}),
        SuspectNotice("stock", {"s2": CrashNotice(500.0, 400.0)}, 650.0),
        SuspectNotice("stock", {"s0": CrashNotice(900.0, 800.0)}, None, {"pause": 9.0}),
    ]
    results = set()
    for order in itertools.permutations(notices):
        table = SuspectTable(clock)
        for notice in order:
            table.merge({"bad": notice})
        results.add((table.crash_count("bad"), str(table.notices(["bad"]))))
    assert {count for count, _ in results} == {1}


NOTICES = st.lists(
    st.builds(
        lambda server, sent, took, completed: SuspectNotice(
            "stock", {f"s{server}": CrashNotice(sent + took, sent)}, completed
        ),
        st.integers(0, 5),
        st.integers(0, 20_000),
        st.just(60),
        st.one_of(st.none(), st.integers(0, 20_000)),
    ),
    max_size=8,
)


@given(NOTICES, st.randoms(use_true_random=False))
def test_any_evidence_merges_alike_in_any_order(notices, random):
    """Guards against a quarantine at some hosts only, once all have heard all."""
    shuffled = list(notices)
    random.shuffle(shuffled)
    counts = []
    for order in (notices, shuffled, [*shuffled, *notices]):
        table = SuspectTable(ManualClock(1_000_000.0))
        for notice in order:
            table.merge({"bad": notice})
        counts.append(table.crash_count("bad"))
    assert len(set(counts)) == 1


@pytest.mark.parametrize("age", [math.nan, math.inf, -1.0])
def test_malformed_ages_are_ignored(table, age):
    """Guards against one malformed report that quarantines or frees a request."""
    table.merge({"bad": SuspectNotice("stock", {"s1": CrashNotice(age, 1.0)})})
    table.merge({"bad": SuspectNotice("stock", {"s1": CrashNotice(1.0, 1.0)}, age)})
    table.merge({"b" * 300: SuspectNotice("stock", {"s1": CrashNotice(1.0, 1.0)})})
    assert len(table) == 0


def test_a_frequent_request_is_not_convicted_beside_several_bad_ones(table):
    """Guards against refusing what all callers send while others crash all servers.

    It is in progress wherever a server ends, so that it has more crashes than each of
    the requests that cause them.
    """
    for number in range(12):
        sent_ms = 999_000.0 + 100 * number
        crash(table, f"s{number}", sent_ms, sent_ms + 60, f"bad-{number % 4}")
        crash(table, f"s{number}", sent_ms, sent_ms + 60, "same", 998_990.0)
    assert table.quarantined == {f"bad-{n}" for n in range(4)}
    assert table.crash_count("same") == 0


def test_evidence_that_arrives_together_is_judged_together(table, clock, monkeypatch):
    """Guards against a host that starts, and refuses what another notice explains."""
    events = []
    monkeypatch.setattr(table._log, "write", lambda event, **_: events.append(event))
    for number in range(4):
        sent_ms = 999_000.0 + 100 * number
        crash(table, f"s{number}", sent_ms, sent_ms + 60, "same", 998_990.0)
        crash(table, f"s{number}", sent_ms, sent_ms + 60, "bad")
    notices = table.notices(["same", "bad"])
    other = SuspectTable(clock)
    events.clear()
    monkeypatch.setattr(other._log, "write", lambda event, **_: events.append(event))
    other.merge(notices)
    assert other.quarantined == {"bad"}
    assert events == [Event.REQUEST_QUARANTINED]


def test_a_request_that_was_sound_is_tried_again_soon(table, clock):
    """Guards against refusing for long what all callers send."""
    for number in range(3):
        sent_ms = 999_000.0 + 100 * number
        crash(table, f"s{number}", sent_ms, sent_ms + 60, "same", 998_990.0)
    assert table.quarantined == {"same"}
    clock.advance(RECHECK_AFTER_MS)
    assert table.due_trial("same", {"v1"}) is Trial.RECHECK
    table.record_trial("same", Trial.RECHECK)
    assert table.due_trial("same", {"v1"}) is None
    assert table.record_completed("same", clock.now_ms())
    assert not table.quarantined


def test_many_suspects_do_not_push_out_the_one_that_crashes_servers(table):
    """Guards against a caller that hides a bad request behind many others."""
    crash_three(table)
    for number in range(MAX_SUSPECTS + 500):
        crash(table, "s9", 999_000.0, 999_060.0, f"beside-{number}")
    assert len(table) <= MAX_SUSPECTS
    assert table.quarantined == {"bad"}


def test_evidence_expires(table, clock):
    crash_three(table)
    crash(table, "s1", 999_000.0, 999_060.0, "beside")
    clock.advance(RETAINED_MS + 1)
    table.expire()
    assert "beside" not in table
    assert "bad" in table
    table.record_refused("bad")
    clock.advance(QUARANTINE_RETAINED_MS - 1)
    table.expire()
    assert "bad" in table.quarantined
    clock.advance(2)
    table.expire()
    assert "bad" not in table


def test_one_trial_is_due_after_a_pause(table, clock):
    crash_three(table)
    assert table.due_trial("bad", {"v1"}) is None
    assert 0 < table.retry_after_ms("bad") <= PAUSE_MS
    clock.advance(PAUSE_MS)
    assert table.due_trial("bad", {"v1"}) is Trial.PAUSE
    table.record_trial("bad", Trial.PAUSE)
    crash(table, "s7", clock.now_ms(), clock.now_ms() + 60)
    clock.advance(10 * PAUSE_MS)
    assert table.due_trial("bad", {"v1"}) is None


def test_one_trial_is_due_at_servers_of_another_version(table, clock):
    """Guards against a request that stays refused after a corrected release."""
    crash_three(table)
    assert table.due_trial("bad", {"v1", "v2"}) is Trial.RELEASE
    table.record_trial("bad", Trial.RELEASE)
    assert table.due_trial("bad", {"v1", "v2", "v3"}) is None


def test_an_operator_ends_a_quarantine(table, clock):
    crash_three(table)
    table.record_trial("bad", Trial.PAUSE)
    assert table.release("bad")
    assert not table.quarantined
    assert not table.release("bad")
    for number in range(3):
        crash(table, f"t{number}", clock.now_ms() + 1, clock.now_ms() + 60)
        clock.advance(100)
    clock.advance(2 * PAUSE_MS)
    assert table.due_trial("bad", {"v1"}) is Trial.RECHECK


def test_requests_with_one_crash_are_not_published(table):
    """Guards against telling all hosts of every request that ran beside a crash."""
    crash(table, "s0", 999_000.0, 999_060.0, "beside")
    assert table.published_since(0) == {}
    crash_three(table)
    assert set(table.published_since(0)) == {"bad"}
    revision = table.published_revision
    table.record_completed("bad", 999_900.0)
    (notice,) = table.published_since(revision).values()
    assert not notice.crashes


def test_a_request_that_was_sound_is_published_with_its_first_crash(table, clock):
    """Guards against counting crashes that runs at other hosts have cleared."""
    crash(table, "s0", 999_000.0, 999_060.0, "same", 998_990.0)
    other = SuspectTable(clock)
    assert other.merge(table.published_since(0)) == {"same"}
    assert other.record_completed("same", 999_500.0)
    table.merge(other.published_since(0))
    assert table.crash_count("same") == 0


def test_a_table_learns_all_from_another_one(table, clock):
    """Guards against a new leader that knows less than the hosts."""
    crash_three(table)
    table.record_trial("bad", Trial.PAUSE)
    other = SuspectTable(clock)
    other.merge(table.notices(["bad"]))
    assert other.quarantined == {"bad"}
    clock.advance(2 * PAUSE_MS)
    assert other.due_trial("bad", {"v1"}) is None
    assert other.merge(table.notices(["bad"])) == set()


def test_ages_that_grow_on_their_way_change_nothing(table, clock):
    """Guards against hosts and leader that tell each other the same for ever."""
    crash_three(table)
    notice = table.notices(["bad"])["bad"]
    for _ in range(5):
        late = attrs.evolve(
            notice,
            crashes={
                key: attrs.evolve(c, sent_age_ms=c.sent_age_ms - 5.0)
                for key, c in notice.crashes.items()
            },
        )
        assert table.merge({"bad": late}) == set()


def test_room_for_many_suspects_is_made_a_few_times_only(table, monkeypatch):
    """Guards against a leader that stalls when many servers are lost at once.

    Each time all suspects are compared; thousands of requests are in progress at a
    third of the servers of a large fleet.
    """
    calls = []
    make_room = table._make_room
    monkeypatch.setattr(table, "_make_room", lambda: (calls.append(1), make_room()))
    for number in range(3 * MAX_SUSPECTS):
        crash(table, f"s{number % 270}", 999_000.0, 999_060.0, f"beside-{number}")
    assert len(calls) <= 25
