"""Limits that an entry host enforces: rate windows, shift caps and admission."""

from bulrushlead.limits._admission import AdmissionQueue
from bulrushlead.limits._estimate import MovingEstimate
from bulrushlead.limits._link import LinkBudget, Reservation
from bulrushlead.limits._ramp import Observation, Ramp, RampSettings
from bulrushlead.limits._refusal import AdmissionRefusedError
from bulrushlead.limits._settings import AdmissionSettings
from bulrushlead.limits._shift import ShiftGate
from bulrushlead.limits._ticket import SlotSource, Ticket
from bulrushlead.limits._window import RateWindow

__all__ = [
    "AdmissionQueue",
    "AdmissionRefusedError",
    "AdmissionSettings",
    "LinkBudget",
    "MovingEstimate",
    "Observation",
    "Ramp",
    "RampSettings",
    "RateWindow",
    "Reservation",
    "ShiftGate",
    "SlotSource",
    "Ticket",
]
