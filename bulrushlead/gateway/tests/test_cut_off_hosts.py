"""Tests of hosts that lose their links to all servers, and of their callers."""

import asyncio
import errno

import pytest

from bulrushlead.gateway.tests.harness import good
from bulrushlead.gateway.tests.host_fleet import HostFleet, served_share

# Least share that hosts which are cut off serve, of what the others serve.
MIN_RELATIVE_SHARE = 2 / 3
NEW_CONNECTIONS = ["hang", "refused", "unreachable"]


@pytest.fixture
async def build():
    fleets = []

    async def start(zones, servers=6, script=good, **options):
        fleet = HostFleet(zones, [script] * servers, **options)
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.close()


@pytest.mark.parametrize("open_connections", ["live", "hang", "reset"])
@pytest.mark.parametrize("new", NEW_CONNECTIONS)
@pytest.mark.parametrize(
    "zones, cut",
    [
        ("ab", [0]),
        ("aabbcc", [0, 2, 4]),
        ("aabbcc", [0, 1]),
        ("aabbcc", [0, 1, 2, 3, 5]),
    ],
    ids=["one", "several-zones", "whole-zone", "most"],
)
async def test_callers_of_cut_off_hosts_are_served(
    build, zones, cut, new, open_connections
):
    """Guards against refusing requests that another host can send."""
    fleet = await build(zones)
    await fleet.send_everywhere(200)
    fleet.cut(cut, new, open_connections)
    await fleet.send_everywhere(1_500)  # until the hosts notice
    fleet.publish()
    answers = await fleet.send_everywhere(500)
    others = [a for n, sent in answers.items() if n not in cut for a in sent]
    for number in cut:
        assert served_share(answers[number]) >= MIN_RELATIVE_SHARE * served_share(
            others
        )
    assert served_share(others) > 0.9
    # What was lost with the links is no sign that requests crash servers.
    assert not any(gateway.observer.table.quarantined for gateway in fleet.gateways)


@pytest.fixture
def held():
    """Return a script of servers that answer while its event is set."""
    may_answer = asyncio.Event()

    async def answer_when_allowed(server, head, writer):
        await may_answer.wait()
        return await good(server, head, writer)

    answer_when_allowed.event = may_answer
    return answer_when_allowed


async def lose_in_cut(fleet, held, new):
    """Reset the connections of a host while equal requests run at three servers."""
    held.event.clear()
    for server in fleet.servers:
        server.heads.clear()
    lost = [asyncio.create_task(fleet.send(0)) for _ in range(12)]
    async with asyncio.timeout(2):
        while sum(bool(server.heads) for server in fleet.servers) < 3:
            await asyncio.sleep(0.01)
    fleet.cut([0], new, "reset")
    held.event.set()
    await asyncio.gather(*lost)
    await fleet.send_everywhere(1_500)  # until the host notices


@pytest.mark.parametrize("new", NEW_CONNECTIONS)
async def test_requests_like_those_lost_in_a_cut_are_passed_on(build, held, new):
    """Guards against refusing for seconds what was lost at two servers in a cut."""
    fleet = await build("ab", script=held)
    fleet.publish()
    held.event.set()
    await fleet.send_everywhere(200)
    await lose_in_cut(fleet, held, new)
    answers = [await fleet.send(0) for _ in range(10)]
    assert [answer.status for answer in answers] == [200] * 10


@pytest.mark.parametrize("new", NEW_CONNECTIONS)
async def test_requests_first_sent_in_a_cut_are_passed_on(build, held, new):
    """Guards against taking refused connections of a cut for servers that ended."""
    fleet = await build("ab", script=held)
    fleet.publish()
    await lose_in_cut(fleet, held, new)
    answers = [await fleet.send(0) for _ in range(10)]
    assert [answer.status for answer in answers] == [200] * 10


async def test_a_host_with_few_requests_notices_from_its_silent_connections(build):
    """Guards against requests that are lost one by one on connections that hang.

    Idle connections serve the few requests, so that none needs a new one.
    """
    fleet = await build("ab", servers=6)
    await fleet.send_everywhere(200)
    fleet.publish()
    fleet.cut([0], "hang", "live")
    gateway = fleet.gateways[0]
    silent = [c for c in gateway.pool.opened if not c._transport.is_closing()]
    assert len({c.address for c in silent}) > 1
    for connection in silent:
        connection.connection_lost(OSError(errno.ETIMEDOUT, "timed out"))
        connection.close()
    async with asyncio.timeout(2):
        while not gateway.connectivity.is_cut_off:
            await asyncio.sleep(0.01)
    assert (await fleet.send(0)).status == 200


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
async def test_connections_that_servers_close_are_no_sign_of_a_cut(build, error):
    fleet = await build("ab", servers=6)
    await fleet.send_everywhere(200)
    gateway = fleet.gateways[0]
    for connection in gateway.pool.opened:
        connection.connection_lost(error)
        connection.close()
    assert not gateway.connectivity.has_failures


async def test_a_lone_host_tries_further_servers_while_some_are_down(build):
    """Guards against refusing after two servers when no other host could carry."""
    fleet = await build("a", servers=6)
    for server in fleet.servers[:3]:
        server.close()
    fleet.gateways[0].connectivity.confirm_cut_off = lambda: None
    answers = [await fleet.send(0) for _ in range(10)]
    assert {answer.status for answer in answers} == {200}
