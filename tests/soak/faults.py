"""Faults that a run of the soak injects, each for a random while."""

import asyncio
import resource
import signal

from tests.soak.backends import Backend
from tests.soak.processes import ZONES

FULL_DISK_BYTES = 1  # no file may grow beyond it


async def kill_core(world):
    async with world.one_core() as core:
        if core:
            await core.kill()
            await world.seconds(0.1, 2.0)
            await core.start()


async def wipe_core(world):
    async with world.one_core() as core:
        if core:
            await core.kill()
            core.wipe()
            await world.seconds(0.1, 1.0)
            await core.start()


async def pause_core(world):
    async with world.one_core() as core:
        if core:
            core.pause()
            await world.seconds(0.5, 3.0)
            core.resume()


async def stop_core(world):
    async with world.one_core() as core:
        if core:
            await core.stop()
            await core.start()


async def fill_disk_of_core(world):
    async with world.one_core() as core:
        if core and core.alive:
            limits = resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE)
            full = (FULL_DISK_BYTES, limits[1])
            resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE, full)
            await world.seconds(0.5, 2.0)
            if core.alive:
                resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE, limits)


async def _disturb_core_link(world, **changes):
    async with world.one_core() as core:
        if core:
            proxy = world.core_proxies[world.cores.index(core)]
            for name, value in changes.items():
                setattr(proxy, name, value)
            await world.seconds(0.5, 3.0)
            proxy.heal()


async def cut_core_in(world):
    await _disturb_core_link(world, cut_in=True)


async def cut_core_out(world):
    await _disturb_core_link(world, cut_out=True)


async def silence_core(world):
    await _disturb_core_link(world, cut_in=True, cut_out=True)


async def delay_core(world):
    await _disturb_core_link(world, delay_ms=world.rng.uniform(20, 250))


async def reset_core_links(world):
    world.ledger.note_fault()
    for proxy in world.core_proxies:
        proxy.reset(0.5, world.rng)


async def kill_all_cores(world):
    if world._core_busy:
        return
    world._core_busy = True
    world.ledger.note_fault()
    await asyncio.gather(*(core.kill() for core in world.cores))
    await world.seconds(0.1, 0.8)
    for core in world.cores:
        await core.start()
    world.ledger.note_fault()
    await asyncio.sleep(4.0)
    world._core_busy = False


async def kill_edge(world):
    world.ledger.note_fault()
    edge = world.rng.choice(world.edges)
    await edge.kill()
    await world.seconds(0.1, 1.5)
    await edge.start()
    world.ledger.note_fault()


async def pause_edge(world):
    world.ledger.note_fault()
    edge = world.rng.choice(world.edges)
    edge.pause()
    await world.seconds(0.5, 3.0)
    edge.resume()
    world.ledger.note_fault()


async def stop_edge(world):
    edge = world.rng.choice(world.edges)
    if edge.alive and not edge.paused:
        await edge.stop()
        await edge.start()


async def reload_edge(world):
    world.rng.choice(world.edges).signal(signal.SIGHUP)


async def disturb_backend_link(world):
    world.ledger.note_fault()
    proxy = world.rng.choice(world.backend_proxies)
    match world.rng.randrange(3):
        case 0:
            proxy.reset(1.0, None)
        case 1:
            proxy.delay_ms = world.rng.uniform(20, 200)
        case 2:
            proxy.cut_out = True
    await world.seconds(0.5, 3.0)
    proxy.heal()
    world.ledger.note_fault()


async def reset_backend_links(world):
    """Lose the answers of many requests that ran."""
    world.ledger.note_fault()
    for _ in range(world.rng.randrange(5, 20)):
        for proxy in world.backend_proxies:
            proxy.reset(0.5, world.rng)
        await asyncio.sleep(0.12)
    world.ledger.note_fault()


async def crash_backend(world):
    world.ledger.note_fault()
    number = world.rng.randrange(len(world.backends))
    old = world.backends[number]
    if old.state != "ready":
        return
    old.state = "crashed"
    await old.crash()
    await world.seconds(0.2, 3.0)
    world.backends[number] = Backend(world, number, old.incarnation + 1)
    await world.backends[number].start()
    world.ledger.note_fault()


async def drain_backend(world):
    number = world.rng.randrange(len(world.backends))
    old = world.backends[number]
    if old.state != "ready":
        return
    await old.leave()
    world.backends[number] = Backend(world, number, old.incarnation + 1)
    await world.backends[number].start()


async def change_configuration(world):
    world.version += world.rng.randrange(1, 4)
    await world.rng.choice(world._operators).put(world.version)


async def race_configurations(world):
    world.version += 1
    await asyncio.gather(*(one.put(world.version) for one in world._operators))


async def resend_old_configuration(world):
    """Deliver a change again that a higher version has overtaken."""
    if world.version > 1:
        await world.rng.choice(world._operators).put(world.rng.randrange(world.version))


async def evacuate(world):
    zone = world.rng.choice(list(ZONES))
    await world._operators[0].evacuate(zone, world.rng.uniform(0.5, 4.0))


FAULTS = (
    kill_core,
    wipe_core,
    pause_core,
    stop_core,
    fill_disk_of_core,
    cut_core_in,
    cut_core_out,
    silence_core,
    delay_core,
    reset_core_links,
    kill_all_cores,
    kill_edge,
    pause_edge,
    stop_edge,
    reload_edge,
    disturb_backend_link,
    reset_backend_links,
    reset_backend_links,  # twice as often: the only fault that loses many answers
    crash_backend,
    drain_backend,
    change_configuration,
    race_configurations,
    resend_old_configuration,
    evacuate,
)
# What operators plan; beside these alone, no promise may wait for a repair.
PLANNED = (
    stop_edge,
    reload_edge,
    drain_backend,
    drain_backend,
    change_configuration,
    race_configurations,
    resend_old_configuration,
    evacuate,
)
