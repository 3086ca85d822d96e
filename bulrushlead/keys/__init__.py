"""Idempotency keys: each keyed request runs at most once."""

from bulrushlead.keys._coordinator import KeyCoordinator
from bulrushlead.keys._digest import request_digest
from bulrushlead.keys._messages import (
    AbandonHost,
    AbandonKey,
    AnswerHeader,
    ChangeReply,
    ClaimKey,
    ClaimReply,
    ClaimState,
    FinishKey,
    ForgetKeys,
    KeyOutcome,
    ListUnknownKeys,
    ReadKey,
    ResolveKey,
    UnknownKey,
    UnknownKeyList,
)
from bulrushlead.keys._records import (
    KeyRecord,
    KeySnapshot,
    KeyStatus,
    ServiceSnapshot,
)
from bulrushlead.keys._settings import KeyControl, KeySettings
from bulrushlead.keys._state import KeyState
from bulrushlead.keys._table import KeyLimits

__all__ = [
    "AbandonHost",
    "AbandonKey",
    "AnswerHeader",
    "ChangeReply",
    "ClaimKey",
    "ClaimReply",
    "ClaimState",
    "FinishKey",
    "ForgetKeys",
    "KeyControl",
    "KeyCoordinator",
    "KeyLimits",
    "KeyOutcome",
    "KeyRecord",
    "KeySettings",
    "KeySnapshot",
    "KeyState",
    "KeyStatus",
    "ListUnknownKeys",
    "ReadKey",
    "ResolveKey",
    "ServiceSnapshot",
    "UnknownKey",
    "UnknownKeyList",
    "request_digest",
]
