"""Steps shared by all scenarios."""

import asyncio
import math
import shutil
from pathlib import Path

import attrs
import pytest
from pytest_bdd import given, parsers, then, when

from bulrushlead.declaration import (
    Drain,
    DrainTarget,
    RegionCapacity,
    Service,
    Shift,
)
from bulrushlead.operators import OperatorClient
from bulrushlead.results import BulrushleadError, ResultCode

from .world import MAX_DURATION_MS, World


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def run(runner):
    return runner.run


@given(parsers.parse('the "{name}" deployment runs'), target_fixture="world")
def _deployment(name, tmp_path, run, request):
    async def build():
        world = World(name, tmp_path)
        await world.start()
        return world

    world = run(build())
    request.addfinalizer(lambda: run(world.close()))
    return world


# Backend servers.


@given("backend servers hold their requests")
@when("backend servers hold their requests")
def _hold(world):
    world.hold()


@when("backend servers answer again")
def _answer_again(world, run):
    world.open_gates()
    run(world.settle())


@given(parsers.parse("one backend server of the first region {fault}"))
def _fault(world, fault):
    faults = world.servers(world.services[0], world.deployment.plan.regions[0])[
        0
    ].faults
    if fault == "cuts its answers":
        faults.truncate = True
    elif fault == "refuses before running":
        faults.refuse = True
    elif fault == "says it is idle and takes 200 ms":
        faults.reported_load, faults.extra_ms = 0.0, 200.0
    else:
        pytest.fail(f"unknown fault {fault!r}")


@given("every backend server refuses before running")
def _refuse_all(world):
    for server in world.servers():
        server.faults.refuse = True


@given("backend servers take different times")
def _different_times(world):
    for number, server in enumerate(world.servers()):
        server.faults.extra_ms = 15.0 * (number % 4)


@when("the reports of backend servers stop")
def _reports_stop(world, run):
    async def stop():
        for server in world.servers():
            await server.stop_reports()

    run(stop())


@when("one backend server of the first region says that it is leaving")
def _leave(world, run):
    server = world.servers(world.services[0], world.deployment.plan.regions[0])[0]
    world.leaving = server
    run(server.drain())


@when("every entry host knows that it is leaving")
def _known_leaving(world, run):
    name = world.leaving.settings.name

    def known():
        return all(
            name not in entry.session.servers or entry.session.servers[name].draining
            for entry in world.deployment.entries.values()
        )

    run(world.until(known))
    world.runs_before = len(world.leaving.execution_log)


@then("the leaving server received no new work")
def _no_new_work(world):
    assert len(world.leaving.execution_log) == world.runs_before


@then("the work that it was running ended untouched")
def _work_untouched(world):
    assert world.leaving.execution_log
    ends = {entry.end.value for entry in world.leaving.execution_log}
    assert ends == {"done"}


@when("the first region fails")
def _region_fails(world, run):
    region = world.deployment.plan.regions[0]

    async def fail():
        for _name, server in list(world.deployment.servers.items()):
            if server.settings.region == region:
                await server.close()
        await world.deployment.stop_entry(world.entry_name(1))

    run(fail())


# Hosts of the system.


@when(parsers.parse("entry host {number:d} dies"))
def _entry_dies(world, run, number):
    run(world.deployment.stop_entry(world.entry_name(number)))


@when(parsers.parse("entry host {number:d} starts again"))
def _entry_starts(world, run, number):
    run(world.deployment.start_entry(world.entry_name(number)))


@when(parsers.parse("entry host {number:d} is cut off from control"))
def _entry_cut(world, run, number):
    name = world.entry_name(number)
    world.links.cut_hosts.add(name)
    session = world.deployment.entries[name].session
    run(world.until(lambda: not session.is_valid()))


@when(parsers.parse("entry host {number:d} begins a planned stop"))
def _entry_drains(world, run, number):
    entry = world.deployment.entries[world.entry_name(number)]

    async def begin():
        world.stopping.append(asyncio.ensure_future(entry.drain()))
        await asyncio.sleep(0)

    run(begin())


@when("the planned stop is over")
def _drain_over(world, run):
    async def wait():
        await asyncio.gather(*world.stopping)

    run(wait())


@when("the leading control host dies")
def _leader_dies(world, run):
    async def stop():
        world.former = await world.wait_for_leader()
        await world.deployment.stop_control(world.former)

    run(stop())


