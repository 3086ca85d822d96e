import asyncio
import errno
import os
import random
import socket

import attrs
import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.coordinator import Coordinator, CoordinatorSettings
from bulrushlead.fleet import FleetView, HostReport, LeaderSession, ServerState
from bulrushlead.fleet.tests.samples import draining, heartbeat
from bulrushlead.results import BulrushleadError, ResultCode
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


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def coordinators(tmp_path):
    """Three seeds and a fourth coordinator that is not a seed."""
    addresses = [free_address() for _ in range(4)]
    started = [
        build(tmp_path, number, address, tuple(addresses[:3]))
        for number, address in enumerate(addresses)
    ]
    for coordinator in started:
        await coordinator.start()
    await wait_until(lambda: any(c.log.is_leader() for c in started))
    yield started
    for coordinator in started:
        await coordinator.close()


@pytest.fixture
async def host(coordinators):
    """The view of an entry host that has a session with the leader."""
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


async def test_all_coordinators_become_voters_without_an_operator(coordinators):
    await wait_until(lambda: all(len(c.log.members) == 4 for c in coordinators))
    await wait_until(
        lambda: all(m.role.value == "voter" for m in coordinators[0].log.members)
    )


async def test_a_plan_accepted_by_a_follower_reaches_all_hosts(coordinators, host):
    follower = followers(coordinators)[0]
    assert await follower.accept_plan(TrafficPlan(7), b"document")
    await wait_until(lambda: host.plan is not None)
    assert host.plan.version == 7
    reply = await followers(coordinators)[-1].read_plan()
    assert (reply.version, reply.document) == (7, b"document")
    assert not await follower.accept_plan(TrafficPlan(7), b"other")
    assert (await follower.read_plan()).document == b"document"


async def test_an_invalid_plan_is_refused(coordinators):
    route = Route("r", "h", "/r/", (ServiceShare("none", 1.0),), True, 1e3, 1e2)
    with pytest.raises(BulrushleadError):
        await coordinators[0].accept_plan(TrafficPlan(8, (route,)), b"")
    assert coordinators[0].state.plan is None


async def test_a_departure_is_committed_before_the_announcement_returns(
    coordinators, host
):
    follower = followers(coordinators)[0]
    await follower.announce(heartbeat())
    await wait_until(lambda: "b1" in host.servers)
    await follower.announce(draining(sequence=2))
    leader = next(c for c in coordinators if c.log.is_leader())
    assert leader.state.has_departed("b1", 1_000)
    await wait_until(lambda: host.servers["b1"].record.state is ServerState.DRAINING)
    await follower.announce(heartbeat(sequence=3))
    await asyncio.sleep(0.3)
    assert host.servers["b1"].record.state is ServerState.DRAINING


async def test_a_follower_that_is_cut_off_sends_servers_to_another_host(
    coordinators, host, monkeypatch
):
    """Guards against heartbeats that are acknowledged and that no host learns of."""
    follower = followers(coordinators)[0]

    async def hang(request, timeout_ms):
        await CLOCK.sleep_ms(timeout_ms)
        raise BulrushleadError(ResultCode.CONTROL_UNREACHABLE, "cut off")

    monkeypatch.setattr(follower.session, "call_leader", hang)
    with pytest.raises(BulrushleadError, match="CONTROL_UNREACHABLE"):
        await follower.announce(heartbeat())
    assert "b1" not in host.servers
    monkeypatch.undo()
    await wait_until(lambda: "b1" in host.servers)


async def test_a_deregistered_server_is_draining(coordinators, host):
    await coordinators[0].announce(heartbeat())
    await wait_until(lambda: "b1" in host.servers)
    await followers(coordinators)[0].deregister("b1", None)
    await wait_until(lambda: host.servers["b1"].record.state is ServerState.DRAINING)


async def test_hosts_and_evacuations_are_published(coordinators, host):
    await wait_until(lambda: bool(host.hosts))
    await followers(coordinators)[0].start_evacuation("a")
    await wait_until(lambda: host.evacuated_zones == {"a"})
    await coordinators[0].end_evacuation("a")
    await wait_until(lambda: not host.evacuated_zones)


