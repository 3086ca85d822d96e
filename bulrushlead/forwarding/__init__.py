"""Sends attempts to backend servers and classifies their outcomes."""

from bulrushlead.forwarding._forwarder import Forwarder, ForwarderSettings
from bulrushlead.forwarding._model import (
    RETRYABLE_METHODS,
    ForwardAnswer,
    ForwardError,
    ForwardRequest,
    ran_of,
)
from bulrushlead.forwarding._retry import RetryBudget, RetryLoop, is_retryable

__all__ = [
    "RETRYABLE_METHODS",
    "ForwardAnswer",
    "ForwardError",
    "ForwardRequest",
    "Forwarder",
    "ForwarderSettings",
    "RetryBudget",
    "RetryLoop",
    "is_retryable",
    "ran_of",
]
