"""Reads experiment files: deployment, load, faults, policies and seed."""

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
MAX_EXPERIMENT_S = 600  # for the load steps of one policy


class FaultKind(Enum):
    """Faults and operations that an experiment injects into its deployment.

    ``SLOW_TENTH`` slows down every tenth backend server. ``LYING_SERVER`` slows down
    one backend server, which then reports a load of 0.
    """

    SLOW_TENTH = "slow_tenth"
    LYING_SERVER = "lying_server"
    ZONE_DOWN = "zone_down"
    REPORTS_STOP = "reports_stop"
    LEADER_DOWN = "leader_down"
    ENTRY_DOWN = "entry_down"
    DRAIN_ZONE = "drain_zone"


@attrs.frozen
class FaultAt:
    """A fault with its injection time.

    Parameters
    ----------
    at_s : float
        Injection time since the start of the load, in seconds.
    kind : FaultKind
        Fault to inject.
    """

    at_s: float
    kind: FaultKind


@attrs.frozen
class LoadStep:
    """Open-loop arrivals at a constant rate.

    Parameters
    ----------
    duration_s : float
        Duration of the step, in seconds.
    rate_rps : float
        Mean arrivals per second; interarrival times are exponentially distributed.
    """

    duration_s: float
    rate_rps: float


@attrs.frozen
class ExperimentFile:
    """Settings of an experiment file in TOML; names end with their units."""

    name: str = setting("Name of the experiment.", not_blank())
    seed: int = setting("Seed of arrivals and routing choices.", in_range(0, 2**31))
    policies: tuple[str, ...] = setting(
        "Routing policies to compare.", non_empty(one_of(*POLICIES))
    )
    rates_rps: tuple[float, ...] = setting(
        "Mean arrivals per second of each step.", non_empty(in_range(0.1, 5_000))
    )
    step_s: float = setting("Duration of each step, in seconds.", in_range(1, 300))
    regions: tuple[str, ...] = setting("Names of the regions.", non_empty(not_blank()))
    zones_per_region: int = setting(
        "Number of availability zones in each region.", in_range(1, 4), default=2
    )
    controls: int = setting("Number of control hosts.", in_range(1, 5), default=3)
    entries_per_region: int = setting(
        "Number of entry hosts in each region.", in_range(1, 4), default=1
    )
    servers_per_zone: int = setting(
        "Number of backend servers in each availability zone.",
        in_range(1, 10),
        default=3,
    )
    slots: int = setting(
        "Maximum concurrent requests of each server.", in_range(1, 100), default=4
    )
    service_time_ms: float = setting(
        "Service time of each request, in milliseconds.",
        in_range(0, 10_000),
        default=20.0,
    )
    answer_bytes: int = setting(
        "Minimum size of an answer's body, in bytes.",
        in_range(0, 10_000_000),
        default=2_000,
    )
    timeout_ms: int = setting(
        "Timeout of each request, in milliseconds.",
        in_range(1, 60_000),
        default=1_000,
    )
    link_bytes_per_s: int = setting(
        "Bandwidth limit of each direction between two regions, in bytes per second.",
        in_range(1, 10**10),
        default=35_000_000,
    )
    shift_percent: float = setting(
        "Percent cap of a shift from the first to the second region; 0 for no shift.",
        in_range(0, 100),
        default=0.0,
    )
    shift_rate_rps: int = setting(
        "Rate cap of that shift, in requests per second.",
        in_range(1, 100_000),
        default=1_000,
    )
    keyed_share: float = setting(
        "Share of requests with an idempotency key, 0 to 1.",
        in_range(0, 1),
        default=0.0,
    )
    faults: tuple[str, ...] = setting(
        "Faults to inject, each as KIND@SECONDS.",
        default=(),
    )


@attrs.frozen
class Experiment:
    """A validated experiment.

    Parameters
    ----------
    file : ExperimentFile
        Settings as read from the file.
    plan : DeploymentPlan
        Deployment to run.
    steps : tuple of LoadStep
        Load steps, run in this order.
    faults : tuple of FaultAt
        Faults in order of their injection times.
    """

    file: ExperimentFile
    plan: DeploymentPlan
    steps: tuple[LoadStep, ...]
    faults: tuple[FaultAt, ...]

    def policy(self, name: str) -> Policy:
        """Return a new instance of the policy with this name."""
        return POLICIES[name]()


def load_experiment(path: str) -> Experiment:
    """Read and validate an experiment file.

    Parameters
    ----------
    path : str
        Path of the TOML file.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_UNREADABLE`` if the file cannot be read, or a ``FaultsError`` that
        lists every invalid setting.
    """
    file = load_settings(path, ExperimentFile)
    steps = tuple(LoadStep(file.step_s, rate) for rate in file.rates_rps)
    faults = _parse_faults(file, path)
    return Experiment(file, _build_plan(file), steps, faults)


def _parse_faults(file: ExperimentFile, path: str) -> tuple[FaultAt, ...]:
    total_s = file.step_s * len(file.rates_rps)
    parsed, invalid = [], []
    allowed = (
        "KIND@SECONDS with KIND one of "
        + ", ".join(kind.value for kind in FaultKind)
        + f" and SECONDS from 0 to {total_s}"
    )
    if total_s > MAX_EXPERIMENT_S:
        invalid.append(Fault("step_s", str(total_s), f"{MAX_EXPERIMENT_S} s in all"))
    for text in file.faults:
        kind, _, at = text.partition("@")
        try:
            fault = FaultAt(float(at), FaultKind(kind))
        except ValueError:
            invalid.append(Fault("faults", repr(text), allowed))
            continue
        if not 0 <= fault.at_s <= total_s:
            invalid.append(Fault("faults", repr(text), allowed))
        parsed.append(fault)
    if invalid:
        raise FaultsError(ResultCode.SETTINGS_INVALID, path, invalid)
    return tuple(sorted(parsed, key=lambda fault: fault.at_s))


def _build_plan(file: ExperimentFile) -> DeploymentPlan:
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
