"""The replicated configuration state."""

import hashlib
from collections import deque
from collections.abc import Callable

import attrs

from bulrushlead.declaration import Difference, diff, normalise
from bulrushlead.operators._messages import (
    AcceptedConfiguration,
    ApplyDeclaration,
    ApplyReply,
    ConfigurationSnapshot,
    HistoryEntry,
    RememberedChange,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec

MAX_REMEMBERED_CHANGES = 10_000
MAX_HISTORY_ENTRIES = 100
MAX_SUMMARY_LINES = 20
MAX_SUMMARY_LINE_LENGTH = 160
DIGEST_BYTES = 16

Listener = Callable[[AcceptedConfiguration], None]


class ConfigurationState:
    """Deterministic state of accepted changes, fed by the replicated log.

    A change is accepted only if its expected revision is the accepted one, so
    that the revision grows by one with each change and never goes back. An
    accepted change that is sent again is recognised by its request identifier
    and gets the same answer. Only accepted changes are remembered: a refused one
    expects a revision that is gone for good and is refused again.

    Parameters
    ----------
    max_remembered_changes : int
        Request identifiers that are recognised; the oldest is forgotten first.
        A forgotten change is refused, because its expected revision is stale.
    max_history_entries : int
        Changes that the history shows.

    Attributes
    ----------
    current : AcceptedConfiguration
        What is accepted.
    """

    def __init__(
        self,
        max_remembered_changes: int = MAX_REMEMBERED_CHANGES,
        max_history_entries: int = MAX_HISTORY_ENTRIES,
    ):
        self.max_remembered_changes = max_remembered_changes
        self.max_history_entries = max_history_entries
        self.current = AcceptedConfiguration()
        self._remembered: dict[str, RememberedChange] = {}
        self._history: deque[HistoryEntry] = deque(maxlen=max_history_entries)
        self._listeners: list[Listener] = []

    def apply(self, index: int, command: ApplyDeclaration) -> ApplyReply:
        """Apply one committed command.

        Parameters
        ----------
        index : int
            Place of the command in the replicated log.
        command : ApplyDeclaration
            The change.

        Returns
        -------
        ApplyReply
            The same on every replica.
        """
        reply = self.evaluate(command)
        if reply is not None:
            return reply
        revision = self.current.revision + 1
        declaration = normalise(command.declaration)
        summary = command.summary or summarise(
            diff(self.current.declaration, declaration)
        )
        self._remember(
            RememberedChange(command.request_id, digest_of(command), revision)
        )
        self._history.append(
            HistoryEntry(
                revision, command.request_id, command.author, command.force, summary
            )
        )
        self._accept(
            AcceptedConfiguration(
                revision, declaration, command.request_id, command.author, index
            )
        )
        return ApplyReply(revision)

    def evaluate(self, command: ApplyDeclaration) -> ApplyReply | None:
        """Return the answer to a command that changes nothing.

        Parameters
        ----------
        command : ApplyDeclaration
            The change.

        Returns
        -------
        ApplyReply or None
            The original answer to a change sent again, or a refusal; None if the
            command would be accepted now.
        """
        remembered = self._remembered.get(command.request_id)
        if remembered is not None:
            return self._answer_again(command, remembered)
        if command.expected_revision != self.current.revision:
            return self._refuse_conflict(command)
        return None

    def history(self, limit: int | None = None) -> tuple[HistoryEntry, ...]:
        """Return the latest changes, newest first.

        Parameters
        ----------
        limit : int, optional
            Most entries to return; all that are kept by default.
        """
        entries = tuple(reversed(self._history))
        return entries if limit is None else entries[:limit]

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state."""
        return ConfigurationSnapshot(
            self.current, tuple(self._history), tuple(self._remembered.values())
        )

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the whole state.

        Parameters
        ----------
        snapshot : ConfigurationSnapshot
            State of a replica that has applied at least as much.

        Raises
        ------
        BulrushleadError
            With ``INTERNAL`` if the snapshot is older than this state: an
            accepted revision never goes back.
        """
        if snapshot.current.revision < self.current.revision:
            raise BulrushleadError(
                ResultCode.INTERNAL,
                f"snapshot of revision {snapshot.current.revision} would revert "
                f"revision {self.current.revision}; ask the leader for a newer one",
            )
        self._remembered = {item.request_id: item for item in snapshot.remembered}
        self._history = deque(snapshot.history, maxlen=self.max_history_entries)
        self._accept(snapshot.current)

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each configuration once it is accepted."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Listener) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    def _accept(self, accepted: AcceptedConfiguration) -> None:
        self.current = accepted
        for listener in list(self._listeners):
            listener(accepted)

    def _remember(self, change: RememberedChange) -> None:
        self._remembered[change.request_id] = change
        while len(self._remembered) > self.max_remembered_changes:
            del self._remembered[next(iter(self._remembered))]

    def _answer_again(
        self, command: ApplyDeclaration, remembered: RememberedChange
    ) -> ApplyReply:
        if digest_of(command) == remembered.digest:
            return ApplyReply(remembered.revision)
        return ApplyReply(
            self.current.revision,
            ResultCode.REQUEST_ID_REUSED.value,
            f"request id {command.request_id!r} became revision "
            f"{remembered.revision} with other content; use a new request id",
        )

    def _refuse_conflict(self, command: ApplyDeclaration) -> ApplyReply:
        return ApplyReply(
            self.current.revision,
            ResultCode.REVISION_CONFLICT.value,
            f"expected revision {command.expected_revision}, the accepted one is "
            f"{self.current.revision}; export it, merge the change and apply again",
            self._changes_since(command.expected_revision),
        )

    def _changes_since(self, revision: int) -> tuple[str, ...]:
        lines = [
            f"revision {entry.revision} by {entry.author or 'unknown'}: {line}"
            for entry in self._history
            if entry.revision > revision
            for line in entry.summary
        ]
        oldest = self._history[0].revision if self._history else revision + 1
        if oldest > revision + 1:
            lines.insert(0, f"changes before revision {oldest} are no longer kept")
        return cut_lines(lines)


def digest_of(command: ApplyDeclaration) -> bytes:
    """Return the digest of what makes two changes the same change."""
    if command.digest:
        return command.digest
    content = attrs.evolve(
        command,
        request_id="",
        declaration=normalise(command.declaration),
        digest=b"",
        summary=(),
    )
    return hashlib.sha256(codec.encode(content)).digest()[:DIGEST_BYTES]


def summarise(difference: Difference) -> tuple[str, ...]:
    """Return a difference as a bounded number of bounded lines."""
    return cut_lines([str(change) for change in difference.changes]) or (
        str(difference),
    )


def cut_lines(lines: list[str]) -> tuple[str, ...]:
    """Return at most ``MAX_SUMMARY_LINES`` lines, each of bounded length."""
    if len(lines) > MAX_SUMMARY_LINES:
        kept = lines[: MAX_SUMMARY_LINES - 1]
        lines = [*kept, f"... and {len(lines) - len(kept)} more"]
    return tuple(line[:MAX_SUMMARY_LINE_LENGTH] for line in lines)
