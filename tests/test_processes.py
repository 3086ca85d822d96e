"""Runs the programs as separate processes, driven by the command line.

Guards against failures that tests in one process can't show: a host that doesn't wait
for its peers, loses an answer or its state when it is killed, or exits with an error.
"""

import contextlib
import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from bulrushlead.embedded import free_ports

WAIT_TIMEOUT_S = 90

CONTROL = """
name = "control-1"
peer_address = "127.0.0.1:{peer}"
operator_address = "127.0.0.1:{operator}"
metrics_address = "127.0.0.1:{metrics}"
peers = ["127.0.0.1:{peer}"]
data_folder = "{folder}"
bootstrap = true
"""
ENTRY = """
name = "{name}"
region = "fes"
availability_zone = "fes-a"
address = "127.0.0.1:{port}"
control_addresses = ["127.0.0.1:{peer}"]
lookup_ttl_ms = 100
"""
DECLARATION = """
regions = [{{ name = "fes" }}]
availability_zones = [{{ name = "fes-a", region = "fes" }}]
hosts = [
    {{ name = "e1", availability_zone = "fes-a", address = "127.0.0.1:{e1}" }},
    {{ name = "e2", availability_zone = "fes-a", address = "127.0.0.1:{e2}" }},
]
services = [{{ name = "orders", max_duration_ms = 5000 }}]
client_blocks = [{{ prefix = "127.0.0.0/8", region = "fes" }}]
"""


class Processes:
    """Starts programs, and stops only the processes that it started."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, name, *args):
        log = (self.folder / f"{name}.log").open("ab")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "bulrushlead.cli", *args], stderr=log, stdout=log
        )

    def call(self, *args):
        return subprocess.run(
            [sys.executable, "-m", "bulrushlead.cli", *args],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
        )

    def stop(self, name, signal_number):
        process = self.running.pop(name)
        process.send_signal(signal_number)
        return process.wait(WAIT_TIMEOUT_S)

    def kill_all(self):
        for name in list(self.running):
            self.stop(name, signal.SIGKILL)


def request(port, path, data=None, headers=None):
    sent = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, headers or {})
    try:
        with urllib.request.urlopen(sent, timeout=WAIT_TIMEOUT_S) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.05)
    pytest.fail("timed out waiting for the condition")


def serves(port):
    return request(port, "/v1/services/orders/stock")[0] == 200


@pytest.mark.timeout(600)
def test_programs_recover_from_kills_and_exit_cleanly(tmp_path):
    processes = Processes(tmp_path)
    peer, operator, metrics, e1, e2 = free_ports(5)
    names = {"peer": peer, "operator": operator, "metrics": metrics}
    files = {
        "control": CONTROL.format(folder=tmp_path / "data", **names),
        "e1": ENTRY.format(name="e1", port=e1, peer=peer),
        "e2": ENTRY.format(name="e2", port=e2, peer=peer),
        "declaration": DECLARATION.format(e1=e1, e2=e2),
    }
    for name, text in files.items():
        (tmp_path / f"{name}.toml").write_text(text)
    declaration = str(tmp_path / "declaration.toml")
    operators = ("--control", f"127.0.0.1:{operator}")
    try:
        # The control host starts last, to test that the others wait for it.
        for name in ("e1", "e2"):
            processes.start(name, "entry", str(tmp_path / f"{name}.toml"))
        processes.start(
            "s1",
            *("backend-sample", "s1", "--service", "orders", "--region", "fes"),
            *("--availability-zone", "fes-a"),
            *("--entry-hosts", f"127.0.0.1:{e1}", f"127.0.0.1:{e2}"),
        )
        processes.start("control", "control", str(tmp_path / "control.toml"))
        shown = processes.call("diff", declaration, *operators)
        assert "+ services.orders" in shown.stdout, shown.stderr
        applied = processes.call("apply", declaration, "--wait", *operators)
        assert "revision 1 is in force everywhere" in applied.stdout, applied.stderr
        wait_until(lambda: serves(e1) and serves(e2))

        found = processes.call("lookup", "orders", "--entry-host", f"127.0.0.1:{e2}")
        assert f"127.0.0.1:{e1}" in found.stdout
        refused = processes.call("lookup", "none", "--entry-host", f"127.0.0.1:{e2}")
        assert refused.returncode == 8  # UNKNOWN_SERVICE

        order = ("/v1/services/orders/order", b"barley", {"Idempotency-Key": "k1"})
        first = request(e1, *order)
        assert first[0] == 200
        processes.stop("e1", signal.SIGKILL)
        assert request(e2, *order) == first

        processes.stop("control", signal.SIGKILL)
        processes.start("control", "control", str(tmp_path / "control.toml"))
        processes.start("e1", "entry", str(tmp_path / "e1.toml"))
        wait_until(lambda: serves(e1) and serves(e2))
        assert request(e1, *order) == first
        status = processes.call("status", "--json", *operators)
        assert json.loads(status.stdout)["revision"] == 1

        assert processes.stop("s1", signal.SIGTERM) == 0
        # 3004 is NO_BACKEND_SERVER.
        wait_until(
            lambda: request(e1, "/v1/services/orders/stock")[1].get("code") == 3004
        )
        assert request(e1, *order) == first
        for name in ("e1", "e2", "control"):
            assert processes.stop(name, signal.SIGTERM) == 0
    finally:
        processes.kill_all()
