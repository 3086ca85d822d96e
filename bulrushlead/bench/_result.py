"""Results of an experiment, as written to JSON."""

import attrs

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.define
class SecondRecord:
    """What happened to the requests that arrived in one second.

    Parameters
    ----------
    second : int
        Seconds since the load began.
    offered, good, refused, failed : int
        Requests that arrived, that got a complete answer, that were refused as
        not run, and whose outcome was lost or unknown.
    by_region : dict of str to int
        Executions by region of the backend server.
    """

    second: int
    offered: int = 0
    good: int = 0
    refused: int = 0
    failed: int = 0
    by_region: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class PercentileRow:
    """One percentile of the latency of good answers.

    Parameters
    ----------
    percentile : float
        0 to 100.
    latency_ms : float
        From the intended arrival to the end of the answer.
    """

    percentile: float
    latency_ms: float


@attrs.frozen
class StepResult:
    """Figures of one load step.

    Parameters
    ----------
    rate_rps : float
        Offered rate.
    offered, good, refused, failed : int
        Requests by outcome.
    latencies : tuple of PercentileRow
        Latency of good answers.
    codes : dict of str to int
        Refusals and failures by result code.
    """

    rate_rps: float
    offered: int
    good: int
    refused: int
    failed: int
    latencies: tuple[PercentileRow, ...]
    codes: dict[str, int]

    def latency_ms(self, percentile: float) -> float:
        """Return one of the recorded percentiles."""
        for row in self.latencies:
            if row.percentile == percentile:
                return row.latency_ms
        raise KeyError(f"percentile {percentile} was not recorded")


@attrs.frozen
class PolicyResult:
    """Figures of one policy.

    Parameters
    ----------
    policy : str
        Name of the policy.
    steps : tuple of StepResult
        One for each load step.
    seconds : tuple of SecondRecord
        Time line.
    slot_breaches : int
        Requests that reached a server whose slots were all in use.
    repeated_keys : int
        Keys that ran more than once.
    false_not_run : int
        Requests told "not run" that a server ran.
    drain_last_work_s : float
        Time from a drain to the last new work it let through, in seconds; 0
        without a drain.
    """

    policy: str
    steps: tuple[StepResult, ...]
    seconds: tuple[SecondRecord, ...]
    slot_breaches: int
    repeated_keys: int
    false_not_run: int
    drain_last_work_s: float = 0.0


@attrs.frozen
class ExperimentResult:
    """Result file of an experiment.

    Parameters
    ----------
    name : str
        Name of the experiment.
    command : str
        Command that makes it.
    version : str
        Version of the program.
    seed : int
        Seed of the experiment.
    machine : str
        Kind of processor, cores and Python.
    shift_percent_cap : float
        Cap of the shift, 0 for none.
    policies : tuple of PolicyResult
        One for each policy.
    """

    name: str
    command: str
    version: str
    seed: int
    machine: str
    shift_percent_cap: float
    policies: tuple[PolicyResult, ...]
