"""Experiment files: deployment, load, faults, policies and seed."""

from enum import Enum

import attrs

from bulrushlead.declaration import RequestClass, Service, Shift
from bulrushlead.embedded import DeploymentPlan, ServicePlan
from bulrushlead.results import Fault, FaultsError, ResultCode
from bulrushlead.routing import (
    LatencyAware,
    LeastReportedLoad,
    Policy,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
)
from bulrushlead.settings import (
    in_range,
    load_settings,
    non_empty,
    not_blank,
    one_of,
    setting,
)

POLICIES: dict[str, type[Policy]] = {
    "latency_aware": LatencyAware,
    "least_reported_load": LeastReportedLoad,
    "power_of_two": PowerOfTwoChoices,
    "random": RandomChoice,
    "round_robin": RoundRobin,
}
MAX_EXPERIMENT_S = 600


class FaultKind(Enum):
    """What can be done to a deployment while an experiment runs."""

    SLOW_TENTH = "slow_tenth"
    LYING_SERVER = "lying_server"
    ZONE_DOWN = "zone_down"
    REPORTS_STOP = "reports_stop"
    LEADER_DOWN = "leader_down"
    ENTRY_DOWN = "entry_down"
    DRAIN_ZONE = "drain_zone"


@attrs.frozen
class FaultAt:
    """A fault at a time.

    Parameters
    ----------
    at_s : float
        Time since the load began, in seconds.
    kind : FaultKind
        What happens.
    """

    at_s: float
    kind: FaultKind


@attrs.frozen
class LoadStep:
    """Open-loop arrivals at a constant rate.

    Parameters
    ----------
    duration_s : float
        How long, in seconds.
    rate_rps : float
        Mean arrivals per second; the times between them are exponential.
    """

    duration_s: float
    rate_rps: float


@attrs.frozen
class ExperimentFile:
    """An experiment as written in TOML; times in the names' units."""

    name: str = setting("Name of the experiment.", not_blank())
    seed: int = setting("Seed of arrivals and choices.", in_range(0, 2**31))
    policies: tuple[str, ...] = setting(
        "Policies to compare.", non_empty(one_of(*POLICIES))
    )
    rates_rps: tuple[float, ...] = setting(
        "Arrivals per second of each step.", non_empty(in_range(0.1, 5_000))
    )
    step_s: float = setting("Duration of each step, in seconds.", in_range(1, 300))
    regions: tuple[str, ...] = setting("Regions.", non_empty(not_blank()))
    zones_per_region: int = setting(
        "Availability zones of each region.", in_range(1, 4), default=2
    )
    controls: int = setting("Control hosts.", in_range(1, 5), default=3)
    entries_per_region: int = setting(
        "Entry hosts of each region.", in_range(1, 4), default=1
    )
    servers_per_zone: int = setting(
        "Backend servers of each availability zone.", in_range(1, 10), default=3
    )
    slots: int = setting("Slots of each server.", in_range(1, 100), default=4)
    service_time_ms: float = setting(
        "Time that each request takes, in milliseconds.",
        in_range(0, 10_000),
        default=20.0,
    )
    answer_bytes: int = setting(
        "Size of an answer, in bytes.", in_range(0, 10_000_000), default=2_000
    )
    timeout_ms: int = setting(
        "Time that a caller allows, in milliseconds.",
        in_range(1, 60_000),
        default=1_000,
    )
    link_bytes_per_s: int = setting(
        "Limit of each way between two regions.",
        in_range(1, 10**10),
        default=35_000_000,
    )
    shift_percent: float = setting(
        "Percent cap of a shift from the first to the second region; 0 for none.",
        in_range(0, 100),
        default=0.0,
    )
    shift_rate_rps: int = setting(
        "Rate cap of that shift.", in_range(1, 100_000), default=1_000
    )
    keyed_share: float = setting(
        "Share of requests with an idempotency key.", in_range(0, 1), default=0.0
    )
    faults: tuple[str, ...] = setting(
        "Faults as KIND@SECONDS.",
        default=(),
    )


@attrs.frozen
class Experiment:
    """A checked experiment.

    Parameters
    ----------
    file : ExperimentFile
        What was written.
    plan : DeploymentPlan
        Deployment to run.
    steps : tuple of LoadStep
        Load, one step after the other.
    faults : tuple of FaultAt
        Faults in order of their time.
    """

    file: ExperimentFile
    plan: DeploymentPlan
    steps: tuple[LoadStep, ...]
    faults: tuple[FaultAt, ...]

    def policy(self, name: str) -> Policy:
        """Return a new policy by its name in the file."""
        return POLICIES[name]()


def load_experiment(path: str) -> Experiment:
    """Return the experiment in a TOML file.

    Parameters
    ----------
    path : str
        Name of the file.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_UNREADABLE``, or a ``FaultsError`` with every fault.
    """
    file = load_settings(path, ExperimentFile)
    steps = tuple(LoadStep(file.step_s, rate) for rate in file.rates_rps)
    faults = _parse_faults(file, path)
    return Experiment(file, _plan(file), steps, faults)


def _parse_faults(file: ExperimentFile, path: str) -> tuple[FaultAt, ...]:
    total_s = file.step_s * len(file.rates_rps)
    found, wrong = [], []
    allowed = (
        "KIND@SECONDS with KIND one of "
        + ", ".join(kind.value for kind in FaultKind)
        + f" and SECONDS from 0 to {total_s}"
    )
    if total_s > MAX_EXPERIMENT_S:
        wrong.append(Fault("step_s", str(total_s), f"{MAX_EXPERIMENT_S} s in all"))
    for text in file.faults:
        kind, _, at = text.partition("@")
        try:
            fault = FaultAt(float(at), FaultKind(kind))
        except ValueError:
            wrong.append(Fault("faults", repr(text), allowed))
            continue
        if not 0 <= fault.at_s <= total_s:
            wrong.append(Fault("faults", repr(text), allowed))
        found.append(fault)
    if wrong:
        raise FaultsError(ResultCode.SETTINGS_INVALID, path, wrong)
    return tuple(sorted(found, key=lambda fault: fault.at_s))


def _plan(file: ExperimentFile) -> DeploymentPlan:
    service = Service(
        "stock",
        request_class=RequestClass.INTERACTIVE,
        timeout_ms=file.timeout_ms,
        max_duration_ms=max(file.timeout_ms, 2_000),
        expected_answer_bytes=max(1, file.answer_bytes),
    )
    shifts = ()
    if file.shift_percent > 0 and len(file.regions) > 1:
        shifts = (
            Shift(
                "planned",
                service.name,
                file.regions[0],
                file.regions[1],
                file.shift_percent,
                file.shift_rate_rps,
                step_percent=max(1.0, file.shift_percent / 5),
                step_interval_ms=1_000,
            ),
        )
    return DeploymentPlan(
        regions=file.regions,
        zones_per_region=file.zones_per_region,
        controls=file.controls,
        entries_per_region=file.entries_per_region,
        services=(
            ServicePlan(
                service,
                servers_per_zone=file.servers_per_zone,
                slots=file.slots,
                service_time_ms=file.service_time_ms,
                answer_bytes=file.answer_bytes,
            ),
        ),
        link_bytes_per_s=file.link_bytes_per_s,
        shifts=shifts,
    )
