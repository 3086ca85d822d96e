"""What holds for a request that two hosts handle together.

One host receives it and cannot reach any server, another one carries it.
"""

import asyncio

import attrs
import pytest

from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.gateway.tests.host_fleet import CLOCK, HostFleet
from bulrushlead.relay._messages import ORDER_HEADER
from bulrushlead.traffic import Route, ServiceShare

NOTICED_MS = 500  # after which a server must know that the caller has left
REFUSED_AT_ONCE_MS = 300


@pytest.fixture
async def build():
    """Return a function that starts a fleet whose first hosts are cut off."""
    fleets = []

    async def start(zones, *scripts, cut=(0,), new="hang", **options):
        fleet = HostFleet(zones, scripts, **options)
        fleets.append(fleet)
        await fleet.start()
        fleet.cut(cut, new, "live")
        for number in cut:
            fleet.gateways[number].connectivity.confirm_cut_off()
        fleet.publish()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.close()


def received(fleet):
    return [len(server.heads) for server in fleet.servers]


def carried(fleet, number):
    return fleet.gateways[number].relay_service.in_progress


async def wait_until(condition, timeout_ms=2_000):
    async with asyncio.timeout(timeout_ms / 1000):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("path", [b"/read/", b"/order/"])
async def test_method_path_and_fields_arrive_as_the_caller_sent_them(build, path):
    fleet = await build("ab", fakes.good)
    answer = await fleet.send(0, path, method=b"POST")
    assert (answer.status, answer.body) == (200, b"s0")
    (head,) = fleet.servers[0].heads
    assert head.startswith(b"POST " + path + b"x HTTP/1.1\r\n")
    assert head.count(b"id: r1\r\n") == head.count(b"expect: s0\r\n") == 1
    assert b"bulrushlead" not in head
    assert not any(name.startswith(b"bulrushlead") for name, _ in answer.headers)


async def test_two_hosts_that_are_cut_off_do_not_pass_a_request_on_in_a_loop(build):
    """Both list the other one as reaching servers, as an old list of hosts does."""
    fleet = await build("ab", fakes.good)
    fleet.cut([0, 1], "hang", "live")
    fleet.gateways[1].connectivity.confirm_cut_off()
    started_ms = CLOCK.now_ms()
    answer = await fleet.send(0)
    assert answer.status == 503
    assert float(answer.header(b"retry-after")) > 0
    assert CLOCK.now_ms() - started_ms < REFUSED_AT_ONCE_MS
    assert received(fleet) == [0]


async def test_requests_are_refused_at_once_while_every_host_is_cut_off(build):
    fleet = await build("aabb", fakes.good, fakes.good, cut=(0, 1, 2, 3))
    for number in range(4):
        started_ms = CLOCK.now_ms()
        answer = await fleet.send(number)
        assert answer.status == 503
        assert float(answer.header(b"retry-after")) > 0
        assert CLOCK.now_ms() - started_ms < REFUSED_AT_ONCE_MS


async def test_open_connections_are_used_while_every_host_is_cut_off(build):
    fleet = await build("a", fakes.good, cut=())
    assert (await fleet.send(0)).status == 200
    fleet.cut([0], "refused", "live")
    fleet.gateways[0].connectivity.confirm_cut_off()
    fleet.publish()
    assert [(await fleet.send(0)).status for _ in range(5)] == [200] * 5


@pytest.mark.parametrize("path", [b"/read/", b"/order/"])
async def test_no_more_servers_than_the_route_allows_get_a_request(build, path):
    fleet = await build("ab", *[fakes.full] * 6)
    answer = await fleet.send(0, path)
    assert answer.status == 503
    assert sum(received(fleet)) == 2


async def test_attempts_before_the_relay_count(build):
    """The first server failed, then the host lost its links."""
    fleet = await build("ab", *[fakes.failing] * 6, cut=())
    gateway = fleet.gateways[0]
    runner = gateway.forwarder._runner
    start = runner.start

    def cut_after_first(state, work, placement):
        runner.start = start
        task = start(state, work, placement)
        task.add_done_callback(lambda _: fleet.cut([0], "hang", "live"))
        task.add_done_callback(lambda _: gateway.connectivity.confirm_cut_off())
        return task

    runner.start = cut_after_first
    answer = await fleet.send(0)
    assert answer.status == 500
    assert sum(received(fleet)) == 2
    assert max(received(fleet)) == 1


async def test_the_time_of_the_caller_shrinks_on_its_way(build):
    fleet = await build("ab", fakes.good)
    await fleet.send(0, deadline_ms=700)
    (head,) = fleet.servers[0].heads
    deadline_ms = int(head.partition(b"deadline: ")[2].partition(b"\r\n")[0])
    assert 0 < deadline_ms < 700


