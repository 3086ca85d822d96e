"""Tests of the forwarder with fake servers on loopback."""

import asyncio

import attrs
import pytest

from bulrushlead.dispatch import RetryBudget
from bulrushlead.dispatch._server import FULL_AFTER_REFUSAL_MS
from bulrushlead.gateway._forwarding import FIRST_PLAN_MS, NO_PLAN_RETRY_AFTER_MS
from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.http1 import ExchangeError, ExchangeFault, Request
from bulrushlead.traffic import TrafficPlan


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


def retry_after(answer):
    return float(answer.header(b"retry-after"))


async def test_forwards_request_with_remaining_deadline_and_returns_answer(build):
    harness = await build(fakes.good)
    answer = await harness.send_request(b"/read/1?x=2", deadline_ms=700)
    assert (answer.status, answer.body) == (200, b"s0")
    head = harness.servers[0].heads[0]
    assert head.startswith(b"GET /read/1?x=2 HTTP/1.1\r\n")
    assert head.count(b"expect: s0\r\n") == head.count(b"expect: ") == 1
    deadline_ms = int(head.partition(b"deadline: ")[2].partition(b"\r\n")[0])
    assert 0 < deadline_ms < 700


async def test_request_without_route_or_plan_is_refused(build):
    harness = await build(fakes.good)
    assert (await harness.send_request(b"/other/")).status == 404
    harness.forwarder._plan = None
    answer = await harness.send_request(b"/read/1")
    assert answer.status == 503
    assert retry_after(answer) > 0


async def test_retry_after_of_a_new_host_covers_the_wait_for_its_plan(build):
    """After a restart of all hosts, a caller refused twice gives up its request."""
    harness = await build(fakes.good)
    forwarder = harness.forwarder
    forwarder._plan = None
    retry_after_ms = {}
    for age_ms in (0, 1_000, 60_000):
        forwarder._started_ms = fakes.CLOCK.now_ms() - age_ms
        retry_after_ms[age_ms] = 1_000 * retry_after(
            await harness.send_request(b"/read/1")
        )
    assert retry_after_ms[0] == pytest.approx(FIRST_PLAN_MS, abs=300)
    assert retry_after_ms[1_000] == pytest.approx(FIRST_PLAN_MS - 1_000, abs=300)
    assert retry_after_ms[60_000] == NO_PLAN_RETRY_AFTER_MS


@pytest.mark.parametrize("script", [fakes.full, fakes.misdirected])
@pytest.mark.parametrize("path", [b"/read/1", b"/order/1"])
async def test_request_that_did_not_run_goes_to_another_server(build, script, path):
    harness = await build(script, fakes.good, script)
    harness.dispatcher._rankings["stock"]._cache.clear()
    answers = [await harness.send_request(path) for _ in range(6)]
    assert {a.status for a in answers} <= {200, 503}
    assert any(a.status == 200 for a in answers)


@pytest.mark.parametrize(
    "script", [fakes.disconnecting, fakes.failing, fakes.false_refusal]
)
async def test_non_idempotent_request_that_may_have_run_is_not_retried(build, script):
    harness = await build(script, script)
    answer = await harness.send_request(b"/order/1", method=b"POST")
    assert answer.status in (500, 502)
    assert harness.requests_received() == 1


@pytest.mark.parametrize(
    "script", [fakes.disconnecting, fakes.failing, fakes.false_refusal]
)
async def test_idempotent_request_is_retried_once(build, script):
    harness = await build(script, script, script)
    assert (await harness.send_request(b"/read/1")).status in (500, 502)
    assert harness.requests_received() == 2


async def test_error_answer_of_a_server_is_returned_unchanged(build):
    harness = await build(fakes.failing)
    answer = await harness.send_request(b"/order/1")
    assert (answer.status, answer.body) == (500, b"oops")


@pytest.mark.parametrize("status", [0, 1, 99, 600, 999])
async def test_an_answer_with_an_invalid_status_reaches_no_caller(build, status):
    """Guards against passing on status 999, and waiting out the deadline after 000."""

    async def odd(server, head, writer):
        return fakes.answer(status, server=b"odd")

    harness = await build(odd, odd)
    started_ms = fakes.CLOCK.now_ms()
    for path, attempts in ((b"/order/1", 1), (b"/read/1", 2)):
        answer = await harness.send_request(path)
        assert (answer.status, answer.headers) == (502, [])
        assert harness.requests_received() == attempts
        for server in harness.servers:
            server.heads.clear()
    assert fakes.CLOCK.now_ms() - started_ms < 1_000


