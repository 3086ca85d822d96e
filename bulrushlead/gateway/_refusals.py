"""Refusals of requests that no server has started to run."""

from bulrushlead.dispatch import Refusal
from bulrushlead.http1 import Answer
from bulrushlead.results import ResultCode

STOPPING_RETRY_AFTER_MS = 20  # another host can accept the request immediately

STOPPING = Refusal(ResultCode.STOPPING, STOPPING_RETRY_AFTER_MS, "stopping")
ENDS_FIRST = Refusal(
    ResultCode.STOPPING,
    STOPPING_RETRY_AFTER_MS,
    "this host stops before the time of the request ends",
)
REFUSED = Refusal(
    ResultCode.BACKEND_REFUSED,
    retry_after_ms=300,  # about the time in which a full server frees a slot
    detail="every server that was tried refused or was unreachable",
)
CUT_OFF = Refusal(
    ResultCode.CONNECT_FAILED,
    retry_after_ms=300,  # about the time until the next probe of the servers
    detail="this host reaches no server, and no other host sent the request",
)
SHED = Refusal(
    ResultCode.BACKEND_REFUSED,
    retry_after_ms=20,  # slots are free, so the next attempt may be accepted
    detail="refused by servers with free slots, and no retries are left",
)

# Refusals for a reason that concerns this host, so that another one may accept.
LOCAL_REFUSALS = frozenset(
    {
        ResultCode.CONNECT_FAILED,
        ResultCode.NO_BACKEND_SERVER,
        ResultCode.KEYS_UNCONFIRMED,
        ResultCode.STOPPING,
    }
)


def not_run_answer(retry_after_ms: float, status: int = 503) -> Answer:
    """Return a refusal that says that the request did not run, and when to retry."""
    return Answer(status, [(b"retry-after", b"%.2f" % (retry_after_ms / 1000.0))])
