"""Sequences of failures that must not lose or duplicate changes.

They combine crashes, lost disks, partitions and membership changes.
"""

import pytest

from bulrushlead.replication._messages import AppendRequest, VoteRequest
from bulrushlead.replication.tests.cluster import LEASE_MS, Cluster, DiskGate
from bulrushlead.results import BulrushleadError, ResultCode


@pytest.fixture
async def cluster():
    cluster = Cluster(snapshot_threshold_entries=50, snapshot_trailing_entries=10)
    yield cluster
    await cluster.close()


def commands(count):
    return [f"change {number}".encode() for number in range(count)]


async def propose_all(cluster, changes, among=None):
    for change in changes:
        await cluster.propose(change, among)


def assert_all_applied(cluster, changes):
    for node in cluster.alive:
        assert node.machine.commands == changes


async def test_change_reaches_every_replica(cluster):
    await cluster.start()
    await cluster.propose(b"a")
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"a"])


@pytest.mark.parametrize("lose_leader", [True, False])
async def test_two_disks_lost_one_after_the_other(cluster, lose_leader):
    leader = await cluster.start()
    changes = commands(5)
    await propose_all(cluster, changes)
    first = leader if lose_leader else cluster.others(leader)[0]
    old_id = first.log.replica_id
    first.wipe()
    await cluster.wait_leader()
    await first.start()
    assert first.log.replica_id != old_id
    await cluster.wait_converged()
    assert len(cluster.leaders[0].log.members) == 3

    second = cluster.leaders[0] if lose_leader else cluster.others(first)[0]
    second.wipe()
    remaining = [node for node in cluster.nodes.values() if node is not second]
    await cluster.propose(b"after", remaining)
    await cluster.run_until(lambda: first.machine.commands == [*changes, b"after"])

    await second.start()
    await cluster.wait_converged()
    assert_all_applied(cluster, [*changes, b"after"])


async def test_second_loss_during_repair_blocks_without_loss_of_changes(cluster):
    await cluster.start()
    await cluster.propose(b"a")
    await cluster.wait_converged()
    leader = cluster.leaders[0]
    wiped, other = cluster.others(leader)
    wiped.wipe()
    other.crash()
    await wiped.start()
    await cluster.run_for(5_000)
    assert cluster.leaders == [], "a replica that has not caught up was counted"
    await other.start()
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"a"])


async def test_disk_lost_during_a_partition(cluster):
    leader = await cluster.start()
    await cluster.propose(b"a")
    stays, wiped = cluster.others(leader)
    cluster.isolate(leader)
    wiped.wipe()
    await wiped.start()
    await cluster.run_for(5_000)
    assert cluster.leaders == [], "a replica voted again after it lost its vote"
    assert wiped.log.members == ()
    cluster.network.blocked.clear()
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"a"])


async def test_founder_with_a_lost_disk_forms_no_second_cluster(cluster):
    await cluster.start()
    await cluster.propose(b"a")
    founder = min(cluster.nodes.values(), key=lambda node: node.address)
    cluster_id = founder.log.cluster_id
    founder.wipe()
    cluster.isolate(founder)
    await founder.start(bootstrap=True)
    await cluster.run_for(5_000)
    assert founder.log.cluster_id == ""
    cluster.network.blocked.clear()
    await cluster.wait_converged()
    assert {node.log.cluster_id for node in cluster.alive} == {cluster_id}
    assert_all_applied(cluster, [b"a"])


async def test_starting_replica_does_not_answer_that_it_has_no_cluster(cluster):
    """The port may be open before the folder is read, which may take long.

    An answer without a cluster would let the founder, whose disk was lost, form a
    second cluster.
    """
    await cluster.start()
    await cluster.propose(b"a")
    founder, *others = sorted(cluster.nodes.values(), key=lambda node: node.address)
    founder.wipe()
    for node in others:
        node.crash()
    gate = DiskGate(cluster, *others)
    for node in others:
        cluster.spawn(node.start(listen_first=True))
    await founder.start()
    await cluster.run_for(2_000)
    assert founder.log.cluster_id == ""
    gate.is_open = True
    await cluster.run_until(lambda: all(node.log.cluster_id for node in others))
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"a"])


async def test_restart_of_all_together(cluster):
    await cluster.start()
    changes = commands(120)
    await propose_all(cluster, changes)
    for node in cluster.nodes.values():
        node.crash()
    for node in cluster.nodes.values():
        await node.start()
    await cluster.propose(b"after")
    await cluster.wait_converged()
    assert_all_applied(cluster, [*changes, b"after"])


