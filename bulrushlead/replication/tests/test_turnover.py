"""Members that are replaced, retired and removed while leaders change."""

import pytest

from bulrushlead.replication import MemberRole
from bulrushlead.replication._messages import JoinRequest
from bulrushlead.replication.tests.cluster import Cluster, Node

RETIRE_MS = 10_000
CATCH_UP_MS = 4_000  # after the start of a newcomer
RETIRE_CALL_MS = 250


@pytest.fixture
async def cluster():
    cluster = Cluster(5, admit_newcomers=True, retire_silent_ms=RETIRE_MS)
    yield cluster
    await cluster.close()


async def add_node(cluster, number):
    """Start a replica at a new address; its settings name three replicas that run."""
    address = f"10.0.0.{number}:7000"
    seeds = [node.address for node in cluster.alive][:3]
    node = cluster.nodes[address] = Node(cluster, address)
    await cluster.result(node.start(peers=seeds, bootstrap=False))
    return node


def remove_node(cluster, node):
    """End a host for good."""
    node.crash()
    cluster.isolate(node)
    del cluster.nodes[node.address]


async def run_retiring(cluster, duration_ms, until=lambda: False):
    """Run, and let the leader retire silent voters as the coordinator does."""
    end_ms = cluster.clock.now_ms() + duration_ms
    while cluster.clock.now_ms() < end_ms and not until():
        await cluster.run_for(RETIRE_CALL_MS)
        for leader in cluster.leaders:
            cluster.spawn(retire(leader))


async def retire(leader):
    try:
        await leader.log.retire_silent_voter(500)
        await leader.log.remove_silent_learner(500)
    except Exception as error:
        return error


def voter_ids(cluster):
    return {
        m.replica_id
        for m in cluster.leaders[0].log.members
        if m.role is MemberRole.VOTER
    }


def ids_of(nodes):
    return {node.log.replica_id for node in nodes}


@pytest.mark.parametrize("gap_ms", (2_500, 8_000))
async def test_replaced_leaders_leave_no_voter_behind(cluster, gap_ms):
    """Guards against a quorum that grows by each leader that is gone for good."""
    await cluster.start()
    for number in range(6, 12):
        remove_node(cluster, await cluster.wait_leader())
        await cluster.run_for(1_000)
        await add_node(cluster, number)
        await run_retiring(cluster, gap_ms if number < 11 else CATCH_UP_MS)
    await cluster.propose(b"a")
    assert voter_ids(cluster) == ids_of(cluster.alive)


async def test_disk_lost_after_three_replaced_hosts_leaves_a_leader(cluster):
    """Guards against the losses of issue 45, after which nobody led for good."""
    leader = await cluster.start()
    lost = cluster.others(leader)[0]
    for number, gap_ms in ((6, 9_000), (7, 12_500), (8, 9_500)):
        remove_node(cluster, lost)
        await cluster.run_for(2_000)
        await add_node(cluster, number)
        await run_retiring(cluster, gap_ms - 2_000)
        lost = await cluster.wait_leader()
    await cluster.propose(b"a")
    lost = cluster.others(lost)[0]
    lost.wipe()
    for node in cluster.others(lost):
        node.crash()
    await cluster.run_for(1_000)
    for node in cluster.nodes.values():
        seeds = [other.address for other in cluster.others(node)][:3]
        await cluster.result(node.start(peers=seeds, bootstrap=False))
    await run_retiring(cluster, CATCH_UP_MS)
    leader = await cluster.propose(b"b")
    assert leader.machine.commands == [b"a", b"b"]
    assert voter_ids(cluster) == ids_of(cluster.alive)


async def test_newcomer_takes_the_place_of_a_voter_within_catch_up(cluster):
    """Guards against a set that bears no region less while an old voter counts."""
    leader = await cluster.start()
    remove_node(cluster, cluster.others(leader)[0])
    await cluster.run_for(1_000)
    await add_node(cluster, 6)
    await run_retiring(cluster, CATCH_UP_MS)
    assert voter_ids(cluster) == ids_of(cluster.alive)


@pytest.mark.parametrize("leads", (False, True))
async def test_planned_replacement_bears_the_loss_of_a_region(cluster, leads):
    """Guards against a stopped voter that counts while two others have no power."""
    stopped = await cluster.start()
    if not leads:
        stopped = cluster.others(stopped)[0]
    await add_node(cluster, 6)
    await cluster.wait_converged()
    assert await cluster.result(stopped.log.leave(500))
    remove_node(cluster, stopped)
    leader = cluster.leaders[0] if cluster.leaders else cluster.alive[0]
    for node in cluster.others(leader)[:2]:
        node.crash()
    await run_retiring(cluster, 2_000)
    await cluster.propose(b"a")
    assert len(voter_ids(cluster)) == 5


async def test_voter_of_an_odd_set_stays_over_a_planned_stop(cluster):
    leader = await cluster.start()
    for node in (leader, cluster.others(leader)[0]):
        assert not await cluster.result(node.log.leave(500))
    assert len(voter_ids(cluster)) == 5


async def test_voter_that_left_does_not_join_again_before_it_stops(cluster):
    leader = await cluster.start()
    await add_node(cluster, 6)
    await cluster.wait_converged()
    stopped = cluster.others(leader)[0]
    await cluster.result(stopped.log.leave(500))
    await run_retiring(cluster, 2 * CATCH_UP_MS)
    assert stopped.log.replica_id not in {m.replica_id for m in members(cluster)}
    stopped.crash()
    await cluster.result(stopped.start())
    await cluster.wait_converged()


