"""Steps about control hosts and entry hosts."""

import asyncio
import shutil
from pathlib import Path

from pytest_bdd import parsers, when


@when(parsers.parse("entry host {number:d} dies"))
def _entry_dies(harness, run, number):
    run(harness.deployment.stop_entry(harness.entry_name(number)))


@when(parsers.parse("entry host {number:d} starts again"))
def _entry_starts(harness, run, number):
    run(harness.deployment.start_entry(harness.entry_name(number)))


@when(parsers.parse("entry host {number:d} is cut off from the control hosts"))
def _entry_cut(harness, run, number):
    name = harness.entry_name(number)
    harness.links.cut_hosts.add(name)
    session = harness.deployment.entries[name].session
    run(harness.wait_until(lambda: not session.is_valid()))


@when(parsers.parse("entry host {number:d} starts a planned stop"))
def _entry_drains(harness, run, number):
    entry = harness.deployment.entries[harness.entry_name(number)]

    async def start():
        harness.stopping.append(asyncio.ensure_future(entry.drain()))
        await asyncio.sleep(0)

    run(start())


@when("the planned stop has ended")
def _drain_over(harness, run):
    async def wait():
        await asyncio.gather(*harness.stopping)

    run(wait())


@when("the leader dies")
def _leader_dies(harness, run):
    async def stop():
        harness.previous_leader = await harness.wait_for_leader()
        await harness.deployment.stop_control(harness.previous_leader)

    run(stop())


@when("the control host that died starts again")
def _restart_control(harness, run):
    run(harness.deployment.start_control(harness.previous_leader))


@when("the leader is cut off without notice")
def _leader_cut(harness, run):
    async def cut():
        harness.previous_leader = await harness.wait_for_leader()
        harness.links.cut_hosts.add(harness.previous_leader)
        await harness.wait_for_leader(harness.previous_leader)

    run(cut())


@when("another control host becomes leader")
def _new_leader(harness, run):
    run(harness.wait_for_leader(harness.previous_leader))


@when("all control hosts restart")
def _all_restart(harness, run):
    async def restart():
        names = list(harness.deployment.controls)
        for name in names:
            await harness.deployment.stop_control(name)
        for name in names:
            await harness.deployment.start_control(name)
        await harness.wait_for_leader()

    run(restart())


@when("a control host loses its disk and rejoins as a voter")
def _lose_disk(harness, run):
    async def repair():
        leader = await harness.wait_for_leader()
        name = next(n for n in harness.deployment.controls if n != leader)
        await harness.deployment.stop_control(name)
        folder = Path(harness.deployment.control_settings[name].data_folder)
        await asyncio.to_thread(shutil.rmtree, folder)
        await harness.deployment.start_control(name)
        host = harness.deployment.controls[name]
        await harness.wait_until(
            lambda: any(
                m.replica_id == host.log.replica_id and m.role.value == "voter"
                for m in host.log.members
            )
        )
        harness.repaired_control = name

    run(repair())


@when("another control host is lost immediately afterwards")
def _second_loss(harness, run):
    async def lose():
        name = next(
            n for n in harness.deployment.controls if n != harness.repaired_control
        )
        await harness.deployment.stop_control(name)
        await harness.wait_for_leader(name)

    run(lose())
