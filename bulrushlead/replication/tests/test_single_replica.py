"""One replica on a data folder: restarts, locking and validation of settings."""

import asyncio
import random

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.replication import FileStorage, ReplicaSettings, ReplicatedLog
from bulrushlead.replication.tests.cluster import Recorder
from bulrushlead.results import BulrushleadError, ResultCode


def build_log(folder, **changes):
    values = {
        "heartbeat_ms": 5,
        "lease_ms": 40,
        "election_min_ms": 50,
        "election_max_ms": 60,
        "bootstrap": True,
    } | changes
    settings = ReplicaSettings("127.0.0.1:7000", data_folder=str(folder), **values)
    machine = Recorder()
    log = ReplicatedLog(
        settings,
        MonotonicClock(),
        FileStorage(settings.data_folder),
        lambda address: pytest.fail(f"no link to {address} is needed"),
        machine,
        random.Random(1),
    )
    return log, machine


async def start_as_leader(log):
    gained = asyncio.Event()
    log.watch_leadership(lambda leads: leads and gained.set())
    await log.start()
    await gained.wait()


async def test_acknowledged_changes_survive_restarts_and_snapshots(tmp_path):
    identities = set()
    expected = []
    for start in range(3):
        log, machine = build_log(
            tmp_path, snapshot_threshold_entries=10, snapshot_trailing_entries=3
        )
        await start_as_leader(log)
        identities.add(log.replica_id)
        assert machine.commands == expected
        commands = [f"{start}-{number}".encode() for number in range(25)]
        results = await asyncio.gather(*(log.propose(c, 5000) for c in commands))
        expected += commands
        assert results == commands
        assert await log.read_barrier(5000) == log.last_applied
        await log.close()
    assert len(identities) == 1


async def test_second_process_on_the_same_folder_fails_to_start(tmp_path):
    first, _ = build_log(tmp_path)
    await first.start()
    second, _ = build_log(tmp_path)
    with pytest.raises(BulrushleadError) as caught:
        await second.start()
    assert caught.value.code is ResultCode.STORAGE_FAILED
    await first.close()


async def test_replica_without_bootstrap_never_leads(tmp_path):
    log, _ = build_log(tmp_path, bootstrap=False)
    await log.start()
    with pytest.raises(BulrushleadError) as caught:
        await log.propose(b"x", 100)
    assert caught.value.code is ResultCode.NOT_LEADER
    assert not log.is_leader()
    await log.close()


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"lease_ms": 49}, "replica.lease_ms is 49"),
        ({"heartbeat_ms": 30}, "replica.heartbeat_ms is 30"),
        ({"election_max_ms": 50}, "replica.election_max_ms is 50"),
        ({"peers": ["nonsense"]}, "replica.peers is 'nonsense'"),
        ({"peers": ["127.0.0.1:7000"]}, "the other replicas only"),
        ({"snapshot_threshold_entries": 0}, "at least 1"),
    ],
)
def test_invalid_setting_error_has_value_and_remedy(tmp_path, changes, message):
    with pytest.raises(BulrushleadError, match=message) as caught:
        build_log(tmp_path, **changes)
    assert caught.value.code is ResultCode.SETTINGS_INVALID


@pytest.mark.parametrize("error", [ValueError, KeyError])
async def test_an_entry_that_cannot_be_applied_stops_no_replica(
    tmp_path, monkeypatch, error
):
    """Guards against one entry that ends each leader in turn, also after a restart."""

    class Faulty(Recorder):
        def apply(self, index, command):
            if command == b"faulty":
                raise error("faulty")
            return super().apply(index, command)

    monkeypatch.setitem(build_log.__globals__, "Recorder", Faulty)
    for start in range(2):
        log, machine = build_log(tmp_path)
        await start_as_leader(log)
        with pytest.raises(BulrushleadError) as caught:
            await log.propose(b"faulty", 1_000)
        assert caught.value.code is ResultCode.INTERNAL
        assert await log.propose(b"sound", 1_000) == b"sound"
        assert machine.commands == [b"sound"] * (start + 1)
        await log.close()
