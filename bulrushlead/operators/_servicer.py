"""Implementation of the service in operators.proto."""

import asyncio
import functools
import re
from collections.abc import AsyncIterator, Callable

import attrs
import grpc

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration, Risk, diff, find_risks, validate
from bulrushlead.logs import Event, EventLogger
from bulrushlead.operators import operators_pb2 as pb
from bulrushlead.operators._backend import OperatorBackend
from bulrushlead.operators._convert import declaration_from_proto, to_proto
from bulrushlead.operators._messages import ApplyDeclaration, ApplyReply
from bulrushlead.operators._refusals import WATCH_ACCEPTED_KEY, RefusedError, abort
from bulrushlead.operators._state import compute_digest, summarise
from bulrushlead.operators._watch import ChangeFeed
from bulrushlead.operators.operators_pb2_grpc import OperatorsServicer
from bulrushlead.results import (
    BulrushleadError,
    Fault,
    FaultsError,
    ResultCode,
)
from bulrushlead.wire import codec

# A record of the replicated log is limited to 1 MiB; 4 KiB of it are reserved for
# the envelope that the control program adds to a command.
MAX_COMMAND_BYTES = 1024 * 1024 - 4096
MAX_WATCHERS = 64
READ_BARRIER_TIMEOUT_MS = 2_000
PROPOSE_TIMEOUT_MS = 10_000

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}", re.ASCII)
_MAX_AUTHOR_LENGTH = 64


class MalformedRequest:
    """Placeholder for a request that cannot be decoded."""


def _refuse_errors(method: Callable) -> Callable:
    """Convert errors of a unary call to refusals."""

    @functools.wraps(method)
    async def wrapper(self, request, context):
        try:
            self._check_request(request, context)
            return await method(self, request, context)
        except BulrushleadError as error:
            refusal = error
        except Exception as error:
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            refusal = BulrushleadError(ResultCode.INTERNAL, type(error).__name__)
        return await self._refuse(context, refusal)

    return wrapper


