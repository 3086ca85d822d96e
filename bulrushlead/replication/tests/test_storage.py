"""Damaged files, failed writes, power failures and slow disks of a replica."""

import errno
import random

import pytest

from bulrushlead.logs import Event
from bulrushlead.replication import MemoryStorage, ReplicaSettings, ReplicatedLog
from bulrushlead.replication._journal import Journal
from bulrushlead.replication._messages import VoteRequest, VoteState
from bulrushlead.replication._records import pack_records, scan_records
from bulrushlead.replication.tests.cluster import ELECTION_MIN_MS, Cluster, DiskGate
from bulrushlead.results import BulrushleadError, ResultCode


@pytest.fixture
async def cluster():
    cluster = Cluster(snapshot_threshold_entries=8, snapshot_trailing_entries=2)
    yield cluster
    await cluster.close()


@pytest.fixture
def events(monkeypatch):
    written = []

    def write(self, event, **fields):
        written.append(event)

    monkeypatch.setattr("bulrushlead.logs.EventLogger.write", write)
    return written


def journal_file(node):
    names = [n for n in node.storage.list_names() if n.startswith("journal-")]
    return node.storage._files[names[-1]].content


async def restart(cluster, node):
    await node.start()
    await cluster.wait_converged()


async def test_torn_tail_is_removed_and_logged(cluster, events):
    leader = await cluster.start()
    await cluster.propose(b"a")
    node = cluster.others(leader)[0]
    node.crash()
    journal_file(node).extend(pack_records([b"never synced"], 99, 98)[:-3])
    await restart(cluster, node)
    assert Event.TAIL_REPAIRED in events
    assert node.machine.commands == [b"a"]


async def test_every_length_of_a_torn_write_is_tolerated():
    synced = pack_records([b"one", b"two"], 1, 0)
    last = pack_records([b"three", b"four"], 3, 2)
    for kept in range(len(last)):
        scan = scan_records(synced + last[:kept], "journal")
        assert scan.payloads[:2] == [b"one", b"two"]
        assert len(scan.payloads) <= 3


async def test_every_damaged_byte_of_a_synced_write_is_refused():
    synced = pack_records([b"one", b"two"], 1, 0)
    data = synced + pack_records([b"three"], 3, 2)
    for position in range(len(synced)):
        damaged = bytearray(data)
        damaged[position] ^= 0x40
        with pytest.raises(BulrushleadError) as caught:
            scan_records(bytes(damaged), "journal")
        assert caught.value.code is ResultCode.STORAGE_DAMAGED


