"""Steps about backend servers."""

import pytest
from pytest_bdd import given, parsers, then, when


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
