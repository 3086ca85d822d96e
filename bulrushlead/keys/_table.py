"""Keys of one service, with the bounds of what is remembered."""

from collections.abc import ValuesView

import attrs

from bulrushlead.keys._digest import key_print
from bulrushlead.keys._messages import (
    ClaimState,
    FinishKey,
)
from bulrushlead.keys._records import (
    KeyRecord,
    KeyStatus,
    ServiceSnapshot,
)
from bulrushlead.keys._spent import SpentKeys
from bulrushlead.wire import codec

_OPEN = (KeyStatus.IN_PROGRESS, KeyStatus.UNKNOWN)


@attrs.frozen
class KeyLimits:
    """Bounds of what is remembered of each service.

    Parameters
    ----------
    answered_keys : int
        Most finished keys with their answers.
    answer_bytes : int
        Most bytes of encoded records of finished keys together.
    released_keys : int
        Most keys whose request did not run; the oldest are forgotten, which is
        safe since a resend may run.
    one_answer_bytes : int
        Most bytes of one recorded answer.
    open_keys : int
        Most keys in progress or of unknown outcome; further ones are refused.
    spent_keys : int
        Most keys that ran and whose answers are forgotten; further ones are
        refused until `ForgetKeys`.
    """

    answered_keys: int = 10_000
    answer_bytes: int = 16 * 1024 * 1024
    released_keys: int = 2_000
    one_answer_bytes: int = 64 * 1024
    open_keys: int = 50_000
    spent_keys: int = 4_194_304


class ServiceKeys:
    """Keys of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    limits : KeyLimits
        Bounds of what is remembered.

    Attributes
    ----------
    spent : SpentKeys
        Keys that ran and whose answers are forgotten.
    """

    def __init__(self, service: str, limits: KeyLimits):
        self.service = service
        self.limits = limits
        self.spent = SpentKeys()
        self._open: dict[str, KeyRecord] = {}
        # Encoded once, so that a snapshot only copies bytes.
        self._answered: dict[str, bytes] = {}
        self._released: dict[str, KeyRecord] = {}
        self._answer_bytes = 0

    @property
    def open(self) -> ValuesView[KeyRecord]:
        """Records in progress or of unknown outcome."""
        return self._open.values()

    def get(self, key: str) -> KeyRecord | None:
        """Return the record of a key, or None."""
        record = self._open.get(key) or self._released.get(key)
        if record is None and key in self._answered:
            return codec.decode(self._answered[key])
        return record

    def is_spent(self, key: str) -> bool:
        """Return whether the key ran and only that is remembered."""
        return len(self.spent) > 0 and key_print(self.service, key) in self.spent

    def refusal_of_new(self, key: str) -> ClaimState | None:
        """Return why a key without a record cannot be claimed, or None."""
        if self.is_spent(key):
            return ClaimState.ANSWER_NOT_KEPT
        if len(self._open) >= self.limits.open_keys:
            return ClaimState.FULL
        # Each key that is open or answered needs a place among the spent.
        held = len(self.spent) + len(self._open) + len(self._answered)
        if held >= self.limits.spent_keys:
            return ClaimState.FULL
        return None

    def trimmed(self, end: FinishKey) -> FinishKey:
        """Return ``end`` without its answer if that is too large to keep."""
        if not end.kept or _size_bytes(end) <= self.limits.one_answer_bytes:
            return end
        return attrs.evolve(end, status=0, headers=(), body=b"", kept=False)

    def put(self, record: KeyRecord) -> None:
        """Store a record in place of the key's former one."""
        key = record.key
        self._released.pop(key, None)
        previous = self._answered.pop(key, None)
        if previous is not None:
            self._answer_bytes -= len(previous)
        if record.status in _OPEN:
            self._open[key] = record
            return
        self._open.pop(key, None)
        if record.status is KeyStatus.FREE:
            self._released[key] = record
            self._forget_released()
        else:
            self._answered[key] = codec.encode(record)
            self._answer_bytes += len(self._answered[key])
            self._forget_answers()

    def snapshot(self) -> ServiceSnapshot:
        """Return the state of this service."""
        return ServiceSnapshot(
            service=self.service,
            open_keys=tuple(self._open.values()),
            answered_keys=dict(self._answered),
            released_keys=tuple(self._released.values()),
            spent_prints=self.spent.to_bytes(),
        )

    @classmethod
    def from_snapshot(cls, snapshot: ServiceSnapshot, limits: KeyLimits):
        """Return the keys that `snapshot` described."""
        table = cls(snapshot.service, limits)
        table.spent = SpentKeys.from_bytes(snapshot.spent_prints)
        table._answered = dict(snapshot.answered_keys)
        table._answer_bytes = sum(map(len, table._answered.values()))
        for record in (*snapshot.open_keys, *snapshot.released_keys):
            table.put(record)
        return table

    def _forget_answers(self) -> None:
        limits = self.limits
        while (
            len(self._answered) > limits.answered_keys
            or self._answer_bytes > limits.answer_bytes
        ):
            key = next(iter(self._answered))
            self._answer_bytes -= len(self._answered.pop(key))
            self.spent.add(key_print(self.service, key))

    def _forget_released(self) -> None:
        while len(self._released) > self.limits.released_keys:
            del self._released[next(iter(self._released))]


def _size_bytes(end: FinishKey) -> int:
    headers = sum(len(header.name) + len(header.value) for header in end.headers)
    return len(end.body) + headers