async def test_an_order_that_was_held_up_undoes_no_later_one(coordinators, host):
    """Guards against an old order that withdraws an acknowledged evacuation.

    The link of one coordinator to the leader delivers an order after the cut that its
    sender has given up.
    """
    leader = next(c for c in coordinators if c.log.is_leader())
    cut_off, other, *_ = followers(coordinators)
    await other.start_evacuation("a")
    await wait_until(lambda: cut_off.state.evacuated_zones == {"a"})
    held_up = []

    async def hold_up(request, timeout_ms):
        held_up.append(request)
        raise BulrushleadError(ResultCode.PEER_TIMEOUT, "cut off")

    cut_off.session.call_leader = hold_up
    with pytest.raises(BulrushleadError):
        await cut_off.end_evacuation("a")
    await other.end_evacuation("a")
    await other.start_evacuation("a")
    for request in held_up:
        await link_to(leader.settings.peer_address).call(request, 1_000)
    assert leader.state.evacuated_zones == {"a"}
    await asyncio.sleep(0.3)
    assert host.evacuated_zones == {"a"}
    del cut_off.session.call_leader
    assert await cut_off.end_evacuation("a")


async def test_a_departure_that_was_held_up_spares_the_next_incarnation(
    coordinators, host
):
    """Guards against the loss of a server that has started again under its identity."""
    leader = next(c for c in coordinators if c.log.is_leader())
    cut_off = followers(coordinators)[0]
    await leader.announce(heartbeat())
    await wait_until(lambda: "b1" in host.servers and "b1" in cut_off.view.servers)
    held_up = []

    async def hold_up(request, timeout_ms):
        held_up.append(request)
        raise BulrushleadError(ResultCode.PEER_TIMEOUT, "cut off")

    cut_off.session.call_leader = hold_up
    with pytest.raises(BulrushleadError):
        await cut_off.deregister("b1", None)
    again = attrs.evolve(heartbeat(), born_ms=heartbeat().born_ms + 5_000)
    await leader.announce(again)
    await wait_until(lambda: host.servers["b1"].record.born_ms == again.born_ms)
    for request in held_up:
        await link_to(leader.settings.peer_address).call(request, 1_000)
    await asyncio.sleep(0.3)
    assert host.servers["b1"].record.state is ServerState.READY
    assert not leader.state.has_departed("b1", again.born_ms)


async def test_an_order_through_a_host_that_lags_is_accepted(coordinators, host):
    """Guards against a refusal of a current order by a host that knows less."""
    follower = followers(coordinators)[0]
    await follower.start_evacuation("a")
    lagging = followers(coordinators)[1]
    lagging.orders.attach(LaggingLog(lagging.log), lagging.state)
    assert await lagging.end_evacuation("a")
    await wait_until(lambda: not host.evacuated_zones)


class LaggingLog:
    """Log of a replica that has applied nothing yet."""

    last_applied = 0

    def __init__(self, log):
        self._log = log

    def __getattr__(self, name):
        return getattr(self._log, name)


async def test_a_new_leader_has_the_servers_and_plan_of_the_former_one(
    coordinators, host
):
    await wait_until(lambda: len(coordinators[0].log.members) == 4)
    await wait_until(
        lambda: all(m.role.value == "voter" for m in coordinators[0].log.members)
    )
    await coordinators[0].accept_plan(TrafficPlan(7), b"document")
    await coordinators[0].announce(attrs.evolve(heartbeat(), server_id="b9"))
    await wait_until(lambda: all("b9" in c.view.servers for c in coordinators))
    leader = next(c for c in coordinators if c.log.is_leader())
    await leader.close()
    others = [c for c in coordinators if c is not leader]
    await wait_until(lambda: any(c.log.is_leader() for c in others))
    successor = next(c for c in others if c.log.is_leader())
    assert successor.publisher.registry.born_ms_of("b9") is not None
    await wait_until(lambda: host.position.epoch.startswith(successor.log.replica_id))
    assert "b9" in host.servers
    assert host.plan.version == 7


