"""Load generator and experiment runner with reports and plots."""

from bulrushlead.bench._experiment import (
    Experiment,
    FaultAt,
    FaultKind,
    LoadStep,
    load_experiment,
)
from bulrushlead.bench._report import write_report
from bulrushlead.bench._result import (
    ExperimentResult,
    PolicyResult,
    SecondRecord,
)
from bulrushlead.bench._run import run_experiment

__all__ = [
    "Experiment",
    "ExperimentResult",
    "FaultAt",
    "FaultKind",
    "LoadStep",
    "PolicyResult",
    "SecondRecord",
    "load_experiment",
    "run_experiment",
    "write_report",
]
