"""Tests of experiment files, experiment runs and reports.

A request that is lost or counted twice would falsify the results of an experiment.
"""

import json

import pytest

from bulrushlead.bench import (
    ExperimentResult,
    PolicyResult,
    SecondRecord,
    load_experiment,
    run_experiment,
    write_report,
)
from bulrushlead.results import FaultsError

SMALL_EXPERIMENT = """
name = "small"
seed = 3
policies = ["latency_aware"]
rates_rps = [40.0]
step_s = 1.0
regions = ["casa"]
zones_per_region = 1
controls = 1
servers_per_zone = 2
service_time_ms = 1.0
keyed_share = 0.5
timeout_ms = 30000
"""


def write_experiment(tmp_path, text):
    path = tmp_path / "experiment.toml"
    path.write_text(text)
    return str(path)


def test_error_names_every_invalid_fault(tmp_path):
    text = SMALL_EXPERIMENT + 'faults = ["flood@1", "entry_down@9", "entry_down@x"]\n'
    with pytest.raises(FaultsError) as caught:
        load_experiment(write_experiment(tmp_path, text))
    assert [f.value for f in caught.value.faults] == [
        "'flood@1'",
        "'entry_down@9'",
        "'entry_down@x'",
    ]


def test_invalid_policies_and_rates_are_rejected(tmp_path):
    text = SMALL_EXPERIMENT.replace("latency_aware", "magic").replace("40.0", "0.0")
    with pytest.raises(FaultsError) as caught:
        load_experiment(write_experiment(tmp_path, text))
    assert {f.key for f in caught.value.faults} == {"policies", "rates_rps"}


async def test_experiment_counts_and_reports_every_request(tmp_path):
    experiment = load_experiment(write_experiment(tmp_path, SMALL_EXPERIMENT))
    shares = []
    result = await run_experiment(
        experiment, "test", lambda name, share: shares.append(share)
    )
    (policy,) = result.policies
    (step,) = policy.steps
    assert step.offered > 0
    assert (step.good, step.refused, step.failed) == (step.offered, 0, 0)
    assert sum(record.offered for record in policy.seconds) == step.offered
    assert sum(sum(r.by_region.values()) for r in policy.seconds) == step.offered
    assert (policy.slot_breaches, policy.repeated_keys, policy.false_not_run) == (
        0,
        0,
        0,
    )
    assert shares[-1] == 1.0

    names = write_report(result, str(tmp_path / "out"))
    written = json.loads((tmp_path / "out" / "small.json").read_text())
    assert written["seed"] == 3
    for name in names:
        assert (tmp_path / "out" / name).stat().st_size > 0


def test_report_shows_violations(tmp_path):
    policy = PolicyResult("random", (), (SecondRecord(0),), 3, 2, 1)
    result = ExperimentResult("bad", "test", "0", 1, "machine", 10.0, (policy,))
    write_report(result, str(tmp_path))
    text = (tmp_path / "bad.md").read_text()
    assert 'slot breaches 3, repeated keys 2, false "not run" 1' in text
