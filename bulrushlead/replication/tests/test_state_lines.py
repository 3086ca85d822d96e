"""Log lines that tell why there is no leader, or why a replica is no voter."""

import logbook
import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.replication._change_log import (
    MAX_SUBJECTS,
    MIN_GAP_MS,
    REPEAT_MS,
    ChangeLog,
)
from bulrushlead.replication._messages import VoteRequest
from bulrushlead.replication.tests.cluster import ELECTION_MAX_MS, Cluster
from bulrushlead.replication.tests.test_turnover import add_node, remove_node


@pytest.fixture
async def cluster():
    cluster = Cluster(3, admit_newcomers=True)
    yield cluster
    await cluster.close()


@pytest.fixture
def lines():
    with logbook.TestHandler() as handler:
        yield lambda event: [
            record.extra["fields"]
            for record in handler.records
            if record.extra["event"] == event
        ]


async def test_failed_campaign_names_voters_that_do_not_answer(cluster, lines):
    """Guards against a loss of all leaders that leaves no line."""
    await cluster.start()
    first, second, third = cluster.nodes.values()
    first.crash()
    second.crash()
    await cluster.run_for(10 * ELECTION_MAX_MS)
    line = lines(Event.CAMPAIGN_FAILED)[-1]
    assert line["trial"] and line["replica_id"] == third.log.replica_id
    assert (line["votes"], line["votes_needed"], line["voters"]) == (1, 2, 3)
    assert line["unanswered"].keys() == {first.address, second.address}
    assert line["leaderless_ms"] > 5 * ELECTION_MAX_MS
    assert len(lines(Event.CAMPAIGN_FAILED)) < 5


async def test_failed_campaign_says_why_voters_refuse(cluster, lines):
    """Guards against lost and refusing voters that look alike."""
    leader = await cluster.start()
    late, other = cluster.others(leader)
    cluster.isolate(late)
    await cluster.propose(b"a")
    await cluster.run_for(100)
    last_index = other.log._replica.journal.last_index
    leader.crash()
    cluster.network.blocked.clear()
    other.log._replica.leader_seen_ms = other.log._replica.last_contact_ms = -1e9
    replica = late.log._replica
    reply = await cluster.result(
        other.handlers[VoteRequest](
            VoteRequest(
                replica.cluster_id,
                other.log.replica_id,
                replica.replica_id,
                replica.term + 9,
                replica.journal.last_index,
                replica.journal.last_term,
                trial=True,
            )
        )
    )
    assert not reply.granted
    assert reply.refusal.startswith(f"has entry {last_index} ")


async def test_waiting_learner_is_logged_with_the_voter_that_it_waits_for(
    cluster, lines
):
    leader = await cluster.start()
    lost = cluster.others(leader)[0]
    lost_id = lost.log.replica_id
    remove_node(cluster, lost)
    await cluster.run_for(ELECTION_MAX_MS)
    node = await add_node(cluster, 6)
    await cluster.run_for(1_000)
    delays = lines(Event.ADMISSION_DELAYED)
    assert {line["replica_id"] for line in delays} == {node.log.replica_id}
    assert delays[-1]["reason"] == f"voter {lost_id} does not answer but may return"
    assert delays[-1]["is_learner"] and lost_id in delays[-1]["silent"]
    assert len(delays) < 5


async def test_replica_that_no_leader_admits_says_whom_it_asked(cluster, lines):
    leader = await cluster.start()
    node = await add_node(cluster, 6)
    for other in cluster.others(node):
        other.crash()
    node.wipe()
    await cluster.result(node.start(peers=[leader.address], bootstrap=False))
    await cluster.run_for(10 * ELECTION_MAX_MS)
    line = lines(Event.JOIN_DELAYED)[-1]
    assert line["own_role"] == "none" and not line["answered"]
    assert line["unanswered"] == [leader.address]
    assert len(lines(Event.JOIN_DELAYED)) < 5


async def test_lasting_state_is_logged_on_change_and_now_and_then(lines):
    clock = ManualClock()
    log = ChangeLog(EventLogger("test"), clock)

    def write(outcome, subject="a"):
        log.write(Event.CAMPAIGN_FAILED, subject, outcome, value=outcome)
        return len(lines(Event.CAMPAIGN_FAILED))

    assert write("x") == write("x") == 1
    await clock.advance_ms(REPEAT_MS)
    assert write("x") == write("y") == 2
    await clock.advance_ms(MIN_GAP_MS)
    assert write("y") == 3
    for number in range(2 * MAX_SUBJECTS):
        write("x", f"subject {number}")
    assert len(log._written) == MAX_SUBJECTS
