import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.forwarding import (
    ForwardAnswer,
    ForwardError,
    RetryBudget,
    RetryLoop,
)
from bulrushlead.forwarding.tests.conftest import build_request, describe
from bulrushlead.results import Ran, ResultCode

SERVERS = [describe(1, f"stock-{number}") for number in range(5)]
REFUSED = ForwardError(ResultCode.BACKEND_REFUSED, "refused")
LOST = ForwardError(ResultCode.ANSWER_LOST, "broke")
ANSWER = ForwardAnswer(200, None, b"")


class Sender:
    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.servers = []

    async def send(self, server, request):
        self.servers.append(server.name)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, ForwardError):
            raise outcome
        return outcome


def pick(excluded):
    return next((s for s in SERVERS if s.name not in excluded), None)


def build_loop(sender, **options):
    options.setdefault("budget", RetryBudget())
    return RetryLoop(sender.send, clock=ManualClock(), **options)


async def attempt(sender, method="GET", **options):
    request = build_request(method)
    return await build_loop(sender, **options).run(SERVERS[0], request, pick)


async def fail(sender, method="GET", **options):
    with pytest.raises(ForwardError) as caught:
        await attempt(sender, method, **options)
    return caught.value


@pytest.mark.parametrize("error", [LOST, REFUSED])
async def test_a_repeatable_request_goes_to_another_server(error):
    sender = Sender(error, ANSWER)
    assert await attempt(sender) is ANSWER
    assert sender.servers == ["stock-0", "stock-1"]


@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH", "DELETE"])
async def test_a_request_that_must_not_repeat_is_sent_again_only_if_not_run(method):
    sender = Sender(REFUSED, LOST)
    error = await fail(sender, method)
    assert (error.code, error.ran) == (ResultCode.ANSWER_LOST, Ran.UNKNOWN)
    assert sender.servers == ["stock-0", "stock-1"]


async def test_not_run_is_said_only_if_no_attempt_can_have_run():
    assert (await fail(Sender(REFUSED, REFUSED, REFUSED))).ran is Ran.NO
    assert (await fail(Sender(LOST, REFUSED, REFUSED))).ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    "code", [ResultCode.BAD_REQUEST, ResultCode.ANSWER_TOO_LARGE, ResultCode.STOPPING]
)
async def test_what_another_server_would_repeat_is_not_tried(code):
    sender = Sender(ForwardError(code, "same everywhere"))
    await fail(sender)
    assert len(sender.servers) == 1


async def test_nothing_is_tried_after_the_deadline():
    sender = Sender(LOST)
    request = build_request(deadline_ms=0.0)
    with pytest.raises(ForwardError):
        await build_loop(sender).run(SERVERS[0], request, pick)
    assert len(sender.servers) == 1


@pytest.mark.parametrize("requests", [100, 5_000])
async def test_the_budget_holds_in_a_storm(requests):
    budget = RetryBudget(ratio=0.1, burst=10.0)
    sender = Sender(*[LOST] * (3 * requests))
    for _ in range(requests):
        await fail(sender, budget=budget)
    retries = len(sender.servers) - requests
    assert requests * 0.1 <= retries <= requests * 0.1 + 10
