"""Client of operators' calls."""

import uuid
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import grpc

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration, validate
from bulrushlead.operators import operators_pb2 as pb
from bulrushlead.operators._channels import Channels
from bulrushlead.operators._convert import (
    declaration_from_proto,
    difference_from_proto,
    entry_from_proto,
    risk_from_proto,
    status_from_proto,
    to_proto,
)
from bulrushlead.operators._credentials import Credentials
from bulrushlead.operators._messages import (
    AcceptedConfiguration,
    ApplyReply,
    ClusterStatus,
    HistoryEntry,
    ProposedChange,
)
from bulrushlead.operators._refusals import (
    WATCH_ACCEPTED_KEY,
    RefusedError,
    error_from_rpc,
)
from bulrushlead.operators._search import (
    RETRYABLE_CODES,
    LeaderSearch,
)
from bulrushlead.operators.operators_pb2_grpc import OperatorsStub
from bulrushlead.results import (
    FaultsError,
    ResultCode,
)

DEFAULT_TIMEOUT_MS = 15_000
ATTEMPT_TIMEOUT_MS = 3_000
STATUS_POLL_INTERVAL_MS = 100

# Refusals that are decided before the change reaches the log. After an attempt
# with an unknown outcome, they do not show whether that attempt was accepted.
_REFUSED_BEFORE_APPEND = frozenset(
    {ResultCode.NEEDS_FORCE, ResultCode.DECLARATION_INVALID, ResultCode.OVERLOADED}
)


def new_request_id() -> str:
    """Return a unique request identifier."""
    return str(uuid.uuid4())