async def test_server_notices_that_the_caller_has_left(build):
    """Guards against work for a caller that left the host that passed it on."""

    async def work_until_closed(server, head, writer):
        assert await server.reader.read() == b""
        server.closed.set()

    fleet = await build("ab", work_until_closed)
    task = asyncio.create_task(fleet.send(0))
    await wait_until(lambda: sum(received(fleet)) == 1)
    task.cancel()
    async with asyncio.timeout(NOTICED_MS / 1000):
        await fleet.servers[0].closed.wait()
    await wait_until(lambda: carried(fleet, 1) == 0)


async def test_request_that_may_not_be_repeated_ends_although_its_caller_left(build):
    ended = asyncio.Event()

    async def slow(server, head, writer):
        await asyncio.sleep(0.2)
        ended.set()
        return fakes.answer()

    fleet = await build("ab", slow)
    task = asyncio.create_task(fleet.send(0, b"/order/", method=b"POST"))
    await wait_until(lambda: sum(received(fleet)) == 1)
    task.cancel()
    await wait_until(ended.is_set)
    assert sum(received(fleet)) == 1


@pytest.mark.parametrize("path", [b"/read/", b"/order/"])
async def test_an_answer_lost_between_two_hosts_may_have_run(build, path):
    """Guards against 503 for, or a second run of, work whose answer was lost."""
    fleet = await build("abb", fakes.silent, fakes.silent)
    task = asyncio.create_task(fleet.send(0, path))
    await wait_until(lambda: sum(received(fleet)) == 1)
    for gateway in fleet.gateways[1:]:
        for connection in list(gateway.peer_server.connections):
            connection.transport.abort()
    answer = await task
    assert answer.status == 502
    assert sum(received(fleet)) == 1


async def test_a_refusal_that_is_passed_on_is_true(build):
    fleet = await build("ab", fakes.full, fakes.false_refusal, *[fakes.full] * 2)
    gateway = fleet.gateways[1]
    statuses = set()
    for _ in range(20):
        for stats in gateway.dispatcher._servers.values():
            stats.reset_unreachable()
            stats._full_until_ms = 0.0
        before = received(fleet)
        answer = await fleet.send(0, b"/order/", method=b"POST")
        statuses.add(answer.status)
        reached_false_refusal = received(fleet)[1] > before[1]
        assert (answer.status == 502) == reached_false_refusal
    assert statuses == {502, 503}


async def test_objects_go_to_the_owners_that_the_leader_assigned(build):
    routes = (attrs.evolve(fakes.ROUTES[0], sticky=True),)
    fleet = await build("ab", *[fakes.good] * 6, routes=routes)
    bodies = {(await fleet.send(n, key=b"object")).body for n in (0, 1, 0, 1)}
    assert len(bodies) == 1


async def test_requests_keep_to_the_servers_of_their_region(build):
    """Guards against two regions' load on the servers of one, in a cut of all hosts."""
    fleet = await build("aabcc", *[fakes.good] * 6, cut=(0, 1, 2))
    bodies = {(await fleet.send(0)).body for _ in range(12)}
    assert bodies <= {b"s0", b"s1", b"s3", b"s4"}  # in zones a and b
    assert len(bodies) > 1


async def test_a_body_stays_in_the_regions_that_may_see_it(build):
    share = (ServiceShare("stock", 1.0),)
    route = Route(
        "read", "h", "/read/", share, True, 3e3, 3e2, 2, allowed_regions=("north",)
    )
    fleet = await build("acc", *[fakes.good] * 3, routes=(route,))
    answer = await fleet.send(0)
    assert answer.status == 503
    assert received(fleet) == [0, 0, 0]
    fleet.gateways[1].settings = attrs.evolve(
        fleet.gateways[1].settings, region="north"
    )
    fleet.publish()
    assert (await fleet.send(0)).status == 200


async def test_each_request_counts_in_one_retry_budget(build):
    fleet = await build("ab", *[fakes.good] * 3)
    for _ in range(5):
        await fleet.send(0)
    budgets = [gateway.dispatcher.budget for gateway in fleet.gateways]
    counts = [budget._count(budget._requests, "stock") for budget in budgets]
    assert counts == [0, 5]


async def test_a_request_that_is_declined_counts_in_no_other_budget(build):
    fleet = await build("abb", *[fakes.good] * 3, cut=(0, 1, 2))
    for gateway in fleet.gateways[1:]:
        gateway.connectivity.is_cut_off = False
        fleet.publish()
        gateway.connectivity.is_cut_off = True
    fleet.gateways[0].carriers.update(
        [attrs.evolve(r, reaches_servers=True) for r in fleet.gateways[0].view.hosts]
    )
    assert (await fleet.send(0)).status == 503
    budgets = [gateway.dispatcher.budget for gateway in fleet.gateways]
    counts = [budget._count(budget._requests, "stock") for budget in budgets]
    assert counts == [1, 0, 0]


