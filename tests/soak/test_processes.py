"""The processes of the soak are started again as the platform does."""

import asyncio
import signal
import sys
from types import SimpleNamespace

import pytest

from tests.soak.processes import Host

SLOW_STOP = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep(0.5), sys.exit()))
print("ready", flush=True)
while True:
    time.sleep(0.05)
"""


@pytest.fixture
async def host(tmp_path, monkeypatch):
    async def spawn(host):
        host.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SLOW_STOP, stdout=asyncio.subprocess.PIPE
        )
        await host.process.stdout.readline()
        host.stopping = False

    monkeypatch.setattr(Host, "_spawn", spawn)
    harness = SimpleNamespace(ip=lambda *_: "127.0.0.1", folder=tmp_path)
    host = Host(harness, "edge", 0)
    await host.start()
    yield host
    await host.close()


async def test_a_host_that_another_fault_stops_is_started_again(host):
    """Guards against a host that is left out for the rest of a run (seed 4)."""
    stopped = host.process
    host.signal(signal.SIGTERM)
    await host.start()
    assert stopped.returncode == 0
    assert host.alive
    assert host.process is not stopped


async def test_a_running_host_is_not_started_twice(host):
    running = host.process
    await host.start()
    assert host.process is running
