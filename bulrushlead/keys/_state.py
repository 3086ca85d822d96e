"""Replicated state of idempotency keys: the same commands give the same state."""

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

_READ_STATES = {
    KeyStatus.IN_PROGRESS: ClaimState.IN_PROGRESS,
    KeyStatus.UNKNOWN: ClaimState.UNKNOWN,
    KeyStatus.FREE: ClaimState.FREE,
}

# A later report of the same attempt may say more than is recorded, never less.
_OPEN = (KeyStatus.IN_PROGRESS, KeyStatus.UNKNOWN)


class KeyState:
    """Decides who may run the request of a key, and remembers how it ended.

    Reads no clock and draws no random numbers. All replicas must have the same
    ``limits``.

    Parameters
    ----------
    limits : KeyLimits, optional
        Bounds of what is remembered of each service.
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
            One of the commands of this slice.

        Returns
        -------
        message
            The reply.

        Raises
        ------
        TypeError
            If the command belongs to another slice.
        """
        return self._apply(command, index)

    def read(self, query: ReadKey | ListUnknownKeys) -> Any:
        """Answer a query without a place in the log.

        The leader may answer so while it holds its lease; a reader that misses
        the latest change only asks again.
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
        return tuple(_describe(record) for record in records)

    def spent_share(self, service: str) -> float:
        """Return how full a service's memory of spent keys is, 0 to 1."""
        table = self._services.get(service)
        return len(table.spent) / self.limits.spent_keys if table else 0.0

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        services = tuple(table.snapshot() for table in self._services.values())
        return cbor2.dumps(codec.to_plain(KeySnapshot(services)))

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        snapshot = codec.from_plain(cbor2.loads(data), KeySnapshot)
        self._services = {
            part.service: ServiceKeys.from_snapshot(part, self.limits)
            for part in snapshot.services
        }

    def _table(self, service: str) -> ServiceKeys:
        table = self._services.get(service)
        if table is None:
            table = self._services[service] = ServiceKeys(service, self.limits)
        return table

    def _find(self, command: Any) -> KeyRecord | None:
        table = self._services.get(command.service)
        return table.get(command.key) if table else None

    @singledispatchmethod
    def _apply(self, command: Any, index: int) -> Any:
        raise TypeError(f"{type(command).__name__} is no command of idempotency keys")

    @_apply.register
    def _(self, command: ClaimKey, index: int) -> ClaimReply:
        table = self._table(command.service)
        record = table.get(command.key)
        if record is None:
            refused = table.refusal_of_new(command.key)
            if refused is not None:
                return ClaimReply(refused)
        elif not _is_claimable(record, command):
            return _reply(record, command)
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
            return _reply(record, command)
        if table is not None and table.is_spent(command.key):
            return ClaimReply(ClaimState.ANSWER_NOT_KEPT)
        return ClaimReply(ClaimState.FREE)

    @_apply.register
    def _(self, command: FinishKey, index: int) -> ChangeReply:
        table = self._table(command.service)
        record = table.get(command.key)
        if record is None:
            return self._finish_unseen(table, command, index)
        if record.attempt_id != command.attempt_id:
            return ChangeReply(False)
        changed = _finished(record, table.trimmed(command))
        if changed is not record:
            table.put(changed)
        return ChangeReply(True, int(changed is not record))

    @_apply.register
    def _(self, command: AbandonKey, index: int) -> ChangeReply:
        record = self._find(command)
        if record is None or record.attempt_id != command.attempt_id:
            return ChangeReply(False)
        return ChangeReply(True, self._mark_unknown(record, command.note))

    @_apply.register
    def _(self, command: AbandonHost, index: int) -> ChangeReply:
        gone = [
            record
            for table in self._services.values()
            for record in table.open
            if record.host == command.host
            and record.incarnation != command.live_incarnation
        ]
        note = f"entry host {command.host} stopped before it recorded the outcome"
        count = sum(self._mark_unknown(record, note) for record in gone)
        return ChangeReply(True, count)

    @_apply.register
    def _(self, command: ResolveKey, index: int) -> ChangeReply:
        record = self._find(command)
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
        self._table(command.service).put(_finished(record, resolution))
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

    def _finish_unseen(
        self, table: ServiceKeys, command: FinishKey, index: int
    ) -> ChangeReply:
        if command.outcome is not KeyOutcome.NOT_RUN or table.is_spent(command.key):
            return ChangeReply(False)
        # The claim may still be on its way; remembering the end of its attempt
        # keeps it from taking hold when nobody works on it any more.
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
        self._table(record.service).put(changed)
        return 1


def _is_claimable(record: KeyRecord, command: ClaimKey) -> bool:
    return (
        record.status is KeyStatus.FREE
        and record.attempt_id != command.attempt_id
        and record.digest in (b"", command.digest)
    )


def _reply(record: KeyRecord, command: ClaimKey | ReadKey) -> ClaimReply:
    if record.digest not in (b"", command.digest):
        return ClaimReply(ClaimState.REUSED)
    own = isinstance(command, ClaimKey) and record.attempt_id == command.attempt_id
    if own and record.status is KeyStatus.IN_PROGRESS:
        return ClaimReply(ClaimState.CLAIMED, attempt_id=record.attempt_id)
    if own and record.status is KeyStatus.FREE:
        return ClaimReply(ClaimState.ATTEMPT_OVER)
    if record.status is KeyStatus.FINISHED:
        return _answer_reply(record)
    return ClaimReply(
        _READ_STATES[record.status],
        host=record.host,
        incarnation=record.incarnation,
        attempt_id=record.attempt_id,
        note=record.note,
    )


def _answer_reply(record: KeyRecord) -> ClaimReply:
    answer = record.answer
    if not answer.kept:
        return ClaimReply(ClaimState.ANSWER_NOT_KEPT, note=answer.note)
    return ClaimReply(
        ClaimState.FINISHED,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _finished(record: KeyRecord, end: FinishKey) -> KeyRecord:
    """Return the record after a report of its own attempt's end."""
    if end.outcome is KeyOutcome.ANSWERED:
        if record.status is KeyStatus.FINISHED and record.answer.kept:
            return record
        answer = RecordedAnswer(end.status, end.headers, end.body, end.kept, end.note)
        return attrs.evolve(record, status=KeyStatus.FINISHED, answer=answer, note="")
    if record.status not in _OPEN:
        return record
    if end.outcome is KeyOutcome.NOT_RUN:
        return attrs.evolve(record, status=KeyStatus.FREE, note=end.note)
    return attrs.evolve(record, status=KeyStatus.UNKNOWN, note=end.note)


def _describe(record: KeyRecord) -> UnknownKey:
    return UnknownKey(
        key=record.key,
        service=record.service,
        attempt_id=record.attempt_id,
        host=record.host,
        incarnation=record.incarnation,
        claimed_index=record.claimed_index,
        note=record.note,
    )