@when("the control host that died starts again")
def _former_starts(world, run):
    run(world.deployment.start_control(world.former))


@when("the leading control host is cut off without notice")
def _leader_cut(world, run):
    async def cut():
        world.former = await world.wait_for_leader()
        world.links.cut_hosts.add(world.former)
        await world.wait_for_leader(world.former)

    run(cut())


@when("another control host leads")
def _other_leads(world, run):
    run(world.wait_for_leader(world.former))


@when("all control hosts restart")
def _all_restart(world, run):
    async def restart():
        names = list(world.deployment.controls)
        for name in names:
            await world.deployment.stop_control(name)
        for name in names:
            await world.deployment.start_control(name)
        await world.wait_for_leader()

    run(restart())


@when("a control host loses its disk and is repaired")
def _lose_disk(world, run):
    async def repair():
        leader = await world.wait_for_leader()
        name = next(n for n in world.deployment.controls if n != leader)
        await world.deployment.stop_control(name)
        folder = Path(world.deployment.control_settings[name].data_folder)
        await asyncio.to_thread(shutil.rmtree, folder)
        await world.deployment.start_control(name)
        host = world.deployment.controls[name]
        await world.until(
            lambda: any(
                m.replica_id == host.log.replica_id and m.role.value == "voter"
                for m in host.log.members
            )
        )
        world.repaired = name

    run(repair())


@when("another control host is lost right after")
def _second_loss(world, run):
    async def lose():
        name = next(n for n in world.deployment.controls if n != world.repaired)
        await world.deployment.stop_control(name)
        await world.wait_for_leader(name)

    run(lose())


# Callers.


@when(parsers.parse('a caller sends "{key}" through entry host {number:d}'))
def _send_key(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"x"))


@when(parsers.parse('a caller sends "{key}" through entry host {number:d} and waits'))
def _send_key_later(world, run, key, number):
    async def begin():
        world.send_later(number, world.services[0], "/do", "POST", key, body=b"x")
        await world.until(lambda: world.runs_of(key) > 0)

    run(begin())


@when(parsers.parse('"{key}" is sent through both entry hosts at once'))
def _send_both(world, run, key):
    async def send():
        for number in (1, 2, 1, 2):
            world.send_later(number, world.services[0], "/do", "POST", key, body=b"x")
        await world.settle()

    run(send())


@when(parsers.parse('"{key}" is sent again through entry host {number:d}'))
def _resend(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"x"))


@when(
    parsers.parse(
        '"{key}" is sent again through entry host {number:d} until it is told the end'
    )
)
def _resend_until(world, run, key, number):
    async def resend():
        while True:
            answer = await world.send(
                number, world.services[0], "/do", "POST", key, body=b"x"
            )
            code = answer.content.get("code")
            if answer.status == 200 or code == ResultCode.KEY_OUTCOME_UNKNOWN:
                return
            await asyncio.sleep(0.1)

    run(asyncio_timeout(resend()))


async def asyncio_timeout(work):
    async with asyncio.timeout(30):
        return await work


@when(parsers.parse('"{key}" with another body is sent through entry host {number:d}'))
def _send_other_body(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"y"))


@when(parsers.parse("{count:d} look-ups of stock are sent through entry host {n:d}"))
def _send_many(world, run, count, n):
    async def send():
        for number in range(count):
            await world.send(n, world.services[0], f"/stock/{number}")

    run(send())


@when(parsers.parse("{count:d} callers ask at once through both entry hosts"))
def _ask_at_once(world, run, count):
    async def send():
        for number in range(count):
            entry = 1 + number % len(world.deployment.entries)
            world.send_later(entry, world.services[0], f"/stock/{number}")
        world.asked_ms = world.deployment.clock.now_ms()
        await world.settle()
        world.answered_ms = world.deployment.clock.now_ms()

    run(send())


@when(parsers.parse("{count:d} callers ask at once through entry host {n:d}"))
def _ask_one_at_once(world, run, count, n):
    async def send():
        for number in range(count):
            world.send_later(n, world.services[0], f"/stock/{number}")
        await world.settle()

    run(send())


@when(parsers.parse("{count:d} callers wait at entry host {n:d}"))
def _callers_wait(world, run, count, n):
    async def begin():
        before = len(world.executions())
        for number in range(count):
            world.send_later(n, world.services[0], f"/stock/{number}")
        await world.until(lambda: len(world.executions()) >= before + count)

    run(begin())


