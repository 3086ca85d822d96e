"""A coordinator that was frozen carries out an old order after it has woken."""

# ruff: noqa: D102, D103
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as s  # noqa: E402

ZONE = "fes-a"
CUT_S = 5.5  # the site cuts the core for 5.5 s
ORDER_AFTER_S = 0.3
EVACUATE_AGAIN_S = 4.5
WATCH_S = 14.0


async def play(deployment, trouble):
    record = deployment.record
    zones = list(s.ZONES)
    deployment.instances = [
        s.Instance(deployment, "orders", zones[n % len(zones)], n) for n in range(6)
    ]
    document = {
        "version": 1,
        "resources": [
            s.route("stock", "/stock/", "safe", "orders", 2000, 300),
            s.service("orders"),
            s.limits(),
        ],
    }
    await deployment.start(document)
    clients = [
        asyncio.create_task(send_requests(deployment, edge))
        for edge in deployment.edges
    ]
    try:
        return await change_zone(deployment, trouble, record)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def change_zone(deployment, trouble, record):
    operator = s.Operator(deployment)
    leader = await deployment.leader()
    cut_off, *others = [core for core in deployment.cores if core is not leader]
    await asyncio.sleep(2.0)
    await operator.order(f"evacuations.start&of={ZONE}", others)
    await asyncio.sleep(6.0)
    if trouble:
        record.say(f"{cut_off.name} is cut off from the other coordinators")
        deployment.peers.cut_off = cut_off
    cut_s = record.now()
    await asyncio.sleep(ORDER_AFTER_S)
    await operator.order(f"evacuations.end&of={ZONE}", [cut_off, *others])
    await asyncio.sleep(max(0.0, cut_s + EVACUATE_AGAIN_S - record.now()))
    acked_s = await operator.order(f"evacuations.start&of={ZONE}", others)
    await asyncio.sleep(max(0.0, cut_s + CUT_S - record.now()))
    if trouble:
        record.say("the cut heals")
        deployment.peers.cut_off = None
    # The bound of an evacuation, and the time after which all are in touch again.
    binds_s = max(acked_s + s.EVACUATION_S, record.now() + s.CONTACT_S)
    await asyncio.sleep(binds_s + WATCH_S - record.now())
    until_s = record.now()
    record.say("the rule is checked for what came until now")
    return [
        f"EVAC: {request_id} reached {instance.id} in {ZONE} at {at_s:.3f}, "
        f"{at_s - acked_s:.1f} s after its evacuation was acknowledged"
        for instance in deployment.instances
        if instance.zone == ZONE
        for at_s, request_id in instance.arrivals
        if binds_s < at_s < until_s
    ]


async def send_requests(deployment, edge):
    number = 0
    while True:
        number += 1
        request_id = f"{edge.name}-{number}"
        headers = {
            "Host": s.NAME,
            "Request-Id": request_id,
            "Deadline-Ms": "2000",
            "Affinity-Key": str(number % 20),
        }
        try:
            status, _, _ = await s.exchange(
                edge.ip, deployment.front_port, "GET", "/stock/x", headers, b"", 2.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        deployment.record.write(f"client: {request_id} by {edge.name}: {status}")
        await asyncio.sleep(0.08)


play.layout = {"with_peer_network": True}
s.run_case(FOLDER, play)
