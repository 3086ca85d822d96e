"""Steps about operators and their changes."""

import asyncio
import math

import attrs
from pytest_bdd import parsers, then, when

from bulrushlead.declaration import (
    Drain,
    DrainTarget,
    RegionCapacity,
    Service,
    Shift,
)
from bulrushlead.operators import OperatorClient
from bulrushlead.results import BulrushleadError, ResultCode

from .world import MAX_DURATION_MS


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
