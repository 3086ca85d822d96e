"""A heartbeat is acknowledged once the leader has recorded it."""

import asyncio

import pytest

from bulrushlead.clock import MonotonicClock
from bulrushlead.coordinator._heartbeats import DELIVERY_TIMEOUT_MS, HeartbeatQueue
from bulrushlead.fleet.tests.samples import heartbeat
from bulrushlead.results import BulrushleadError, ResultCode

CLOCK = MonotonicClock()
SERVER_TIMEOUT_MS = 1_000  # then a server asks another host


class Leader:
    """A leader behind a link that may be cut."""

    def __init__(self):
        self.recorded = []
        self.is_cut = False
        self.error = None

    async def handle(self, batch):
        while self.is_cut:
            await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error
        self.recorded += [(h.server_id, h.sequence) for h in batch.heartbeats]


@pytest.fixture
def leader():
    return Leader()


@pytest.fixture
async def queue(leader):
    queue = HeartbeatQueue(CLOCK, leader.handle)

    async def forward():
        while True:
            await asyncio.sleep(0.01)
            await queue.forward()

    task = asyncio.create_task(forward())
    yield queue
    task.cancel()


async def test_a_heartbeat_is_acknowledged_after_the_leader_recorded_it(queue, leader):
    await queue.deliver(heartbeat())
    assert leader.recorded == [("b1", 1)]
    assert queue.newest("b1") is None


async def test_a_host_that_is_cut_off_acknowledges_no_heartbeat(queue, leader):
    """Guards against servers that stay with a host that the leader does not hear.

    They told only that host that they were cold, and all hosts sent them full load.
    """
    leader.is_cut = True
    started_ms = CLOCK.now_ms()
    with pytest.raises(BulrushleadError, match="CONTROL_UNREACHABLE"):
        await queue.deliver(heartbeat())
    assert CLOCK.now_ms() - started_ms < SERVER_TIMEOUT_MS
    assert leader.recorded == []


async def test_what_arrives_during_a_delivery_is_not_acknowledged_with_it(
    queue, leader
):
    """Guards against an acknowledgement for a batch without the heartbeat."""
    leader.is_cut = True
    first = asyncio.create_task(queue.deliver(heartbeat()))
    await asyncio.sleep(0.1)
    second = asyncio.create_task(queue.deliver(heartbeat(sequence=2)))
    await asyncio.sleep(0.1)
    leader.is_cut = False
    await first
    assert leader.recorded == [("b1", 1)]
    await second
    assert leader.recorded == [("b1", 1), ("b1", 2)]


async def test_after_a_failed_delivery_servers_are_sent_on_at_once(queue, leader):
    """Guards against delaying each heartbeat by a second while the leader is away."""
    leader.error = BulrushleadError(ResultCode.BAD_REQUEST, "odd batch")
    with pytest.raises(BulrushleadError, match="CONTROL_UNREACHABLE.*its batch"):
        await queue.deliver(heartbeat())
    leader.is_cut = True
    started_ms = CLOCK.now_ms()
    with pytest.raises(BulrushleadError, match="CONTROL_UNREACHABLE.*odd batch"):
        await queue.deliver(heartbeat(sequence=2))
    assert CLOCK.now_ms() - started_ms < DELIVERY_TIMEOUT_MS / 2


async def test_a_refused_heartbeat_is_delivered_once_the_leader_is_back(queue, leader):
    """Guards against a fleet that is unknown after the election of a leader."""
    leader.error = BulrushleadError(ResultCode.CONTROL_UNREACHABLE, "no leader")
    for sequence in (2, 1, 3):
        with pytest.raises(BulrushleadError):
            await queue.deliver(heartbeat(sequence=sequence))
    leader.error = None
    async with asyncio.timeout(1):
        while not leader.recorded:
            await asyncio.sleep(0.01)
    assert leader.recorded == [("b1", 3)]
    await queue.deliver(heartbeat(sequence=4))