async def test_a_replica_recovers_once_its_disk_accepts_writes(
    coordinators, monkeypatch
):
    await wait_until(lambda: all(c.log.last_applied for c in coordinators))
    failing = followers(coordinators)[0]
    storage = failing.log.storage
    is_refusing = True

    def run(*arguments):
        if is_refusing:
            raise OSError(28, "No space left on device")
        return original(*arguments)

    original = type(storage).run
    monkeypatch.setattr(storage, "run", run, raising=False)
    await wait_until(lambda: any(c.log.is_leader() for c in coordinators))
    others = [c for c in coordinators if c is not failing]
    await others[0].accept_plan(TrafficPlan(7), b"document")
    await wait_until(lambda: failing.log.storage is not storage)
    is_refusing = False
    await wait_until(
        lambda: failing.log.failure is None and failing.state.plan is not None
    )
    assert failing.state.plan.version == 7


async def test_saved_servers_are_published_after_a_restart_of_all_hosts(
    coordinators, tmp_path
):
    """Guards against moving objects twice after a restart of all hosts.

    Without saved records, hosts would use only the servers that have sent a heartbeat
    so far, and would move objects again as the other servers announce themselves.
    """
    follower = followers(coordinators)[0]
    await follower.announce(heartbeat())
    await wait_until(lambda: all("b1" in c.view.servers for c in coordinators))
    await asyncio.gather(*(c.cache.save(c.view.records()) for c in coordinators))
    view = await view_after_restart(coordinators, tmp_path)
    assert set(view.servers) == {"b1"}


async def test_a_server_that_left_is_not_used_again_after_a_restart(
    coordinators, tmp_path
):
    """The saved list is older than the departure, and a late heartbeat says ready."""
    follower = followers(coordinators)[0]
    await follower.announce(heartbeat())
    await wait_until(lambda: all("b1" in c.view.servers for c in coordinators))
    saved = {c: c.view.records() for c in coordinators}
    await follower.deregister("b1", heartbeat().born_ms)
    await asyncio.gather(*(c.cache.save(records) for c, records in saved.items()))
    states = set()
    view = await view_after_restart(coordinators, tmp_path, states)
    assert view.servers["b1"].record.state is ServerState.DRAINING
    assert states == {ServerState.DRAINING}
    await coordinators[0].announce(heartbeat(sequence=9))
    await asyncio.sleep(0.3)
    leader = next(c for c in coordinators if c.log.is_leader())
    assert leader.publisher.registry.ready_servers() == []


async def view_after_restart(coordinators, tmp_path, states=None):
    """Restart all coordinators; return what a new host receives first.

    The states of servers in every update are added to ``states``.
    """
    for coordinator in coordinators:
        await coordinator.close()
    seeds = coordinators[0].settings.seeds
    restarted = [
        build(tmp_path, number, c.settings.peer_address, seeds)
        for number, c in enumerate(coordinators)
    ]
    coordinators[:] = restarted
    for coordinator in restarted:
        await coordinator.start()
    view = FleetView(CLOCK)
    report = HostReport("entry-1", "10.0.9.1:80", "a", "north", True)
    session = LeaderSession(
        CLOCK,
        seeds,
        link_to,
        view,
        lambda: report,
        lambda update: (
            states is None or states.update(record.state for record in update.servers)
        ),
        random.Random(1),
    )
    await session.start()
    await wait_until(lambda: view.updated_ms is not None)
    await session.close()
    return view


