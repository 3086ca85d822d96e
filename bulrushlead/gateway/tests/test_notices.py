"""Notices of servers in their answers, with fake servers on loopback."""

import asyncio

import pytest

from bulrushlead.gateway.tests import harness as fakes


@pytest.fixture
async def build():
    harnesses = []

    async def start(*scripts, **options):
        harness = await fakes.build_harness(*scripts, **options)
        harnesses.append(harness)
        return harness

    yield start
    for harness in harnesses:
        harness.close()


async def test_server_whose_answer_says_that_it_drains_gets_no_more_requests(build):
    harness = await build(fakes.draining)
    assert (await harness.send_request(b"/read/1")).status == 200
    assert (await harness.send_request(b"/read/2")).status == 503
    assert harness.requests_received() == 1
    find_server = harness.view.servers.get
    assert harness.dispatcher.notices.unpublished_drains(find_server) == {"s0": 1}


async def test_server_that_asked_for_a_pause_gets_no_request_until_it_ends(build):
    harness = await build(fakes.pausing)
    answer = await harness.send_request(b"/order/1")
    assert answer.status == 503
    answer = await harness.send_request(b"/read/1")
    assert answer.status == 503
    assert float(answer.header(b"retry-after")) == pytest.approx(2.0)
    assert harness.requests_received() == 1


async def test_retry_avoids_a_paused_server(build):
    harness = await build(fakes.pausing, fakes.good)
    statuses = [
        (await harness.send_request(b"/read/%d" % number)).status for number in range(9)
    ]
    assert statuses == [200] * 9
    assert len(harness.servers[0].heads) <= 1


async def test_notices_of_another_server_at_the_address_are_ignored(build):
    """The server at an address that was reused speaks for itself only."""
    harness = await build(fakes.misdirected_to_draining)
    await harness.send_request(b"/order/1")
    assert harness.dispatcher.notices.allows("s0", 1)


async def test_limit_that_a_server_names_is_recorded_until_it_is_withdrawn(build):
    values = iter([b"2.5", b"not a number", None])
    harness = await build(fakes.limited(lambda: next(values)))
    seen = []
    for number in range(3):
        await harness.start_attempt(b"/read/%d" % number)
        seen.append(harness.dispatcher.limits.limit_per_s("s0", 1))
    assert seen == [2.5, 2.5, None]


# Requests that were placed in the same turn of the event loop all passed the limit.
async def test_concurrent_requests_share_the_rate_of_a_cold_server(build):
    harness = await build(fakes.good, cold_per_s=1.0)
    await asyncio.gather(
        *(harness.send_request(b"/read/%d" % number) for number in range(10))
    )
    assert harness.requests_received() == 1


async def test_attempt_cancelled_before_its_first_step_leaves_no_load(build):
    harness = await build(fakes.good)
    task = harness.start_attempt(b"/read/1")
    (server,) = harness.dispatcher._servers.values()
    assert server.in_flight == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert server.in_flight == 0
    assert harness.requests_received() == 0


async def test_server_gets_nothing_beyond_the_limit_it_named(build):
    harness = await build(fakes.limited(lambda: b"0.5"))
    assert (await harness.send_request(b"/read/1")).status == 200
    answers = await asyncio.gather(
        *(harness.send_request(b"/read/%d" % number) for number in range(10))
    )
    assert {answer.status for answer in answers} == {503}
    assert float(answers[0].header(b"retry-after")) == pytest.approx(2.0, abs=0.1)
    assert harness.requests_received() == 1