@when(parsers.parse("a caller with {timeout:d} ms left asks entry host {n:d}"))
def _short_deadline(world, run, timeout, n):
    run(world.send(n, world.services[0], "/late", timeout_ms=timeout))


@when(parsers.parse("entry host {n:d} serves callers again"))
def _serves_again(world, run, n):
    run(world.send_until_served(n, world.services[0], "/again"))


@then("every caller got the complete answer to its own request")
def _own_answers(world):
    assert world.answers
    for path, key, answer in world.answers:
        assert answer.status == 200, answer
        assert answer.content["path"] == path
        assert answer.content["key"] == key


@then("every complete answer belongs to its own request")
def _own_if_any(world):
    assert any(answer.status == 200 for _, _, answer in world.answers)
    for path, key, answer in world.answers:
        if answer.status == 200:
            assert (answer.content["path"], answer.content["key"]) == (path, key)


@then(parsers.parse("the last caller is refused as {ran} with {name}"))
def _last_refused(world, ran, name):
    answer = world.answers[-1][2]
    assert answer.content.get("name") == name, answer
    assert answer.ran == {"not run": "no", "unknown": "unknown"}[ran]
    assert answer.content["retry_after_ms"] >= 0


@then("every caller that was refused as not run truly did not run")
def _not_run_is_true(world):
    ran = {entry.path for entry in world.executions()}
    refused = [p for p, _, answer in world.answers if answer.ran == "no"]
    assert refused
    assert not ran & set(refused)


@then("no request reached a backend server")
def _nothing_ran(world):
    assert world.executions() == []


@then(parsers.parse('"{key}" ran {count:d} time'))
def _ran_times(world, key, count):
    assert world.runs_of(key) == count


@then(parsers.parse('"{key}" ran at most once'))
def _ran_once_at_most(world, key):
    assert world.runs_of(key) <= 1


@then("every answer to it that came is the same")
def _same_answers(world):
    contents = [a.content for _, _, a in world.answers if a.status == 200]
    assert contents
    assert all(content == contents[0] for content in contents)


@then("its outcome is told as done or as unknown, never as not run")
def _never_not_run(world):
    told = {answer.ran for _, key, answer in world.answers if key}
    assert told <= {"yes", "unknown"}


@then("no backend server was given more requests than its slots")
def _slots_hold(world):
    assert world.executions()
    assert [server.refused_full for server in world.servers()] == [0] * len(
        world.servers()
    )


# Operators.


def shifted(world, percent, rate=1_000):
    first, second = world.deployment.plan.regions
    return attrs.evolve(
        world.declaration(),
        shifts=(
            Shift(
                "move",
                world.services[0],
                first,
                second,
                percent,
                rate,
                step_percent=percent,
                step_interval_ms=100,
            ),
        ),
    )


@when(parsers.parse("a shift of {percent:d} percent to the second region is applied"))
def _apply_shift(world, run, percent):
    _apply_everywhere(world, run, shifted(world, percent))


@when(parsers.parse("a shift with a rate cap of {rate:d} per second is applied"))
def _apply_rate_shift(world, run, rate):
    _apply_everywhere(world, run, shifted(world, 100, rate))


@when(parsers.parse("the first region is limited to {rate:d} requests per second"))
def _limit_region(world, run, rate):
    first = world.deployment.plan.regions[0]
    limits = tuple(
        RegionCapacity(world.services[0], region, rate)
        for region in world.deployment.plan.regions
    )
    _apply_everywhere(
        world, run, attrs.evolve(world.declaration(), region_capacities=limits)
    )
    world.limited = (first, rate)


@when("a planned drain of the first region's first zone is applied")
def _apply_drain(world, run):
    zone = world.deployment.plan.zones(world.deployment.plan.regions[0])[0]
    drain = Drain("planned", DrainTarget.AVAILABILITY_ZONE, zone)
    world.leaving = next(
        s
        for s in world.servers(world.services[0])
        if s.settings.availability_zone == zone
    )
    _apply_everywhere(world, run, attrs.evolve(world.declaration(), drains=(drain,)))


def _apply_everywhere(world, run, declaration):
    async def apply():
        revision = await world.deployment.apply(declaration)
        client = OperatorClient(
            world.deployment.operator_addresses, world.deployment.clock
        )
        try:
            status = await client.wait_in_force(revision, 30_000)
        finally:
            await client.close()
        assert not status.hosts_behind(revision)
        world.accepted.append(revision)

    run(apply())


