"""Metrics of every program and the handler that serves them."""

from bulrushlead.metrics._catalogue import METRICS, Metric, MetricInfo, render_metrics
from bulrushlead.metrics._meters import Meters

__all__ = ["METRICS", "Meters", "Metric", "MetricInfo", "render_metrics"]
