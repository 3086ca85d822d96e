"""Refusals of operators' calls and their conversion to gRPC statuses."""

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
# gRPC clients accept 8 KiB of metadata by default. Base64 adds a third to the size
# of a binary value, so that a refusal takes at most 4 KiB of them.
MAX_REFUSAL_BYTES = 3_072
# Lengths in characters.
MAX_DETAIL_LENGTH = 500
MAX_ITEM_LENGTH = 160

_GRPC_STATUS = {
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
    """Refusal of an operators' call.

    Parameters
    ----------
    code : ResultCode
        Reason of the refusal.
    detail : str
        Cause and remedy.
    leader_hint : str
        Address of the leader, if the replica that refused is not the leader.
    current_revision : int
        Accepted revision, if the expected revision was compared with it.
    faults : sequence of Fault
        Faults of the declaration; long lists are truncated when sent.
    risks : sequence of Risk
        Risks that the operator must accept with ``force``.
    differences : sequence of str
        Changes accepted since the expected revision.
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
    """Failure of the TLS handshake of a connection, before any call was sent."""


def refusal_to_proto(error: BulrushleadError, leader_hint: str = "") -> pb.Refusal:
    """Convert an error to a message of at most ``MAX_REFUSAL_BYTES``."""
    refusal = pb.Refusal(
        code=error.code.value,
        name=error.code.name,
        detail=_truncate(error.detail, MAX_DETAIL_LENGTH),
        leader_hint=leader_hint,
    )
    if isinstance(error, FaultsError | RefusedError):
        refusal.faults.extend(
            pb.Fault(
                key=_truncate(fault.key),
                value=_truncate(fault.value),
                allowed=_truncate(fault.allowed),
            )
            for fault in error.faults
        )
    if isinstance(error, RefusedError):
        refusal.leader_hint = leader_hint or error.leader_hint
        refusal.current_revision = error.current_revision
        refusal.risks.extend(to_proto(risk) for risk in error.risks)
        refusal.differences.extend(_truncate(line) for line in error.differences)
    # Halve one list after the other until the message is small enough.
    for items in (refusal.faults, refusal.risks, refusal.differences):
        while items and refusal.ByteSize() > MAX_REFUSAL_BYTES:
            del items[len(items) // 2 :]
    return refusal


async def abort(
    context: grpc.aio.ServicerContext, error: BulrushleadError, leader_hint: str
) -> None:
    """End a call with a refusal; never returns."""
    refusal = refusal_to_proto(error, leader_hint)
    status = _GRPC_STATUS.get(error.code, grpc.StatusCode.INTERNAL)
    text = f"{refusal.name} ({refusal.code}): {refusal.detail}"
    await context.abort(
        status,
        text.encode("ascii", "backslashreplace").decode()[:MAX_DETAIL_LENGTH],
        (
            (CODE_KEY, str(refusal.code)),
            (REFUSAL_KEY, refusal.SerializeToString()),
        ),
    )


def error_from_rpc(error: grpc.aio.AioRpcError, address: str) -> RefusedError:
    """Convert a failed call to an error with a result code.

    Parameters
    ----------
    error : grpc.aio.AioRpcError
        Exception raised by gRPC.
    address : str
        Address of the control host, for the error text.
    """
    for key, value in error.trailing_metadata() or ():
        if key == REFUSAL_KEY:
            return _error_from_refusal(value)
    return _error_from_status(error, address)


def _error_from_refusal(data: bytes) -> RefusedError:
    try:
        refusal = pb.Refusal.FromString(data)
        code = ResultCode(refusal.code)
        risks = [risk_from_proto(risk) for risk in refusal.risks]
    except (DecodeError, ValueError, BulrushleadError):
        return RefusedError(
            ResultCode.MESSAGE_MALFORMED,
            "the refusal cannot be decoded; upgrade this client",
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


def _error_from_status(error: grpc.aio.AioRpcError, address: str) -> RefusedError:
    details = str(error.details())[:MAX_DETAIL_LENGTH]
    if _is_handshake_failure(error.code(), details.lower()):
        return HandshakeError(
            ResultCode.NOT_AUTHORISED,
            f"{address} ended the connection before any call; present a certificate "
            "signed by its authority, trust the authority of its own certificate, "
            f"and use TLS on both sides or on neither ({details})",
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
            # This code implies that the call may have run.
            code = ResultCode.PEER_TIMEOUT
    return RefusedError(code, f"{address}: {error.code().name}: {details}")


def _is_handshake_failure(status: grpc.StatusCode, details: str) -> bool:
    # gRPC has no status code for this; only the text of the status shows it.
    return (
        status is grpc.StatusCode.UNAVAILABLE
        and "failed to connect" in details
        and ("handshake failed" in details or "socket closed" in details)
    )


def _truncate(text: str, length: int = MAX_ITEM_LENGTH) -> str:
    return text if len(text) <= length else text[: length - 3] + "..."
