"""Tests of how a host learns that it is cut off from all servers."""

import asyncio
import random

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import ServerRecord, ServerState
from bulrushlead.http1 import CONNECT_TIMEOUT_MS, ExchangeError, ExchangeFault
from bulrushlead.relay import Connectivity, ServerProber
from bulrushlead.relay._prober import (
    CONFIRMING_PROBES,
    MIN_CONFIRM_INTERVAL_MS,
    PROBE_INTERVAL_MS,
)


class FakePool:
    """Connects to the addresses in ``up``; the others never accept."""

    def __init__(self, clock, up):
        self.clock = clock
        self.up = set(up)
        self.probed = []
        self.released = []

    async def connect(self, address, timeout_ms):
        self.probed.append(address)
        if address not in self.up:
            await self.clock.sleep_ms(timeout_ms)
            raise ExchangeError(ExchangeFault.NOT_SENT, "timed out")
        return address

    def release(self, address, connection):
        self.released.append(connection)


def record(number):
    return ServerRecord(
        f"s{number}", 1, "stock", f"a{number}", f"z{number % 4}", 4, ServerState.READY
    )


SERVERS = [record(number) for number in range(12)]
ADDRESSES = [server.address for server in SERVERS]


@pytest.fixture
async def build():
    probers = []

    async def start(up, servers=SERVERS):
        clock = ManualClock()
        connectivity = Connectivity(clock)
        pool = FakePool(clock, up)
        prober = ServerProber(
            clock, connectivity, pool, lambda: servers, random.Random(1)
        )
        probers.append(prober)
        await prober.start()
        await clock.advance_ms(1)
        return clock, connectivity, pool

    yield start
    for prober in probers:
        await prober.close()


async def test_a_host_without_failures_probes_nothing(build):
    clock, connectivity, pool = await build(ADDRESSES)
    connectivity.record_failure("a1")
    connectivity.record_failure("a1")
    await clock.advance_ms(10_000)
    assert pool.probed == []
    assert not connectivity.is_cut_off


async def test_a_host_that_reaches_nothing_knows_within_a_probe(build):
    clock, connectivity, pool = await build([])
    connectivity.record_failure("a1")
    connectivity.record_failure("a2")
    await clock.advance_ms(CONNECT_TIMEOUT_MS + 1)
    assert connectivity.is_cut_off
    assert len({SERVERS[ADDRESSES.index(a)].zone for a in pool.probed}) == 4


async def test_servers_that_are_down_do_not_make_a_host_cut_off(build):
    """Guards against passing requests on while only some servers are lost."""
    clock, connectivity, pool = await build(ADDRESSES[8:])
    changes = []
    connectivity.on_change = lambda: changes.append(connectivity.is_cut_off)
    for _ in range(20):
        connectivity.record_failure("a1")
        connectivity.record_failure("a2")
        await clock.advance_ms(MIN_CONFIRM_INTERVAL_MS)
    assert changes == []
    assert len(pool.probed) <= 20 * CONFIRMING_PROBES


async def test_a_host_uses_its_links_again_soon_after_the_cut(build):
    clock, connectivity, pool = await build([])
    connectivity.record_failure("a1")
    connectivity.record_failure("a2")
    await clock.advance_ms(5_000)
    assert connectivity.is_cut_off
    pool.up.update(ADDRESSES)
    await clock.advance_ms(PROBE_INTERVAL_MS + CONNECT_TIMEOUT_MS)
    assert not connectivity.is_cut_off
    assert pool.released
    probes = len(pool.probed)
    await clock.advance_ms(5_000)
    assert len(pool.probed) == probes


async def test_a_connection_that_opens_during_the_probes_clears_the_suspicion(build):
    """Guards against a host that counts as cut off although a connection opened."""
    clock, connectivity, _ = await build([])
    connectivity.record_failure("a1")
    connectivity.record_failure("a2")
    await clock.advance_ms(CONNECT_TIMEOUT_MS / 2)
    connectivity.record_connected()
    await clock.advance_ms(CONNECT_TIMEOUT_MS)
    assert not connectivity.is_cut_off


async def test_a_host_that_knows_no_server_is_not_cut_off(build):
    clock, connectivity, _ = await build([], servers=[])
    connectivity.record_failure("a1")
    connectivity.record_failure("a2")
    await clock.advance_ms(5_000)
    assert not connectivity.is_cut_off


async def test_an_error_of_a_probe_does_not_end_the_prober(build):
    """A host whose prober has ended would stay cut off for good."""
    clock, connectivity, pool = await build([])
    connect = pool.connect

    async def fail(address, timeout_ms):
        pool.connect = connect
        raise RuntimeError("unexpected")

    pool.connect = fail
    connectivity.record_failure("a1")
    connectivity.record_failure("a2")
    await clock.advance_ms(3_000)
    await asyncio.sleep(0)
    assert connectivity.is_cut_off
