"""Steps about hosts of the system."""

import asyncio
import shutil
from pathlib import Path

from pytest_bdd import parsers, when


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
