import asyncio
import random
import socket

import attrs
import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.coordinator import Coordinator, CoordinatorSettings
from bulrushlead.fleet import FleetView, HostReport, LeaderSession, ServerState
from bulrushlead.fleet.tests.samples import draining, heartbeat
from bulrushlead.results import BulrushleadError
from bulrushlead.traffic import Route, ServiceShare, TrafficPlan
from bulrushlead.wire import MessageClient

CLOCK = MonotonicClock()


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def link_to(address):
    return MessageClient(address, CLOCK)


def build(tmp_path, number, address, seeds):
    settings = CoordinatorSettings(
        host_id=f"core-{number}",
        zone="a",
        region="north",
        peer_address=address,
        seeds=seeds,
        data_folder=str(tmp_path / f"core-{number}"),
        bootstrap=True,
    )
    return Coordinator(settings, CLOCK, link_to, random.Random(number))


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def coordinators(tmp_path):
    """Three seeds and a fourth coordinator that is none."""
    addresses = [free_address() for _ in range(4)]
    built = [
        build(tmp_path, number, address, tuple(addresses[:3]))
        for number, address in enumerate(addresses)
    ]
    for coordinator in built:
        await coordinator.start()
    await until(lambda: any(c.log.is_leader() for c in built))
    yield built
    for coordinator in built:
        await coordinator.close()


@pytest.fixture
async def host(coordinators):
    """An entry host that follows the leader."""
    view = FleetView(CLOCK)
    session = LeaderSession(
        CLOCK,
        tuple(c.settings.peer_address for c in coordinators[:3]),
        link_to,
        view,
        lambda: HostReport("entry-1", "10.0.9.1:80", "a", "north", True),
        lambda update: None,
        random.Random(1),
    )
    await session.start()
    yield view
    await session.close()


def followers(coordinators):
    return [c for c in coordinators if not c.log.is_leader()]


async def test_all_join_without_an_operator(coordinators):
    await until(lambda: all(len(c.log.members) == 4 for c in coordinators))
    await until(
        lambda: all(m.role.value == "voter" for m in coordinators[0].log.members)
    )


async def test_a_plan_given_to_any_host_is_told_to_all(coordinators, host):
    follower = followers(coordinators)[0]
    assert await follower.accept_plan(TrafficPlan(7), b"document")
    await until(lambda: host.plan is not None)
    assert host.plan.version == 7
    reply = await followers(coordinators)[-1].read_plan()
    assert (reply.version, reply.document) == (7, b"document")
    assert not await follower.accept_plan(TrafficPlan(7), b"other")
    assert (await follower.read_plan()).document == b"document"


async def test_a_faulty_plan_is_refused(coordinators):
    route = Route("r", "h", "/r/", (ServiceShare("none", 1.0),), True, 1e3, 1e2)
    with pytest.raises(BulrushleadError):
        await coordinators[0].accept_plan(TrafficPlan(8, (route,)), b"")
    assert coordinators[0].state.plan is None


async def test_a_leaving_server_is_recorded_before_it_is_told(coordinators, host):
    follower = followers(coordinators)[0]
    await follower.announce(heartbeat())
    await until(lambda: "b1" in host.servers)
    await follower.announce(draining(sequence=2))
    leader = next(c for c in coordinators if c.log.is_leader())
    assert leader.state.has_departed("b1", 1_000)
    await until(lambda: host.servers["b1"].record.state is ServerState.DRAINING)
    await follower.announce(heartbeat(sequence=3))
    await asyncio.sleep(0.3)
    assert host.servers["b1"].record.state is ServerState.DRAINING


async def test_a_server_that_only_signs_off_is_leaving_too(coordinators, host):
    await coordinators[0].announce(heartbeat())
    await until(lambda: "b1" in host.servers)
    await followers(coordinators)[0].deregister("b1", None)
    await until(lambda: host.servers["b1"].record.state is ServerState.DRAINING)


async def test_hosts_and_evacuations_are_told(coordinators, host):
    await until(lambda: bool(host.hosts))
    await followers(coordinators)[0].start_evacuation("a")
    await until(lambda: host.evacuated_zones == {"a"})
    await coordinators[0].end_evacuation("a")
    await until(lambda: not host.evacuated_zones)


