"""Metrics registry for programs that must use little memory."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bulrushlead.metrics._catalogue import METRICS, Metric, MetricKind

MAX_DURATION_MS = 120_000  # longer than any request can take
SIGNIFICANT_DIGITS = 2  # a relative error of one percent suffices for latencies
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_Labels = tuple[tuple[str, str], ...]


class CompactMeters:
    """Records counters, gauges and latency histograms and renders them as text.

    A histogram is rendered as a summary with quantiles.
    """

    def __init__(self):
        self._counts: dict[Metric, dict[_Labels, float]] = {}
        self._gauges: dict[Metric, Callable[[], float]] = {}
        self._histograms: dict[Metric, dict[_Labels, HdrHistogram]] = {}

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        series = self._counts.setdefault(metric, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def register_gauge(self, metric: Metric, read: Callable[[], float]) -> None:
        """Register a function that returns a gauge's value at each rendering."""
        self._gauges[metric] = read

    def observe(self, metric: Metric, value: float, **labels: str) -> None:
        """Add an observation to a histogram, clipped to 1 to ``MAX_DURATION_MS``."""
        series = self._histograms.setdefault(metric, {})
        key = tuple(labels.items())
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = HdrHistogram(
                1, MAX_DURATION_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_DURATION_MS, max(1, round(value))))

    def render(self) -> str:
        """Return the metrics that have a value, in the Prometheus text format."""
        lines = []
        for metric, info in METRICS.items():
            samples = self._sample_lines(metric)
            if not samples:
                continue
            is_summary = info.kind is MetricKind.HISTOGRAM
            kind = "summary" if is_summary else info.kind.value
            lines += [
                f"# HELP {metric.value} {info.summary}",
                f"# TYPE {metric.value} {kind}",
                *samples,
            ]
        return "\n".join(lines) + "\n"

    def _sample_lines(self, metric: Metric) -> list[str]:
        name = metric.value
        if metric in self._gauges:
            return [f"{name} {self._gauges[metric]():g}"]
        if metric in self._histograms:
            return [
                line
                for labels, histogram in self._histograms[metric].items()
                for line in _summary_lines(name, labels, histogram)
            ]
        series = self._counts.get(metric, {})
        return [
            f"{name}{_format_labels(labels)} {value:g}"
            for labels, value in series.items()
        ]


def _summary_lines(name: str, labels: _Labels, histogram: HdrHistogram) -> list[str]:
    lines = [
        f"{name}{_format_labels((*labels, ('quantile', f'{percentile / 100:g}')))} "
        f"{histogram.get_value_at_percentile(percentile)}"
        for percentile in PERCENTILES
    ]
    total = histogram.get_total_count()
    lines.append(
        f"{name}_sum{_format_labels(labels)} {histogram.get_mean_value() * total:g}"
    )
    lines.append(f"{name}_count{_format_labels(labels)} {total}")
    return lines


def _format_labels(labels: _Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