async def test_newcomer_joins_a_set_whose_voters_all_answer(cluster):
    await cluster.start()
    await add_node(cluster, 6)
    await cluster.wait_converged()


async def test_silence_counts_on_over_changes_of_leader(cluster):
    """Guards against a retirement that each change of leader puts off."""
    leader = await cluster.start()
    silent = cluster.others(leader)[0]
    silent_id = silent.log.replica_id
    silent.crash()
    for _ in range(6):
        leader = await cluster.wait_leader()
        leader.crash()
        await cluster.run_for(2_000)
        await cluster.result(leader.start())
        await run_retiring(cluster, 1_500)
    await cluster.wait_leader()
    assert silent_id not in voter_ids(cluster)


async def lose_lease(cluster, leader):
    """Let a leader lose its lease for a moment; return the next one, mostly itself."""
    replica = leader.log._replica
    replica.step_down("test")
    now_ms = cluster.clock.now_ms()
    for node in cluster.alive:
        node.log._replica.last_contact_ms = now_ms + 300
    replica.last_contact_ms = now_ms - 2_000
    return await cluster.wait_leader()


async def test_silence_that_ended_long_ago_retires_no_voter(cluster):
    """Guards against a voter that is removed at once because of an earlier silence."""
    first_leader = await cluster.start()
    paused = cluster.others(first_leader)[0]
    cluster.isolate(paused)
    await run_retiring(cluster, RETIRE_MS // 2)
    first_leader.crash()
    leader = await cluster.wait_leader()
    cluster.network.blocked.clear()
    await cluster.result(first_leader.start())
    await run_retiring(cluster, 2 * RETIRE_MS)
    leader = await cluster.wait_leader()
    cluster.isolate(paused)
    assert await lose_lease(cluster, leader) is leader
    await run_retiring(cluster, RETIRE_MS // 2)
    assert paused.log.replica_id in voter_ids(cluster)


async def test_two_silent_voters_are_retired(cluster):
    """Guards against lost voters that count for ever because there are two."""
    leader = await cluster.start()
    for node in cluster.others(leader)[:2]:
        node.crash()
    await run_retiring(cluster, 2 * RETIRE_MS)
    assert voter_ids(cluster) == ids_of(cluster.alive)


async def test_voters_that_were_cut_off_return(cluster):
    leader = await cluster.start()
    cut_off = cluster.others(leader)[:2]
    for node in cut_off:
        cluster.isolate(node)
    await run_retiring(cluster, 2 * RETIRE_MS)
    assert len(voter_ids(cluster)) == 3
    cluster.network.blocked.clear()
    await cluster.wait_converged()


async def test_retired_voters_that_restart_return_within_half_of_catch_up(cluster):
    """Guards against a region that counts as lost for seconds after its return."""
    leader = await cluster.start()
    stopped = cluster.others(leader)[:2]
    for node in stopped:
        node.crash()
    await run_retiring(cluster, 2 * RETIRE_MS)
    assert len(voter_ids(cluster)) == 3
    for node in stopped:
        await cluster.result(node.start())
    # The processes of the hosts need the rest of the time to start.
    await run_retiring(cluster, CATCH_UP_MS // 2)
    assert voter_ids(cluster) >= ids_of(stopped)


async def test_no_voter_is_retired_while_another_may_be_gone(cluster):
    leader = await cluster.start()
    first, second, *_ = cluster.others(leader)
    first.crash()
    await cluster.run_for(2 * RETIRE_MS)
    second.crash()
    await cluster.run_for(1_000)
    (leader,) = cluster.leaders
    assert await cluster.result(leader.log.retire_silent_voter(500)) is None


async def test_retirement_keeps_the_voters_that_the_tolerance_needs():
    """Guards against a set that two disks lost at once leave without a change."""
    cluster = Cluster(7, admit_newcomers=True, retire_silent_ms=RETIRE_MS, min_voters=5)
    try:
        leader = await cluster.start()
        for node in cluster.others(leader)[:3]:
            node.crash()
        await run_retiring(cluster, 3 * RETIRE_MS)
        assert len(voter_ids(cluster)) == 5
    finally:
        await cluster.close()


async def test_learner_that_is_gone_is_removed(cluster):
    """Guards against learners of identities that no longer exist, without a bound."""
    await cluster.start()
    for number in range(6, 9):
        node = await add_node(cluster, number)
        await cluster.run_until(
            lambda node=node: (
                cluster.leaders
                and node.log.replica_id in {m.replica_id for m in members(cluster)}
            )
        )
        remove_node(cluster, node)
    await run_retiring(cluster, 2 * RETIRE_MS)
    assert {m.replica_id for m in members(cluster)} == ids_of(cluster.alive)


async def test_late_join_request_admits_no_voter(cluster):
    """Guards against a held-up request that admits an identity that is gone."""
    leader = await cluster.start()
    node = cluster.others(leader)[0]
    gone = JoinRequest("0123456789abcdef", node.address)
    elsewhere = JoinRequest("fedcba9876543210", "10.0.0.9:7000")
    before = voter_ids(cluster)
    for request in (gone, elsewhere):
        await cluster.result(leader.handlers[JoinRequest](request))
    await run_retiring(cluster, CATCH_UP_MS)
    assert voter_ids(cluster) == before
    await run_retiring(cluster, 2 * RETIRE_MS)
    assert {m.replica_id for m in members(cluster)} == before


def members(cluster):
    return cluster.leaders[0].log.members