async def test_a_replica_with_a_damaged_journal_joins_with_a_new_identity(
    coordinators, tmp_path
):
    await wait_until(lambda: all(len(c.log.members) == 4 for c in coordinators))
    await coordinators[0].accept_plan(TrafficPlan(7), b"document")
    failing = followers(coordinators)[0]
    old_id = failing.log.replica_id
    await wait_until(lambda: failing.state.plan is not None)
    await failing.close()
    folder = tmp_path / failing.settings.host_id
    journal = next(folder.glob("journal-*"))
    data = bytearray(journal.read_bytes())
    data[len(data) // 3] ^= 0xFF
    journal.write_bytes(bytes(data))
    restarted = Coordinator(failing.settings, CLOCK, link_to, random.Random(99))
    coordinators[coordinators.index(failing)] = restarted
    await restarted.start()
    await wait_until(lambda: restarted.state.plan is not None)
    assert restarted.state.plan.version == 7
    assert restarted.log.replica_id != old_id
    assert (folder / "damaged-1" / journal.name).read_bytes() == bytes(data)


async def test_a_replica_recovers_if_closing_its_journal_fails(
    coordinators, monkeypatch
):
    """Guards against a log that is never replaced, as closing it fails each time."""
    await wait_until(lambda: all(c.log.last_applied for c in coordinators))
    failing = followers(coordinators)[0]
    log = failing.log
    close, descriptors = os.close, set(log.storage._descriptors.values())
    assert descriptors

    def close_late(descriptor):
        close(descriptor)
        if descriptor in descriptors:
            descriptors.remove(descriptor)
            raise OSError(errno.ENOSPC, "No space left on device")

    def refuse(name, data):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(log.storage, "append", refuse)
    others = [c for c in coordinators if c is not failing]
    monkeypatch.setattr(os, "close", close_late)
    await others[0].accept_plan(TrafficPlan(7), b"document")
    await wait_until(lambda: failing.log is not log and failing.log.is_open)
    monkeypatch.undo()


async def test_a_damaged_journal_on_a_full_disk_ends_no_process(tmp_path, monkeypatch):
    """Guards against a process that ends since it can't move damaged files aside."""
    address = free_address()
    settings = CoordinatorSettings(
        host_id="core-1",
        zone="a",
        region="north",
        peer_address=address,
        seeds=(address,),
        data_folder=str(tmp_path / "core-1"),
        bootstrap=True,
    )
    (tmp_path / "core-1").mkdir()
    (tmp_path / "core-1" / "journal-0000000000000001").write_bytes(bytes(100))
    full = [True]
    mkdir = os.mkdir

    def make_folder(path, *arguments):
        if full and "damaged-" in str(path):
            raise OSError(errno.ENOSPC, "No space left on device")
        mkdir(path, *arguments)

    monkeypatch.setattr(os, "mkdir", make_folder)
    coordinator = Coordinator(settings, CLOCK, link_to, random.Random(1))
    await coordinator.start()
    assert not coordinator.log.is_open
    full.clear()
    await wait_until(lambda: coordinator.log.is_open)
    assert len(os.listdir(tmp_path / "core-1" / "damaged-1")) == 1
    await coordinator.close()


@pytest.mark.parametrize(
    "part, method",
    [("publisher", "check_silence"), ("publisher", "handle_heartbeats")],
)
async def test_an_unexpected_error_ends_no_loop_of_the_leader(
    coordinators, host, monkeypatch, part, method
):
    """Guards against a leader that receives no heartbeats and removes no server."""
    (leader,) = [c for c in coordinators if c.log.is_leader()]
    failures = []

    def fail(*arguments):
        failures.append(arguments)
        monkeypatch.undo()
        raise RuntimeError("unexpected")

    monkeypatch.setattr(getattr(leader, part), method, fail)
    try:
        await leader.announce(heartbeat())
    except BulrushleadError:
        assert method == "handle_heartbeats"  # it was lost, so it is not acknowledged
    else:
        assert method == "check_silence"
    await wait_until(lambda: failures)
    await leader.announce(heartbeat(sequence=2))
    await wait_until(lambda: heartbeat().server_id in host.servers)
    assert not any(task.done() for task in leader._tasks)


async def test_a_newcomer_joins_through_the_seeds_of_reloaded_settings(
    coordinators, tmp_path
):
    """Guards against a replacement that only ever asks seeds that are gone."""
    gone = (free_address(), free_address())
    newcomer = build(tmp_path, 9, free_address(), gone)
    coordinators.append(newcomer)
    newcomer.settings = attrs.evolve(newcomer.settings, bootstrap=False)
    await newcomer.start()
    await CLOCK.sleep_ms(500)
    assert not newcomer.log.members
    live = coordinators[0].settings.peer_address
    newcomer.reload(attrs.evolve(newcomer.settings, seeds=(live,)))
    await wait_until(lambda: newcomer.log.members)


async def test_a_planned_stop_releases_the_vote_of_an_even_set(coordinators):
    """Guards against a stopped coordinator that counts until its silence is noticed."""
    await wait_until(lambda: all(len(c.log.members) == 4 for c in coordinators))
    (leader,) = [c for c in coordinators if c.log.is_leader()]
    await wait_until(lambda: all(m.role.value == "voter" for m in leader.log.members))
    stopped = followers(coordinators)[0]
    await stopped.close()
    stopped_id = stopped.log.replica_id
    assert stopped_id not in {m.replica_id for m in leader.log.members}
