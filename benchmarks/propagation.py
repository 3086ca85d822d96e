"""Measures the time from an accepted change to it being in force on every entry host.

Run from the repository's root: ``python -m benchmarks.propagation``. Starts three
control hosts and eleven entry hosts in one process on loopback.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

import attrs
import numpy as np
import uvloop

from bulrushlead.declaration import Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan
from bulrushlead.logs import LogFormat, build_handler
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import ByteMeter, MessageClient

ENTRY_HOSTS = 11
STEADY_CHANGES = 200
LEADER_CHANGES = 10
CUT_CHANGES = 50
IDLE_S = 20
POLL_S = 0.001
TARGET_P99_MS = 2_000
RESULTS = Path(__file__).parent / "results" / "propagation.json"


class FaultyLinks:
    """Links between hosts; those to and from one control host can be cut."""

    def __init__(self):
        self.cut_address = ""
        self.cut_host = ""
        self.clock = None
        self.meters = {}

    def link_to(self, host, address):
        """Return a link that times out while its host or peer is cut off."""
        return _Link(self, host, address)


class _Link:
    def __init__(self, links, host, address):
        self.links, self.host, self.address = links, host, address
        meter = links.meters.setdefault(host, ByteMeter())
        self.client = MessageClient(address, links.clock, meter)

    async def call(self, request, timeout_ms):
        if self.address == self.links.cut_address or self.host == self.links.cut_host:
            await self.links.clock.sleep_ms(timeout_ms)
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "the link is cut")
        return await self.client.call(request, timeout_ms)

    async def close(self):
        await self.client.close()


def declaration_for(deployment, number):
    """Return a declaration that differs for each number."""
    declaration = deployment.plan.declaration(deployment.entry_addresses)
    extra = Service("extra", timeout_ms=1_000 + number)
    return attrs.evolve(declaration, services=(*declaration.services, extra))


async def measure_change(deployment, number):
    """Return the time to acceptance, and from there to every entry host, in ms."""
    clock = deployment.clock
    started_ms = clock.now_ms()
    revision = await deployment.apply(declaration_for(deployment, number))
    accepted_ms = clock.now_ms()
    entries = deployment.entries.values()
    while any(entry.session.revision < revision for entry in entries):
        await asyncio.sleep(POLL_S)
    return accepted_ms - started_ms, clock.now_ms() - accepted_ms


async def lose_leader(deployment, number):
    """Measure a change that is sent immediately after the leader is stopped."""
    name = next(n for n, h in deployment.controls.items() if h.log.is_leader())
    await deployment.stop_control(name)
    figures = await measure_change(deployment, number)
    await deployment.start_control(name)
    await asyncio.sleep(2)
    return figures


async def cut_follower(deployment, links):
    """Cut off one control host that is not the leader from all other hosts."""
    name = next(n for n, h in deployment.controls.items() if not h.log.is_leader())
    links.cut_host = name
    links.cut_address = deployment.control_settings[name].peer_address


async def measure_idle(deployment, links):
    """Return sent and received bytes per second of an idle entry host."""
    meter = links.meters[next(iter(deployment.entries))]
    sent, received = meter.sent_bytes, meter.received_bytes
    spent_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    return {
        "sent_bytes_per_s": round((meter.sent_bytes - sent) / IDLE_S),
        "received_bytes_per_s": round((meter.received_bytes - received) / IDLE_S),
        "core_share_of_all_hosts_and_servers": round(
            (time.process_time() - spent_s) / IDLE_S, 4
        ),
    }


def summarise(figures):
    """Return the percentiles of both times of all changes."""
    table = np.array(figures)
    return {
        name: {
            f"p{p}_ms": round(float(np.percentile(table[:, column], p)), 1)
            for p in (50, 99, 100)
        }
        for column, name in enumerate(("to_accepted", "accepted_to_everywhere"))
    }


async def main():
    """Run all measurements and write the results."""
    links = FaultyLinks()
    plan = DeploymentPlan(
        regions=("casa",),
        controls=3,
        entries_per_region=ENTRY_HOSTS,
        services=(ServicePlan(Service("stock", max_duration_ms=2_000), 8),),
    )
    deployment = Deployment(plan, seed=5, link_factory=links.link_to)
    links.clock = deployment.clock
    await deployment.start()
    result = {"command": "python -m benchmarks.propagation", "seed": 5}
    try:
        result["idle"] = await measure_idle(deployment, links)
        steady = [await measure_change(deployment, n) for n in range(STEADY_CHANGES)]
        result["steady"] = summarise(steady)
        numbers = range(1_000, 1_000 + LEADER_CHANGES)
        result["leader_lost"] = summarise(
            [await lose_leader(deployment, n) for n in numbers]
        )
        await cut_follower(deployment, links)
        numbers = range(2_000, 2_000 + CUT_CHANGES)
        result["control_host_cut_off"] = summarise(
            [await measure_change(deployment, n) for n in numbers]
        )
    finally:
        await deployment.close()
    result["target_p99_ms"] = TARGET_P99_MS
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    with build_handler(LogFormat.HUMAN, sys.stderr, "CRITICAL").applicationbound():
        uvloop.run(main())
