"""Coordinators are replaced one after the other until no quorum is left."""

# ruff: noqa: D102, D103
import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as s  # noqa: E402

N_REPLACEMENTS = 4
SUCCESSOR_AFTER_S = 1.0  # an empty machine comes that much later
# Until the next one is removed: its successor has had catchUp (4 s), and 3 s more.
GAP_S = 8.0
RECOVER_S = 15.0
READ_FOR_S = 24.0  # six times contact


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
    await asyncio.sleep(2.0)
    await operator.order("config.put", deployment.cores[:], document(2))
    for _ in range(N_REPLACEMENTS):
        started_s = record.now()
        if trouble and not await replace_leader(deployment):
            break
        await asyncio.sleep(max(0.0, started_s + GAP_S - record.now()))
    await asyncio.sleep(RECOVER_S)
    record.say(f"running: {', '.join(core.name for core in deployment.cores)}")
    return await read_back(deployment, 2)


async def replace_leader(deployment):
    """End the leader's machine for good, and start an empty one elsewhere.

    Return whether there was a leader.
    """
    try:
        leader = await deployment.leader()
    except s.CannotRunError as error:
        deployment.record.say(f"no further replacement: {error}")
        return False
    deployment.record.say(f"{leader.name} is removed for good")
    await leader.kill()
    deployment.cores.remove(leader)
    deployment.removed.append(leader)
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    number = len(deployment.cores) + len(deployment.removed)
    successor = s.Machine(deployment, "core", number, leader.zone)
    successor.starts = 1  # not the first start of the whole system
    deployment.cores.append(successor)
    await successor.start()
    deployment.record.say(f"{successor.name} starts with an empty disk")
    return True


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