class Servicer(OperatorsServicer):
    """Serves operators' calls from a backend.

    Parameters
    ----------
    backend : OperatorBackend
        The replicated log and the leases.
    requires_certificate : bool
        Whether clients must present a certificate; its common name is then the
        author of their changes.
    allowed_authors : tuple of str
        Common names that may call; empty admits every client.
    feed : ChangeFeed
        Source of the changes for watchers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        backend: OperatorBackend,
        requires_certificate: bool,
        allowed_authors: tuple[str, ...],
        feed: ChangeFeed,
        clock: Clock,
    ):
        self.backend = backend
        self.requires_certificate = requires_certificate
        self.allowed_authors = allowed_authors
        self.feed = feed
        self.clock = clock
        self._watchers = 0
        self._log = EventLogger("operators")

    @_refuse_errors
    async def Apply(self, request, context):  # noqa: N802
        """Accept a declaration as the next revision."""
        # Decoding and validating a large declaration would block the event loop and
        # delay the heartbeats of this host, so both run in a thread.
        author = _common_name(context) if self.requires_certificate else request.author
        command = await asyncio.to_thread(_command_from_request, request, author)
        await self._read_barrier()
        reply = self.backend.state.evaluate(command)
        if reply is None:
            old = self.backend.state.current.declaration
            servers = self.backend.backend_servers()
            command = await asyncio.to_thread(_prepare_command, command, old, servers)
            reply = await self._propose(command)
        if not reply.accepted:
            raise _error_from_reply(reply)
        self._log.write(
            Event.CONFIGURATION_ACCEPTED,
            revision=reply.revision,
            request_id=command.request_id,
            author=command.author,
            force=command.force,
        )
        return pb.ApplyReply(revision=reply.revision)

    @_refuse_errors
    async def Diff(self, request, context):  # noqa: N802
        """Return the changes that a declaration would make."""
        declaration = await asyncio.to_thread(
            declaration_from_proto, request.declaration
        )
        await self._read_barrier()
        accepted = self.backend.state.current
        servers = self.backend.backend_servers()
        changes, risks = await asyncio.to_thread(
            _compare, accepted.declaration, declaration, servers
        )
        return pb.DiffReply(revision=accepted.revision, changes=changes, risks=risks)

    @_refuse_errors
    async def Export(self, request, context):  # noqa: N802
        """Return the accepted configuration."""
        await self._read_barrier()
        accepted = self.backend.state.current
        declaration = await asyncio.to_thread(to_proto, accepted.declaration)
        return pb.ExportReply(
            revision=accepted.revision,
            request_id=accepted.request_id,
            author=accepted.author,
            declaration=declaration,
        )

    @_refuse_errors
    async def GetStatus(self, request, context):  # noqa: N802
        """Return the revision and the lease of each host."""
        await self._read_barrier()
        status = self.backend.status()
        return pb.GetStatusReply(
            revision=status.revision,
            leader=status.leader,
            term=status.term,
            hosts=to_proto(status.hosts),
        )

    @_refuse_errors
    async def GetHistory(self, request, context):  # noqa: N802
        """Return the latest accepted changes."""
        if request.limit < 0:
            raise BulrushleadError(
                ResultCode.MESSAGE_MALFORMED,
                f"limit {request.limit}; allowed: 0 or more",
            )
        await self._read_barrier()
        entries = self.backend.state.history(request.limit or None)
        return pb.GetHistoryReply(entries=to_proto(entries))

    async def Watch(self, request, context) -> AsyncIterator[pb.HistoryEntry]:  # noqa: N802
        """Send each change when it is accepted."""
        self._watchers += 1
        try:
            self._check_request(request, context)
            if self._watchers > MAX_WATCHERS:
                raise BulrushleadError(
                    ResultCode.OVERLOADED,
                    f"{MAX_WATCHERS} watchers at most; end one or ask again later",
                )
            await self._read_barrier()
            await context.send_initial_metadata(((WATCH_ACCEPTED_KEY, "accepted"),))
            async for entry in self.feed.follow(request.after_revision):
                yield to_proto(entry)
        except BulrushleadError as error:
            await self._refuse(context, error)
        finally:
            self._watchers -= 1

    def _check_request(self, request, context) -> None:
        if isinstance(request, MalformedRequest):
            raise BulrushleadError(
                ResultCode.MESSAGE_MALFORMED,
                "the request is no message of this call; see operators.proto",
            )
        if not self.requires_certificate:
            return
        name = _common_name(context)
        if not name or (self.allowed_authors and name not in self.allowed_authors):
            raise BulrushleadError(
                ResultCode.NOT_AUTHORISED,
                f"common name {name!r:.80} may not call; use a key of an operator "
                "that the settings allow",
            )

    async def _read_barrier(self) -> None:
        try:
            await self.clock.wait_for(
                self.backend.read_barrier(), READ_BARRIER_TIMEOUT_MS
            )
        except TimeoutError as error:
            raise BulrushleadError(
                ResultCode.NO_QUORUM,
                f"no quorum confirmed this leader within {READ_BARRIER_TIMEOUT_MS} "
                "ms; ask another control host",
            ) from error

    async def _propose(self, command: ApplyDeclaration) -> ApplyReply:
        try:
            return await self.clock.wait_for(
                self.backend.propose(command), PROPOSE_TIMEOUT_MS
            )
        except TimeoutError as error:
            raise BulrushleadError(
                ResultCode.CHANGE_OUTCOME_UNKNOWN,
                f"no quorum stored the change within {PROPOSE_TIMEOUT_MS} ms; send "
                "it again with the same request id",
            ) from error

    async def _refuse(self, context, error: BulrushleadError) -> None:
        self._log.write(
            Event.CONFIGURATION_REFUSED, code=error.code.value, detail=error.detail
        )
        hint = "" if self.backend.is_leader() else self.backend.leader_hint()
        await abort(context, error, hint)


def _command_from_request(request: pb.ApplyRequest, author: str) -> ApplyDeclaration:
    if _REQUEST_ID_PATTERN.fullmatch(request.request_id) is None:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"request_id {request.request_id!r:.80}; allowed: 1 to 64 letters, "
            "digits, '.', '_', ':' or '-'",
        )
    command = ApplyDeclaration(
        request.request_id,
        request.expected_revision,
        declaration_from_proto(request.declaration),
        request.force,
        author[:_MAX_AUTHOR_LENGTH],
    )
    return attrs.evolve(command, digest=compute_digest(command))


def _prepare_command(
    command: ApplyDeclaration, old: Declaration, servers: tuple
) -> ApplyDeclaration:
    """Validate a command and add its summary, or raise the refusal."""
    source = f"change {command.request_id}"
    faults = validate(command.declaration)
    if faults:
        raise FaultsError(ResultCode.DECLARATION_INVALID, source, faults)
    risks = find_risks(old, command.declaration, servers)
    if risks and not command.force:
        raise _needs_force_error(risks)
    summary = summarise(diff(old, command.declaration))
    prepared = attrs.evolve(command, summary=summary)
    size_bytes = len(codec.encode(prepared))
    if size_bytes > MAX_COMMAND_BYTES:
        fault = Fault(
            "declaration", f"{size_bytes} bytes", f"at most {MAX_COMMAND_BYTES} bytes"
        )
        raise FaultsError(ResultCode.DECLARATION_INVALID, source, [fault])
    return prepared


def _compare(old: Declaration, new: Declaration, servers: tuple):
    faults = validate(new)
    if faults:
        raise FaultsError(ResultCode.DECLARATION_INVALID, "diff", faults)
    changes = [
        pb.Change(
            kind=change.kind.value,
            section=change.section,
            item=change.item,
            fields=to_proto(change.fields),
        )
        for change in diff(old, new).changes
    ]
    return changes, [to_proto(risk) for risk in find_risks(old, new, servers)]


def _needs_force_error(risks: list[Risk]) -> RefusedError:
    names = "; ".join(str(risk) for risk in risks)
    return RefusedError(
        ResultCode.NEEDS_FORCE,
        f"{names}; mend the declaration or apply it with force",
        risks=risks,
    )


def _error_from_reply(reply: ApplyReply) -> RefusedError:
    return RefusedError(
        ResultCode(reply.code),
        reply.detail,
        current_revision=reply.revision,
        differences=reply.differences,
    )


def _common_name(context: grpc.aio.ServicerContext) -> str:
    names = context.auth_context().get("x509_common_name", [b""])
    return names[0].decode(errors="replace")
