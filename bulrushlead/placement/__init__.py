"""Decides which backend server owns each frequently requested object.

The package does no I/O: its inputs are a clock, the demand that hosts report, and the
servers of the fleet.
"""

from bulrushlead.placement._demand import DemandMeter
from bulrushlead.placement._owners import MoveReason, OwnerTable, PlacementServer

__all__ = [
    "DemandMeter",
    "MoveReason",
    "OwnerTable",
    "PlacementServer",
]