async def test_another_leader_knows_what_the_first_one_knew(coordinators, host):
    await until(lambda: len(coordinators[0].log.members) == 4)
    await until(
        lambda: all(m.role.value == "voter" for m in coordinators[0].log.members)
    )
    await coordinators[0].accept_plan(TrafficPlan(7), b"document")
    await coordinators[0].announce(attrs.evolve(heartbeat(), server_id="b9"))
    await until(lambda: all("b9" in c.view.servers for c in coordinators))
    leader = next(c for c in coordinators if c.log.is_leader())
    await leader.close()
    others = [c for c in coordinators if c is not leader]
    await until(lambda: any(c.log.is_leader() for c in others))
    successor = next(c for c in others if c.log.is_leader())
    assert successor.publisher.registry.born_ms_of("b9") is not None
    await until(lambda: host.position.epoch.startswith(successor.log.replica_id))
    assert "b9" in host.servers
    assert host.plan.version == 7


async def test_a_disk_that_refuses_writes_is_used_again_once_it_takes_them(
    coordinators, monkeypatch
):
    await until(lambda: all(c.log.last_applied for c in coordinators))
    broken = followers(coordinators)[0]
    storage = broken.log.storage
    refuses = True

    def run(*arguments):
        if refuses:
            raise OSError(28, "No space left on device")
        return original(*arguments)

    original = type(storage).run
    monkeypatch.setattr(storage, "run", run, raising=False)
    await until(lambda: any(c.log.is_leader() for c in coordinators))
    others = [c for c in coordinators if c is not broken]
    await others[0].accept_plan(TrafficPlan(7), b"document")
    await until(lambda: broken.log.storage is not storage)
    refuses = False
    await until(lambda: broken.log.failure is None and broken.state.plan is not None)
    assert broken.state.plan.version == 7


async def test_hosts_hear_of_all_servers_right_after_a_restart_of_all(
    coordinators, tmp_path
):
    """Servers announce themselves every heartbeat only; objects would move twice."""
    follower = followers(coordinators)[0]
    await follower.announce(heartbeat())
    await until(lambda: all("b1" in c.view.servers for c in coordinators))
    await asyncio.gather(*(c.cache.save(c.view.records()) for c in coordinators))
    for coordinator in coordinators:
        await coordinator.close()
    seeds = coordinators[0].settings.seeds
    again = [
        build(tmp_path, number, c.settings.peer_address, seeds)
        for number, c in enumerate(coordinators)
    ]
    coordinators[:] = again
    for coordinator in again:
        await coordinator.start()
    view = FleetView(CLOCK)
    report = HostReport("entry-1", "10.0.9.1:80", "a", "north", True)
    session = LeaderSession(
        CLOCK,
        seeds,
        link_to,
        view,
        lambda: report,
        lambda update: None,
        random.Random(1),
    )
    await session.start()
    await until(lambda: view.updated_ms is not None)
    await session.close()
    assert set(view.servers) == {"b1"}


async def test_a_damaged_disk_counts_as_a_lost_one(coordinators, tmp_path):
    await until(lambda: all(len(c.log.members) == 4 for c in coordinators))
    await coordinators[0].accept_plan(TrafficPlan(7), b"document")
    broken = followers(coordinators)[0]
    old_id = broken.log.replica_id
    await until(lambda: broken.state.plan is not None)
    await broken.close()
    folder = tmp_path / broken.settings.host_id
    journal = next(folder.glob("journal-*"))
    data = bytearray(journal.read_bytes())
    data[len(data) // 3] ^= 0xFF
    journal.write_bytes(bytes(data))
    again = Coordinator(broken.settings, CLOCK, link_to, random.Random(99))
    coordinators[coordinators.index(broken)] = again
    await again.start()
    await until(lambda: again.state.plan is not None)
    assert again.state.plan.version == 7
    assert again.log.replica_id != old_id
    assert (folder / "damaged-1" / journal.name).read_bytes() == bytes(data)
