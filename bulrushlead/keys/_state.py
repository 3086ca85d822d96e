"""Replicated state machine of idempotency keys."""

from functools import singledispatchmethod
from typing import Any

import attrs
import cbor2

from bulrushlead.keys._messages import (
    AbandonHost,
    AbandonKey,
    ChangeReply,
    ClaimKey,
    ClaimReply,
    ClaimState,
    FinishKey,
    ForgetKeys,
    KeyOutcome,
    ListUnknownKeys,
    ReadKey,
    ResolveKey,
    UnknownKey,
    UnknownKeyList,
)
from bulrushlead.keys._records import (
    KeyRecord,
    KeySnapshot,
    KeyStatus,
    RecordedAnswer,
)
from bulrushlead.keys._table import KeyLimits, ServiceKeys
from bulrushlead.wire import codec

_CLAIM_STATE_BY_STATUS = {
    KeyStatus.IN_PROGRESS: ClaimState.IN_PROGRESS,
    KeyStatus.UNKNOWN: ClaimState.UNKNOWN,
    KeyStatus.FREE: ClaimState.FREE,
}

# The outcomes NOT_RUN and UNKNOWN replace only these statuses: a later report of
# the same attempt may add information to a record, but never removes any.
_OPEN_STATUSES = (KeyStatus.IN_PROGRESS, KeyStatus.UNKNOWN)


class KeyState:
    """Grants claims of keys and records the outcomes of their attempts.

    The state is deterministic: it reads no clock and draws no random numbers, so
    the same commands give the same state. All replicas must have the same
    ``limits``.

    Parameters
    ----------
    limits : KeyLimits, optional
        Bounds of the records of each service.
    """

    def __init__(self, limits: KeyLimits | None = None):
        self.limits = limits or KeyLimits()
        self._services: dict[str, ServiceKeys] = {}

    def apply(self, index: int, command: Any) -> Any:
        """Apply a command of the replicated log.

        Parameters
        ----------
        index : int
            Position in the log.
        command : message
            A command or query of idempotency keys.

        Returns
        -------
        message
            The reply.

        Raises
        ------
        TypeError
            If it is not a command of idempotency keys.
        """
        return self._apply(command, index)

    def read(self, query: ReadKey | ListUnknownKeys) -> Any:
        """Answer a query without an entry in the replicated log.

        Only the leader may do so, while it holds its lease. A reader that misses
        the latest change polls again.
        """
        return self._apply(query, 0)

    def list_unknown(self, service: str = "") -> tuple[UnknownKey, ...]:
        """Return the keys whose outcome is unknown, in order of their claims.

        Parameters
        ----------
        service : str, default=""
            Name of the service; empty for all.
        """
        tables = [self._services[service]] if service in self._services else []
        if not service:
            tables = list(self._services.values())
        records = [r for t in tables for r in t.open if r.status is KeyStatus.UNKNOWN]
        records.sort(key=lambda record: record.claimed_index)
        return tuple(_to_unknown_key(record) for record in records)

    def spent_share(self, service: str) -> float:
        """Return the used share of a service's limit of spent keys, 0 to 1."""
        table = self._services.get(service)
        return len(table.spent) / self.limits.spent_keys if table else 0.0

    def snapshot(self) -> bytes:
        """Return the whole state, serialised."""
        services = tuple(table.snapshot() for table in self._services.values())
        return cbor2.dumps(codec.to_plain(KeySnapshot(services)))

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        snapshot = codec.from_plain(cbor2.loads(data), KeySnapshot)
        self._services = {
            part.service: ServiceKeys.from_snapshot(part, self.limits)
            for part in snapshot.services
        }

    def _get_or_create_table(self, service: str) -> ServiceKeys:
        table = self._services.get(service)
        if table is None:
            table = self._services[service] = ServiceKeys(service, self.limits)
        return table

    def _find_record(self, command: Any) -> KeyRecord | None:
        table = self._services.get(command.service)
        return table.get(command.key) if table else None

    @singledispatchmethod
    def _apply(self, command: Any, index: int) -> Any:
        raise TypeError(f"{type(command).__name__} is no command of idempotency keys")

    @_apply.register
    def _(self, command: ClaimKey, index: int) -> ClaimReply:
        table = self._get_or_create_table(command.service)
        record = table.get(command.key)
        if record is None:
            refused_state = table.refused_claim_state(command.key)
            if refused_state is not None:
                return ClaimReply(refused_state)
        elif not _is_claimable(record, command):
            return _build_reply(record, command)
        table.put(
            KeyRecord(
                key=command.key,
                service=command.service,
                digest=command.digest,
                host=command.host,
                incarnation=command.incarnation,
                attempt_id=command.attempt_id,
                status=KeyStatus.IN_PROGRESS,
                claimed_index=index,
            )
        )
        return ClaimReply(ClaimState.CLAIMED, attempt_id=command.attempt_id)

    @_apply.register
    def _(self, command: ReadKey, index: int) -> ClaimReply:
        table = self._services.get(command.service)
        record = table.get(command.key) if table else None
        if record is not None:
            return _build_reply(record, command)
        if table is not None and table.is_spent(command.key):
            return ClaimReply(ClaimState.ANSWER_NOT_KEPT)
        return ClaimReply(ClaimState.FREE)

    @_apply.register
    def _(self, command: FinishKey, index: int) -> ChangeReply:
        table = self._get_or_create_table(command.service)
        record = table.get(command.key)
        if record is None:
            return self._finish_without_claim(table, command, index)
        if record.attempt_id != command.attempt_id:
            return ChangeReply(False)
        updated = _apply_finish(record, table.without_large_answer(command))
        if updated is not record:
            table.put(updated)
        return ChangeReply(True, int(updated is not record))

    @_apply.register
    def _(self, command: AbandonKey, index: int) -> ChangeReply:
        record = self._find_record(command)
        if record is None or record.attempt_id != command.attempt_id:
            return ChangeReply(False)
        return ChangeReply(True, self._mark_unknown(record, command.note))

    @_apply.register
    def _(self, command: AbandonHost, index: int) -> ChangeReply:
        abandoned = [
            record
            for table in self._services.values()
            for record in table.open
            if record.host == command.host
            and record.incarnation != command.live_incarnation
        ]
        note = f"entry host {command.host} stopped before it recorded the outcome"
        count = sum(self._mark_unknown(record, note) for record in abandoned)
        return ChangeReply(True, count)

    @_apply.register
    def _(self, command: ResolveKey, index: int) -> ChangeReply:
        record = self._find_record(command)
        if (
            record is None
            or record.attempt_id != command.attempt_id
            or record.status is not KeyStatus.UNKNOWN
        ):
            return ChangeReply(False)
        outcome = KeyOutcome.ANSWERED if command.ran else KeyOutcome.NOT_RUN
        resolution = FinishKey(
            key=command.key,
            service=command.service,
            attempt_id=command.attempt_id,
            outcome=outcome,
            kept=False,
            note=command.note,
        )
        self._get_or_create_table(command.service).put(
            _apply_finish(record, resolution)
        )
        return ChangeReply(True, 1)

    @_apply.register
    def _(self, command: ForgetKeys, index: int) -> ChangeReply:
        table = self._services.get(command.service)
        if table is None:
            return ChangeReply(False)
        return ChangeReply(True, table.spent.forget_oldest(command.keep))

    @_apply.register
    def _(self, command: ListUnknownKeys, index: int) -> UnknownKeyList:
        keys = self.list_unknown(command.service)
        return UnknownKeyList(keys[: max(0, command.limit)], len(keys))

    def _finish_without_claim(
        self, table: ServiceKeys, command: FinishKey, index: int
    ) -> ChangeReply:
        if command.outcome is not KeyOutcome.NOT_RUN or table.is_spent(command.key):
            return ChangeReply(False)
        # The claim may arrive later. This record refuses it, since no host works
        # on that attempt any more.
        table.put(
            KeyRecord(
                key=command.key,
                service=command.service,
                digest=b"",
                host="",
                incarnation="",
                attempt_id=command.attempt_id,
                status=KeyStatus.FREE,
                claimed_index=index,
            )
        )
        return ChangeReply(True, 1)

    def _mark_unknown(self, record: KeyRecord, note: str) -> int:
        if record.status is not KeyStatus.IN_PROGRESS:
            return 0
        changed = attrs.evolve(record, status=KeyStatus.UNKNOWN, note=note)
        self._get_or_create_table(record.service).put(changed)
        return 1