async def test_a_planned_stop_of_the_carrying_host_ends_no_request(build):
    """Guards against cutting off requests that a host carries while it stops."""

    async def slow(server, head, writer):
        await asyncio.sleep(0.3)
        return fakes.answer(body=server.server_id.encode())

    fleet = await build("abb", *[slow] * 6)
    statuses = []

    async def send_for(duration_ms):
        end_ms = CLOCK.now_ms() + duration_ms
        tasks = []
        while CLOCK.now_ms() < end_ms:
            tasks.append(asyncio.create_task(fleet.send(0, b"/order/")))
            await asyncio.sleep(0.05)
        statuses.extend([answer.status for answer in await asyncio.gather(*tasks)])

    carrying = fleet.gateways[1]
    carrying.settings = attrs.evolve(carrying.settings, drain_ms=1_000.0)
    sending = asyncio.create_task(send_for(1_500))
    await asyncio.sleep(0.3)
    await carrying.drain()
    await carrying.close()
    await sending
    assert set(statuses) == {200}


async def test_a_caller_cannot_pretend_that_another_host_passed_its_request_on(build):
    """The field means nothing on the port for callers."""
    fleet = await build("ab", fakes.good, cut=())
    answer = await fleet.send(0, extra=[(ORDER_HEADER, b"forged")])
    assert answer.status == 200
    fleet.cut([0], "hang", "live")
    fleet.gateways[0].connectivity.confirm_cut_off()
    answer = await fleet.send(0, extra=[(ORDER_HEADER, b"forged")])
    assert answer.status == 200
    assert b"forged" not in fleet.servers[0].heads[-1]


async def test_hosts_have_no_connections_to_each_other_without_a_cut(build):
    fleet = await build("ab", *[fakes.good] * 3)
    gateway = fleet.gateways[0]
    assert (await fleet.send(0)).status == 200
    assert fleet.gateways[1].peer_server.connections
    fleet.heal()
    await wait_until(lambda: not gateway.connectivity.is_cut_off)
    assert (await fleet.send(0)).status == 200
    await wait_until(lambda: not fleet.gateways[1].peer_server.connections)


async def test_a_host_that_cannot_be_reached_is_replaced_by_another(build):
    fleet = await build("abb", *[fakes.good] * 3)
    await fleet.gateways[1].peer_server.close()
    assert {(await fleet.send(0)).status for _ in range(10)} == {200}


async def test_host_that_is_cut_off_reports_no_server_as_unreachable(build):
    fleet = await build("ab", *[fakes.good] * 3, cut=())
    fleet.cut([0], "refused", "live")
    await fleet.send(0)
    gateway = fleet.gateways[0]
    await wait_until(lambda: gateway.connectivity.is_cut_off)
    report = gateway._report()
    assert report.unreachable == ()
    assert not report.reaches_servers
    fleet.heal()
    await wait_until(lambda: not gateway.connectivity.is_cut_off)
    assert gateway._report().reaches_servers
    assert gateway._report().unreachable == ()


async def test_requests_refused_for_load_are_not_passed_on(build):
    """Guards against a second host's work for each refusal of an overload."""
    fleet = await build("ab", *[fakes.silent] * 6, cut=())
    fleet.servers[0].close()
    gateway = fleet.gateways[0]
    for server in gateway.dispatcher._servers.values():
        server.record_load(40.0, CLOCK.now_ms())
    gateway.connectivity.record_failure(fleet.servers[0].address)
    gateway.dispatcher.server("s0")._record_unreachable(CLOCK.now_ms())
    answer = await fleet.send(0)
    assert answer.status == 503
    assert fleet.gateways[1].peer_server.connections == set()


async def test_a_service_that_only_another_host_reaches_is_served(build):
    """Guards against refusing at a host whose zone is cut off from a service only."""
    fleet = await build("ab", *[fakes.good] * 3, cut=())
    gateway = fleet.gateways[0]
    for server in gateway.dispatcher._servers.values():
        server._record_unreachable(CLOCK.now_ms())
        gateway.connectivity._failed.add(server.address)
    assert (await fleet.send(0)).status == 200
    assert fleet.gateways[1].peer_server.connections


async def test_a_host_whose_peer_port_is_taken_serves_its_own_callers(build):
    fleet = await build("a", fakes.good, cut=())
    gateway = fleet.gateways[0]
    await gateway.peer_server.close()
    gateway.peer_server.port = gateway.front.port
    await gateway._start_peer_server()
    assert gateway._report().peer_address == ""
    assert (await fleet.send(0)).status == 200
