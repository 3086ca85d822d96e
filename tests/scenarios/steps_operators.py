"""Steps about operators, configurations and shifts."""

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

from .harness import MAX_DURATION_MS


def declaration_with_shift(harness, percent, rate=1_000):
    first, second = harness.deployment.plan.regions
    return attrs.evolve(
        harness.declaration(),
        shifts=(
            Shift(
                "move",
                harness.services[0],
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
def _apply_shift(harness, run, percent):
    _apply_everywhere(harness, run, declaration_with_shift(harness, percent))


@when(parsers.parse("a shift with a rate cap of {rate:d} per second is applied"))
def _apply_rate_shift(harness, run, rate):
    _apply_everywhere(harness, run, declaration_with_shift(harness, 100, rate))


@when(parsers.parse("every region is limited to {rate:d} requests per second"))
def _limit_regions(harness, run, rate):
    first = harness.deployment.plan.regions[0]
    limits = tuple(
        RegionCapacity(harness.services[0], region, rate)
        for region in harness.deployment.plan.regions
    )
    _apply_everywhere(
        harness, run, attrs.evolve(harness.declaration(), region_capacities=limits)
    )
    harness.region_limit = (first, rate)


@when("a planned drain of the first region's first zone is applied")
def _apply_drain(harness, run):
    zone = harness.deployment.plan.zones(harness.deployment.plan.regions[0])[0]
    drain = Drain("planned", DrainTarget.AVAILABILITY_ZONE, zone)
    harness.draining_server = next(
        s
        for s in harness.servers(harness.services[0])
        if s.settings.availability_zone == zone
    )
    _apply_everywhere(
        harness, run, attrs.evolve(harness.declaration(), drains=(drain,))
    )


def _apply_everywhere(harness, run, declaration):
    async def apply():
        revision = await harness.deployment.apply(declaration)
        client = OperatorClient(
            harness.deployment.operator_addresses, harness.deployment.clock
        )
        try:
            status = await client.wait_in_force(revision, 30_000)
        finally:
            await client.close()
        assert not status.hosts_behind(revision)
        harness.accepted_revisions.append(revision)

    run(apply())


def extended_declaration(harness, number):
    """Return a declaration with an extra service whose name contains ``number``."""
    declaration = harness.declaration()
    extra = Service(f"extra-{number}", max_duration_ms=MAX_DURATION_MS)
    return attrs.evolve(declaration, services=(*declaration.services, extra))


@when("two operators apply different changes to the same revision at once")
def _race(harness, run):
    async def race():
        revision = max(harness.revisions())
        outcomes = await asyncio.gather(
            *(
                harness.deployment.apply(
                    extended_declaration(harness, number), revision
                )
                for number in (1, 2)
            ),
            return_exceptions=True,
        )
        harness.outcomes = outcomes

    run(race())


@then("exactly one of them is accepted and the other is refused as a conflict")
def _one_accepted(harness):
    accepted = [o for o in harness.outcomes if isinstance(o, int)]
    refused = [o for o in harness.outcomes if isinstance(o, BulrushleadError)]
    assert len(accepted) == 1
    assert [error.code for error in refused] == [ResultCode.REVISION_CONFLICT]
    assert f"accepted one is {accepted[0]}" in refused[0].detail


@when(parsers.parse('an operator applies a change as request "{request_id}"'))
def _apply_request(harness, run, request_id):
    async def apply():
        harness.base_revision = (
            harness.accepted_revisions[-1]
            if harness.accepted_revisions
            else max(harness.revisions())
        )
        revision = await harness.deployment.apply(
            extended_declaration(harness, 7), harness.base_revision, request_id
        )
        harness.accepted_revisions.append(revision)

    run(apply())


@when(parsers.parse('the same change is sent again as request "{request_id}"'))
def _apply_again(harness, run, request_id):
    async def apply():
        revision = await harness.deployment.apply(
            extended_declaration(harness, 7), harness.base_revision, request_id
        )
        harness.accepted_revisions.append(revision)

    run(apply())


@then("both requests returned the same revision")
def _same_revision(harness):
    assert len(harness.accepted_revisions) == 2
    assert len(set(harness.accepted_revisions)) == 1


@when(parsers.parse("{count:d} changes are accepted"))
def _many_changes(harness, run, count):
    async def apply():
        for number in range(count):
            harness.accepted_revisions.append(
                await harness.deployment.apply(extended_declaration(harness, number))
            )

    run(apply())


@then("the newest revision is in force on every entry host")
def _newest_everywhere(harness, run):
    newest = harness.accepted_revisions[-1]
    run(harness.wait_until(lambda: harness.revisions() == {newest}))


@then("no entry host reverts to an older revision")
def _never_reverts(harness, run):
    async def observe():
        seen = dict.fromkeys(harness.deployment.entries, 0)
        for _ in range(50):
            for name, entry in harness.deployment.entries.items():
                assert entry.session.revision >= seen[name]
                seen[name] = entry.session.revision
            await asyncio.sleep(0.02)

    run(observe())


@then("the control host that died has caught up")
def _caught_up(harness, run):
    state = harness.deployment.controls[harness.previous_leader].state.configuration
    run(
        harness.wait_until(
            lambda: state.current.revision == harness.accepted_revisions[-1]
        )
    )


@then(parsers.parse("at most {percent:d} percent of them were shifted"))
def _shift_cap(harness, percent):
    second = harness.deployment.plan.regions[1]
    shifted_count = len(harness.executions(harness.services[0], second))
    total = len(harness.executions(harness.services[0]))
    assert total > 0
    assert shifted_count <= math.ceil(total * percent / 100)


@then("some of them were shifted")
@then("the other region ran some of them")
def _some_shifted(harness):
    assert harness.executions(harness.services[0], harness.deployment.plan.regions[1])


@then("none of them was shifted")
def _none_shifted(harness):
    assert not harness.executions(
        harness.services[0], harness.deployment.plan.regions[1]
    )


@then("the first region never ran more requests than its rate limit allows")
def _region_limit(harness):
    region, rate = harness.region_limit
    seconds = math.ceil((harness.burst_end_ms - harness.burst_start_ms) / 1_000)
    runs = len(harness.executions(harness.services[0], region))
    assert 0 < runs <= rate * seconds


@then("look-ups at entry host 2 no longer return entry host 1")
def _removed_from_lookups(harness, run):
    first = harness.entry_name(1)

    async def wait_until_removed():
        deadline_ms = harness.deployment.clock.now_ms() + 30_000
        while True:
            answer = await harness.look_up(2, harness.services[0])
            names = {host["name"] for host in answer.content["hosts"]}
            if first not in names:
                return
            assert harness.deployment.clock.now_ms() < deadline_ms
            await asyncio.sleep(0.05)

    run(wait_until_removed())


@then(parsers.parse("a look-up at entry host {n:d} is refused with {name}"))
def _lookup_refused(harness, run, n, name):
    answer = run(harness.look_up(n, harness.services[0]))
    assert answer.content["name"] == name