def _is_claimable(record: KeyRecord, command: ClaimKey) -> bool:
    return (
        record.status is KeyStatus.FREE
        and record.attempt_id != command.attempt_id
        and record.digest in (b"", command.digest)
    )


def _build_reply(record: KeyRecord, command: ClaimKey | ReadKey) -> ClaimReply:
    if record.digest not in (b"", command.digest):
        return ClaimReply(ClaimState.REUSED)
    is_own = isinstance(command, ClaimKey) and record.attempt_id == command.attempt_id
    if is_own and record.status is KeyStatus.IN_PROGRESS:
        return ClaimReply(ClaimState.CLAIMED, attempt_id=record.attempt_id)
    if is_own and record.status is KeyStatus.FREE:
        return ClaimReply(ClaimState.ATTEMPT_OVER)
    if record.status is KeyStatus.FINISHED:
        return _build_answer_reply(record)
    return ClaimReply(
        _CLAIM_STATE_BY_STATUS[record.status],
        host=record.host,
        incarnation=record.incarnation,
        attempt_id=record.attempt_id,
        note=record.note,
    )


def _build_answer_reply(record: KeyRecord) -> ClaimReply:
    answer = record.answer
    if not answer.kept:
        return ClaimReply(ClaimState.ANSWER_NOT_KEPT, note=answer.note)
    return ClaimReply(
        ClaimState.FINISHED,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _apply_finish(record: KeyRecord, finish: FinishKey) -> KeyRecord:
    """Return the record after its attempt has reported an outcome."""
    if finish.outcome is KeyOutcome.ANSWERED:
        if record.status is KeyStatus.FINISHED and record.answer.kept:
            return record
        answer = RecordedAnswer(
            finish.status, finish.headers, finish.body, finish.kept, finish.note
        )
        return attrs.evolve(record, status=KeyStatus.FINISHED, answer=answer, note="")
    if record.status not in _OPEN_STATUSES:
        return record
    if finish.outcome is KeyOutcome.NOT_RUN:
        return attrs.evolve(record, status=KeyStatus.FREE, note=finish.note)
    return attrs.evolve(record, status=KeyStatus.UNKNOWN, note=finish.note)


def _to_unknown_key(record: KeyRecord) -> UnknownKey:
    return UnknownKey(
        key=record.key,
        service=record.service,
        attempt_id=record.attempt_id,
        host=record.host,
        incarnation=record.incarnation,
        claimed_index=record.claimed_index,
        note=record.note,
    )