async def test_refusal_without_not_run_header_becomes_502(build):
    harness = await build(fakes.false_refusal)
    assert (await harness.send_request(b"/order/1")).status == 502


async def test_503_only_if_no_attempt_may_have_run(build):
    """A refused second attempt does not show that the first one did not run."""
    harness = await build(fakes.disconnecting, fakes.full)
    statuses = {(await harness.send_request(b"/read/%d" % i)).status for i in range(5)}
    heads = [server.heads for server in harness.servers]
    assert heads[0]
    assert statuses <= {502, 503}
    for server in harness.servers:
        server.heads.clear()
    harness.servers[1].script = fakes.disconnecting
    await fakes.CLOCK.sleep_ms(FULL_AFTER_REFUSAL_MS)
    assert (await harness.send_request(b"/read/x")).status == 502


async def test_refusal_by_all_servers_has_a_retry_time(build):
    harness = await build(fakes.full, fakes.full)
    answer = await harness.send_request(b"/order/1")
    assert answer.status == 503
    assert retry_after(answer) > 0


async def test_silent_server_causes_504_after_the_route_timeout(build):
    harness = await build(fakes.silent)
    started_ms = fakes.CLOCK.now_ms()
    assert (await harness.send_request(b"/short/1")).status == 504
    assert fakes.CLOCK.now_ms() - started_ms >= 100


async def test_hedged_attempt_runs_beside_a_silent_server(build):
    harness = await build(fakes.silent, fakes.silent, routes=fakes.ROUTES)
    first = asyncio.create_task(harness.send_request(b"/read/1", deadline_ms=2_500))
    while harness.requests_received() < 2:
        await asyncio.sleep(0.01)
    silent_servers = [server for server in harness.servers if server.heads]
    assert len(silent_servers) == 2
    assert not any(server.closed.is_set() for server in harness.servers)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)


async def test_faster_of_two_attempts_answers(build):
    released = asyncio.Event()

    async def slow_then_good(server, head, writer):
        if not released.is_set():
            released.set()
            await asyncio.sleep(30)
        return fakes.answer(body=b"second")

    harness = await build(slow_then_good, slow_then_good)
    answer = await harness.send_request(b"/read/1", deadline_ms=2_900)
    assert answer.body == b"second"


async def test_no_retry_without_budget(build):
    harness = await build(fakes.disconnecting, fakes.disconnecting)
    harness.dispatcher.budget = RetryBudget(fakes.CLOCK, 0.0, 0.0, 10_000)
    assert (await harness.send_request(b"/read/1")).status == 502
    assert harness.requests_received() == 1


async def test_disconnected_caller_cancels_only_idempotent_attempts(build):
    for path, ends in ((b"/read/1", True), (b"/order/1", False)):
        harness = await build(fakes.silent)
        task = asyncio.create_task(harness.send_request(path))
        while not harness.requests_received():
            await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.05)
        stats = harness.dispatcher.server("s0")
        assert stats.in_flight == (0 if ends else 1)


async def test_unreachable_server_does_not_count_as_an_attempt(build):
    harness = await build(fakes.good, fakes.good)
    harness.servers[0].close()
    harness.servers[1].close()
    answer = await harness.send_request(b"/order/1")
    assert answer.status == 503
    harness = await build(fakes.good, fakes.good)
    harness.servers[0].close()
    assert [(await harness.send_request(b"/order/1")).status for _ in range(3)] == [
        200
    ] * 3


async def test_stopping_gateway_refuses_without_an_attempt(build):
    harness = await build(fakes.good)
    harness.forwarder.stop()
    assert (await harness.send_request(b"/read/1")).status == 503
    assert not harness.requests_received()


async def test_new_plan_applies_to_the_next_request(build):
    harness = await build(fakes.good)
    plan = TrafficPlan(2, (attrs.evolve(fakes.ROUTES[0], path_prefix="/new/"),))
    harness.forwarder.set_plan(plan)
    assert (await harness.send_request(b"/read/1")).status == 404
    assert (await harness.send_request(b"/new/1")).status == 200


async def test_server_that_refuses_with_free_slots_does_not_count_as_full(build):
    async def shedding(server, head, writer):
        return fakes.answer(503, b"", not_run=b"1", load=b"1,0,4")

    harness = await build(shedding)
    answer = await harness.send_request(b"/order/1")
    assert answer.status == 503
    assert retry_after(answer) < 0.1
    assert harness.dispatcher.server("s0").load(fakes.CLOCK.now_ms()) < 4


