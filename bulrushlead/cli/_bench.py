"""Command that runs experiments."""

import sys

from bulrushlead.cli._run import run_async
from bulrushlead.logs import LogFormat, build_handler

BAR_WIDTH = 30  # characters


def bench(file: str, *, out: str = "build/experiments") -> int:
    """Run an experiment on loopback and write its report.

    Parameters
    ----------
    file : str
        Experiment file in TOML.
    out : str
        Output folder for the result file, the report and the plots.
    """
    # Imported here because the plotting library would add tens of megabytes of memory
    # to every daemon.
    from bulrushlead.bench import load_experiment, run_experiment, write_report

    experiment = load_experiment(file)
    command = f"bulrushlead bench {file}"
    with build_handler(LogFormat.HUMAN, sys.stderr, "CRITICAL").applicationbound():
        result = run_async(run_experiment(experiment, command, _show_progress))
    print(file=sys.stderr)
    for name in write_report(result, out):
        print(f"{out}/{name}")
    return 0


def _show_progress(policy: str, share: float) -> None:
    filled = round(BAR_WIDTH * share)
    bar = "#" * filled + "." * (BAR_WIDTH - filled)
    print(f"\r{policy:<20} [{bar}] {share:4.0%}", end="", file=sys.stderr, flush=True)
