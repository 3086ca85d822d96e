"""Control hosts whose disks are full for a while."""

import asyncio
import errno
import random

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.control import ControlHost
from bulrushlead.embedded import free_ports
from bulrushlead.operators import OperatorClient, new_request_id
from bulrushlead.operators.tests.samples import BASE
from bulrushlead.replication import FileStorage
from bulrushlead.results import BulrushleadError
from bulrushlead.settings import ControlSettings

CLOCK = MonotonicClock()


@pytest.fixture
def full_folders(monkeypatch):
    """Folders whose disk has no room: half of each write succeeds."""
    full = set()
    append = FileStorage.append

    def append_half(storage, name, data):
        if storage.folder not in full:
            return append(storage, name, data)
        append(storage, name, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(FileStorage, "append", append_half)
    return full


@pytest.fixture
async def hosts(tmp_path, full_folders):
    addresses = [f"127.0.0.1:{port}" for port in free_ports(9)]
    started = []
    for number in range(3):
        settings = ControlSettings(
            name=f"control-{number}",
            peer_address=addresses[number],
            operator_address=addresses[3 + number],
            metrics_address=addresses[6 + number],
            peers=tuple(addresses[:3]),
            data_folder=str(tmp_path / f"control-{number}"),
            bootstrap=True,
        )
        host = ControlHost(settings, CLOCK, random.Random(number))
        await host.start()
        started.append(host)
    await wait_until(lambda: any(host.log.is_leader() for host in started))
    yield started
    full_folders.clear()
    for host in started:
        await host.close()


@pytest.fixture
async def client(hosts):
    client = OperatorClient([h.settings.operator_address for h in hosts], CLOCK)
    yield client
    await client.close()


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def apply(client, expected_revision):
    """Send one change until it is accepted; return its revision."""
    request_id = new_request_id()
    async with asyncio.timeout(10):
        while True:
            try:
                reply = await client.apply(BASE, expected_revision, request_id, True)
                return reply.revision
            except BulrushleadError:
                await asyncio.sleep(0.05)


async def test_changes_are_accepted_after_every_disk_was_full_in_turn(
    hosts, client, full_folders
):
    """Guards against a control host that never writes again after a full disk."""
    revision = 0
    for host in sorted(hosts, key=lambda host: not host.log.is_leader()):
        full_folders.add(host.settings.data_folder)
        log = host.log
        revision = await apply(client, revision)
        await wait_until(lambda log=log: log.failure is not None)
        full_folders.clear()
    revision = await apply(client, revision)
    await wait_until(
        lambda: all(h.state.configuration.current.revision == revision for h in hosts)
    )
    assert not any(host.log.failure for host in hosts)