async def test_full_server_counts_as_full_after_its_refusal(build):
    async def reporting_full(server, head, writer):
        return fakes.answer(503, b"", not_run=b"1", load=b"4,12,4")

    harness = await build(reporting_full)
    answer = await harness.send_request(b"/order/1")
    assert retry_after(answer) >= 0.1
    assert harness.dispatcher.server("s0").load(fakes.CLOCK.now_ms()) > 4


async def test_reset_of_an_idle_connection_lowers_the_idle_limit(build):
    async def closing_when_reused(server, head, writer):
        return fakes.answer() if len(server.heads) == 1 else None

    harness = await build(closing_when_reused)
    assert (await harness.send_request(b"/order/1")).status == 200
    before_ms = harness.pool.idle_limit_ms()
    assert (await harness.send_request(b"/order/2")).status == 502
    assert harness.pool.idle_limit_ms() < before_ms


@pytest.mark.parametrize("value", [b"nan", b"inf", b"1e999", b"soon", b""])
async def test_a_malformed_deadline_is_as_none(build, value):
    """Guards against 502 or 504 at once for a request that could be served."""
    harness = await build(fakes.good)
    headers = [(b"host", b"h"), (b"id", b"r1"), (b"deadline", value)]
    request = Request(b"GET", b"/read/1", headers, b"", fakes.CLOCK.now_ms())
    assert (await harness.forwarder.answer(request)).status == 200
    head = harness.servers[0].heads[0]
    deadline_ms = int(head.partition(b"deadline: ")[2].partition(b"\r\n")[0])
    assert 0 < deadline_ms <= fakes.ROUTES[0].timeout_ms


async def test_request_without_time_left_is_refused_at_once(build):
    harness = await build(fakes.good)
    assert (await harness.send_request(b"/read/1", deadline_ms=-5)).status == 503
    assert harness.requests_received() == 0


async def test_connect_timeout_at_the_deadline_is_no_failure_of_the_server(build):
    """Guards against leaving out a server since a caller was in a hurry."""
    harness = await build(fakes.good)

    async def connect(address, timeout_ms):
        await fakes.CLOCK.sleep_ms(timeout_ms)
        raise ExchangeError(ExchangeFault.NOT_SENT, "timed out")

    harness.pool.connect = connect
    answer = await harness.send_request(b"/read/1", deadline_ms=60)
    assert answer.status == 503
    assert harness.dispatcher.pop_unreachable() == ()
    assert harness.dispatcher.server("s0").is_available(fakes.CLOCK.now_ms())


async def test_a_lost_request_waits_for_the_check_of_another_server(build):
    """Guards against a lost answer although the servers only lost connections.

    Two servers lost connections within the time of a check. Until it is known that one
    of them runs, the request may not be sent again.
    """
    lost = []

    async def losing_the_first(server, head, writer):
        lost.append(server)
        return fakes.answer(body=server.server_id.encode()) if len(lost) > 1 else None

    harness = await build(losing_the_first, losing_the_first)
    observer = harness.forwarder.observer
    known_ms = fakes.CLOCK.now_ms() + 100
    observer.may_repeat = lambda fingerprint: fakes.CLOCK.now_ms() >= known_ms
    observer.awaits_checks = lambda fingerprint: not observer.may_repeat(fingerprint)
    assert (await harness.send_request(b"/read/1")).status == 200
    assert len(lost) == 2


async def test_a_lost_request_does_not_wait_if_it_may_not_be_sent_again(build):
    harness = await build(fakes.disconnecting, fakes.disconnecting)
    harness.forwarder.observer.table.crash_count = lambda fingerprint: 2
    started_ms = fakes.CLOCK.now_ms()
    assert (await harness.send_request(b"/read/1")).status == 502
    assert fakes.CLOCK.now_ms() - started_ms < 100


async def test_refusal_without_an_identifier_on_a_reused_connection_is_no_proof(build):
    """Guards against "not run" by a late copy of an earlier refusal."""
    answers = iter(
        (
            fakes.answer(),
            b"HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
        )
    )

    async def script(server, head, writer):
        return next(answers)

    harness = await build(script)
    assert (await harness.send_request(b"/order/1", method=b"POST")).status == 200
    assert (await harness.send_request(b"/order/2", method=b"POST")).status == 502
    assert harness.pool.n_connects == 1


async def test_refusal_without_an_identifier_on_a_new_connection_is_believed(build):
    async def script(server, head, writer):
        return b"HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"

    harness = await build(script)
    assert (await harness.send_request(b"/order/1", method=b"POST")).status == 503