@pytest.mark.parametrize("name_start", ["journal-", "snapshot-"])
async def test_damage_within_a_synced_file_is_refused(cluster, name_start):
    leader = await cluster.start()
    for number in range(20):
        await cluster.propose(b"change %d" % number)
    node = cluster.others(leader)[0]
    node.crash()
    names = [n for n in node.storage.list_names() if n.startswith(name_start)]
    content = node.storage._files[names[-1]].content
    content[len(content) // 3] ^= 1
    with pytest.raises(BulrushleadError) as caught:
        await node.start()
    assert caught.value.code is ResultCode.STORAGE_DAMAGED
    assert "empty the data folder" in caught.value.detail


@pytest.mark.parametrize("name_start", ["journal-", "snapshot-"])
async def test_missing_file_is_refused(cluster, name_start):
    leader = await cluster.start()
    for number in range(20):
        await cluster.propose(b"change %d" % number)
    node = cluster.others(leader)[0]
    node.crash()
    for name in node.storage.list_names():
        if name.startswith(name_start):
            node.storage.remove(name)
    with pytest.raises(BulrushleadError) as caught:
        await node.start()
    assert caught.value.code is ResultCode.STORAGE_DAMAGED


@pytest.mark.parametrize(
    ("step", "error"),
    [("append", errno.ENOSPC), ("sync", errno.EIO)],
)
@pytest.mark.parametrize("on_leader", [True, False])
async def test_failed_write_stops_the_replica_and_is_logged(
    cluster, events, step, error, on_leader
):
    leader = await cluster.start()
    await cluster.propose(b"a")
    node = leader if on_leader else cluster.others(leader)[0]
    failures = []

    def fail_once(found, name):
        if found == step and not failures:
            failures.append(name)
            raise OSError(error, "no")

    node.storage.before_step = fail_once
    if on_leader:
        with pytest.raises(BulrushleadError) as caught:
            await cluster.result(node.log.propose(b"b", 1000))
        assert caught.value.code is ResultCode.CHANGE_OUTCOME_UNKNOWN
    else:
        await cluster.propose(b"b")
    await cluster.propose(b"c", cluster.others(node))
    assert events.count(Event.STORAGE_FAILED) == 1
    assert node.log.failure.code is ResultCode.STORAGE_FAILED
    assert not node.log.is_leader()
    with pytest.raises(BulrushleadError) as caught:
        await node.log.propose(b"d", 100)
    assert caught.value.code is ResultCode.STORAGE_FAILED
    for message_type, handler in node.handlers.items():
        if message_type.__name__ == "AppendRequest":
            request = message_type("", node.log.replica_id, "x", "y:1", 10**6, 0, 0, 0)
            with pytest.raises(BulrushleadError):
                await handler(request)
    assert len(failures) == 1, "a failed step was retried"
    node.crash()
    await restart(cluster, node)
    assert [c for c in node.machine.commands if c != b"b"] == [b"a", b"c"]
    assert on_leader or b"b" in node.machine.commands


@pytest.mark.parametrize("on_leader", [True, False])
@pytest.mark.parametrize("torn", [True, False])
async def test_power_lost_before_each_durable_step(on_leader, torn):
    """Crash one replica before its n-th storage step, for each n of the run.

    The run includes snapshots. No accepted change may be lost.
    """
    steps = 0
    while True:
        cluster = Cluster(
            seed=steps, snapshot_threshold_entries=4, snapshot_trailing_entries=1
        )
        leader = await cluster.start()
        node = leader if on_leader else cluster.others(leader)[0]
        steps_left = [steps]

        def lose_power(step, name, steps_left=steps_left):
            steps_left[0] -= 1
            if steps_left[0] < 0:
                raise OSError("power lost")

        node.storage.before_step = lose_power
        accepted = []
        for number in range(12):
            change = b"change %d" % number
            await cluster.propose(change)
            accepted.append(change)
        node.storage.before_step = None
        node.crash(random.Random(steps) if torn else None)
        await restart(cluster, node)
        for other in cluster.alive:
            assert list(dict.fromkeys(other.machine.commands)) == accepted
        await cluster.close()
        if steps_left[0] >= 0:
            break
        steps += 1
    assert steps > 20


async def test_unsynced_vote_state_is_not_durable():
    disk = MemoryStorage()
    journal = Journal(disk, lambda: None, lambda: None)
    await journal.start("id")
    journal.set_vote_state(VoteState(7, "id", "c"))
    restarted = Journal(disk.crash(), lambda: None, lambda: None)
    await restarted.start("other")
    assert (restarted.replica_id, restarted.vote_state.term) == ("id", 0)


async def request_vote(leader, voter, candidate_id):
    request = VoteRequest(
        cluster_id=leader.log.cluster_id,
        target_id=voter.log.replica_id,
        sender_id=candidate_id,
        term=10**6,
        last_index=10**6,
        last_term=10**6,
    )
    return await voter.handlers[VoteRequest](request)


async def test_granted_vote_survives_a_restart(cluster):
    leader = await cluster.start()
    voter = cluster.others(leader)[0]
    cluster.isolate(voter)

    async def ask(candidate_id):
        await cluster.run_for(ELECTION_MIN_MS)
        return await cluster.result(request_vote(leader, voter, candidate_id))

    assert (await ask("first")).granted
    voter.crash()
    await voter.start()
    assert not (await ask("second")).granted
    assert (await ask("first")).granted


async def test_group_commit_syncs_many_proposals_at_once():
    cluster = Cluster(size=1)
    leader = await cluster.start()
    syncs = []
    leader.storage.before_step = lambda step, name: (
        syncs.append(name) if step == "sync" else None
    )
    work = [cluster.spawn(leader.log.propose(b"x", 1000)) for _ in range(200)]
    await cluster.run_until(lambda: all(task.done() for task in work))
    assert len(syncs) <= 2
    await cluster.close()


@pytest.mark.parametrize("on_leader", [True, False])
async def test_change_is_acknowledged_only_when_durable_on_a_quorum(cluster, on_leader):
    leader = await cluster.start()
    first, second = cluster.others(leader)
    gate = DiskGate(cluster, first, leader if on_leader else second)
    proposal = cluster.spawn(leader.log.propose(b"a", 5_000))
    await cluster.run_for(200)
    assert not proposal.done()
    gate.is_open = True
    await cluster.run_until(proposal.done)
    await cluster.wait_converged()
    assert all(node.machine.commands == [b"a"] for node in cluster.alive)


async def test_vote_is_granted_only_when_durable(cluster):
    leader = await cluster.start()
    voter = cluster.others(leader)[0]
    cluster.isolate(voter)
    gate = DiskGate(cluster, voter)
    await cluster.run_for(ELECTION_MIN_MS)
    vote = cluster.spawn(request_vote(leader, voter, "first"))
    await cluster.run_for(200)
    assert not vote.done()
    gate.is_open = True
    await cluster.run_until(vote.done)
    assert vote.result().granted


async def test_snapshot_is_applied_only_when_durable(cluster):
    leader = await cluster.start()
    late = cluster.others(leader)[0]
    late.crash()
    changes = [b"change %d" % number for number in range(30)]
    for change in changes:
        await cluster.propose(change)
    await late.start()
    gate = DiskGate(cluster, late)
    await cluster.run_for(1_000)
    assert late.machine.commands == []
    gate.is_open = True
    await cluster.wait_converged()
    assert late.machine.commands == changes


async def test_membership_change_is_refused_while_one_is_uncommitted(cluster):
    leader = await cluster.start()
    first, second = cluster.others(leader)
    gate = DiskGate(cluster, first, second)
    remove = leader.log.remove_member
    with pytest.raises(BulrushleadError) as caught:
        await cluster.result(remove(first.log.replica_id, 20))
    assert caught.value.code is ResultCode.CHANGE_OUTCOME_UNKNOWN
    with pytest.raises(BulrushleadError, match="not committed yet") as caught:
        await cluster.result(remove(second.log.replica_id, 20))
    assert caught.value.code is ResultCode.MEMBERSHIP_REFUSED
    gate.is_open = True


def test_unused_storage_needs_no_folder(tmp_path):
    settings = ReplicaSettings("127.0.0.1:1", data_folder=str(tmp_path / "absent"))
    ReplicatedLog(settings, Cluster().clock, MemoryStorage(), None, None, None)
    assert not (tmp_path / "absent").exists()
