"""Meters of a program with little memory."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bulrushlead.metrics._catalogue import METRICS, Metric, MetricKind

MAX_DURATION_MS = 120_000  # longer than any request may take
SIGNIFICANT_DIGITS = 2  # an error of one percent is enough for latencies
QUANTILES = (50.0, 90.0, 99.0, 99.9)

_Labels = tuple[tuple[str, str], ...]


class CompactMeters:
    """Counters, gauges and latency histograms, rendered as text.

    Histograms are rendered as summaries with quantiles.
    """

    def __init__(self):
        self._counts: dict[Metric, dict[_Labels, float]] = {}
        self._gauges: dict[Metric, Callable[[], float]] = {}
        self._histograms: dict[Metric, dict[_Labels, HdrHistogram]] = {}

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self._counts.setdefault(metric, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def watch(self, metric: Metric, read: Callable[[], float]) -> None:
        """Read a gauge whenever the metrics are fetched."""
        self._gauges[metric] = read

    def observe(self, metric: Metric, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        series = self._histograms.setdefault(metric, {})
        key = tuple(labels.items())
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = HdrHistogram(
                1, MAX_DURATION_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_DURATION_MS, max(1, round(value))))

    def render(self) -> str:
        """Return every metric in the Prometheus text format."""
        lines = []
        for metric, info in METRICS.items():
            rows = self._rows(metric)
            if not rows:
                continue
            is_summary = info.kind is MetricKind.HISTOGRAM
            kind = "summary" if is_summary else info.kind.value
            lines += [
                f"# HELP {metric.value} {info.summary}",
                f"# TYPE {metric.value} {kind}",
                *rows,
            ]
        return "\n".join(lines) + "\n"

    def _rows(self, metric: Metric) -> list[str]:
        name = metric.value
        if metric in self._gauges:
            return [f"{name} {self._gauges[metric]():g}"]
        if metric in self._histograms:
            return [
                row
                for labels, histogram in self._histograms[metric].items()
                for row in _summary(name, labels, histogram)
            ]
        series = self._counts.get(metric, {})
        return [f"{name}{_text(labels)} {value:g}" for labels, value in series.items()]


def _summary(name: str, labels: _Labels, histogram: HdrHistogram) -> list[str]:
    rows = [
        f"{name}{_text((*labels, ('quantile', f'{quantile / 100:g}')))} "
        f"{histogram.get_value_at_percentile(quantile)}"
        for quantile in QUANTILES
    ]
    total = histogram.get_total_count()
    rows.append(f"{name}_sum{_text(labels)} {histogram.get_mean_value() * total:g}")
    rows.append(f"{name}_count{_text(labels)} {total}")
    return rows


def _text(labels: _Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
