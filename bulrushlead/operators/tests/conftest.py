"""Fixtures of a cluster of control hosts on an in-memory log."""

import attrs
import pytest

from bulrushlead.operators import OperatorClient, OperatorServer
from bulrushlead.operators.tests.fake_log import FakeLog, ManualClock


@attrs.define
class Cluster:
    """Three control hosts that share one in-memory log."""

    log: FakeLog
    servers: list[OperatorServer]

    def client(self, addresses=None, **settings) -> OperatorClient:
        return OperatorClient(
            addresses or self.log.addresses, ManualClock(), **settings
        )


@pytest.fixture
async def cluster():
    log = FakeLog()
    servers = [OperatorServer("127.0.0.1", 0, replica) for replica in log.replicas]
    for number, server in enumerate(servers):
        await server.start()
        log.addresses[number] = f"127.0.0.1:{server.bound_port}"
    yield Cluster(log, servers)
    for server in servers:
        await server.close()


@pytest.fixture
async def client(cluster):
    client = cluster.client()
    yield client
    await client.close()
