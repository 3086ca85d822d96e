"""Refusals of operators' calls and their form as gRPC status and metadata."""

from collections.abc import Sequence

import grpc
from google.protobuf.message import DecodeError

from bulrushlead.declaration import Risk
from bulrushlead.operators import operators_pb2 as pb
from bulrushlead.operators._convert import risk_from_proto, to_proto
from bulrushlead.results import BulrushleadError, Fault, FaultsError, ResultCode

CODE_KEY = "bulrushlead-code"
REFUSAL_KEY = "bulrushlead-refusal-bin"
WATCH_ACCEPTED_KEY = "bulrushlead-watch"
# gRPC clients accept 8 KiB of metadata by default; base64 adds a third.
MAX_REFUSAL_BYTES = 3_072
MAX_DETAIL_LENGTH = 500
MAX_ITEM_LENGTH = 160

_STATUS = {
    ResultCode.DECLARATION_INVALID: grpc.StatusCode.INVALID_ARGUMENT,
    ResultCode.MESSAGE_MALFORMED: grpc.StatusCode.INVALID_ARGUMENT,
    ResultCode.MESSAGE_TOO_LARGE: grpc.StatusCode.RESOURCE_EXHAUSTED,
    ResultCode.OVERLOADED: grpc.StatusCode.RESOURCE_EXHAUSTED,
    ResultCode.REVISION_CONFLICT: grpc.StatusCode.ABORTED,
    ResultCode.REQUEST_ID_REUSED: grpc.StatusCode.ALREADY_EXISTS,
    ResultCode.NEEDS_FORCE: grpc.StatusCode.FAILED_PRECONDITION,
    ResultCode.NOT_AUTHORISED: grpc.StatusCode.PERMISSION_DENIED,
    ResultCode.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    ResultCode.CONTROL_UNREACHABLE: grpc.StatusCode.UNAVAILABLE,
    ResultCode.NOT_LEADER: grpc.StatusCode.UNAVAILABLE,
    ResultCode.NO_QUORUM: grpc.StatusCode.UNAVAILABLE,
    ResultCode.STORAGE_FAILED: grpc.StatusCode.UNAVAILABLE,
    ResultCode.PEER_UNREACHABLE: grpc.StatusCode.UNAVAILABLE,
    ResultCode.PEER_TIMEOUT: grpc.StatusCode.DEADLINE_EXCEEDED,
    ResultCode.CHANGE_OUTCOME_UNKNOWN: grpc.StatusCode.UNKNOWN,
}


