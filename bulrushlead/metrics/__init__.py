"""Catalogue of the metrics, and the registries that record and render them."""

from typing import TYPE_CHECKING

from bulrushlead.metrics._catalogue import METRICS, Metric, MetricInfo, render_metrics
from bulrushlead.metrics._compact import CompactMeters

if TYPE_CHECKING:
    from bulrushlead.metrics._meters import Meters

__all__ = [
    "METRICS",
    "CompactMeters",
    "Meters",
    "Metric",
    "MetricInfo",
    "render_metrics",
]


def __getattr__(name: str):
    # Imported on demand: the module loads an HTTP framework, which small hosts do
    # not need.
    if name == "Meters":
        from bulrushlead.metrics._meters import Meters

        return Meters
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
