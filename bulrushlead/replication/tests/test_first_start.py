"""Crashes while a cluster starts for the first time.

Settings allow to bootstrap a cluster when the whole system starts with empty folders. A
replica that is started again meanwhile has settings that do not allow it.
"""

import random

import pytest

from bulrushlead.replication.tests.cluster import Cluster

START_SPREAD_MS = 300.0
CRASH_WITHIN_MS = 2_000.0


@pytest.fixture
async def cluster():
    cluster = Cluster()
    yield cluster
    await cluster.close()


async def wait_for_one_cluster(cluster):
    """Wait until a change is accepted everywhere; check that there is one cluster."""
    await cluster.wait_leader()
    await cluster.propose(b"a")
    await cluster.wait_converged()
    assert len({node.log.cluster_id for node in cluster.nodes.values()}) == 1


async def test_a_founder_that_crashed_still_forms_the_cluster(cluster):
    """Guards against a system that never starts after one crash (review/6)."""
    founder, *others = cluster.nodes.values()
    await cluster.result(founder.start())
    await cluster.run_for(100)
    founder.crash()
    await cluster.result(founder.start(bootstrap=False))
    for node in others:
        await cluster.result(node.start())
    await wait_for_one_cluster(cluster)


async def test_the_next_founder_takes_the_place_of_one_without_a_folder(cluster):
    """Guards against waiting for a founder that crashed before it wrote anything."""
    founder, *others = cluster.nodes.values()
    await cluster.result(founder.start(bootstrap=False))
    for node in others:
        await cluster.result(node.start())
    await wait_for_one_cluster(cluster)


async def test_all_founders_may_crash_at_once(cluster):
    """Guards against a loss of power during the first start."""
    for node in cluster.nodes.values():
        await cluster.result(node.start())
    for node in cluster.nodes.values():
        node.crash()
    for node in cluster.nodes.values():
        await cluster.result(node.start(bootstrap=False))
    await wait_for_one_cluster(cluster)


async def test_a_founder_with_a_lost_disk_forms_no_second_cluster(cluster):
    """Guards against founders that go on to believe that it is the first start."""
    await cluster.start()
    await cluster.propose(b"a")
    cluster_id = cluster.leaders[0].log.cluster_id
    for node in list(cluster.nodes.values()):
        node.wipe()
        await cluster.result(node.start(bootstrap=False))
        await cluster.wait_converged()
        assert node.log.cluster_id == cluster_id


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(30))
async def test_random_crashes_during_the_first_start(seed, size):
    """Guards against no cluster, and against two, whichever replicas crash when."""
    rng = random.Random(seed)
    cluster = Cluster(size, seed=seed)
    events = []
    for node in cluster.nodes.values():
        start_ms = rng.uniform(0.0, START_SPREAD_MS)
        events.append((start_ms, node, True))
        for _ in range(rng.randrange(3)):
            start_ms = rng.uniform(start_ms, CRASH_WITHIN_MS)
            events.append((start_ms, node, False))
    try:
        for due_ms, node, is_first in sorted(events, key=lambda event: event[0]):
            await cluster.run_for(max(0.0, due_ms - cluster.clock.now_ms()))
            node.crash(rng)
            await cluster.result(node.start(bootstrap=is_first))
        await wait_for_one_cluster(cluster)
    finally:
        await cluster.close()
