"""Steps about backend servers."""

import pytest
from pytest_bdd import given, parsers, then, when


@given("backend servers block their requests")
@when("backend servers block their requests")
def _block_requests(harness):
    harness.block_requests()


@when("backend servers answer again")
def _answer_again(harness, run):
    harness.unblock_requests()
    run(harness.wait_for_pending())


@given(parsers.parse("one backend server of the first region {fault}"))
def _fault(harness, fault):
    faults = harness.servers(harness.services[0], harness.deployment.plan.regions[0])[
        0
    ].faults
    if fault == "truncates its answers":
        faults.truncate = True
    elif fault == "refuses before running":
        faults.refuse = True
    elif fault == "reports no load and takes 200 ms longer":
        faults.reported_load, faults.extra_ms = 0.0, 200.0
    else:
        pytest.fail(f"unknown fault {fault!r}")


@given("every backend server refuses before running")
def _refuse_all(harness):
    for server in harness.servers():
        server.faults.refuse = True


@given("backend servers have different service times")
def _different_times(harness):
    for number, server in enumerate(harness.servers()):
        server.faults.extra_ms = 15.0 * (number % 4)


@when("backend servers stop reporting")
def _reports_stop(harness, run):
    async def stop():
        for server in harness.servers():
            await server.stop_reports()

    run(stop())


@when("one backend server of the first region starts draining")
def _drain(harness, run):
    server = harness.servers(harness.services[0], harness.deployment.plan.regions[0])[0]
    harness.draining_server = server
    run(server.drain())


@when("every entry host sees the server as draining")
def _all_see_draining(harness, run):
    name = harness.draining_server.settings.name

    def is_draining():
        return all(
            name not in entry.session.servers or entry.session.servers[name].draining
            for entry in harness.deployment.entries.values()
        )

    run(harness.wait_until(is_draining))
    harness.runs_before = len(harness.draining_server.execution_log)


@then("the draining server received no new work")
def _no_new_work(harness):
    assert len(harness.draining_server.execution_log) == harness.runs_before


@then("the requests that it was running completed")
def _work_completed(harness):
    assert harness.draining_server.execution_log
    ends = {execution.end.value for execution in harness.draining_server.execution_log}
    assert ends == {"done"}


@when("the first region fails")
def _region_fails(harness, run):
    region = harness.deployment.plan.regions[0]

    async def fail():
        for _name, server in list(harness.deployment.servers.items()):
            if server.settings.region == region:
                await server.close()
        await harness.deployment.stop_entry(harness.entry_name(1))

    run(fail())
