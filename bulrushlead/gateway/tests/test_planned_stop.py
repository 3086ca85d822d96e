"""Requests that arrive while a gateway stops as planned, under load."""

import asyncio

import attrs
import pytest

from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.gateway.tests.host_fleet import HostFleet

REQUEST = b"GET /read/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: %d\r\n\r\n"
CALLERS = 60


@pytest.fixture
async def gateway():
    fleet = HostFleet("a", [fakes.good] * 6)
    await fleet.start()
    (gateway,) = fleet.gateways
    gateway.settings = attrs.evolve(gateway.settings, drain_ms=600.0)
    yield gateway
    await fleet.close()


async def call_until_refused(gateway, number, outcomes):
    """Open a connection for each request until none is accepted any more."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.front.port
            )
        except OSError:
            return
        try:
            writer.write(REQUEST % number)
            head = await reader.readuntil(b"\r\n\r\n")
            outcomes.append(head.split()[1].decode())
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            outcomes.append(type(error).__name__)
        finally:
            writer.close()


async def test_no_accepted_connection_ends_without_an_answer(gateway):
    """Guards against cutting off requests that the kernel has just accepted."""
    outcomes = []
    callers = [
        asyncio.create_task(call_until_refused(gateway, number, outcomes))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(0.2)
    await gateway.drain()
    await gateway.close()
    await asyncio.gather(*callers)
    assert len(outcomes) > CALLERS
    assert set(outcomes) <= {"200", "503"}
