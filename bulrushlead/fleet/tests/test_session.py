import asyncio
import random

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    HostReport,
    LeaderSession,
    SyncPosition,
)
from bulrushlead.results import BulrushleadError, ResultCode

CORES = [f"10.0.0.{n}:7000" for n in range(11)]


class Coordinators:
    """Eleven coordinators in virtual time: a leader, followers, silent ones."""

    def __init__(self, clock):
        self.clock = clock
        self.leader = CORES[10]
        self.hints = {}
        self.silent = set()
        self.connect_ms = {}
        self.near = set()
        self.calls = 0

    def link_to(self, address):
        return _Link(self, address)

    def round_trip_ms(self, address):
        return 1 if address in self.near else 70


class _Link:
    def __init__(self, world, address):
        self.world, self.address = world, address
        self.connected = False

    async def call(self, request, timeout_ms):
        world = self.world
        world.calls += 1
        if self.address in world.silent:
            await world.clock.sleep_ms(timeout_ms)
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "silent")
        if not self.connected:
            # Given up before it is through, a connection begins anew.
            await world.clock.sleep_ms(world.connect_ms.get(self.address, 0))
            self.connected = True
        await world.clock.sleep_ms(world.round_trip_ms(self.address))
        if self.address == world.leader:
            await world.clock.sleep_ms(request.wait_ms)
            return FleetUpdate(term=1, position=SyncPosition("e", 1))
        hint = world.hints.get(self.address, "unknown")
        raise BulrushleadError(
            ResultCode.NOT_LEADER, f"{self.address} is not the leader; ask {hint}"
        )

    async def close(self):
        pass


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def start(clock):
    sessions = []

    async def build(world, seed):
        view = FleetView(clock)
        view.control_addresses = tuple(CORES)
        session = LeaderSession(
            clock,
            (CORES[0],),
            world.link_to,
            view,
            lambda: HostReport("h", "", "a", "north", False),
            lambda update: None,
            random.Random(seed),
        )
        await session.start()
        sessions.append(session)
        return session

    yield build
    for session in sessions:
        await session.close()


async def found_after_ms(clock, session, limit_ms):
    begun_ms = clock.now_ms()
    while session.view.updated_ms is None and clock.now_ms() < begun_ms + limit_ms:
        await clock.advance_ms(10)
    return clock.now_ms() - begun_ms


@pytest.mark.parametrize("seed", range(20))
async def test_the_leader_is_found_at_once_in_a_split(clock, start, seed):
    """Five of eleven are on the other side and name the leader that they had."""
    world = Coordinators(clock)
    world.hints = dict.fromkeys(CORES[:5], CORES[0])
    session = await start(world, seed)
    # A drain binds 2.5 s after its acknowledgement.
    assert await found_after_ms(clock, session, 5_000) < 1_500


@pytest.mark.parametrize("seed", range(20))
async def test_silent_coordinators_do_not_hide_the_leader(clock, start, seed):
    world = Coordinators(clock)
    world.silent = set(CORES[:4])
    session = await start(world, seed)
    assert await found_after_ms(clock, session, 5_000) < 2_500


@pytest.mark.parametrize("seed", range(20))
async def test_a_new_connection_to_a_distant_leader_is_waited_for(clock, start, seed):
    """A coordinator near by names the leader long before it can answer itself.

    Connecting takes two round trips more; a search that ended after the hint gave up
    that connection each time, and a restarted host never found the leader.
    """
    world = Coordinators(clock)
    world.near = set(CORES[:2])
    world.hints = dict.fromkeys(CORES[:10], CORES[10])
    world.connect_ms = dict.fromkeys(CORES[2:], 140)
    session = await start(world, seed)
    assert await found_after_ms(clock, session, 5_000) < 500


async def test_an_unexpected_error_does_not_end_the_session(clock, start):
    world = Coordinators(clock)
    session = await start(world, 1)
    await found_after_ms(clock, session, 5_000)
    link_to = session.link_to
    session.link_to = None
    await clock.advance_ms(3_000)
    session.link_to = link_to
    before_ms = session.view.updated_ms
    await clock.advance_ms(3_000)
    assert session.view.updated_ms > before_ms


async def test_a_hint_is_followed(clock, start):
    world = Coordinators(clock)
    world.hints = dict.fromkeys(CORES[:10], CORES[10])
    session = await start(world, 1)
    await found_after_ms(clock, session, 5_000)
    assert world.calls <= 6


async def test_a_leader_that_loses_its_place_is_left(clock, start):
    world = Coordinators(clock)
    session = await start(world, 1)
    await found_after_ms(clock, session, 5_000)
    world.leader = CORES[3]
    await clock.advance_ms(3_000)
    assert session.leader == CORES[3]


async def test_a_bad_update_does_not_end_the_session(clock, start):
    world = Coordinators(clock)
    session = await start(world, 1)
    session.on_update = lambda update: 1 / 0
    await clock.advance_ms(3_000)
    session.on_update = lambda update: None
    before_ms = session.view.updated_ms
    await clock.advance_ms(3_000)
    assert session.view.updated_ms > before_ms
    assert not session._task.done()
    await asyncio.sleep(0)
