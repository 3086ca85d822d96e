"""Turns answers into records of keys, and replies into answers or errors."""

from typing import NoReturn

from multidict import CIMultiDict

from bulrushlead.forwarding import ForwardAnswer, ForwardError
from bulrushlead.keys._messages import (
    AnswerHeader,
    ClaimReply,
    ClaimState,
    FinishKey,
    KeyOutcome,
)
from bulrushlead.results import Ran, ResultCode


def finish_of(
    key: str, service: str, attempt_id: str, answer: ForwardAnswer, limit_bytes: int
) -> FinishKey:
    """Return the record of an answer, without its content if that is too large.

    Parameters
    ----------
    key, service, attempt_id : str
        The attempt that brought the answer.
    answer : ForwardAnswer
        The complete answer.
    limit_bytes : int
        Most bytes of headers and body that are recorded.
    """
    size_bytes = len(answer.body) + sum(
        len(name) + len(value) for name, value in answer.headers.items()
    )
    if size_bytes > limit_bytes:
        return FinishKey(key, service, attempt_id, KeyOutcome.ANSWERED, kept=False)
    return FinishKey(
        key=key,
        service=service,
        attempt_id=attempt_id,
        outcome=KeyOutcome.ANSWERED,
        status=answer.status,
        headers=tuple(AnswerHeader(n, v) for n, v in answer.headers.items()),
        body=answer.body,
    )


def answer_of(reply: ClaimReply) -> ForwardAnswer:
    """Return the recorded answer in a reply."""
    headers = CIMultiDict((header.name, header.value) for header in reply.headers)
    return ForwardAnswer(reply.status, headers, reply.body)


def refusal(
    code: ResultCode, key: str, detail: str, ran: Ran | None = None
) -> ForwardError:
    """Return the error that tells a caller why there is no answer.

    Parameters
    ----------
    code : ResultCode
        Number of the error.
    key : str
        The idempotency key.
    detail : str
        What is known, and what to do about it.
    ran : Ran, optional
        Whether any send of the key's request can have run; by default what the
        code says.
    """
    return ForwardError(code, f"key {key!r:.200}: {detail}", ran)


def raise_for(reply: ClaimReply, key: str) -> NoReturn:
    """Raise the error for a reply that holds neither a claim nor an answer."""
    if reply.state is ClaimState.REUSED:
        raise refusal(
            ResultCode.KEY_REUSED,
            key,
            "it was used for another method, path or body; use a new key",
        )
    if reply.state is ClaimState.ANSWER_NOT_KEPT:
        raise refusal(
            ResultCode.KEY_ANSWER_NOT_KEPT,
            key,
            "its request ran and is not run again; ask the service for the result "
            f"{reply.note}".rstrip(),
        )
    if reply.state is ClaimState.UNKNOWN:
        raise refusal(
            ResultCode.KEY_OUTCOME_UNKNOWN,
            key,
            f"its request may or may not have run and is not run again; {reply.note}; "
            "ask the service for the result, or an operator to resolve the key",
        )
    raise refusal(
        ResultCode.KEY_CLAIM_FAILED,
        key,
        "too many keys are open or spent; an operator must resolve or forget some",
        Ran.NO,
    )
