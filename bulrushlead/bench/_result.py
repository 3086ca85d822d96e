"""Results of an experiment, as written to the JSON file."""

import attrs

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.define
class SecondRecord:
    """Outcomes of the requests that arrived in one second.

    Parameters
    ----------
    second : int
        Whole seconds since the start of the load.
    offered, good, refused, failed : int
        Numbers of requests that arrived, that got a complete answer, that were
        refused as not run, and that got any other or no answer.
    by_region : dict of str to int
        Executions that started in this second, by region of the backend server.
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
        Percentile, 0 to 100.
    latency_ms : float
        Time from the intended arrival to the end of the answer, in milliseconds.
    """

    percentile: float
    latency_ms: float


@attrs.frozen
class StepResult:
    """Results of one load step.

    Parameters
    ----------
    rate_rps : float
        Mean arrivals per second.
    offered, good, refused, failed : int
        Numbers of requests by outcome, as in `SecondRecord`.
    latencies : tuple of PercentileRow
        Latency percentiles of good answers.
    codes : dict of str to int
        Numbers of refusals and failures by name of the result code. Failures without
        a code count as ``CONNECTION_LOST`` if no readable answer arrived, and as
        ``WRONG_ANSWER`` otherwise.
    """

    rate_rps: float
    offered: int
    good: int
    refused: int
    failed: int
    latencies: tuple[PercentileRow, ...]
    codes: dict[str, int]

    def latency_ms(self, percentile: float) -> float:
        """Return the latency at a recorded percentile, in milliseconds."""
        for row in self.latencies:
            if row.percentile == percentile:
                return row.latency_ms
        raise KeyError(f"percentile {percentile} was not recorded")


@attrs.frozen
class PolicyResult:
    """Results of one policy.

    Parameters
    ----------
    policy : str
        Name of the policy.
    steps : tuple of StepResult
        Results of each load step.
    seconds : tuple of SecondRecord
        Outcomes by second.
    slot_breaches : int
        Requests that reached a server whose slots were all in use.
    repeated_keys : int
        Idempotency keys that ran more than once.
    false_not_run : int
        Requests that were answered as not run although a server ran them.
    drain_last_work_s : float
        Time from the first zone drain to the last execution that started in the
        drained zone, in seconds; 0 without a drain.
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
    """Results of an experiment, the content of its JSON file.

    Parameters
    ----------
    name : str
        Name of the experiment.
    command : str
        Command that ran the experiment.
    version : str
        Version of the program.
    seed : int
        Seed of arrivals and routing choices.
    machine : str
        Processor architecture, number of cores and Python version.
    shift_percent_cap : float
        Cap of the shift in percent; 0 without a shift.
    policies : tuple of PolicyResult
        Results of each policy.
    """

    name: str
    command: str
    version: str
    seed: int
    machine: str
    shift_percent_cap: float
    policies: tuple[PolicyResult, ...]