class RefusedError(BulrushleadError):
    """A refused operators' call.

    Parameters
    ----------
    code : ResultCode
        Why it was refused.
    detail : str
        What is wrong and what to do about it.
    leader_hint : str
        Address of the leader, if the one asked is not it.
    current_revision : int
        Accepted revision, where the call was compared with it.
    faults : sequence of Fault
        Faults of the declaration; long lists are cut on the way.
    risks : sequence of Risk
        What needs force.
    differences : sequence of str
        What was accepted since the expected revision.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str,
        leader_hint: str = "",
        current_revision: int = 0,
        faults: Sequence[Fault] = (),
        risks: Sequence[Risk] = (),
        differences: Sequence[str] = (),
    ):
        super().__init__(code, detail)
        self.leader_hint = leader_hint
        self.current_revision = current_revision
        self.faults = tuple(faults)
        self.risks = tuple(risks)
        self.differences = tuple(differences)


class HandshakeError(RefusedError):
    """A connection that ended before any call because the keys do not fit."""


def to_refusal(error: BulrushleadError, leader_hint: str = "") -> pb.Refusal:
    """Return an error as a message of bounded size."""
    refusal = pb.Refusal(
        code=error.code.value,
        name=error.code.name,
        detail=_cut(error.detail, MAX_DETAIL_LENGTH),
        leader_hint=leader_hint,
    )
    if isinstance(error, FaultsError | RefusedError):
        refusal.faults.extend(
            pb.Fault(
                key=_cut(fault.key),
                value=_cut(fault.value),
                allowed=_cut(fault.allowed),
            )
            for fault in error.faults
        )
    if isinstance(error, RefusedError):
        refusal.leader_hint = leader_hint or error.leader_hint
        refusal.current_revision = error.current_revision
        refusal.risks.extend(to_proto(risk) for risk in error.risks)
        refusal.differences.extend(_cut(line) for line in error.differences)
    for items in (refusal.faults, refusal.risks, refusal.differences):
        while items and refusal.ByteSize() > MAX_REFUSAL_BYTES:
            del items[len(items) // 2 :]
    return refusal


async def abort(
    context: grpc.aio.ServicerContext, error: BulrushleadError, leader_hint: str
) -> None:
    """End a call with a refusal; does not return."""
    refusal = to_refusal(error, leader_hint)
    status = _STATUS.get(error.code, grpc.StatusCode.INTERNAL)
    text = f"{refusal.name} ({refusal.code}): {refusal.detail}"
    await context.abort(
        status,
        text.encode("ascii", "backslashreplace").decode()[:MAX_DETAIL_LENGTH],
        (
            (CODE_KEY, str(refusal.code)),
            (REFUSAL_KEY, refusal.SerializeToString()),
        ),
    )


def refusal_of(error: grpc.aio.AioRpcError, address: str) -> RefusedError:
    """Return a failed call as an error with a result code.

    Parameters
    ----------
    error : grpc.aio.AioRpcError
        What gRPC raised.
    address : str
        Address of the server, for the error.
    """
    for key, value in error.trailing_metadata() or ():
        if key == REFUSAL_KEY:
            return _from_refusal(value)
    return _from_status(error, address)


def _from_refusal(data: bytes) -> RefusedError:
    try:
        refusal = pb.Refusal.FromString(data)
        code = ResultCode(refusal.code)
        risks = [risk_from_proto(risk) for risk in refusal.risks]
    except (DecodeError, ValueError, BulrushleadError):
        return RefusedError(
            ResultCode.MESSAGE_MALFORMED, "a refusal of an unknown release"
        )
    return RefusedError(
        code,
        refusal.detail,
        refusal.leader_hint,
        refusal.current_revision,
        [Fault(fault.key, fault.value, fault.allowed) for fault in refusal.faults],
        risks,
        tuple(refusal.differences),
    )


def _from_status(error: grpc.aio.AioRpcError, address: str) -> RefusedError:
    details = str(error.details())[:MAX_DETAIL_LENGTH]
    if _is_handshake_failure(error.code(), details.lower()):
        return HandshakeError(
            ResultCode.NOT_AUTHORISED,
            f"{address} ended the connection before any call; show a key signed by "
            "its authority, trust the authority of its own key, and use keys on "
            f"both sides or on neither ({details})",
        )
    match error.code():
        case grpc.StatusCode.RESOURCE_EXHAUSTED if "larger than" in details:
            code = ResultCode.MESSAGE_TOO_LARGE
        case grpc.StatusCode.RESOURCE_EXHAUSTED:
            code = ResultCode.OVERLOADED
        case grpc.StatusCode.UNIMPLEMENTED:
            code = ResultCode.NOT_FOUND
        case grpc.StatusCode.DEADLINE_EXCEEDED:
            code = ResultCode.PEER_TIMEOUT
        case grpc.StatusCode.UNAVAILABLE if "failed to connect" in details.lower():
            code = ResultCode.PEER_UNREACHABLE
        case _:
            code = ResultCode.PEER_TIMEOUT
    return RefusedError(code, f"{address}: {error.code().name}: {details}")


def _is_handshake_failure(status: grpc.StatusCode, details: str) -> bool:
    return (
        status is grpc.StatusCode.UNAVAILABLE
        and "failed to connect" in details
        and ("handshake failed" in details or "socket closed" in details)
    )


def _cut(text: str, length: int = MAX_ITEM_LENGTH) -> str:
    return text if len(text) <= length else text[: length - 3] + "..."
