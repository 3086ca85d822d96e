"""Tests of what a host learns from the runs of its requests."""

import pytest

from bulrushlead.quarantine import RequestWitness, Run, RunEnd
from bulrushlead.quarantine._witness import (
    MAX_UNSETTLED_RUNS,
    MIN_MEMORY_MS,
    UNSETTLED_MS,
)


@pytest.fixture
def witness(clock):
    witness = RequestWitness(clock)
    clock.advance(MIN_MEMORY_MS)
    return witness


def send(witness, server="s1", fingerprint="f"):
    run = Run(fingerprint, "stock", server, 1, "v1", witness.clock.now_ms())
    witness.begin(run)
    witness.clock.advance(60)
    return run


def lose(witness, server="s1", fingerprint="f", end=RunEnd.LOST):
    witness.end(send(witness, server, fingerprint), end)


def crash(witness, server="s1", fingerprint="f"):
    lose(witness, server, fingerprint)
    witness.record_ended(server, 1)


def complete(witness, fingerprint="f"):
    witness.end(send(witness, "s9", fingerprint), RunEnd.COMPLETED)


def test_a_lost_connection_to_a_running_server_is_no_crash(witness):
    """Guards against taking reset or idle connections for crashes."""
    for number in range(5):
        lose(witness, f"s{number}")
        witness.record_running(f"s{number}", 1)
    assert not witness.is_suspect("f")


def test_a_later_answer_of_the_server_is_evidence_that_it_runs(witness):
    lose(witness)
    witness.record_answer("s1", 1, witness.clock.now_ms() + 1)
    witness.record_ended("s1", 1)
    assert not witness.is_suspect("f")


def test_an_answer_to_an_earlier_request_proves_nothing(witness):
    sent_ms = witness.clock.now_ms()
    lose(witness)
    witness.record_answer("s1", 1, sent_ms)
    witness.record_ended("s1", 1)
    assert witness.is_suspect("f")


def test_all_requests_in_progress_at_a_crash_are_suspects(witness):
    runs = [send(witness, "s1", f"f{number}") for number in range(4)]
    for run in runs:
        witness.end(run, RunEnd.LOST)
    witness.record_ended("s1", 1)
    assert all(witness.is_suspect(f"f{number}") for number in range(4))
    assert all(witness.may_repeat(f"f{number}") for number in range(4))


def test_a_request_is_not_retried_a_second_time_before_its_losses_are_settled(witness):
    """Guards against one request that takes several servers within a round trip."""
    lose(witness, "s1")
    assert witness.may_repeat("f")
    lose(witness, "s2")
    assert not witness.may_repeat("f")


def test_a_request_with_two_crashes_is_sent_to_one_server_at_a_time(witness):
    crash(witness, "s1")
    crash(witness, "s2")
    assert witness.hold("f") is None
    run = send(witness, "s3")
    assert witness.hold("f") is not None
    witness.end(run, RunEnd.NOT_RUN)
    assert witness.hold("f") is None


def test_a_request_with_three_crashes_is_held(witness):
    for server in ("s1", "s2", "s3"):
        crash(witness, server)
    assert witness.hold("f").retry_after_ms > 0


def test_a_host_that_has_just_started_leaves_the_verdict_to_the_leader(clock):
    """Guards against refusing what all other hosts know to be sound."""
    witness = RequestWitness(clock)
    for server in ("s1", "s2", "s3"):
        crash(witness, server)
    assert witness.hold("f") is None
    witness.apply("one", witness.table.notices(["f"]))
    assert witness.hold("f") is not None


def test_a_frequent_request_is_not_held_for_crashes_beside_it(witness):
    """Guards against refusing the most frequent request when servers crash."""
    for number in range(20):
        crash(witness, f"s{number}")
        complete(witness)
        assert witness.hold("f") is None
        assert not witness.is_suspect("f")


def test_silence_of_a_server_settles_an_unanswered_run(witness):
    """Guards against requests whose servers never close their connections."""
    for number in range(3):
        lose(witness, f"s{number}", end=RunEnd.UNANSWERED)
        witness.review(lambda server_id, born_ms: False)
        assert witness.hold("f") is None
    witness.review(lambda server_id, born_ms: True)
    assert witness.hold("f") is not None


def test_an_unanswered_run_at_a_running_server_is_forgotten(witness, clock):
    """Guards against refusing requests that were merely slow."""
    for number in range(3):
        lose(witness, f"s{number}", end=RunEnd.UNANSWERED)
    clock.advance(UNSETTLED_MS + 1)
    witness.review(lambda server_id, born_ms: False)
    witness.review(lambda server_id, born_ms: True)
    assert witness.hold("f") is None


def test_many_callers_that_give_up_do_not_hide_a_crash(witness):
    """Guards against a flood of unanswered requests beside the one that crashes."""
    for number in range(MAX_UNSETTLED_RUNS):
        lose(witness, "s0", f"other-{number}", end=RunEnd.UNANSWERED)
    crash(witness, "s1")
    assert witness.is_suspect("f")


def test_evidence_is_told_again_to_a_new_leader(witness):
    """Guards against a leader that never hears what its predecessor knew."""
    crash(witness)
    assert set(witness.report("one")) == {"f"}
    assert set(witness.report("one")) == {"f"}  # the reply to the first one was lost
    witness.apply("one", {})
    assert not witness.report("one")
    assert set(witness.report("two")) == {"f"}


def test_a_reply_confirms_only_what_each_report_on_its_way_contains(witness):
    """Guards against evidence that no leader has and that is not told again.

    A host that searches for the leader sends its report to several coordinators.
    """
    crash(witness, "s1", "first")
    witness.report("one")
    crash(witness, "s2", "second")
    witness.report("one")
    witness.apply("one", {})
    assert set(witness.report("one")) == {"second"}


def test_evidence_of_other_hosts_counts_and_own_runs_clear_it(witness, clock):
    others = [RequestWitness(clock) for _ in range(3)]
    complete(witness, "sound")
    for number, other in enumerate(others):
        crash(other, f"s{number}", "bad")
    complete(witness, "sound")
    for number, other in enumerate(others):
        crash(other, f"s{number}", "sound")
        witness.apply("one", other.report("one"))
    assert witness.hold("bad") is not None
    complete(witness, "sound")
    assert witness.hold("sound") is None


def test_the_leader_hears_of_crashes_and_of_runs_that_clear_at_once(witness):
    calls = []
    witness.on_evidence = lambda: calls.append(1)
    crash(witness)
    assert len(calls) == 1
    complete(witness)
    assert len(calls) == 2
    complete(witness)
    assert len(calls) == 2
