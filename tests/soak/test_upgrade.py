"""Short runs in which hosts change between the build in production and this one.

Longer runs are started by ``python -m tests.soak --upgrade-from production``.
"""

import asyncio
import json
import subprocess
import sys

import pytest

from tests.build_samples import lost_fields
from tests.soak.processes import ROOT
from tests.soak.upgrade import (
    HistoryMissingError,
    UpgradeHarness,
    extract,
    production_commit,
)

SEEDS = [1]
FAULT_DURATION_S = 4.0
# Messages, by name, that this build reads and will send once production reads them.
NOT_SENT_YET = frozenset()


@pytest.fixture
def earlier(tmp_path):
    """Return the folder of the source of the build in production."""
    try:
        return extract(production_commit(), tmp_path)
    except HistoryMissingError as error:
        pytest.skip(str(error))


def run_samples(source, verb, text=""):
    """Run ``tests.build_samples`` with the package of a build."""
    result = subprocess.run(
        [sys.executable, ROOT / "tests" / "build_samples.py", verb],
        cwd=source,
        env={"PYTHONPATH": str(source)},
        input=text,
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_while_builds_run_side_by_side(seed, earlier):
    harness = UpgradeHarness(seed, FAULT_DURATION_S, production_commit(), cores=3)
    violations = asyncio.run(harness.run())
    assert violations == [], harness.history
    assert all(host.source != harness.earlier for host in harness.cores)


def test_hosts_run_the_build_of_their_source(earlier):
    """Guards against an upgrade that compares this build with itself."""
    command = [sys.executable, "-c", "import bulrushlead; print(bulrushlead.__file__)"]
    result = subprocess.run(
        command, cwd=earlier, env={}, capture_output=True, text=True
    )
    assert result.stdout.strip() == str(earlier / "bulrushlead" / "__init__.py")


def test_production_reads_the_messages_of_this_build(earlier):
    """Guards against values that an earlier build takes for malformed messages.

    An unknown message or an unknown member of an enumeration makes the whole message
    malformed. What production cannot read yet must not be sent until it can. Fields
    that it does not know may be lost.
    """
    faults = json.loads(run_samples(earlier, "read", run_samples(ROOT, "write")))
    unreadable = {
        name: fault
        for name, fault in faults.items()
        if not fault.startswith("loses") and name not in NOT_SENT_YET
    }
    assert unreadable == {}


def test_this_build_keeps_all_that_production_writes(earlier):
    """Guards against fields of messages, logs and snapshots that no one reads."""
    written = run_samples(earlier, "write")
    assert len(json.loads(written)) > 50
    assert json.loads(run_samples(ROOT, "read", written)) == {}


def test_both_builds_decide_alike_what_hosts_decide_together(earlier):
    """Guards against two hosts that both act, or none, while builds are mixed."""
    assert run_samples(ROOT, "decide") == run_samples(earlier, "decide")


def test_lost_fields_are_found():
    original = {"a": {"b": [1, {"c": 2}]}, "d": 3}
    kept = {"a": {"b": [1, {}]}, "d": 3, "e": 4}
    assert lost_fields(original, kept) == [".a.b.1.c"]


def test_a_commit_that_is_not_there_is_named(tmp_path):
    with pytest.raises(HistoryMissingError, match="no source of 0{40}"):
        extract("0" * 40, tmp_path)
