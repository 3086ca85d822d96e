"""Catalogue of the metrics."""

from enum import Enum

import attrs


class Metric(Enum):
    """Exported names of all metrics, with their units as suffixes."""

    REQUESTS_TOTAL = "bulrushlead_requests_total"
    REQUEST_DURATION_MS = "bulrushlead_request_duration_ms"
    LOOKUPS_TOTAL = "bulrushlead_lookups_total"
    ANNOUNCEMENTS_TOTAL = "bulrushlead_announcements_total"
    RETRIES_TOTAL = "bulrushlead_retries_total"
    SHIFTED_TOTAL = "bulrushlead_shifted_requests_total"
    CONTROL_BYTES = "bulrushlead_control_bytes"
    REVISION = "bulrushlead_configuration_revision"
    LEASE_REMAINING_MS = "bulrushlead_lease_remaining_ms"
    SLOTS = "bulrushlead_slots"
    IS_LEADER = "bulrushlead_is_leader"
    TERM = "bulrushlead_term"
    APPLIED_INDEX = "bulrushlead_applied_index"
    ATTEMPTS_TOTAL = "bulrushlead_attempts_total"
    REFUSALS_TOTAL = "bulrushlead_refusals_total"
    ORDERS_TOTAL = "bulrushlead_orders_total"  # commands for the replicated log
    FLEET_AGE_MS = "bulrushlead_fleet_age_ms"
    SERVERS = "bulrushlead_servers"
    OWNED_OBJECTS = "bulrushlead_owned_objects"
    OWNER_MOVES_TOTAL = "bulrushlead_owner_moves_total"
    UNREACHABLE_SERVERS = "bulrushlead_unreachable_servers"
    RELAYED_REQUESTS_TOTAL = "bulrushlead_relayed_requests_total"
    CARRIED_REQUESTS_TOTAL = "bulrushlead_carried_requests_total"
    CUT_OFF = "bulrushlead_cut_off"
    LIMITED_SERVERS = "bulrushlead_limited_servers"
    LIMITED_ATTEMPTS_TOTAL = "bulrushlead_limited_attempts_total"
    QUARANTINED_REQUESTS = "bulrushlead_quarantined_requests"
    LINES_DROPPED_TOTAL = "bulrushlead_log_lines_dropped_total"


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen
class MetricInfo:
    """Type, meaning and labels of a metric.

    Parameters
    ----------
    kind : MetricKind
        Type of the metric.
    summary : str
        One sentence for the catalogue.
    labels : tuple of str
        Names of its labels.
    """

    kind: MetricKind
    summary: str
    labels: tuple[str, ...] = ()


_M, _K = Metric, MetricKind

METRICS: dict[Metric, MetricInfo] = {
    _M.REQUESTS_TOTAL: MetricInfo(
        _K.COUNTER, "Requests answered, by result code.", ("service", "code")
    ),
    _M.REQUEST_DURATION_MS: MetricInfo(
        _K.HISTOGRAM, "Time from request to answer in milliseconds.", ("service",)
    ),
    _M.LOOKUPS_TOTAL: MetricInfo(
        _K.COUNTER, "Look-ups answered, by result code.", ("code",)
    ),
    _M.ANNOUNCEMENTS_TOTAL: MetricInfo(
        _K.COUNTER, "Reports of backend servers taken.", ("service",)
    ),
    _M.RETRIES_TOTAL: MetricInfo(_K.COUNTER, "Further attempts.", ("service",)),
    _M.SHIFTED_TOTAL: MetricInfo(
        _K.COUNTER, "Requests that a shift moved.", ("shift",)
    ),
    _M.CONTROL_BYTES: MetricInfo(
        _K.GAUGE, "Bytes of control traffic since the start.", ("direction",)
    ),
    _M.REVISION: MetricInfo(_K.GAUGE, "Configuration revision in force here."),
    _M.LEASE_REMAINING_MS: MetricInfo(_K.GAUGE, "Rest of the lease, milliseconds."),
    _M.SLOTS: MetricInfo(
        _K.GAUGE, "Slots of backend servers held.", ("service", "state")
    ),
    _M.IS_LEADER: MetricInfo(_K.GAUGE, "1 while this replica is the leader."),
    _M.TERM: MetricInfo(_K.GAUGE, "Term of the replicated log."),
    _M.APPLIED_INDEX: MetricInfo(_K.GAUGE, "Last applied index of the log."),
    _M.ATTEMPTS_TOTAL: MetricInfo(
        _K.COUNTER, "Attempts at backend servers, by outcome.", ("service", "outcome")
    ),
    _M.REFUSALS_TOTAL: MetricInfo(
        _K.COUNTER, "Requests refused here, by result code.", ("code",)
    ),
    _M.ORDERS_TOTAL: MetricInfo(
        _K.COUNTER, "Orders taken, by kind and outcome.", ("order", "outcome")
    ),
    _M.FLEET_AGE_MS: MetricInfo(_K.GAUGE, "Age of the news from the leader."),
    _M.SERVERS: MetricInfo(_K.GAUGE, "Backend servers known."),
    _M.OWNED_OBJECTS: MetricInfo(_K.GAUGE, "Objects with an owner; on the leader."),
    _M.OWNER_MOVES_TOTAL: MetricInfo(
        _K.COUNTER, "Objects that the leader gave to another server.", ("reason",)
    ),
    _M.UNREACHABLE_SERVERS: MetricInfo(
        _K.GAUGE, "Backend servers to which this host could not connect lately."
    ),
    _M.RELAYED_REQUESTS_TOTAL: MetricInfo(
        _K.COUNTER, "Requests passed on to another host, by verdict.", ("verdict",)
    ),
    _M.CARRIED_REQUESTS_TOTAL: MetricInfo(
        _K.COUNTER, "Requests that another host passed on, by verdict.", ("verdict",)
    ),
    _M.CUT_OFF: MetricInfo(_K.GAUGE, "1 while this host reaches no backend server."),
    _M.LIMITED_SERVERS: MetricInfo(
        _K.GAUGE, "Backend servers that named a request limit."
    ),
    _M.LIMITED_ATTEMPTS_TOTAL: MetricInfo(
        _K.COUNTER, "Attempts at servers that had named a request limit.", ("service",)
    ),
    _M.QUARANTINED_REQUESTS: MetricInfo(
        _K.GAUGE, "Requests that are refused because servers ended under them."
    ),
    _M.LINES_DROPPED_TOTAL: MetricInfo(_K.COUNTER, "Log lines dropped."),
}


def render_metrics() -> str:
    """Return the Markdown table of all metrics."""
    rows = ["| metric | kind | labels | meaning |", "| --- | --- | --- | --- |"]
    rows += [
        f"| `{metric.value}` | {info.kind.value} | {', '.join(info.labels)} "
        f"| {info.summary} |"
        for metric, info in METRICS.items()
    ]
    return "\n".join(rows) + "\n"
