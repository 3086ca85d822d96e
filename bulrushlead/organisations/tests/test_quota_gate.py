"""What one host admits of an organisation."""

import random

import pytest

from bulrushlead.fleet._session import SYNC_WAIT_MS
from bulrushlead.organisations import OrganisationSettings, QuotaGate, QuotaState
from bulrushlead.organisations._quota_gate import (
    MIN_BETWEEN_NEWS,
    SILENT_AFTER_MS,
    SPARE_PART,
    STALE_AFTER_MS,
)
from bulrushlead.organisations._shares import demand_ratio
from bulrushlead.organisations.tests.model import SteppedClock
from bulrushlead.traffic import Organisation

LABS = Organisation("labs", (), None, 100.0, 50.0)


@pytest.fixture
def gate():
    gate = QuotaGate(SteppedClock(1_000.0), OrganisationSettings(), random.Random(3))
    gate.record_update("e1", {}, 1_000.0)
    return gate


def send(gate, count, interval_ms=10.0, with_news=True):
    """Offer requests; return the retry delays of those that were refused."""
    refused = []
    for _ in range(count):
        gate.clock.advance(interval_ms)
        retry_after_ms = gate.admit(LABS)
        if retry_after_ms is not None:
            refused.append(retry_after_ms)
        if with_news:
            gate.report()
            gate.record_update("e1", None, gate.clock.now_ms())
    return refused


def test_an_organisation_below_its_quota_is_admitted(gate):
    assert send(gate, 500) == []


def test_an_organisation_without_a_quota_is_not_counted(gate):
    assert gate.admit(Organisation("mills")) is None
    assert gate.report().counts == {}


@pytest.mark.parametrize("fraction", [0.0, 0.07, 0.5, 0.9])
def test_the_published_fraction_is_admitted(gate, fraction):
    gate.record_update("e1", {"labs": QuotaState(fraction, 100.0, 1)}, 1_000.0)
    refused = send(gate, 1_000)
    assert len(refused) == pytest.approx(1_000 * (1 - fraction), abs=2)


def test_retry_delays_are_spread_around_the_time_between_admissions(gate):
    """Guards against callers that return in the same instant."""
    gate.record_update("e1", {"labs": QuotaState(0.02, 100.0, 1)}, 1_000.0)
    delays_ms = send(gate, 500)[200:]
    assert len({round(delay_ms) for delay_ms in delays_ms}) > 50
    assert 250 <= sum(delays_ms) / len(delays_ms) <= 1_000


def test_a_request_that_no_server_ran_is_given_back(gate):
    gate.record_update("e1", {"labs": QuotaState(0.5, 100.0, 1)}, 1_000.0)
    admitted = 0
    for _ in range(100):
        gate.clock.advance(5.0)  # all of them before news are late
        if gate.admit(LABS) is None:
            admitted += 1
            if admitted % 2:
                gate.give_back(LABS)
    assert admitted > 60
    assert gate.report().counts["labs"][1] < 60


def admitted_after(gate, age_ms, hosts):
    """Send many requests at once; return how many are admitted by news of an age."""
    states = {"labs": QuotaState(1.0, LABS.rate_per_s, hosts)}
    gate.record_update("e1", states, gate.clock.now_ms())
    gate.clock.advance(age_ms)
    return 500 - len(send(gate, 500, 0.0, with_news=False))


@pytest.mark.parametrize(
    ("age_ms", "admitted"),
    [
        (1, MIN_BETWEEN_NEWS),
        (SILENT_AFTER_MS - 1, MIN_BETWEEN_NEWS),
        (SILENT_AFTER_MS + 1, 0),
    ],
)
def test_a_host_of_many_admits_few_requests_until_the_leader_is_lost(
    gate, age_ms, admitted
):
    """Guards against many hosts that together exceed a quota without a leader."""
    assert admitted_after(gate, age_ms, 1_000) == admitted


