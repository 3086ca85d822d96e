"""Tests of what a host learns from the runs of its requests."""

import pytest

from bulrushlead.quarantine import CrashObserver, Run, RunEnd
from bulrushlead.quarantine._observer import (
    MAX_UNSETTLED_RUNS,
    MIN_MEMORY_MS,
    UNSETTLED_MS,
)


@pytest.fixture
def observer(clock):
    observer = CrashObserver(clock)
    clock.advance(MIN_MEMORY_MS)
    return observer


def send(observer, server="s1", fingerprint="f"):
    run = Run(fingerprint, "stock", server, 1, "v1", observer.clock.now_ms())
    observer.begin(run)
    observer.clock.advance(60)
    return run


def lose(observer, server="s1", fingerprint="f", end=RunEnd.LOST):
    observer.end(send(observer, server, fingerprint), end)


def crash(observer, server="s1", fingerprint="f"):
    lose(observer, server, fingerprint)
    observer.record_ended(server, 1)


def complete(observer, fingerprint="f"):
    observer.end(send(observer, "s9", fingerprint), RunEnd.COMPLETED)


def test_a_lost_connection_to_a_running_server_is_no_crash(observer):
    """Guards against taking reset or idle connections for crashes."""
    for number in range(5):
        lose(observer, f"s{number}")
        observer.record_running(f"s{number}", 1)
    assert not observer.is_suspect("f")


def test_a_later_answer_of_the_server_is_evidence_that_it_runs(observer):
    lose(observer)
    observer.record_answer("s1", 1, observer.clock.now_ms() + 1)
    observer.record_ended("s1", 1)
    assert not observer.is_suspect("f")


def test_an_answer_to_an_earlier_request_proves_nothing(observer):
    sent_ms = observer.clock.now_ms()
    lose(observer)
    observer.record_answer("s1", 1, sent_ms)
    observer.record_ended("s1", 1)
    assert observer.is_suspect("f")


def test_all_requests_in_progress_at_a_crash_are_suspects(observer):
    runs = [send(observer, "s1", f"f{number}") for number in range(4)]
    for run in runs:
        observer.end(run, RunEnd.LOST)
    observer.record_ended("s1", 1)
    assert all(observer.is_suspect(f"f{number}") for number in range(4))
    assert all(observer.may_repeat(f"f{number}") for number in range(4))


def test_a_request_is_not_retried_a_second_time_before_its_losses_are_settled(observer):
    """Guards against one request that takes several servers within a round trip."""
    lose(observer, "s1")
    assert observer.may_repeat("f")
    lose(observer, "s2")
    assert not observer.may_repeat("f")


def test_losses_alone_do_not_keep_a_request_from_other_hosts(observer):
    """Guards against a host that takes its own cut for servers that have ended."""
    for number in range(4):
        lose(observer, f"s{number}")
    assert observer.may_pass_on("f")
    observer.record_ended("s0", 1)
    assert observer.may_pass_on("f")
    observer.record_ended("s1", 1)
    assert not observer.may_pass_on("f")


def test_a_request_with_two_crashes_is_sent_to_one_server_at_a_time(observer):
    crash(observer, "s1")
    crash(observer, "s2")
    assert observer.hold("f") is None
    run = send(observer, "s3")
    assert observer.hold("f") is not None
    observer.end(run, RunEnd.NOT_RUN)
    assert observer.hold("f") is None


def test_a_request_with_three_crashes_is_held(observer):
    for server in ("s1", "s2", "s3"):
        crash(observer, server)
    assert observer.hold("f").retry_after_ms > 0


def test_a_host_that_has_just_started_leaves_the_decision_to_the_leader(clock):
    """Guards against refusing what all other hosts know to be sound."""
    observer = CrashObserver(clock)
    for server in ("s1", "s2", "s3"):
        crash(observer, server)
    assert observer.hold("f") is None
    observer.apply("one", observer.table.notices(["f"]))
    assert observer.hold("f") is not None


def test_a_host_that_has_just_started_refuses_no_more_than_was_published(clock):
    """Guards against a verdict that lacks what other hosts know (soak seed 45).

    The leader had published one crash of a request that completes runs. It was then
    away: two servers more ended under it, because of a request at another host.
    """
    observer = CrashObserver(clock)
    complete(observer)
    crash(observer, "s1")
    observer.apply("one", observer.table.notices(["f"]))
    for server in ("s2", "s3"):
        crash(observer, server)
    assert observer.hold("f") is None
    observer.apply("one", observer.table.notices(["f"]))
    assert observer.hold("f") is not None


