"""Faults that replace core hosts, and the loss of all processes that ends a run.

A replaced host is gone for good. Its successor has another address, an empty disk, and
settings that name the present seeds and no first start. At most one disk is lost until
the core has caught up with the log again, as for all faults of the core.
"""

import asyncio
import random

import aiohttp

from tests.soak.backends import CALL_TIMEOUT
from tests.soak.faults import (
    change_configuration,
    drain_backend,
    evacuate,
    isolate_core,
    kill_all_cores,
    pause_edge,
    race_configurations,
    reload_edge,
    resend_old_configuration,
    reset_core_links,
    stop_edge,
    wipe_core,
)
from tests.soak.processes import METRICS_PORT

LEADER_LINE = "bulrushlead_is_leader 1"
CATCH_UP_S = 4.0
STEPS_RANGE = (4, 8)
# Each series draws one of each: how often the leader is replaced instead of any host,
# how often a step replaces no host, the gap after a step, besides CATCH_UP_S, and in
# which ways hosts are replaced.
LEADER_SHARES = (0.3, 1.0)
OTHER_SHARES = (0.0, 0.3)
GAPS_S = ((1.0, 1.5), (1.0, 3.0))
WAYS = (("killed",), ("killed", "stopped"), ("killed", "stopped", "planned"))
# From the start of all hosts until the last accepted change is read back and a new one
# accepted.
RECOVER_S = 15.0
ACCEPT_S = 15.0  # for the change before the loss
LOST_DISK_SHARE = 0.75  # of the runs that lose all processes


async def replace_cores_in_series(harness):
    """Replace core hosts one after the other, with other losses in between."""
    harness.series_active = True
    rng = random.Random(f"{harness.seed}/series")
    steps = rng.randint(*STEPS_RANGE)
    leader_share, other_share = rng.choice(LEADER_SHARES), rng.choice(OTHER_SHARES)
    gap_s, ways = rng.choice(GAPS_S), rng.choice(WAYS)
    for _ in range(steps):
        while harness.core_fault_active:
            await asyncio.sleep(0.1)
        if rng.random() < other_share:
            step = rng.choice((wipe_core, isolate_core, kill_all_cores))
            harness.history.append(f"{harness.clock():.1f} s   {step.__name__}")
            await step(harness)
        else:
            await replace_core(harness, rng, leader_share, ways)
        await harness.sleep_between(*gap_s)
    harness.series_active = False


async def replace_core(harness, rng, leader_share, ways):
    """Replace a core host: killed, stopped, or stopped once its successor runs."""
    async with harness.choose_core() as core:
        if core is None:
            return
        if rng.random() < leader_share:
            core = await _leader(harness) or core
        way = rng.choice(ways)
        new = harness.add_core(core.zone)
        harness.history.append(
            f"{harness.clock():.1f} s   {core.name} {way}, replaced by {new.name}"
        )
        if way == "planned":
            await new.proxy.start()
            await new.start()
            await asyncio.sleep(CATCH_UP_S)
        harness.retire_core(core, new)
        await (core.kill() if way == "killed" else core.stop())
        # Connections to a host that is gone hang or are refused.
        if rng.random() < 0.5:
            core.proxy.cut_in = True
        else:
            await core.proxy.close()
        if way != "planned":
            await harness.sleep_between(0.1, 2.0)
            await new.proxy.start()
            await new.start()


async def turn_over_seeds(harness):
    """Name other seeds in the settings of all hosts, and let them reload these."""
    harness.seeds = harness.rng.sample(harness.cores, 3)
    for host in (*harness.cores, *harness.edges):
        host.write_settings()
        if harness.rng.random() < 0.7:  # the others notice that the file has changed
            host.reload()


async def lose_all_processes(harness):
    """Kill all processes right after an accepted change, and check what is left.

    One core host may lose its disk with it.
    """
    checker, rng = harness.checker, harness.rng
    if not await _change(harness, ACCEPT_S):
        checker.record_violation(
            "RECOVER", f"no change was accepted in {ACCEPT_S:.0f} s after the faults"
        )
    hosts = (*harness.cores, *harness.edges)
    checker.record_fault()
    await asyncio.gather(*(host.kill() for host in hosts))
    if rng.random() < LOST_DISK_SHARE:
        lost = rng.choice(harness.cores)
        lost.wipe()
        harness.history.append(f"  {lost.name} loses its disk")
    await asyncio.gather(*(_start_later(harness, host) for host in hosts))
    checker.record_fault()
    started_s = harness.clock()
    await _check_read_back(harness)
    left_s = RECOVER_S - (harness.clock() - started_s)
    if not await _change(harness, max(left_s, 0.0)):
        checker.record_violation(
            "RECOVER", f"no change was accepted in {RECOVER_S:.0f} s after all started"
        )


async def _start_later(harness, host):
    await harness.sleep_between(0.1, 1.0)
    await host.start()


async def _check_read_back(harness):
    newest = max(version for _, version in harness.checker.acked)
    try:
        async with asyncio.timeout(RECOVER_S):
            while (document := await harness.operators[0].read()) is None:
                await asyncio.sleep(0.1)
    except TimeoutError:
        harness.checker.record_violation(
            "CONFIG", f"version {newest} was accepted, nothing is read after all lost"
        )
        return
    if document["version"] < newest:
        harness.checker.record_violation(
            "LOST", f"version {newest} was accepted, read {document['version']}"
        )


async def _change(harness, timeout_s):
    """Send a new configuration; return whether it was accepted in time."""
    harness.version += 1
    try:
        async with asyncio.timeout(timeout_s):
            await harness.operators[0].put(harness.version)
    except TimeoutError:
        return False
    return True


async def _leader(harness):
    """Return the core host that leads, or None if none says so."""
    async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session:
        for core in harness.cores:
            try:
                async with session.get(
                    f"http://{core.ip}:{METRICS_PORT}/metrics"
                ) as answer:
                    if LEADER_LINE in (await answer.text()).splitlines():
                        return core
            except (OSError, aiohttp.ClientError, TimeoutError):
                continue
    return None


# Beside the series of replaced hosts. Faults of the core are steps of the series, since
# others would put off its next step.
REPLACEMENTS = (
    turn_over_seeds,
    turn_over_seeds,
    change_configuration,
    change_configuration,
    race_configurations,
    resend_old_configuration,
    evacuate,
    reset_core_links,
    drain_backend,
    stop_edge,
    reload_edge,
    pause_edge,
)