async def test_late_replica_catches_up_by_snapshot_chunks(cluster):
    cluster.settings["snapshot_chunk_bytes"] = 1024
    leader = await cluster.start()
    late = cluster.others(leader)[0]
    await cluster.propose(b"first")
    late.crash()
    changes = commands(400)
    await propose_all(cluster, changes)
    chunks = []
    cluster.network.on_message = lambda source, target, message: (
        chunks.append(message.offset_bytes) if hasattr(message, "offset_bytes") else 0
    )
    await late.start()
    await cluster.wait_converged()
    assert len(set(chunks)) > 1, "the snapshot was not sent in chunks"
    assert_all_applied(cluster, [b"first", *changes])
    late.crash()
    await late.start()
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"first", *changes])


async def test_leader_killed_between_append_and_acknowledgement(cluster):
    """The outcome of the change is unknown, but all replicas agree on it.

    A change on the disk of one follower may survive; one on no disk is lost.
    """
    leader = await cluster.start()
    await cluster.propose(b"a")
    await cluster.wait_converged()
    up_to_date, other = cluster.others(leader)

    def kill_leader(source, target, message):
        if isinstance(message, AppendRequest) and message.entries and leader.alive:
            cluster.network.blocked |= {(leader.address, other.address)}
            cluster.network.blocked |= {(target, leader.address)}

    cluster.network.on_message = kill_leader
    proposal = cluster.spawn(leader.log.propose(b"b", 5_000))
    await cluster.run_for(30)
    leader.crash()
    await cluster.run_until(proposal.done)
    with pytest.raises(BulrushleadError) as caught:
        proposal.result()
    assert caught.value.code is ResultCode.CHANGE_OUTCOME_UNKNOWN
    cluster.network.blocked.clear()
    cluster.network.on_message = lambda source, target, message: None
    await cluster.propose(b"c", [up_to_date, other])
    await leader.start()
    await cluster.wait_converged()
    final = leader.machine.commands
    assert final in ([b"a", b"b", b"c"], [b"a", b"c"])
    assert_all_applied(cluster, final)


async def test_isolated_leader_steps_down_within_its_lease(cluster):
    leader = await cluster.start()
    await cluster.propose(b"a")
    seen = []
    leader.log.watch_leadership(seen.append)
    cluster.isolate(leader)
    await cluster.run_for(LEASE_MS + 1)
    assert not leader.log.is_leader()
    assert seen == [False]
    for call in (leader.log.propose(b"x", 100), leader.log.read_barrier(100)):
        with pytest.raises(BulrushleadError) as caught:
            await call
        assert caught.value.code in (ResultCode.NOT_LEADER, ResultCode.NO_QUORUM)
    await cluster.propose(b"b", cluster.others(leader))
    cluster.network.blocked.clear()
    await cluster.wait_converged()
    assert_all_applied(cluster, [b"a", b"b"])


async def test_suspended_leader_notices_its_expired_lease(cluster):
    """Each call checks the lease.

    After a suspension a request may run before the task that watches the lease.
    """
    leader = await cluster.start()
    cluster.clock._now_ms += LEASE_MS
    assert not leader.log.is_leader()
    for call in (leader.log.propose(b"x", 100), leader.log.read_barrier(100)):
        with pytest.raises(BulrushleadError) as caught:
            await call
        assert caught.value.code is ResultCode.NO_QUORUM


async def test_lease_starts_when_the_acknowledged_message_was_sent(cluster):
    leader = await cluster.start()
    delay_ms = 45
    cluster.network.delay_ms = (delay_ms, delay_ms)
    await cluster.run_for(1_000)
    delivered = []
    cluster.network.on_message = lambda *message: delivered.append(message)
    await cluster.run_until(lambda: delivered)
    await cluster.run_for(delay_ms)
    assert leader.log.is_leader()
    cluster.isolate(leader)
    # The last acknowledged message was sent two delays before the partition.
    await cluster.run_for(LEASE_MS - 2 * delay_ms + 1)
    assert not leader.log.is_leader()


async def test_reconnected_replica_does_not_depose_the_leader(cluster):
    leader = await cluster.start()
    term = leader.log.term
    cluster.isolate(cluster.others(leader)[0])
    await cluster.run_for(5_000)
    cluster.network.blocked.clear()
    await cluster.run_for(5_000)
    assert cluster.leaders == [leader]
    assert leader.log.term == term


async def test_restarted_follower_grants_no_vote_while_a_lease_may_be_valid(cluster):
    leader = await cluster.start()
    voter, candidate = cluster.others(leader)
    voter.crash()
    await voter.start()
    request = VoteRequest(
        cluster_id=candidate.log.cluster_id,
        target_id=voter.log.replica_id,
        sender_id=candidate.log.replica_id,
        term=candidate.log.term + 1,
        last_index=10**6,
        last_term=10**6,
    )
    reply = await cluster.result(voter.handlers[VoteRequest](request))
    assert not reply.granted


