"""Tests of requests that crash the servers that run them, and of those beside them."""

import asyncio
import itertools

import pytest

from bulrushlead.gateway.tests.steered_fleet import LeaderLink, SteeredFleet
from bulrushlead.http1 import Request
from bulrushlead.quarantine import ReleaseRequest, request_fingerprint

# From the third crash of a request until all hosts in touch have stopped it, and how
# often it may reach servers later than that, as BUDGET states.
CONTACT_MS = 3_000
MAX_LATER_ARRIVALS = 3
BAD_INTERVAL_S = 0.28
SOUND_INTERVAL_S = 0.03
MIN_SERVED_SHARE = 0.9  # "nearly all" of the sound requests
BAD_GET = (b"/read/bad", b"")
BAD_POST = (b"/order/x", b"bad")
SOUND_GETS = [(b"/read/%d" % n, b"") for n in range(400)]
SOUND_POSTS = [(b"/order/x", b"sound %d" % n) for n in range(400)]
SAME_GET = [(b"/read/same", b"")]


@pytest.fixture
async def build():
    fleets = []

    async def start(hosts=4, servers=6):
        fleet = SteeredFleet(hosts, servers)
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.close()


def served_share(answers):
    return sum(answer.status == 200 for answer in answers) / len(answers)


async def play(fleet, bad, sound, duration_s=6.0, hosts=None):
    """Send bad requests beside sound ones; return the answers to the sound ones."""
    fleet.bad = set(bad)
    _, answers = await asyncio.gather(
        fleet.send_for(duration_s, BAD_INTERVAL_S / len(bad), bad, hosts),
        fleet.send_for(duration_s, SOUND_INTERVAL_S, sound),
    )
    return answers


def check_stopped(fleet, request):
    assert fleet.arrivals_after_third_crash(request, CONTACT_MS) <= MAX_LATER_ARRIVALS


@pytest.mark.parametrize(
    "bad, sound",
    [(BAD_GET, SOUND_GETS), (BAD_POST, SOUND_POSTS), (BAD_GET, SAME_GET)],
    ids=["get", "post-other-body", "get-beside-one-frequent-request"],
)
@pytest.mark.parametrize("hosts", [None, [0]], ids=["any-host", "one-host"])
async def test_a_request_that_crashes_servers_stops(build, bad, sound, hosts):
    """Guards against one request that crashes server after server of a service."""
    fleet = await build()
    answers = await play(fleet, [bad], sound, hosts=hosts)
    check_stopped(fleet, bad)
    assert served_share(answers) >= MIN_SERVED_SHARE


async def test_two_requests_that_crash_servers_stop(build):
    """Guards against taking the crashes of one request for those of another."""
    fleet = await build(servers=10)
    await play(fleet, [BAD_GET, BAD_POST], SOUND_GETS)
    check_stopped(fleet, BAD_GET)
    check_stopped(fleet, BAD_POST)
    answers = await fleet.send_for(1.0, SOUND_INTERVAL_S, SOUND_GETS)
    assert served_share(answers) >= MIN_SERVED_SHARE


async def test_many_requests_that_crash_all_servers_leave_the_frequent_one(build):
    """Guards against refusing the request of all callers when no server is left."""
    fleet = await build()
    bad = [(b"/read/bad-%d" % n, b"") for n in range(5)]
    await play(fleet, bad, SAME_GET, 4.0)
    await asyncio.sleep(3.0)
    answers = await fleet.send_for(2.0, SOUND_INTERVAL_S, SAME_GET)
    assert served_share(answers) >= MIN_SERVED_SHARE
    for request in bad:
        check_stopped(fleet, request)


async def test_a_request_that_crashes_servers_stops_at_a_restarted_host(build):
    """Guards against a host that forgets with a restart what all others know."""
    fleet = await build()
    await play(fleet, [BAD_GET], SOUND_GETS, 3.0)
    await fleet.restart_gateway(1)
    await play(fleet, [BAD_GET], SOUND_GETS, 3.0, hosts=[1])
    check_stopped(fleet, BAD_GET)
    assert fleet.arrivals_after_third_crash(BAD_GET, CONTACT_MS) == 0


async def test_a_request_that_crashes_servers_stops_under_a_new_leader(build):
    """Guards against a leader that lets a request start anew."""
    fleet = await build()
    await play(fleet, [BAD_GET], SOUND_GETS, 2.0)
    await fleet.change_leader()
    await play(fleet, [BAD_GET], SOUND_GETS, 3.0)
    await fleet.restart_gateway(2)
    await play(fleet, [BAD_GET], SOUND_GETS, 2.0, hosts=[2])
    assert fleet.arrivals_after_third_crash(BAD_GET, CONTACT_MS) == 0