def test_a_part_of_what_usual_demand_leaves_is_kept_for_uneven_hosts(gate):
    settings = OrganisationSettings()
    usual = LABS.rate_per_s * settings.window_ms / 1_000.0
    ratio = demand_ratio(0.0, LABS.rate_per_s, 1)
    expected = ratio * (settings.intended_bound(LABS) - usual)
    admitted = admitted_after(gate, 100.0, 1)
    assert SPARE_PART * expected <= admitted < SPARE_PART * expected + 1


def test_limits_without_news_leave_time_for_answers():
    """Guards against a host that restricts callers while the leader answers in time.

    Just before an answer comes, the question of the answer before is two intervals old.
    """
    interval_ms = SYNC_WAIT_MS + 100.0  # with a round trip to another region
    assert interval_ms < SILENT_AFTER_MS
    assert 2 * interval_ms <= STALE_AFTER_MS


def test_an_answer_to_an_old_question_is_no_news(gate):
    """Guards against a host that was suspended and reads an answer that has waited."""
    now_ms = gate.clock.now_ms()
    gate.record_update("e1", {}, now_ms - STALE_AFTER_MS - 1)
    assert gate.is_stale()
    gate.record_update("e1", {}, now_ms - STALE_AFTER_MS + 1)
    assert not gate.is_stale()


def test_without_news_a_host_keeps_its_share_of_the_bound(gate):
    """Guards against hosts that admit all that comes while the leader is lost."""
    states = {"labs": QuotaState(1.0, 100.0, 10)}
    gate.record_update("e1", states, gate.clock.now_ms())
    send(gate, 100, 100.0)  # a tenth of the demand
    gate.clock.advance(STALE_AFTER_MS + 5_000.0)
    refused = send(gate, 500, 10.0, with_news=False)
    # A host with 50 requests in a window owns 50 of 54 parts of its tenth.
    own_share = OrganisationSettings().quota(LABS) / 10 * 50 / 54
    assert 500 - len(refused) == pytest.approx(own_share, rel=0.1)


def play_keeper(gate, requests, interval_ms, fraction=1.0):
    """Send requests to the keeper of an organisation that other hosts use."""
    gate.is_keeper = lambda name: name == "labs"
    gate.record_update("e1", {"labs": QuotaState(fraction, 20.0, 50)}, 1_000.0)
    gate.clock.advance(STALE_AFTER_MS + 1)
    return requests - len(send(gate, requests, interval_ms, with_news=False))


def test_a_keeper_admits_what_others_do_not(gate):
    """Guards against small organisations whose share is a tenth of a request."""
    assert play_keeper(gate, 100, 50.0) == 100


def test_a_keeper_admits_nothing_of_an_organisation_over_its_quota(gate):
    assert play_keeper(gate, 100, 50.0, fraction=0.9) == 0


def test_a_keeper_stops_when_an_organisation_sends_many_times_its_usual(gate):
    """Guards against a second burst after the one that the hosts admitted."""
    assert play_keeper(gate, 300, 5.0) < 60


def test_a_host_without_news_refuses_an_organisation_that_is_new_to_it(gate):
    gate.record_update("e1", {"labs": QuotaState(1.0, 100.0, 10)}, 1_000.0)
    gate.clock.advance(STALE_AFTER_MS + 1)
    assert gate.admit(LABS) is not None


def test_a_new_leader_gets_all_counts_and_their_history(gate):
    send(gate, 10)
    assert gate.report().counts == {}
    gate.record_update("e2", None, gate.clock.now_ms())
    report = gate.report()
    assert report.counts["labs"][:2] == (10, 10)
    assert sum(report.history["labs"]) == 10


def test_news_of_a_leader_that_has_not_settled_do_not_count(gate):
    """Guards against hosts that send without a limit right after an election."""
    send(gate, 10)
    gate.clock.advance(STALE_AFTER_MS + 1)
    gate.record_update("e2", None, gate.clock.now_ms())
    assert gate.age_ms() > STALE_AFTER_MS
    gate.record_update("e2", {}, gate.clock.now_ms())
    assert gate.age_ms() == 0.0


def test_organisations_that_left_the_plan_are_forgotten(gate):
    send(gate, 10, with_news=False)
    gate.retain(["mills"])
    assert gate.report().counts == {}
