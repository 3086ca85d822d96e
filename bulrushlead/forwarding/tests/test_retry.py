"""Tests of the retry loop and its budget.

They guard against requests that run twice, a "not run" after an attempt that may have
run, and retries that multiply the load while every server fails.
"""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.forwarding import (
    ForwardAnswer,
    ForwardError,
    RetryBudget,
    RetryLoop,
)
from bulrushlead.forwarding.tests.conftest import build_backend_server, build_request
from bulrushlead.results import Ran, ResultCode

SERVERS = [build_backend_server(1, f"stock-{number}") for number in range(5)]
REFUSED = ForwardError(ResultCode.BACKEND_REFUSED, "refused")
LOST = ForwardError(ResultCode.ANSWER_LOST, "broke")
ANSWER = ForwardAnswer(200, None, b"")


class FakeSender:
    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.servers = []

    async def send(self, server, request):
        self.servers.append(server.name)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, ForwardError):
            raise outcome
        return outcome


def pick_server(excluded):
    return next((s for s in SERVERS if s.name not in excluded), None)


def build_loop(sender, **options):
    options.setdefault("budget", RetryBudget())
    return RetryLoop(sender.send, clock=ManualClock(), **options)


async def run_request(sender, method="GET", **options):
    request = build_request(method)
    return await build_loop(sender, **options).run(SERVERS[0], request, pick_server)


async def catch_error(sender, method="GET", **options):
    with pytest.raises(ForwardError) as caught:
        await run_request(sender, method, **options)
    return caught.value


@pytest.mark.parametrize("error", [LOST, REFUSED])
async def test_a_safe_request_is_retried_at_another_server(error):
    sender = FakeSender(error, ANSWER)
    assert await run_request(sender) is ANSWER
    assert sender.servers == ["stock-0", "stock-1"]


@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH", "DELETE"])
async def test_an_unsafe_request_is_retried_only_if_not_run(method):
    sender = FakeSender(REFUSED, LOST)
    error = await catch_error(sender, method)
    assert (error.code, error.ran) == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    assert sender.servers == ["stock-0", "stock-1"]


async def test_not_run_requires_that_no_attempt_can_have_run():
    assert (await catch_error(FakeSender(REFUSED, REFUSED, REFUSED))).ran is Ran.NO
    assert (await catch_error(FakeSender(LOST, REFUSED, REFUSED))).ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    "code", [ResultCode.BAD_REQUEST, ResultCode.ANSWER_TOO_LARGE, ResultCode.STOPPING]
)
async def test_errors_independent_of_the_server_are_not_retried(code):
    sender = FakeSender(ForwardError(code, "same everywhere"))
    await catch_error(sender)
    assert len(sender.servers) == 1


async def test_no_retry_after_the_deadline():
    sender = FakeSender(LOST)
    request = build_request(deadline_ms=0.0)
    with pytest.raises(ForwardError):
        await build_loop(sender).run(SERVERS[0], request, pick_server)
    assert len(sender.servers) == 1


@pytest.mark.parametrize("requests", [100, 5_000])
async def test_the_budget_limits_retries_while_every_attempt_fails(requests):
    budget = RetryBudget(ratio=0.1, burst=10.0)
    sender = FakeSender(*[LOST] * (3 * requests))
    for _ in range(requests):
        await catch_error(sender, budget=budget)
    retries = len(sender.servers) - requests
    assert requests * 0.1 <= retries <= requests * 0.1 + 10