async def test_a_request_under_which_servers_go_silent_stops(build):
    """Guards against requests whose servers stay connected and never answer."""
    fleet = await build(servers=8)
    fleet.is_silent = True
    await play(fleet, [BAD_GET], SOUND_GETS, 10.0)
    check_stopped(fleet, BAD_GET)
    await asyncio.sleep(3.5)
    answers = await play(fleet, [BAD_GET], SOUND_GETS, 2.0)
    assert served_share(answers) >= MIN_SERVED_SHARE


@pytest.mark.parametrize("sound", [SOUND_GETS, SAME_GET], ids=["many", "one"])
@pytest.mark.parametrize("at_once", [1, 3])
async def test_servers_that_crash_by_themselves_cost_no_request(build, sound, at_once):
    """Guards against refusing sound requests for crashes that they did not cause."""
    fleet = await build(servers=10)

    async def crash_in_turn():
        for number in itertools.count(0, at_once):
            await asyncio.sleep(1.5)
            for offset in range(at_once):
                fleet.servers[(number + offset) % len(fleet.servers)].crash()

    fleet.spawn(crash_in_turn())
    answers = await fleet.send_for(6.0, SOUND_INTERVAL_S, sound)
    assert len(fleet.crashes) >= 3 * at_once
    assert served_share(answers) >= 0.98


@pytest.mark.parametrize("sound", [SOUND_GETS, SAME_GET], ids=["many", "one"])
async def test_connections_that_are_reset_make_no_request_a_suspect(build, sound):
    """Guards against taking lost connections for crashes."""
    fleet = await build()

    async def reset_in_turn():
        for server in itertools.cycle(fleet.servers):
            await asyncio.sleep(0.1)
            server.reset_connections()

    fleet.spawn(reset_in_turn())
    answers = await fleet.send_for(3.0, SOUND_INTERVAL_S, sound)
    assert served_share(answers) >= 0.98
    assert not any(len(gateway.observer.table) for gateway in fleet.gateways)


@pytest.mark.parametrize("sound", [SOUND_GETS, SAME_GET], ids=["many", "one"])
async def test_a_zone_that_goes_silent_convicts_no_request(build, sound):
    """Guards against refusing what was in progress in a zone that was lost."""
    fleet = await build(servers=12)
    await fleet.send_for(0.5, SOUND_INTERVAL_S, sound)
    for server in fleet.servers[::3]:
        server.crash(is_silent=True)
    await fleet.send_for(4.0, SOUND_INTERVAL_S, sound)
    assert not any(gateway.observer.table.quarantined for gateway in fleet.gateways)


async def crash_three_servers(fleet):
    """Send a bad request until it is refused."""
    fleet.bad = {BAD_GET}
    async with asyncio.timeout(5):
        while (await fleet.send(0, *BAD_GET)).status != 503:
            await asyncio.sleep(0.05)


async def test_a_refusal_says_that_the_request_did_not_run_and_when_to_return(build):
    fleet = await build()
    await crash_three_servers(fleet)
    arrivals = len(fleet.arrivals)
    answer = await fleet.send(0, *BAD_GET)
    assert answer.status == 503
    assert float(answer.header(b"retry-after")) > 0
    assert len(fleet.arrivals) == arrivals


async def test_a_corrected_release_ends_the_refusal(build):
    """Guards against refusing a request for good after its fault was corrected."""
    fleet = await build()
    await crash_three_servers(fleet)
    fleet.fixed_version = "v2"
    for server in fleet.servers:
        server.version = "v2"
        if server.is_running:
            server.crash()
    async with asyncio.timeout(10):
        while (await fleet.send(1, *BAD_GET)).status != 200:
            await asyncio.sleep(0.2)
    answers = await fleet.send_for(1.0, SOUND_INTERVAL_S, [BAD_GET])
    assert served_share(answers) >= MIN_SERVED_SHARE


async def test_an_operator_ends_the_refusal_at_all_hosts(build):
    fleet = await build()
    await crash_three_servers(fleet)
    fleet.bad = set()
    await LeaderLink(fleet).call(ReleaseRequest(request_fingerprint_of(BAD_GET)), 1_000)
    await asyncio.sleep(1.0)
    answers = await fleet.send_for(1.0, SOUND_INTERVAL_S, [BAD_GET])
    assert served_share(answers) >= MIN_SERVED_SHARE


def request_fingerprint_of(request):
    target, body = request
    return request_fingerprint(Request(b"GET", target, [(b"host", b"h")], body))