async def test_read_barrier_of_a_deposed_leader_fails(cluster):
    leader = await cluster.start()
    await cluster.propose(b"a")
    cluster.isolate(leader)
    await cluster.propose(b"b", cluster.others(leader))
    with pytest.raises(BulrushleadError):
        await leader.log.read_barrier(100)


async def test_message_for_a_previous_identity_is_refused(cluster):
    leader = await cluster.start()
    wiped, other = cluster.others(leader)
    old_id = wiped.log.replica_id
    wiped.wipe()
    await wiped.start()
    request = VoteRequest(leader.log.cluster_id, old_id, "x", 10**6, 10**6, 10**6)
    with pytest.raises(BulrushleadError) as caught:
        await wiped.handlers[VoteRequest](request)
    assert caught.value.code is ResultCode.MEMBERSHIP_REFUSED


async def test_add_promote_and_remove_members():
    cluster = Cluster(size=4)
    newcomer = cluster.nodes.popitem()[1]
    leader = await cluster.start()
    log = leader.log
    cluster.nodes[newcomer.address] = newcomer
    await newcomer.start(bootstrap=False)
    new_id = await cluster.result(log.add_learner(newcomer.address, 1000))
    assert new_id == newcomer.log.replica_id
    cluster.isolate(newcomer)
    await cluster.propose(b"missed")
    with pytest.raises(BulrushleadError, match="not caught up"):
        await cluster.result(log.promote(new_id, 1000))
    cluster.network.blocked.clear()
    await cluster.run_for(1_000)
    await cluster.result(log.promote(new_id, 1000))
    await cluster.wait_converged()
    leaving = next(n for n in cluster.others(leader) if n is not newcomer)
    await cluster.result(log.remove_member(leaving.log.replica_id, 1000))
    with pytest.raises(BulrushleadError, match="is the leader"):
        await cluster.result(log.remove_member(log.replica_id, 1000))
    leaving.crash()
    next(n for n in cluster.others(leader) if n not in (newcomer, leaving)).crash()
    await cluster.propose(b"two of three")
    with pytest.raises(BulrushleadError, match="would be reachable"):
        await cluster.run_for(400)
        await cluster.result(log.remove_member(new_id, 1000))
    await cluster.close()


async def test_new_leader_does_not_read_before_its_first_entry_is_applied(cluster):
    leader = await cluster.start()
    await cluster.propose(b"a")
    leader.crash()

    def elected():
        return [n for n in cluster.alive if n.log._replica.leadership is not None]

    await cluster.run_until(elected)
    node = elected()[0]
    with pytest.raises(BulrushleadError) as caught:
        await node.log.read_barrier(100)
    assert caught.value.code is ResultCode.NO_QUORUM
    await cluster.wait_leader()
    await cluster.result(node.log.read_barrier(100))
    assert node.machine.commands == [b"a"]


async def test_entry_of_an_earlier_term_is_committed_only_with_a_current_one():
    cluster = Cluster(append_bytes=1024)
    leader = await cluster.start()
    up_to_date, other = cluster.others(leader)
    cluster.network.blocked |= {(leader.address, other.address)}
    cluster.network.blocked |= {(up_to_date.address, leader.address)}
    # More than append_bytes, so that the next entry is sent in another message.
    large = b"x" * 2000
    cluster.spawn(leader.log.propose(large, 5_000)).add_done_callback(
        lambda task: task.exception()
    )
    await cluster.run_until(
        lambda: up_to_date.log._replica.journal.entries_bytes > 2000
    )
    leader.crash()
    cluster.network.blocked.clear()
    await cluster.run_until(lambda: up_to_date.log._replica.leadership is not None)
    replica = up_to_date.log._replica
    own_index, seen = replica.leadership.first_index, set()
    while replica.commit_index < own_index:
        seen.add(replica.commit_index)
        await cluster.step()
    assert own_index - 1 not in seen
    await cluster.close()


async def test_learners_do_not_count_towards_a_quorum():
    cluster = Cluster(size=5)
    newcomers = [cluster.nodes.popitem()[1] for _ in range(2)]
    leader = await cluster.start()
    voters = cluster.others(leader)
    for newcomer in newcomers:
        cluster.nodes[newcomer.address] = newcomer
        await newcomer.start(bootstrap=False)
        await cluster.result(leader.log.add_learner(newcomer.address, 1000))
    await cluster.run_for(500)
    for voter in voters:
        cluster.network.block(voter.address, [leader.address])
        cluster.network.block(voter.address, [n.address for n in newcomers])
    with pytest.raises(BulrushleadError) as caught:
        await cluster.result(leader.log.propose(b"one voter, two learners", 400))
    assert caught.value.code is ResultCode.CHANGE_OUTCOME_UNKNOWN
    assert not leader.log.is_leader()
    assert await cluster.propose(b"two voters") in voters
    await cluster.close()
