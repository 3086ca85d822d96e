"""Faults that the soak injects, each for a random duration."""

import asyncio
import resource
import signal

from tests.soak.backends import Backend, CrashingCaller
from tests.soak.processes import ZONES

# After a cut each request sent in it has ended, and another cut can be told from it.
CUT_SETTLES_S = 4.5
FULL_DISK_BYTES = 1  # file size limit under which every write fails


async def kill_core(harness):
    async with harness.choose_core() as core:
        if core:
            await core.kill()
            await harness.sleep_between(0.1, 2.0)
            await core.start()


async def wipe_core(harness):
    async with harness.choose_core() as core:
        if core:
            await core.kill()
            core.wipe()
            await harness.sleep_between(0.1, 1.0)
            await core.start()


async def pause_core(harness):
    async with harness.choose_core() as core:
        if core:
            core.pause()
            await harness.sleep_between(0.5, 3.0)
            core.resume()


async def stop_core(harness):
    async with harness.choose_core() as core:
        if core:
            await core.stop()
            await core.start()


async def fill_disk_of_core(harness):
    async with harness.choose_core() as core:
        if core and core.alive:
            limits = resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE)
            full = (FULL_DISK_BYTES, limits[1])
            resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE, full)
            await harness.sleep_between(0.5, 2.0)
            if core.alive:
                resource.prlimit(core.process.pid, resource.RLIMIT_FSIZE, limits)


async def _inject_core_link_fault(harness, **changes):
    async with harness.choose_core() as core:
        if core:
            proxy = harness.core_proxies[harness.cores.index(core)]
            for name, value in changes.items():
                setattr(proxy, name, value)
            await harness.sleep_between(0.5, 3.0)
            proxy.heal()


async def cut_core_in(harness):
    await _inject_core_link_fault(harness, cut_in=True)


async def cut_core_out(harness):
    await _inject_core_link_fault(harness, cut_out=True)


async def isolate_core(harness):
    await _inject_core_link_fault(harness, cut_in=True, cut_out=True)


async def delay_core(harness):
    await _inject_core_link_fault(harness, delay_ms=harness.rng.uniform(20, 250))


async def reset_core_links(harness):
    harness.checker.record_fault()
    for proxy in harness.core_proxies:
        proxy.reset(0.5, harness.rng)


async def kill_all_cores(harness):
    if harness.core_fault_active:
        return
    harness.core_fault_active = True
    harness.checker.record_fault()
    await asyncio.gather(*(core.kill() for core in harness.cores))
    await harness.sleep_between(0.1, 0.8)
    for core in harness.cores:
        await core.start()
    harness.checker.record_fault()
    # The hosts stay unavailable until they have caught up with the log.
    await asyncio.sleep(4.0)
    harness.core_fault_active = False


async def kill_edge(harness):
    harness.checker.record_fault()
    edge = harness.rng.choice(harness.edges)
    await edge.kill()
    await harness.sleep_between(0.1, 1.5)
    await edge.start()
    harness.checker.record_fault()


async def pause_edge(harness):
    harness.checker.record_fault()
    edge = harness.rng.choice(harness.edges)
    edge.pause()
    await harness.sleep_between(0.5, 3.0)
    edge.resume()
    harness.checker.record_fault()


async def stop_edge(harness):
    edge = harness.rng.choice(harness.edges)
    if edge.alive and not edge.paused:
        await edge.stop()
        await edge.start()


async def reload_edge(harness):
    harness.rng.choice(harness.edges).signal(signal.SIGHUP)


async def disrupt_backend_link(harness):
    harness.checker.record_fault()
    proxy = harness.rng.choice(harness.backend_proxies)
    match harness.rng.randrange(3):
        case 0:
            proxy.reset(1.0, None)
        case 1:
            proxy.delay_ms = harness.rng.uniform(20, 200)
        case 2:
            proxy.cut_out = True
    await harness.sleep_between(0.5, 3.0)
    proxy.heal()
    harness.checker.record_fault()


async def reset_backend_links(harness):
    """Reset connections often, so that many answers to executed requests are lost."""
    harness.checker.record_fault()
    for _ in range(harness.rng.randrange(5, 20)):
        for proxy in harness.backend_proxies:
            proxy.reset(0.5, harness.rng)
        await asyncio.sleep(0.12)
    harness.checker.record_fault()


async def crash_backend(harness):
    harness.checker.record_fault()
    number = harness.rng.randrange(len(harness.backends))
    old = harness.backends[number]
    if old.state != "ready":
        return
    old.state = "crashed"
    await old.crash()
    await harness.sleep_between(0.2, 3.0)
    harness.backends[number] = Backend(harness, number, old.incarnation + 1)
    await harness.backends[number].start()
    harness.checker.record_fault()


async def drain_backend(harness):
    number = harness.rng.randrange(len(harness.backends))
    old = harness.backends[number]
    if old.state != "ready":
        return
    await old.drain()
    harness.backends[number] = Backend(harness, number, old.incarnation + 1)
    await harness.backends[number].start()


async def limit_backends(harness):
    """Let servers name limits, change them, name malformed ones, and withdraw them."""
    backends = harness.rng.sample(harness.backends, harness.rng.randrange(1, 4))
    for backend in backends:
        backend.name_limit(harness.rng.uniform(0.5, 8.0))
    await harness.sleep_between(1.0, 5.0)
    for backend in backends:
        backend.name_malformed_limit()
    await harness.sleep_between(0.2, 2.0)
    for backend in backends:
        backend.name_limit(harness.rng.uniform(0.0, 8.0))
    await harness.sleep_between(1.0, 5.0)
    for backend in backends:
        backend.name_limit(None)


