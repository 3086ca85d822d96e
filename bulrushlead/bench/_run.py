"""Runs an experiment on loopback, one policy after another."""

import asyncio
import contextlib
import os
import platform
from collections import Counter
from collections.abc import Callable

from bulrushlead import __version__
from bulrushlead.bench._callers import Callers
from bulrushlead.bench._experiment import Experiment, FaultKind
from bulrushlead.bench._faults import inject
from bulrushlead.bench._result import ExperimentResult, PolicyResult
from bulrushlead.embedded import Deployment

ProgressCallback = Callable[[str, float], None]


async def run_experiment(
    experiment: Experiment, command: str, progress: ProgressCallback
) -> ExperimentResult:
    """Run an experiment and return its results.

    Parameters
    ----------
    experiment : Experiment
        Experiment to run.
    command : str
        Command line to record in the results.
    progress : callable
        Called with the name of the running policy and the completed share, 0 to 1.

    Returns
    -------
    ExperimentResult
        Results of every policy, all run with the same seed.
    """
    policies = []
    for name in experiment.file.policies:
        policies.append(await _run_policy(experiment, name, progress))
    return ExperimentResult(
        name=experiment.file.name,
        command=command,
        version=__version__,
        seed=experiment.file.seed,
        machine=_describe_machine(),
        shift_percent_cap=experiment.file.shift_percent,
        policies=tuple(policies),
    )


async def _run_policy(
    experiment: Experiment, name: str, progress: ProgressCallback
) -> PolicyResult:
    file = experiment.file
    deployment = Deployment(
        experiment.plan, seed=file.seed, policy=experiment.policy(name)
    )
    try:
        await deployment.start()
        callers = Callers(
            deployment.clock,
            list(deployment.entry_addresses.values()),
            experiment.plan.services[0].service.name,
            file.timeout_ms,
            file.keyed_share,
            file.seed,
        )
        await callers.start()
        load_started_ms = deployment.clock.now_ms()
        faults = asyncio.create_task(_inject_faults(experiment, deployment))
        reporter = asyncio.create_task(
            _report_progress(experiment, name, callers, progress)
        )
        steps = []
        try:
            for step in experiment.steps:
                steps.append(await callers.run_step(step.rate_rps, step.duration_s))
            await faults
        finally:
            for task in (faults, reporter):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            await callers.close()
        progress(name, 1.0)
        _count_executions_by_region(deployment, callers, load_started_ms)
        return PolicyResult(
            policy=name,
            steps=tuple(steps),
            seconds=tuple(callers.seconds),
            slot_breaches=sum(
                s.refused_without_free_slot for s in deployment.servers.values()
            ),
            repeated_keys=_repeated_keys(deployment),
            false_not_run=_false_not_run(deployment, callers),
            drain_last_work_s=_drain_last_work_s(
                experiment, deployment, load_started_ms
            ),
        )
    finally:
        await deployment.close()


async def _inject_faults(experiment: Experiment, deployment: Deployment) -> None:
    load_started_ms = deployment.clock.now_ms()
    for fault in experiment.faults:
        due_ms = load_started_ms + fault.at_s * 1_000
        await deployment.clock.sleep_ms(due_ms - deployment.clock.now_ms())
        await inject(deployment, fault.kind)


async def _report_progress(
    experiment: Experiment, name: str, callers: Callers, progress: ProgressCallback
) -> None:
    total_s = sum(step.duration_s for step in experiment.steps)
    while True:
        progress(name, min(1.0, callers.elapsed_s() / total_s))
        await asyncio.sleep(0.5)


def _count_executions_by_region(
    deployment: Deployment, callers: Callers, load_started_ms: float
) -> None:
    for server in deployment.servers.values():
        region = server.settings.region
        for execution in server.execution_log:
            second = int((execution.started_ms - load_started_ms) / 1_000)
            if 0 <= second < len(callers.seconds):
                counts = callers.seconds[second].by_region
                counts[region] = counts.get(region, 0) + 1


def _repeated_keys(deployment: Deployment) -> int:
    runs = Counter(
        execution.key
        for server in deployment.servers.values()
        for execution in server.execution_log
        if execution.key
    )
    return sum(count > 1 for count in runs.values())


def _false_not_run(deployment: Deployment, callers: Callers) -> int:
    ran = {
        execution.path
        for server in deployment.servers.values()
        for execution in server.execution_log
    }
    return len(ran & callers.not_run_paths)


def _drain_last_work_s(
    experiment: Experiment, deployment: Deployment, load_started_ms: float
) -> float:
    drains = [f for f in experiment.faults if f.kind is FaultKind.DRAIN_ZONE]
    if not drains:
        return 0.0
    zone = deployment.plan.zones(deployment.plan.regions[0])[0]
    drained_ms = load_started_ms + drains[0].at_s * 1_000
    started_ms = [
        execution.started_ms
        for server in deployment.servers.values()
        if server.settings.availability_zone == zone
        for execution in server.execution_log
    ]
    return max(0.0, max(started_ms, default=drained_ms) - drained_ms) / 1_000


def _describe_machine() -> str:
    return (
        f"{platform.machine()}, {os.cpu_count()} cores, Python "
        f"{platform.python_version()}"
    )
