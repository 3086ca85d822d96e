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

ADDRESSES = [f"10.0.0.{n}:7000" for n in range(11)]


class FakeCoordinators:
    """Fake of eleven coordinators in virtual time: a leader, followers, silent ones."""

    def __init__(self, clock):
        self.clock = clock
        self.leader = ADDRESSES[10]
        self.hints = {}
        self.silent = set()
        self.connect_ms = {}
        self.near = set()
        self.calls = 0

    def link_to(self, address):
        return _FakeLink(self, address)

    def round_trip_ms(self, address):
        return 1 if address in self.near else 70


class _FakeLink:
    def __init__(self, coordinators, address):
        self.coordinators, self.address = coordinators, address
        self.connected = False

    async def call(self, request, timeout_ms):
        coordinators = self.coordinators
        coordinators.calls += 1
        if self.address in coordinators.silent:
            await coordinators.clock.sleep_ms(timeout_ms)
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "silent")
        if not self.connected:
            # A call that is cancelled before this point has to connect again.
            await coordinators.clock.sleep_ms(
                coordinators.connect_ms.get(self.address, 0)
            )
            self.connected = True
        await coordinators.clock.sleep_ms(coordinators.round_trip_ms(self.address))
        if self.address == coordinators.leader:
            await coordinators.clock.sleep_ms(request.wait_ms)
            return FleetUpdate(term=1, position=SyncPosition("e", 1))
        hint = coordinators.hints.get(self.address, "unknown")
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

    async def build(coordinators, seed):
        view = FleetView(clock)
        view.control_addresses = tuple(ADDRESSES)
        session = LeaderSession(
            clock,
            (ADDRESSES[0],),
            coordinators.link_to,
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


async def measure_search_ms(clock, session, limit_ms):
    start_ms = clock.now_ms()
    while session.view.updated_ms is None and clock.now_ms() < start_ms + limit_ms:
        await clock.advance_ms(10)
    return clock.now_ms() - start_ms


@pytest.mark.parametrize("seed", range(20))
async def test_the_leader_is_found_in_a_partition(clock, start, seed):
    """Guards against a search that stale hints delay in a network partition.

    Five of eleven coordinators are on the other side and name their former leader.
    """
    coordinators = FakeCoordinators(clock)
    coordinators.hints = dict.fromkeys(ADDRESSES[:5], ADDRESSES[0])
    session = await start(coordinators, seed)
    # A drain has to be in effect 2.5 s after its acknowledgement.
    assert await measure_search_ms(clock, session, 5_000) < 1_500


@pytest.mark.parametrize("seed", range(20))
async def test_silent_coordinators_do_not_delay_the_search(clock, start, seed):
    coordinators = FakeCoordinators(clock)
    coordinators.silent = set(ADDRESSES[:4])
    session = await start(coordinators, seed)
    assert await measure_search_ms(clock, session, 5_000) < 2_500


@pytest.mark.parametrize("seed", range(20))
async def test_the_search_waits_for_a_distant_leader(clock, start, seed):
    """Guards against cancelling the connection to a distant leader in each search.

    A nearby coordinator names the leader before the leader itself can answer, since
    connecting to it takes two more round trips. A search that ended after the hint
    cancelled that connection each time, and a restarted host never found the leader.
    """
    coordinators = FakeCoordinators(clock)
    coordinators.near = set(ADDRESSES[:2])
    coordinators.hints = dict.fromkeys(ADDRESSES[:10], ADDRESSES[10])
    coordinators.connect_ms = dict.fromkeys(ADDRESSES[2:], 140)
    session = await start(coordinators, seed)
    assert await measure_search_ms(clock, session, 5_000) < 500


async def test_an_unexpected_error_does_not_end_the_session(clock, start):
    coordinators = FakeCoordinators(clock)
    session = await start(coordinators, 1)
    await measure_search_ms(clock, session, 5_000)
    link_to = session.link_to
    session.link_to = None
    await clock.advance_ms(3_000)
    session.link_to = link_to
    before_ms = session.view.updated_ms
    await clock.advance_ms(3_000)
    assert session.view.updated_ms > before_ms


async def test_a_hinted_leader_is_called_before_others(clock, start):
    coordinators = FakeCoordinators(clock)
    coordinators.hints = dict.fromkeys(ADDRESSES[:10], ADDRESSES[10])
    session = await start(coordinators, 1)
    await measure_search_ms(clock, session, 5_000)
    assert coordinators.calls <= 6


async def test_the_session_follows_a_change_of_leader(clock, start):
    coordinators = FakeCoordinators(clock)
    session = await start(coordinators, 1)
    await measure_search_ms(clock, session, 5_000)
    coordinators.leader = ADDRESSES[3]
    await clock.advance_ms(3_000)
    assert session.leader == ADDRESSES[3]


async def test_a_faulty_update_does_not_end_the_session(clock, start):
    coordinators = FakeCoordinators(clock)
    session = await start(coordinators, 1)
    session.on_update = lambda update: 1 / 0
    await clock.advance_ms(3_000)
    session.on_update = lambda update: None
    before_ms = session.view.updated_ms
    await clock.advance_ms(3_000)
    assert session.view.updated_ms > before_ms
    assert not session._task.done()
    await asyncio.sleep(0)