class OperatorClient:
    """Client that sends each call to the leader of the control hosts.

    Connections are opened by the first call. A call is sent to one control host
    after another until the leader replies. Every attempt of a change has the same
    request identifier, so that the change is applied at most once.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:port`` of every control host for operators' calls.
    clock : Clock
        Source of time.
    credentials : Credentials, optional
        TLS credentials, if the control hosts require them.
    timeout_ms : float
        Timeout of one call over all attempts, in milliseconds.
    attempt_timeout_ms : float
        Timeout of one attempt, in milliseconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock,
        credentials: Credentials | None = None,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        attempt_timeout_ms: float = ATTEMPT_TIMEOUT_MS,
    ):
        self.addresses = addresses
        self.clock = clock
        self.credentials = credentials
        self.timeout_ms = timeout_ms
        self.attempt_timeout_ms = attempt_timeout_ms
        self._channels = Channels(credentials)
        self._leader = ""

    async def apply(
        self,
        declaration: Declaration,
        expected_revision: int,
        request_id: str = "",
        force: bool = False,
        author: str = "",
    ) -> ApplyReply:
        """Submit a declaration as the next revision and wait until it is accepted.

        Parameters
        ----------
        declaration : Declaration
            Declaration to put in force.
        expected_revision : int
            Accepted revision that the declaration is based on.
        request_id : str, optional
            Identifier of the change; pass that of an earlier call to retry the same
            change. By default a new one is generated.
        force : bool
            Accept the risks that ``diff`` reports.
        author : str
            Name of the operator; with TLS, the common name of the client
            certificate replaces it.

        Returns
        -------
        ApplyReply
            Reply with the revision of the accepted change.

        Raises
        ------
        RefusedError
            With the code of the refusal. With ``CHANGE_OUTCOME_UNKNOWN``, the
            change may have been accepted; the error states the request identifier
            for a retry.
        FaultsError
            With ``DECLARATION_INVALID`` and every fault; no request was sent.
        """
        _require_valid(declaration)
        request_id = request_id or new_request_id()
        request = pb.ApplyRequest(
            request_id=request_id,
            expected_revision=expected_revision,
            declaration=to_proto(declaration),
            force=force,
            author=author,
        )
        search = self._new_search()
        try:
            reply = await self._call(lambda stub: stub.Apply, request, search)
        except RefusedError as error:
            is_inconclusive = error.code in RETRYABLE_CODES | _REFUSED_BEFORE_APPEND
            if search.may_have_run and is_inconclusive:
                raise RefusedError(
                    ResultCode.CHANGE_OUTCOME_UNKNOWN,
                    f"{error.detail}; retry the change with request id "
                    f"{request_id} and expected revision {expected_revision}",
                    error.leader_hint,
                ) from error
            raise
        return ApplyReply(reply.revision)

    async def diff(self, declaration: Declaration) -> ProposedChange:
        """Return the changes that a declaration would make.

        Parameters
        ----------
        declaration : Declaration
            Declaration to compare with the accepted one.

        Raises
        ------
        BulrushleadError
            With the code of the refusal.
        FaultsError
            With ``DECLARATION_INVALID`` and every fault; no request was sent.
        """
        _require_valid(declaration)
        request = pb.DiffRequest(declaration=to_proto(declaration))
        reply = await self._call(lambda stub: stub.Diff, request)
        return ProposedChange(
            reply.revision,
            difference_from_proto(reply.changes),
            tuple(risk_from_proto(risk) for risk in reply.risks),
        )

    async def export(self) -> AcceptedConfiguration:
        """Return the accepted configuration.

        Raises
        ------
        BulrushleadError
            With the code of the refusal.
        """
        reply = await self._call(lambda stub: stub.Export, pb.ExportRequest())
        return AcceptedConfiguration(
            reply.revision,
            declaration_from_proto(reply.declaration),
            reply.request_id,
            reply.author,
        )

    async def status(self) -> ClusterStatus:
        """Return the revision and the lease of each host.

        Raises
        ------
        BulrushleadError
            With the code of the refusal.
        """
        reply = await self._call(lambda stub: stub.GetStatus, pb.GetStatusRequest())
        return status_from_proto(reply)

    async def history(self, limit: int = 0) -> tuple[HistoryEntry, ...]:
        """Return the latest accepted changes, newest first.

        Parameters
        ----------
        limit : int
            Maximum number of entries; 0 returns all that are stored.

        Raises
        ------
        BulrushleadError
            With the code of the refusal.
        """
        request = pb.GetHistoryRequest(limit=limit)
        reply = await self._call(lambda stub: stub.GetHistory, request)
        return tuple(entry_from_proto(entry) for entry in reply.entries)

    async def wait_in_force(self, revision: int, timeout_ms: float) -> ClusterStatus:
        """Wait until no host can act on an older revision.

        Parameters
        ----------
        revision : int
            Revision to wait for.
        timeout_ms : float
            Maximum time to wait, in milliseconds.

        Returns
        -------
        ClusterStatus
            Last status received; after a timeout, hosts may still be behind.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        while True:
            status = await self.status()
            done = status.revision >= revision and not status.hosts_behind(revision)
            if done or self.clock.now_ms() >= deadline_ms:
                return status
            await self.clock.sleep_ms(STATUS_POLL_INTERVAL_MS)

    async def watch(self, after_revision: int) -> AsyncIterator[HistoryEntry]:
        """Yield each change when it is accepted, oldest first, indefinitely.

        Parameters
        ----------
        after_revision : int
            Highest revision that has been received.

        Yields
        ------
        HistoryEntry
            Every change above ``after_revision`` that the history still contains.
            The stream continues after a change of leader.

        Raises
        ------
        BulrushleadError
            With ``CONTROL_UNREACHABLE`` if no control host replies as leader
            within ``timeout_ms``, or with the code of another refusal.
        """
        search = self._new_search()
        while True:
            address = await search.next_address()
            request = pb.WatchRequest(after_revision=after_revision)
            call = self._channels.stub(address).Watch(request)
            try:
                await self._await_acceptance(call, address, search)
                # A stream may be idle for longer than the timeout of one call, so
                # its failure starts a new search with a new timeout.
                async for message in call:
                    entry = entry_from_proto(message)
                    after_revision = entry.revision
                    yield entry
            except grpc.aio.AioRpcError as error:
                search = self._new_search()
                search.record_failure(error_from_rpc(error, address))
            except RefusedError as error:
                search.record_failure(error)
            finally:
                # Closes the stream also if the iteration is stopped early.
                call.cancel()

    async def close(self) -> None:
        """Close every connection."""
        await self._channels.close()

    def _new_search(self) -> LeaderSearch:
        return LeaderSearch(self.addresses, self.clock, self.timeout_ms, self._leader)

    async def _call(
        self,
        method: Callable[[OperatorsStub], Callable],
        request: Any,
        search: LeaderSearch | None = None,
    ) -> Any:
        search = search or self._new_search()
        while True:
            address = await search.next_address()
            try:
                reply = await self._attempt(address, method, request, search)
                search.record_reply(address)
                return reply
            except RefusedError as error:
                search.record_failure(error)
            finally:
                self._leader = search.leader

    async def _attempt(
        self, address: str, method: Callable, request: Any, search: LeaderSearch
    ) -> Any:
        timeout_ms = min(self.attempt_timeout_ms, search.remaining_ms())
        await self._connect(address, timeout_ms)
        try:
            return await self.clock.wait_for(
                method(self._channels.stub(address))(request), timeout_ms
            )
        except TimeoutError as error:
            raise RefusedError(
                ResultCode.PEER_TIMEOUT,
                f"{address} did not reply within {timeout_ms:.0f} ms",
            ) from error
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error, address) from error

    async def _connect(self, address: str, timeout_ms: float) -> None:
        try:
            await self.clock.wait_for(self._channels.connect(address), timeout_ms)
        except TimeoutError as error:
            raise RefusedError(
                ResultCode.PEER_UNREACHABLE,
                f"{address} did not accept a connection within {timeout_ms:.0f} ms",
            ) from error

    async def _await_acceptance(
        self, call: grpc.aio.UnaryStreamCall, address: str, search: LeaderSearch
    ) -> None:
        try:
            metadata = await self.clock.wait_for(
                call.initial_metadata(), self.attempt_timeout_ms
            )
        except TimeoutError as error:
            raise RefusedError(
                ResultCode.PEER_TIMEOUT,
                f"{address} did not accept the watch within "
                f"{self.attempt_timeout_ms:.0f} ms",
            ) from error
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error, address) from error
        if WATCH_ACCEPTED_KEY in metadata:
            search.record_reply(address)
            self._leader = address
            return
        # A refused watch has no such key; reading it raises the refusal.
        try:
            await call.read()
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error, address) from error


def _require_valid(declaration: Declaration) -> None:
    faults = validate(declaration)
    if faults:
        raise FaultsError(ResultCode.DECLARATION_INVALID, "declaration", faults)
