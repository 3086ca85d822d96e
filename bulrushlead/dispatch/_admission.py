"""Is it refused: admits a placed request, or refuses it with a retry delay."""

from bulrushlead.dispatch._work import Placement, Refusal, Work
from bulrushlead.results import ResultCode

# Maximum ratio of the expected wait in a server's queue to the target latency. It
# allows for actual queues that are about twice as long as expected, because hosts see
# each other's requests with a delay.
MAX_WAIT_TO_TARGET_RATIO = 0.25
MAX_URGENT_WAIT_TO_TARGET_RATIO = 0.5  # the same for urgent work
# Share of the remaining time for the queue and the work; the rest is left for the
# answer's transfer.
DEADLINE_SHARE = 0.9
# Limits of the time after which a refused caller should retry.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 2_000


def admit_or_refuse(placement: Placement, work: Work) -> Placement | Refusal:
    """Refuse a request if its wait, or its wait and work together, are too long.

    Without a queue, a request is sent even if its work may miss the deadline.
    """
    limit_ms = longest_wait_ms(work)
    expected_ms = placement.wait_ms + placement.work_ms
    if placement.wait_ms > limit_ms:
        over_ms = placement.wait_ms - limit_ms
        code = ResultCode.OVERLOADED
    elif expected_ms > DEADLINE_SHARE * work.remaining_ms and placement.wait_ms > 0:
        over_ms = expected_ms - DEADLINE_SHARE * work.remaining_ms
        code = ResultCode.DEADLINE_TOO_SHORT
    else:
        return placement
    return Refusal(
        code,
        bounded_retry_after_ms(over_ms),
        f"{placement.server.server_id} is expected to need {placement.wait_ms:.0f} "
        f"ms in its queue and {placement.work_ms:.0f} ms of work",
    )


def bounded_retry_after_ms(delay_ms: float) -> float:
    """Return a retry delay within its limits, in milliseconds."""
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms))


def longest_wait_ms(work: Work) -> float:
    """Return the longest wait in a queue that a request may expect."""
    ratio = MAX_URGENT_WAIT_TO_TARGET_RATIO if work.urgent else MAX_WAIT_TO_TARGET_RATIO
    return ratio * work.target_latency_ms
