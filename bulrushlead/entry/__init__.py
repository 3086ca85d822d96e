"""Entry host: answers look-ups and forwards callers' requests to servers."""

from bulrushlead.entry._limits import LinkUse, TrafficLimits
from bulrushlead.entry._parts import SteeringParts
from bulrushlead.entry._placement import Placement, PlacementRequest, Placer
from bulrushlead.entry._program import EntryHost
from bulrushlead.entry._refusal import build_refusal
from bulrushlead.entry._steering import IncomingRequest, Steering

__all__ = [
    "EntryHost",
    "IncomingRequest",
    "LinkUse",
    "Placement",
    "PlacementRequest",
    "Placer",
    "Steering",
    "SteeringParts",
    "TrafficLimits",
    "build_refusal",
]
