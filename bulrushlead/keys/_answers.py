"""Conversion between answers, commands, replies and errors of keys."""

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


def finish_with_answer(
    key: str, service: str, attempt_id: str, answer: ForwardAnswer, limit_bytes: int
) -> FinishKey:
    """Return the command that records an answer.

    Status, headers and body of an answer over the limit are not recorded.

    Parameters
    ----------
    key, service, attempt_id : str
        Key, service and attempt that received the answer.
    answer : ForwardAnswer
        The complete answer.
    limit_bytes : int
        Maximum size of headers and body together, in bytes.
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


def recorded_answer(reply: ClaimReply) -> ForwardAnswer:
    """Return the recorded answer that a reply contains."""
    headers = CIMultiDict((header.name, header.value) for header in reply.headers)
    return ForwardAnswer(reply.status, headers, reply.body)


def key_error(
    code: ResultCode, key: str, detail: str, ran: Ran | None = None
) -> ForwardError:
    """Return the error for a keyed request that gets no answer.

    Parameters
    ----------
    code : ResultCode
        Result code of the error.
    key : str
        The idempotency key.
    detail : str
        Cause and remedy.
    ran : Ran, optional
        Whether any send of the key's request can have run; defaults to
        that of the result code.
    """
    return ForwardError(code, f"key {key!r:.200}: {detail}", ran)


def raise_for_state(reply: ClaimReply, key: str) -> NoReturn:
    """Raise the error for a reply that contains neither a claim nor an answer."""
    if reply.state is ClaimState.REUSED:
        raise key_error(
            ResultCode.KEY_REUSED,
            key,
            "it was used for another method, path or body; use a new key",
        )
    if reply.state is ClaimState.ANSWER_NOT_KEPT:
        raise key_error(
            ResultCode.KEY_ANSWER_NOT_KEPT,
            key,
            "its request ran and is not run again; ask the service for the result "
            f"{reply.note}".rstrip(),
        )
    if reply.state is ClaimState.UNKNOWN:
        raise key_error(
            ResultCode.KEY_OUTCOME_UNKNOWN,
            key,
            f"its request may or may not have run and is not run again; {reply.note}; "
            "ask the service for the result, or an operator to resolve the key",
        )
    raise key_error(
        ResultCode.KEY_CLAIM_FAILED,
        key,
        "too many keys are open or spent; an operator must resolve or forget some",
        Ran.NO,
    )
