"""Records of the keys of one service, and their bounds."""

from collections.abc import ValuesView

import attrs

from bulrushlead.keys._digest import key_fingerprint
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

_OPEN_STATUSES = (KeyStatus.IN_PROGRESS, KeyStatus.UNKNOWN)


@attrs.frozen
class KeyLimits:
    """Bounds of the records of each service.

    Parameters
    ----------
    answered_keys : int
        Maximum number of finished keys with their answers; the oldest become
        spent keys.
    answer_bytes : int
        Maximum total size of the encoded records of finished keys, in bytes.
    released_keys : int
        Maximum number of keys whose request did not run; the oldest are
        forgotten, which is safe since a resend may run.
    one_answer_bytes : int
        Maximum size of one recorded answer, in bytes.
    open_keys : int
        Maximum number of keys in progress or of unknown outcome; further claims
        are refused.
    spent_keys : int
        Maximum number of spent keys (ran, answer no longer stored), counting open
        and answered keys, which may become spent; further claims are refused until
        `ForgetKeys` removes some.
    """

    answered_keys: int = 10_000
    answer_bytes: int = 16 * 1024 * 1024
    released_keys: int = 2_000
    one_answer_bytes: int = 64 * 1024
    open_keys: int = 50_000
    spent_keys: int = 4_194_304


class ServiceKeys:
    """Records of the keys of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    limits : KeyLimits
        Bounds of the records.

    Attributes
    ----------
    spent : SpentKeys
        Keys that ran and whose answers are no longer stored.
    """

    def __init__(self, service: str, limits: KeyLimits):
        self.service = service
        self.limits = limits
        self.spent = SpentKeys()
        self._open: dict[str, KeyRecord] = {}
        # Records are encoded once, so that a snapshot only copies bytes.
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
        """Return whether the key ran and its answer is no longer stored."""
        return len(self.spent) > 0 and key_fingerprint(self.service, key) in self.spent

    def refused_claim_state(self, key: str) -> ClaimState | None:
        """Return why a key without a record cannot be claimed, or None."""
        if self.is_spent(key):
            return ClaimState.ANSWER_NOT_KEPT
        if len(self._open) >= self.limits.open_keys:
            return ClaimState.FULL
        # Each open or answered key may become a spent key, so it counts too.
        n_reserved = len(self.spent) + len(self._open) + len(self._answered)
        if n_reserved >= self.limits.spent_keys:
            return ClaimState.FULL
        return None

    def without_large_answer(self, finish: FinishKey) -> FinishKey:
        """Return ``finish`` without its answer if that is over the limit."""
        if not finish.kept or _size_bytes(finish) <= self.limits.one_answer_bytes:
            return finish
        return attrs.evolve(finish, status=0, headers=(), body=b"", kept=False)

    def put(self, record: KeyRecord) -> None:
        """Store a record and replace the former one of the key."""
        key = record.key
        self._released.pop(key, None)
        previous = self._answered.pop(key, None)
        if previous is not None:
            self._answer_bytes -= len(previous)
        if record.status in _OPEN_STATUSES:
            self._open[key] = record
            return
        self._open.pop(key, None)
        if record.status is KeyStatus.FREE:
            self._released[key] = record
            self._evict_released()
        else:
            self._answered[key] = codec.encode(record)
            self._answer_bytes += len(self._answered[key])
            self._evict_answers()

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
        """Return the records that `snapshot` contains."""
        table = cls(snapshot.service, limits)
        table.spent = SpentKeys.from_bytes(snapshot.spent_prints)
        table._answered = dict(snapshot.answered_keys)
        table._answer_bytes = sum(map(len, table._answered.values()))
        for record in (*snapshot.open_keys, *snapshot.released_keys):
            table.put(record)
        return table

    def _evict_answers(self) -> None:
        limits = self.limits
        while (
            len(self._answered) > limits.answered_keys
            or self._answer_bytes > limits.answer_bytes
        ):
            key = next(iter(self._answered))
            self._answer_bytes -= len(self._answered.pop(key))
            self.spent.add(key_fingerprint(self.service, key))

    def _evict_released(self) -> None:
        while len(self._released) > self.limits.released_keys:
            del self._released[next(iter(self._released))]


def _size_bytes(finish: FinishKey) -> int:
    headers = sum(len(header.name) + len(header.value) for header in finish.headers)
    return len(finish.body) + headers
