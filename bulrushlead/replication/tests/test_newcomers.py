"""Admission of unknown replicas, removal of silent voters and confirmed reads."""

import pytest

from bulrushlead.replication import MemberRole
from bulrushlead.replication._messages import JoinRequest
from bulrushlead.replication.tests.cluster import Cluster, Node
from bulrushlead.results import BulrushleadError

RETIRE_MS = 2_000


@pytest.fixture
async def cluster():
    cluster = Cluster(admit_newcomers=True, retire_silent_ms=RETIRE_MS)
    yield cluster
    await cluster.close()


async def add_node(cluster, number):
    """Start a replica whose settings list only the first three replicas."""
    seeds = [f"10.0.0.{seed}:7000" for seed in (1, 2, 3)]
    address = f"10.0.0.{number}:7000"
    node = cluster.nodes[address] = Node(cluster, address)
    await cluster.result(node.start(peers=seeds, bootstrap=False))
    return node


def voter_addresses(cluster):
    return {
        m.address for m in cluster.leaders[0].log.members if m.role.value == "voter"
    }


def is_voter(cluster, node):
    """Return whether the leader's log has the present identity of a node as a voter."""
    return any(
        member.replica_id == node.log.replica_id and member.role is MemberRole.VOTER
        for leader in cluster.leaders
        for member in leader.log.members
    )


async def test_unknown_replica_becomes_a_voter(cluster):
    await cluster.start()
    await cluster.propose(b"a")
    node = await add_node(cluster, 4)
    other = await add_node(cluster, 5)
    await cluster.wait_converged()
    assert node.machine.commands == other.machine.commands == [b"a"]


async def test_unknown_replica_is_not_admitted_by_default():
    cluster = Cluster()
    try:
        await cluster.start()
        node = await add_node(cluster, 4)
        await cluster.run_for(3_000)
        assert node.address not in {m.address for m in cluster.leaders[0].log.members}
    finally:
        await cluster.close()


async def test_newcomer_replaces_a_silent_voter(cluster):
    leader = await cluster.start()
    silent = cluster.others(leader)[0]
    silent.crash()
    await cluster.run_for(2 * RETIRE_MS)
    node = await add_node(cluster, 4)
    await cluster.run_until(
        lambda: (
            cluster.leaders
            and node.address in voter_addresses(cluster)
            and silent.address not in voter_addresses(cluster)
        )
    )


async def test_silent_voter_is_removed_and_admitted_again(cluster):
    leader = await cluster.start()
    await add_node(cluster, 4)
    await cluster.wait_converged()
    leader = cluster.leaders[0]
    silent = cluster.others(leader)[0]
    silent.crash()
    assert await cluster.result(leader.log.retire_silent_voter(500)) is None
    await cluster.run_for(2 * RETIRE_MS)
    leader = cluster.leaders[0]
    await cluster.result(leader.log.retire_silent_voter(500))
    assert silent.address not in voter_addresses(cluster)
    await cluster.result(silent.start())
    await cluster.run_until(lambda: silent.address in voter_addresses(cluster))


async def test_silent_voter_of_three_is_not_removed(cluster):
    leader = await cluster.start()
    cluster.others(leader)[0].crash()
    await cluster.run_for(3 * RETIRE_MS)
    leader = cluster.leaders[0]
    assert await cluster.result(leader.log.retire_silent_voter(500)) is None
    assert len(voter_addresses(cluster)) == 3


async def test_lost_disk_joins_again_through_replicas_that_do_not_lead(cluster):
    """Guards against a replica that stays out because no seed of its settings leads."""
    leader = await cluster.start()
    await add_node(cluster, 4)
    await add_node(cluster, 5)
    await cluster.wait_converged()
    leader = cluster.leaders[0]
    wiped, *others = cluster.others(leader)
    wiped.wipe()
    seeds = [node.address for node in others]
    await cluster.result(wiped.start(peers=seeds, bootstrap=False))
    await cluster.wait_converged()
    assert cluster.leaders == [leader]


async def test_lost_disk_joins_again_while_its_seeds_are_down(cluster):
    """Guards against a replica that stays out although the leader sends to it."""
    await cluster.start()
    for number in (4, 5):
        await add_node(cluster, number)
    await cluster.wait_converged()
    leader = cluster.leaders[0]
    wiped, seed, *_ = cluster.others(leader)
    wiped.wipe()
    seed.crash()
    await cluster.result(wiped.start(peers=[seed.address], bootstrap=False))
    await cluster.run_until(lambda: is_voter(cluster, wiped))


@pytest.mark.parametrize(
    "address", ("10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9", "", "x:" + "9" * 5_000)
)
async def test_replica_without_an_address_is_not_admitted(cluster, address):
    """Guards against one odd member that ends each leader that sends to it."""
    leader = await cluster.start()
    before = leader.log.members
    with pytest.raises(BulrushleadError):
        request = JoinRequest("0123456789abcdef", address)
        await cluster.result(leader.handlers[JoinRequest](request))
    await cluster.run_for(1_000)
    assert cluster.leaders == [leader]
    assert leader.log.members == before


async def test_read_barrier_needs_a_quorum_in_addition_to_the_lease(cluster):
    leader = await cluster.start()
    await cluster.propose(b"a")
    leader = cluster.leaders[0]
    await cluster.result(leader.log.read_barrier(1_000))
    cluster.isolate(leader)
    assert leader.log.is_leader()
    with pytest.raises(BulrushleadError):
        await cluster.result(leader.log.read_barrier(1_000))


async def test_slow_newcomer_is_promoted_while_changes_are_frequent(cluster):
    """Guards against a learner that never holds all that faster voters committed."""
    leader = await cluster.start()
    log, address = leader.log, "10.0.0.4:7000"
    node = cluster.nodes[address] = Node(cluster, address)

    async def wait_for_disk():
        await cluster.clock.sleep_ms(30)

    async def change_often():
        while True:
            cluster.spawn(log.propose(b"a", 5_000))
            await cluster.clock.sleep_ms(10)

    node.storage.before_run = wait_for_disk
    cluster.spawn(change_often())
    await cluster.result(node.start(peers=[leader.address], bootstrap=False))
    await cluster.run_until(node.log._replica.is_voter, 4_000)


async def test_replica_without_its_disk_learns_the_leader_from_a_snapshot():
    """Guards against a lost disk that is never repaired as all seeds are gone."""
    cluster = Cluster(
        admit_newcomers=True, snapshot_threshold_entries=5, snapshot_trailing_entries=0
    )
    try:
        leader = await cluster.start()
        node = cluster.others(leader)[0]
        node.wipe()
        for number in range(40):
            await cluster.propose(b"%d" % number)
        gone = ["10.0.0.8:7000", "10.0.0.9:7000"]
        await cluster.result(node.start(peers=gone, bootstrap=False))
        await cluster.run_until(node.log._replica.is_voter, 4_000)
    finally:
        await cluster.close()


async def test_newcomer_asks_the_seeds_of_reloaded_settings(cluster):
    """Guards against a newcomer that never joins as its first seeds are all gone."""
    leader = await cluster.start()
    address = "10.0.0.4:7000"
    node = cluster.nodes[address] = Node(cluster, address)
    await cluster.result(node.start(peers=["10.0.0.9:7000"], bootstrap=False))
    await cluster.run_for(1_000)
    node.log.set_seeds([address, leader.address, "not an address"])
    await cluster.run_until(lambda: is_voter(cluster, node), 4_000)
