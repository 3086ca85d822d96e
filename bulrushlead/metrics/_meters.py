"""Metrics registry of one process, served over HTTP."""

from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from bulrushlead.metrics._catalogue import METRICS, Metric, MetricKind

DURATION_BUCKETS_MS = [
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1e3,
    2e3,
    5e3,
]


class Meters:
    """Collectors for every metric of the catalogue."""

    def __init__(self):
        self._registry = Registry()
        self._collectors = {metric: self._build_collector(metric) for metric in METRICS}

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        self._collectors[metric].add(labels, amount)

    def set(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge to ``value``."""
        self._collectors[metric].set(labels, value)

    def observe(self, metric: Metric, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        self._collectors[metric].observe(labels, value)

    async def serve(self, request: web.Request) -> web.Response:
        """Return the metrics as the response to a scrape (an aiohttp handler)."""
        content, headers = render(self._registry, request.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)

    def _build_collector(self, metric: Metric):
        info = METRICS[metric]
        if info.kind is MetricKind.HISTOGRAM:
            return Histogram(
                metric.value,
                info.summary,
                buckets=DURATION_BUCKETS_MS,
                registry=self._registry,
            )
        collector = Counter if info.kind is MetricKind.COUNTER else Gauge
        return collector(metric.value, info.summary, registry=self._registry)