def test_a_host_that_has_just_started_refuses_what_never_completed(clock):
    """Guards against crashes without end while no leader publishes the third one."""
    observer = CrashObserver(clock)
    for server in ("s1", "s2"):
        crash(observer, server)
    observer.apply("one", observer.table.notices(["f"]))
    crash(observer, "s3")
    assert observer.hold("f") is not None


def test_a_frequent_request_is_not_held_for_crashes_beside_it(observer):
    """Guards against refusing the most frequent request when servers crash."""
    for number in range(20):
        crash(observer, f"s{number}")
        complete(observer)
        assert observer.hold("f") is None
        assert not observer.is_suspect("f")


def test_silence_of_a_server_settles_an_unanswered_run(observer):
    """Guards against requests whose servers never close their connections."""
    for number in range(3):
        lose(observer, f"s{number}", end=RunEnd.UNANSWERED)
        observer.review(lambda server_id, born_ms: False)
        assert observer.hold("f") is None
    observer.review(lambda server_id, born_ms: True)
    assert observer.hold("f") is not None


def test_an_unanswered_run_at_a_running_server_is_forgotten(observer, clock):
    """Guards against refusing requests that were merely slow."""
    for number in range(3):
        lose(observer, f"s{number}", end=RunEnd.UNANSWERED)
    clock.advance(UNSETTLED_MS + 1)
    observer.review(lambda server_id, born_ms: False)
    observer.review(lambda server_id, born_ms: True)
    assert observer.hold("f") is None


def test_many_callers_that_give_up_do_not_hide_a_crash(observer):
    """Guards against a flood of unanswered requests beside the one that crashes."""
    for number in range(MAX_UNSETTLED_RUNS):
        lose(observer, "s0", f"other-{number}", end=RunEnd.UNANSWERED)
    crash(observer, "s1")
    assert observer.is_suspect("f")


def test_evidence_is_told_again_to_a_new_leader(observer):
    """Guards against a leader that never hears what its predecessor knew."""
    crash(observer)
    assert set(observer.report("one")) == {"f"}
    assert set(observer.report("one")) == {"f"}  # the reply to the first one was lost
    observer.apply("one", {})
    assert not observer.report("one")
    assert set(observer.report("two")) == {"f"}


def test_a_reply_confirms_only_what_each_report_on_its_way_contains(observer):
    """Guards against evidence that no leader has and that is not told again.

    A host that searches for the leader sends its report to several coordinators.
    """
    crash(observer, "s1", "first")
    observer.report("one")
    crash(observer, "s2", "second")
    observer.report("one")
    observer.apply("one", {})
    assert set(observer.report("one")) == {"second"}


def test_evidence_of_other_hosts_counts_and_own_runs_clear_it(observer, clock):
    others = [CrashObserver(clock) for _ in range(3)]
    complete(observer, "sound")
    for number, other in enumerate(others):
        crash(other, f"s{number}", "bad")
    complete(observer, "sound")
    for number, other in enumerate(others):
        crash(other, f"s{number}", "sound")
        observer.apply("one", other.report("one"))
    assert observer.hold("bad") is not None
    complete(observer, "sound")
    assert observer.hold("sound") is None


def test_the_leader_hears_of_crashes_and_of_runs_that_clear_at_once(observer):
    calls = []
    observer.on_evidence = lambda: calls.append(1)
    crash(observer)
    assert len(calls) == 1
    complete(observer)
    assert len(calls) == 2
    complete(observer)
    assert len(calls) == 2


def test_checks_are_awaited_only_if_they_can_clear_a_request(observer):
    """Guards against a lost answer while nobody knows whether servers have ended."""
    lose(observer, "s1")
    assert not observer.awaits_checks("f")  # one may be repeated in any case
    lose(observer, "s2")
    assert not observer.may_repeat("f")
    assert observer.awaits_checks("f")
    observer.record_running("s1", 1)
    assert observer.may_repeat("f")
    assert not observer.awaits_checks("f")


def test_no_check_is_awaited_after_two_crashes(observer):
    crash(observer, "s1")
    crash(observer, "s2")
    assert not observer.may_repeat("f")
    assert not observer.awaits_checks("f")