async def cut_edges(harness):
    """Cut one, several, most or all gateways off from all servers."""
    if harness.cut_active:
        return
    harness.cut_active = True
    rng = harness.rng
    edges = rng.sample(harness.edges, rng.randrange(1, len(harness.edges) + 1))
    new = rng.choice(("hang", "refused", "unreachable"))
    open_connections = rng.choice(("live", "hang", "reset"))
    cut = harness.checker.record_cut([edge.front_address for edge in edges])
    for edge in edges:
        edge.cut_links(new, open_connections)
    await harness.sleep_between(5.0, 9.0)
    for edge in edges:
        edge.heal_links()
    harness.checker.record_cut_end(cut)
    await asyncio.sleep(CUT_SETTLES_S)
    harness.checker.check_cut(cut, len(edges) < len(harness.edges))
    harness.cut_active = False


async def send_crashing_request(harness):
    """Let one caller repeat a request that crashes each server that runs it."""
    harness.crashing_count += 1
    caller = CrashingCaller(harness, harness.crashing_count)
    await caller.run(harness.rng.uniform(6.0, 9.0))


async def stop_edges_in_turn(harness):
    for edge in harness.rng.sample(harness.edges, min(3, len(harness.edges))):
        if edge.alive and not edge.paused:
            await edge.stop()
            await edge.start()


async def reload_edge_while_stopping(harness):
    """Send a planned stop, and let the host reload its settings meanwhile."""
    edge = harness.rng.choice(harness.edges)
    if not edge.alive or edge.paused:
        return
    stop = asyncio.ensure_future(edge.stop())
    for _ in range(harness.rng.randint(1, 3)):
        await harness.sleep_between(0.0, 1.5)
        edge.reload()
    await stop
    await edge.start()


async def stop_edges_together(harness):
    """Stop several gateways at once, with reloads before, during and after."""
    edges = harness.rng.sample(harness.edges, len(harness.edges) - 1)
    await asyncio.gather(*(_stop_among_signals(harness, edge) for edge in edges))


async def _stop_among_signals(harness, edge):
    if not edge.alive or edge.paused:
        return
    await harness.sleep_between(0.0, 0.5)
    edge.signal(signal.SIGHUP)
    stop = asyncio.ensure_future(edge.stop())
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        await harness.sleep_between(0.0, 1.0)
        edge.signal(number)
    await stop
    await edge.start()


async def change_configuration_during_stops(harness):
    """Change the configuration again and again while gateways stop in turn."""
    stops = asyncio.ensure_future(stop_edges_in_turn(harness))
    while not stops.done():
        await change_configuration(harness)
        await harness.sleep_between(0.1, 2.0)
    await stops


async def change_configuration(harness):
    harness.version += harness.rng.randrange(1, 4)
    await harness.rng.choice(harness.operators).put(harness.version)


async def race_configurations(harness):
    harness.version += 1
    await asyncio.gather(*(one.put(harness.version) for one in harness.operators))


async def resend_old_configuration(harness):
    """Send a configuration with a version lower than the newest, as a late change."""
    if harness.version > 1:
        await harness.rng.choice(harness.operators).put(
            harness.rng.randrange(harness.version)
        )


async def evacuate(harness):
    zone = harness.rng.choice(list(ZONES))
    await harness.operators[0].evacuate(zone, harness.rng.uniform(0.5, 4.0))


FAULTS = (
    kill_core,
    wipe_core,
    pause_core,
    stop_core,
    fill_disk_of_core,
    cut_core_in,
    cut_core_out,
    isolate_core,
    delay_core,
    reset_core_links,
    kill_all_cores,
    kill_edge,
    pause_edge,
    stop_edge,
    reload_edge,
    disrupt_backend_link,
    reset_backend_links,
    reset_backend_links,  # listed twice: the only fault that loses many answers
    crash_backend,
    drain_backend,
    limit_backends,
    limit_backends,
    cut_edges,
    send_crashing_request,
    change_configuration,
    race_configurations,
    resend_old_configuration,
    evacuate,
)
# Planned work of operators. None of it is recorded as a fault, so that the checker
# excuses no violation.
PLANNED = (
    stop_edge,
    stop_edges_in_turn,
    stop_edges_together,
    reload_edge,
    drain_backend,
    drain_backend,
    limit_backends,
    limit_backends,
    change_configuration,
    race_configurations,
    resend_old_configuration,
    evacuate,
)
# The same with more at once: reloads and changes while gateways stop.
OVERLAPS = (
    *PLANNED,
    reload_edge_while_stopping,
    reload_edge_while_stopping,
    change_configuration_during_stops,
    change_configuration_during_stops,
)
# Cuts of gateways from all servers, beside planned work that moves no gateway: the only
# seeds in which the first tries at the gateways that are cut off can be compared.
CUTS = (
    cut_edges,
    cut_edges,
    drain_backend,
    limit_backends,
    change_configuration,
    race_configurations,
    evacuate,
)
# Requests that crash servers, beside changes of the hosts that must stop them. Faults
# are few, since the checker excuses what meets one.
CRASHES = (
    send_crashing_request,
    send_crashing_request,
    stop_edges_in_turn,
    reload_edge,
    change_configuration,
    kill_core,
    kill_edge,
)
