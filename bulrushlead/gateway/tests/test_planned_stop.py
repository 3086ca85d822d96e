"""Requests that arrive while a gateway stops as planned, under load."""

import asyncio
import itertools
import json

import attrs
import pytest

from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.gateway.tests.host_fleet import HostFleet
from bulrushlead.logs import Event, LogFormat, build_handler
from bulrushlead.traffic import Route

REQUEST = b"GET /read/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: %d\r\n\r\n"
CALLERS = 60
SLOW_S = 0.5
SLOW_ROUTE = Route("read", "h", "/read/", fakes.SHARES, True, 700.0, 300.0, 2)


@pytest.fixture
async def gateway():
    fleet = HostFleet("a", [fakes.good] * 6)
    await fleet.start()
    (gateway,) = fleet.gateways
    gateway.settings = attrs.evolve(gateway.settings, drain_ms=600.0)
    yield gateway
    await fleet.close()


async def call_until_refused(gateway, number, outcomes, once=False):
    """Open a connection for each request until none is accepted any more."""
    for _ in range(1) if once else itertools.count():
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


async def slow(server, head, writer):
    await asyncio.sleep(SLOW_S)
    return fakes.answer()


@pytest.mark.parametrize("drain_ms", (400.0, 600.0, 1_000.0, 2_000.0))
async def test_a_stop_breaks_off_no_request_that_came_after_it(drain_ms):
    """Guards against taking requests late in a stop that last longer than it.

    A caller that may not repeat its request cannot know whether it ran.
    """
    fleet = HostFleet("a", [slow] * 12, (SLOW_ROUTE,))
    await fleet.start()
    (gateway,) = fleet.gateways
    gateway.settings = attrs.evolve(gateway.settings, drain_ms=drain_ms)
    outcomes = []
    lines = Lines()
    handler = build_handler(LogFormat.JSON, lines)
    handler.push_application()
    try:
        stop = asyncio.create_task(stop_gateway(gateway))
        await asyncio.sleep(0)
        callers = []
        while not stop.done():
            caller = call_until_refused(gateway, len(callers), outcomes, once=True)
            callers.append(asyncio.create_task(caller))
            await asyncio.sleep(0.02)
        await asyncio.gather(stop, *callers)
    finally:
        handler.pop_application()
        await fleet.close()
    assert set(outcomes) <= {"200", "503"}
    # The time of each request that comes in the first half ends within 2 s. One that is
    # read right after the first half, on a connection from before, is refused.
    events = [line["event"] for line in lines]
    first_half = events[: events.index(Event.STOP_PROGRESS)]
    assert (Event.REQUEST_REFUSED in first_half) == (drain_ms < 2_000.0)
    assert outcomes.count("503") == events.count(Event.REQUEST_REFUSED)
    assert ("200" in outcomes) == (drain_ms > SLOW_ROUTE.timeout_ms)


async def stop_gateway(gateway):
    await gateway.drain()
    await gateway.close()


async def test_a_stopping_host_carries_no_request_that_it_cannot_end():
    """Guards against a carried request that the stop of its carrier breaks off."""
    fleet = HostFleet("aa", [slow] * 2, (SLOW_ROUTE,))
    await fleet.start()
    try:
        fleet.cut([0], new="refused")
        fleet.gateways[1].forwarder.begin_stop(fleet.gateways[1].clock.now_ms() + 100)
        result = await fleet.send(0)
        assert result.status == 503
        assert not any(server.heads for server in fleet.servers)
    finally:
        await fleet.close()


async def test_connections_of_callers_close_before_the_session(gateway):
    """Guards against a stop that a silent coordinator holds up beyond its grace."""
    closed = asyncio.Event()
    callers_left = []

    async def close_slowly():
        callers_left.extend(gateway.front.connections)
        await closed.wait()

    gateway.session.close = close_slowly
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.front.port)
    stop = asyncio.create_task(gateway.close())
    try:
        assert await reader.read() == b""
        assert not stop.done()
    finally:
        closed.set()
        writer.close()
        await stop
    assert not callers_left


class Lines(list):
    """The fields of each log line."""

    def write(self, text):
        self.append(json.loads(text))

    def flush(self):
        pass

    def fields(self, event, *names):
        return [
            tuple(line[name] for name in names)
            for line in self
            if line["event"] == event
        ]


async def test_a_stop_tells_what_it_broke_off():
    """Guards against requests without an answer that no line of a stop explains."""
    lines = Lines()
    fleet = HostFleet("a", [fakes.silent])
    with build_handler(LogFormat.JSON, lines).applicationbound():
        await fleet.start()
        (gateway,) = fleet.gateways
        gateway.settings = attrs.evolve(gateway.settings, drain_ms=200.0)
        outcomes = []
        caller = asyncio.create_task(
            call_until_refused(gateway, 1, outcomes, once=True)
        )
        async with asyncio.timeout(5):
            while not fleet.servers[0].heads:
                await asyncio.sleep(0.01)
        await stop_gateway(gateway)
        await caller
        await fleet.close()
    progress = lines.fields(Event.STOP_PROGRESS, "step", "in_progress")
    assert progress == [("refuses all", 1), ("closes", 1)]
    unanswered = lines.fields(
        Event.REQUEST_UNANSWERED, "request_id", "cause", "sent_on", "answered"
    )
    assert unanswered == [("r1", "this process stops", True, False)]
    assert gateway.front.unanswered.count == 1
    assert gateway.front.unanswered.broken_off == 1
    assert outcomes == ["IncompleteReadError"]
