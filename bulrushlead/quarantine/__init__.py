"""Requests that crash backend servers, and who may still send them."""

from bulrushlead.quarantine._fingerprint import request_fingerprint
from bulrushlead.quarantine._messages import (
    CrashNotice,
    ListQuarantine,
    QuarantineReply,
    ReleaseRequest,
    SuspectNotice,
    SuspectReport,
    TrialReply,
    TrialRequest,
)
from bulrushlead.quarantine._observer import CrashObserver, Run, RunEnd
from bulrushlead.quarantine._suspect import Crash, Trial
from bulrushlead.quarantine._table import SuspectTable

__all__ = [
    "Crash",
    "CrashNotice",
    "ListQuarantine",
    "QuarantineReply",
    "ReleaseRequest",
    "CrashObserver",
    "Run",
    "RunEnd",
    "SuspectNotice",
    "SuspectReport",
    "SuspectTable",
    "Trial",
    "TrialReply",
    "TrialRequest",
    "request_fingerprint",
]
