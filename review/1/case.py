"""Coordinators that lose their disks one after the other do not join again."""

# ruff: noqa: D102, D103
import asyncio
import json
import shutil
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as s  # noqa: E402

N_LOSSES = 3
DOWN_S = 1.0
# Until the next disk is lost: the machine is back after 1 s and has had catchUp (4 s).
GAP_S = 8.0
SETTLE_S = 5.0
RECOVER_S = 15.0
READ_FOR_S = 12.0  # three times contact


def document(version):
    return {
        "version": version,
        "resources": [
            s.route("stock", "/stock/", "safe", "orders", 2000 + version, 300),
            s.service("orders"),
            s.limits(),
        ],
    }


async def play(deployment, trouble):
    record = deployment.record
    zones = list(s.ZONES)
    deployment.instances = [
        s.Instance(deployment, "orders", zones[n % len(zones)], n) for n in range(6)
    ]
    await deployment.start(document(1))
    operator = s.Operator(deployment)
    await asyncio.sleep(SETTLE_S)
    leader = await deployment.leader()
    followers = [core for core in deployment.cores if core is not leader]
    deployment.seeds = followers[:N_LOSSES]
    record.say(
        f"{leader.name} leads; settings files name "
        f"{', '.join(core.name for core in deployment.seeds)} from now on"
    )
    await operator.order("config.put", deployment.cores[:], document(2))
    for core in followers[:N_LOSSES]:
        started_s = record.now()
        if trouble:
            await lose_disk(deployment, core)
        await asyncio.sleep(max(0.0, started_s + GAP_S - record.now()))
    await asyncio.sleep(RECOVER_S)
    running = [core.name for core in deployment.cores if core.alive]
    record.say(f"running: {', '.join(running)}")
    return await read_back(deployment, 2)


async def lose_disk(deployment, core):
    """Power a machine off, and start it again with an empty disk."""
    deployment.record.say(f"{core.name} loses power and its disk")
    await core.kill()
    shutil.rmtree(core.folder / "data", ignore_errors=True)
    await asyncio.sleep(DOWN_S)
    await core.start()
    deployment.record.say(f"{core.name} starts with an empty disk")


async def read_back(deployment, acked_version):
    """Read the configuration as at the end of a day, at any node."""
    record = deployment.record
    until_s = record.now() + READ_FOR_S
    number = 0
    while record.now() < until_s:
        core = deployment.cores[number % len(deployment.cores)]
        number += 1
        status, body = await s.call_control(deployment, core, "config.get", None)
        record.say(f"operator reads at {core.name}: {status or 'no answer'}")
        if status == 200:
            version = json.loads(body)["version"]
            if version >= acked_version:
                return []
            return [f"CONFIG: version {version} is read, {acked_version} was acked"]
        await asyncio.sleep(0.2)
    return [
        f"CONFIG: read back for {READ_FOR_S:.0f} s, the configuration does not come; "
        f"version {acked_version} was acknowledged"
    ]


s.run_case(FOLDER, play)