def changed(world, number):
    """Return a declaration that differs from every other number's."""
    declaration = world.declaration()
    extra = Service(f"extra-{number}", max_duration_ms=MAX_DURATION_MS)
    return attrs.evolve(declaration, services=(*declaration.services, extra))


@when("two operators apply different changes with the same number at once")
def _race(world, run):
    async def race():
        revision = max(world.revisions())
        outcomes = await asyncio.gather(
            *(
                world.deployment.apply(changed(world, number), revision)
                for number in (1, 2)
            ),
            return_exceptions=True,
        )
        world.outcomes = outcomes

    run(race())


@then("exactly one of them is accepted and the other is told the conflict")
def _one_accepted(world):
    accepted = [o for o in world.outcomes if isinstance(o, int)]
    refused = [o for o in world.outcomes if isinstance(o, BulrushleadError)]
    assert len(accepted) == 1
    assert [error.code for error in refused] == [ResultCode.REVISION_CONFLICT]
    assert f"accepted one is {accepted[0]}" in refused[0].detail


@when(parsers.parse('an operator applies a change as request "{request_id}"'))
def _apply_request(world, run, request_id):
    async def apply():
        world.base = world.accepted[-1] if world.accepted else max(world.revisions())
        revision = await world.deployment.apply(
            changed(world, 7), world.base, request_id
        )
        world.accepted.append(revision)

    run(apply())


@when(parsers.parse('the same change is sent again as request "{request_id}"'))
def _apply_again(world, run, request_id):
    async def apply():
        revision = await world.deployment.apply(
            changed(world, 7), world.base, request_id
        )
        world.accepted.append(revision)

    run(apply())


@then("both sendings got the same revision")
def _same_revision(world):
    assert len(world.accepted) == 2
    assert len(set(world.accepted)) == 1


@when(parsers.parse("{count:d} changes are accepted"))
def _many_changes(world, run, count):
    async def apply():
        for number in range(count):
            world.accepted.append(await world.deployment.apply(changed(world, number)))

    run(apply())


@then("the newest revision is in force on every entry host")
def _newest_everywhere(world, run):
    newest = world.accepted[-1]
    run(world.until(lambda: world.revisions() == {newest}))


@then("no entry host ever goes back to an older revision")
def _never_back(world, run):
    async def observe():
        seen = dict.fromkeys(world.deployment.entries, 0)
        for _ in range(50):
            for name, entry in world.deployment.entries.items():
                assert entry.session.revision >= seen[name]
                seen[name] = entry.session.revision
            await asyncio.sleep(0.02)

    run(observe())


@then("the control host that died has caught up")
def _caught_up(world, run):
    state = world.deployment.controls[world.former].state.configuration
    run(world.until(lambda: state.current.revision == world.accepted[-1]))


@then(parsers.parse("at most {percent:d} percent of them were shifted"))
def _shift_cap(world, percent):
    second = world.deployment.plan.regions[1]
    shifted_count = len(world.executions(world.services[0], second))
    total = len(world.executions(world.services[0]))
    assert total > 0
    assert shifted_count <= math.ceil(total * percent / 100)


@then("some of them were shifted")
@then("the other region ran some of them")
def _some_shifted(world):
    assert world.executions(world.services[0], world.deployment.plan.regions[1])


@then("none of them was shifted")
def _none_shifted(world):
    assert not world.executions(world.services[0], world.deployment.plan.regions[1])


@then("the first region never ran more than its limit in the time that passed")
def _region_limit(world):
    region, rate = world.limited
    seconds = math.ceil((world.answered_ms - world.asked_ms) / 1_000)
    runs = len(world.executions(world.services[0], region))
    assert 0 < runs <= rate * seconds


@then("look-ups at entry host 2 no longer name entry host 1")
def _left_lookups(world, run):
    first = world.entry_name(1)

    async def gone():
        deadline_ms = world.deployment.clock.now_ms() + 30_000
        while True:
            answer = await world.look_up(2, world.services[0])
            names = {host["name"] for host in answer.content["hosts"]}
            if first not in names:
                return
            assert world.deployment.clock.now_ms() < deadline_ms
            await asyncio.sleep(0.05)

    run(gone())


@then(parsers.parse("a look-up at entry host {n:d} is refused with {name}"))
def _lookup_refused(world, run, n, name):
    answer = run(world.look_up(n, world.services[0]))
    assert answer.content["name"] == name
