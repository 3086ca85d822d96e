"""Exchanges that ended without an answer."""

from enum import Enum


class ExchangeFault(Enum):
    """Why an exchange ended without an answer."""

    NOT_SENT = "not_sent"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class ExchangeError(Exception):
    """An exchange that ended without a complete answer.

    Parameters
    ----------
    fault : ExchangeFault
        Kind of failure. Only ``NOT_SENT`` guarantees that the request did not run.
    detail : str
        Cause, for the log.
    """

    def __init__(self, fault: ExchangeFault, detail: str):
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail
