"""Tests of the faults that replace core hosts, and a short run with them."""

import asyncio

import pytest
from aiohttp import web

from bulrushlead.metrics import CompactMeters, Metric
from tests.soak import replacements
from tests.soak.harness import Harness
from tests.soak.processes import METRICS_PORT
from tests.soak.test_soak import FAULT_DURATION_S, LOGS, violated_invariants

# Every seed that has ever failed is listed here with its cause.
SEEDS = [
    # Failed on 6aa35b9: newcomers did not join, and two of five voters were left (issue
    # 42). Six leaders in a series, each killed.
    687,
]


@pytest.mark.timeout(300)
@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_while_core_hosts_are_replaced(seed):
    harness = Harness(seed, FAULT_DURATION_S, logs=LOGS)
    violations = asyncio.run(harness.run())
    assert violations == [], harness.history


class Operator:
    """Reads one version, and accepts every change or none."""

    def __init__(self, harness, version, accepts):
        self.harness = harness
        self.version = version
        self.accepts = accepts

    async def put(self, version):
        if not self.accepts:
            await asyncio.sleep(60.0)
        self.harness.checker.record_plan_acked(version)

    async def read(self):
        return None if self.version is None else {"version": self.version}


@pytest.fixture
def harness(monkeypatch):
    """Return a harness whose hosts never run, and whose times are short."""
    monkeypatch.setattr(replacements, "RECOVER_S", 0.05)
    monkeypatch.setattr(replacements, "ACCEPT_S", 0.05)
    harness = Harness(15, 0.0)

    async def start():
        pass

    for host in (*harness.cores, *harness.edges):
        host.start = start
    harness.sleep_between = lambda low, high: asyncio.sleep(0)
    yield harness
    asyncio.run(harness._close())


@pytest.mark.parametrize(
    ("read", "accepts", "violated"),
    [
        (9, True, []),
        (1, True, ["LOST"]),
        (None, True, ["CONFIG"]),
        (9, False, ["RECOVER", "RECOVER"]),
    ],
)
def test_what_the_loss_of_all_processes_takes_is_reported(
    harness, read, accepts, violated
):
    harness.checker.record_plan_acked(1)
    harness.operators = [Operator(harness, read, accepts)]
    asyncio.run(replacements.lose_all_processes(harness))
    assert violated_invariants(harness.checker) == violated


def test_a_replaced_host_is_neither_a_seed_nor_used_again(harness):
    old = harness.cores[0]
    new = harness.add_core(old.zone)
    harness.retire_core(old, new)
    assert old not in harness.cores and old not in harness.seeds
    assert new.ip not in {host.ip for host in harness.all_cores if host is not new}
    assert new.zone == old.zone
    assert "bootstrap = false" in new.write_settings().read_text()


def test_the_leader_is_told_from_the_others(harness):
    """Guards against the help text of the metric, which any host prints."""

    async def run():
        runners = []
        for number, core in enumerate(harness.cores[:3]):
            meters = CompactMeters()
            value = float(number == 1)
            meters.register_gauge(Metric.IS_LEADER, lambda value=value: value)
            app = web.Application()
            text = meters.render()
            app.router.add_get("/metrics", lambda _, text=text: answer(text))
            runners.append(web.AppRunner(app))
            await runners[-1].setup()
            await web.TCPSite(runners[-1], core.ip, METRICS_PORT).start()
        leader = await replacements._leader(harness)
        for runner in runners:
            await runner.cleanup()
        return leader

    async def answer(text):
        return web.Response(text=text)

    assert asyncio.run(run()) is harness.cores[1]


def test_faults_that_never_end_are_reported(harness, monkeypatch):
    monkeypatch.setattr("tests.soak.harness.MAX_FAULT_S", 0.01)

    async def run():
        task = harness.spawn(asyncio.sleep(60.0))
        await harness._wait_for([task])

    asyncio.run(run())
    assert violated_invariants(harness.checker) == ["RECOVER"]
