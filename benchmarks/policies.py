"""Compares routing policies on the same arrivals, service times and faults.

Run ``python -m benchmarks.policies --help`` from the root of the project.
"""

import json
from collections.abc import Sequence
from pathlib import Path

import attrs
import defopt
import logbook

from benchmarks.policy_experiment import Experiment
from benchmarks.policy_fakes import (
    COLD_FACTOR,
    DURATION_MS,
    FAULT_MS,
    MAX_WAIT_MS,
    MEAN_SERVICE_MS,
    RECOVERY_MS,
    SERVERS_PER_ZONE,
    SERVICE_SIGMA,
    SLOTS,
    SLOW_FACTOR,
    ZONES,
    RunResult,
    Scenario,
)
from bulrushlead.routing import (
    DeadlineProbability,
    LatencyAware,
    LeastReportedLoad,
    Policy,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
    RouterSettings,
)

LOADS_PERCENT = (50, 80, 95, 120, 200)
FAULT_LOAD_PERCENT = 80
FULL_SCENARIOS = (Scenario.HEALTHY, Scenario.SLOW_TENTH)
RESULTS = Path("benchmarks/results")
# The policy alone, without outlier detection of servers and zones, and without ramps.
POLICY_ONLY = RouterSettings(outlier_detection=False)
WITH_OUTLIER_DETECTION = RouterSettings()


@attrs.frozen
class Contender:
    """A policy with its router settings; ``knows_slots`` as in ``Experiment``.

    A label that ends with "judged" means that outlier detection is on.
    """

    label: str
    policy: Policy
    settings: RouterSettings
    knows_slots: bool = True


CONTENDERS = (
    Contender("round robin, queue at servers", RoundRobin(), POLICY_ONLY, False),
    Contender("round robin", RoundRobin(), POLICY_ONLY),
    Contender("random", RandomChoice(), POLICY_ONLY),
    Contender("least reported load", LeastReportedLoad(), POLICY_ONLY),
    Contender("two choices", PowerOfTwoChoices(), POLICY_ONLY),
    Contender("latency aware", LatencyAware(), POLICY_ONLY),
    Contender("two choices, judged", PowerOfTwoChoices(), WITH_OUTLIER_DETECTION),
    Contender("latency aware, judged", LatencyAware(), WITH_OUTLIER_DETECTION),
    Contender("latency aware of 4, judged", LatencyAware(4), WITH_OUTLIER_DETECTION),
    Contender("deadline chance, judged", DeadlineProbability(), WITH_OUTLIER_DETECTION),
    Contender(
        "2x median chance, judged", DeadlineProbability(2, 2.0), WITH_OUTLIER_DETECTION
    ),
)


def loads_of(scenario: Scenario) -> Sequence[int]:
    """Return the offered loads at which a scenario is run, in percent."""
    return LOADS_PERCENT if scenario in FULL_SCENARIOS else (FAULT_LOAD_PERCENT,)


def render(results: Sequence[RunResult], command: str) -> str:
    """Return the Markdown page of results."""
    lines = [
        "# Routing policies",
        "",
        f"`{command}`. One router, {len(ZONES)} zones with {SERVERS_PER_ZONE} fake "
        f"servers of {SLOTS} slots, log-normal service times with a mean of "
        f"{MEAN_SERVICE_MS:g} ms, a queue of at most {MAX_WAIT_MS:g} ms in front. "
        f"The fault begins at {FAULT_MS / 1e3:g} s of {DURATION_MS / 1e3:g} s; the "
        "figures are of requests that arrive after that, and a failed one counts as "
        "its whole deadline. Slow: "
        f"{SLOW_FACTOR:g} times; cold: {COLD_FACTOR:g} times, until warm; the dead "
        f"zone returns at {RECOVERY_MS / 1e3:g} s. Sick: share of attempts that went "
        "to servers with the fault. Several seeds: the median of each figure.",
        "",
    ]
    keys = dict.fromkeys((result.scenario, result.load_percent) for result in results)
    for scenario, load_percent in keys:
        lines += [f"## {scenario}, {load_percent} % load", ""]
        lines.append(
            "| policy | p50 ms | p99 ms | p99.9 ms | refused % | failed % | sick % |"
        )
        lines.append("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
        rows = [
            result
            for result in results
            if (result.scenario, result.load_percent) == (scenario, load_percent)
        ]
        for label in dict.fromkeys(result.policy for result in rows):
            lines.append(
                _row(label, [result for result in rows if result.policy == label])
            )
        lines.append("")
    return "\n".join(lines)


def _row(label: str, runs: Sequence[RunResult]) -> str:
    names = ("p50_ms", "p99_ms", "p999_ms", "refused_percent", "failed_percent")
    cells = []
    for name in (*names, "sick_percent"):
        values = sorted(getattr(run, name) for run in runs)
        cells.append(f"{values[len(values) // 2]:g}")
    return f"| {label} | " + " | ".join(cells) + " |"


def main(
    *,
    seeds: Sequence[int] = (1, 2, 3),
    scenarios: Sequence[Scenario] = tuple(Scenario),
    loads: Sequence[int] = (),
    only: str = "",
    sigma: float = SERVICE_SIGMA,
    output: str = "",
):
    """Run the comparison and print the results.

    Parameters
    ----------
    seeds
        Seeds of the runs.
    scenarios
        Faults to simulate.
    loads
        Offered loads in percent; the default depends on the scenario.
    only
        Run only policies whose label contains this text.
    sigma
        Standard deviation of the logarithm of service times.
    output
        Base name of the files in ``benchmarks/results``; empty writes none.
    """
    results = []
    for scenario in scenarios:
        for load_percent in loads or loads_of(scenario):
            for contender in CONTENDERS:
                if only in contender.label:
                    results += _run(contender, scenario, load_percent, seeds, sigma)
    command = "python -m benchmarks.policies --seeds " + " ".join(map(str, seeds))
    if len(scenarios) < len(Scenario):
        command += " --scenarios " + " ".join(scenario.name for scenario in scenarios)
    if sigma != SERVICE_SIGMA:
        command += f" --sigma {sigma:g}"
    if loads:
        command += " --loads " + " ".join(map(str, loads))
    page = render(results, command)
    print(page)
    if output:
        rows = [attrs.asdict(result) for result in results]
        text = json.dumps({"command": command, "results": rows}, indent=1)
        (RESULTS / f"{output}.json").write_text(text + "\n")
        (RESULTS / f"{output}.md").write_text(page + "\n")


def _run(
    contender: Contender,
    scenario: Scenario,
    load_percent: int,
    seeds: Sequence[int],
    sigma: float,
) -> list[RunResult]:
    with logbook.NullHandler():
        return [
            Experiment(
                contender.policy,
                contender.settings,
                scenario,
                load_percent / 100,
                seed,
                sigma,
                contender.knows_slots,
            ).run(contender.label)
            for seed in seeds
        ]


if __name__ == "__main__":
    defopt.run(main)
