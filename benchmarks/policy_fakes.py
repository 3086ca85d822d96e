"""Fake backend servers, scenarios and constants of the policy experiment."""

from enum import Enum

import attrs

from bulrushlead.backend import BackendServer

SERVICE = "stock"
REGION = "casa"
ZONES = ("casa-a", "casa-b")
SERVERS_PER_ZONE = 10
SLOTS = 3
MEAN_SERVICE_MS = 30.0
# Log-normal service times with a coefficient of variation of about 0.66.
SERVICE_SIGMA = 0.6
OTHER_ZONE_MS = 2.0
DEADLINE_MS = 1_000.0
MAX_WAIT_MS = 200.0  # in the queue, before the first attempt
MAX_QUEUE = 1_000
REPORT_INTERVAL_MS = 500.0
REPORT_DELAY_MS = 200.0
CONNECT_TIMEOUT_MS = 250.0
QUICK_FAILURE_MS = 1.0
SLOW_FACTOR = 10.0
UNEVEN_FACTOR = 2.0
COLD_FACTOR = 5.0
COLD_REQUESTS = 100
RETRY_BUDGET = 0.1  # retries per arrived request
FAULT_MS = 3_000.0
RECOVERY_MS = 8_000.0  # end of the fault of DEAD_ZONE
DURATION_MS = 12_000.0


class Scenario(Enum):
    """Fault that a run simulates; which servers it affects is set in ``Experiment``.

    The servers of ``SLOW_LIAR`` and ``FAILING_LIAR`` are slow, or fail every request,
    and report no load. Those of ``REPORTS_STOP`` are slow, and no server sends reports.
    Those of ``COLD_START`` join at ``FAULT_MS`` and are slow until they have answered
    ``COLD_REQUESTS`` requests. Those of ``UNEVEN`` are ``UNEVEN_FACTOR`` times slower.
    """

    HEALTHY = "healthy"
    SLOW_TENTH = "slow_tenth"
    SLOW_LIAR = "slow_liar"
    FAILING_LIAR = "failing_liar"
    DEAD_ZONE = "dead_zone"
    REPORTS_STOP = "reports_stop"
    COLD_START = "cold_start"
    UNEVEN = "uneven"


class StepClock:
    """Clock whose time the experiment sets."""

    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self) -> float:
        """Return the time of the current event."""
        return self.time_ms


@attrs.define(eq=False)
class FakeServer:
    """A fake backend server.

    Parameters
    ----------
    server : BackendServer
        Record of the server that the router receives.
    running : int
        Requests in progress.
    n_answers : int
        Requests completed.
    slots_free_ms : list of float
        Time at which each slot becomes free; used if requests queue at the server.
    """

    server: BackendServer
    running: int = 0
    n_answers: int = 0
    slots_free_ms: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)


@attrs.define(eq=False)
class Pending:
    """A request in the queue or in progress.

    Parameters
    ----------
    arrived_ms : float
        Time of arrival.
    tried : frozenset of str
        Servers of earlier attempts.
    """

    arrived_ms: float
    tried: frozenset[str] = frozenset()


@attrs.frozen
class RunResult:
    """Results for the requests that arrived after the fault; times in ms."""

    policy: str
    scenario: str
    load_percent: int
    seed: int
    n_requests: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    refused_percent: float
    failed_percent: float
    sick_percent: float
