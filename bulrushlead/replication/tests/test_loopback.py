"""Three replicas with files and sockets, and the loss of their leader."""

import asyncio
import random

from bulrushlead.clock import MonotonicClock
from bulrushlead.replication import FileStorage, ReplicaSettings, ReplicatedLog
from bulrushlead.replication.tests.cluster import Recorder
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import MessageClient, MessageServer


async def propose_until_accepted(logs, change):
    """Propose the change to each replica in turn until one accepts it."""
    while True:
        for log in logs:
            try:
                return await log.propose(change, 5000)
            except BulrushleadError:
                await asyncio.sleep(0.01)


async def test_three_replicas_on_files_and_sockets(tmp_path):
    servers = [MessageServer("127.0.0.1", 0) for _ in range(3)]
    for server in servers:
        await server.start()
    addresses = [f"127.0.0.1:{server.bound_port}" for server in servers]
    clock = MonotonicClock()
    logs, machines = [], []
    for number, (address, server) in enumerate(zip(addresses, servers, strict=True)):
        folder = str(tmp_path / str(number))
        settings = ReplicaSettings(
            address,
            peers=[other for other in addresses if other != address],
            data_folder=folder,
            bootstrap=True,
            heartbeat_ms=30,
            lease_ms=200,
            election_min_ms=250,
            election_max_ms=400,
            snapshot_threshold_entries=10,
        )
        machines.append(Recorder())
        log = ReplicatedLog(
            settings,
            clock,
            FileStorage(folder),
            lambda target: MessageClient(target, clock),
            machines[-1],
            random.Random(number),
        )
        logs.append(log)
        await log.start()
        log.register(server)
    changes = [b"change %d" % number for number in range(30)]
    for change in changes:
        assert await propose_until_accepted(logs, change) == change
    leader = next(number for number, log in enumerate(logs) if log.is_leader())
    await logs[leader].close()
    await servers[leader].close()
    remaining = [log for number, log in enumerate(logs) if number != leader]
    await propose_until_accepted(remaining, b"after")
    for number, machine in enumerate(machines):
        while number != leader and b"after" not in machine.commands:
            await asyncio.sleep(0.01)
        if number != leader:
            assert list(dict.fromkeys(machine.commands)) == [*changes, b"after"]
    for log in remaining:
        await log.close()
    for number, server in enumerate(servers):
        if number != leader:
            await server.close()
