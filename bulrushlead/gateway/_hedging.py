"""Second attempts beside a first one that is late."""

import asyncio

from bulrushlead.dispatch import Placement
from bulrushlead.gateway._request_state import AttemptResult

# Delay of a hedged attempt, as a multiple of the expected time until the answer.
HEDGE_DELAY_FACTOR = 3.0
HEDGE_MIN_DELAY_MS = 250  # shorter delays of an answer are common


def hedge_delay_ms(placement: Placement) -> float:
    """Return the time after which a second attempt may start beside the first."""
    expected_ms = placement.wait_ms + placement.uncached_ms
    return max(HEDGE_MIN_DELAY_MS, HEDGE_DELAY_FACTOR * expected_ms)


async def first_success(tasks: set[asyncio.Task]) -> AttemptResult:
    """Return the first final result, or the last one if none is final."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        for result in results:
            if result.final or not pending:
                return result
