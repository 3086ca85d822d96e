"""Replicated state machine of the configuration."""

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

# A snapshot at these limits fits into one message. Lengths are in characters.
MAX_REMEMBERED_CHANGES = 10_000
MAX_HISTORY_ENTRIES = 100
MAX_SUMMARY_LINES = 20
MAX_SUMMARY_LINE_LENGTH = 160
DIGEST_BYTES = 16

Listener = Callable[[AcceptedConfiguration], None]


class ConfigurationState:
    """Deterministic state machine that applies changes from the replicated log.

    A change is accepted only if its expected revision equals the accepted one.
    The revision therefore increases by one with each change and never decreases.
    A retry of an accepted change is recognised by its request identifier and gets
    the original reply. Refused changes are not recorded: a retry of one is
    evaluated again, and a stale expected revision is still refused.

    Parameters
    ----------
    max_remembered_changes : int
        Maximum number of accepted changes whose retries are recognised; the oldest
        is evicted first. A retry of an evicted change is refused, because its
        expected revision is stale.
    max_history_entries : int
        Maximum number of changes in the history.

    Attributes
    ----------
    current : AcceptedConfiguration
        Accepted configuration.
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
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Index of the command in the replicated log.
        command : ApplyDeclaration
            Change to apply.

        Returns
        -------
        ApplyReply
            Reply, which is the same on every replica.
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
            RememberedChange(command.request_id, compute_digest(command), revision)
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
        """Return the reply to a command if it would not change the state.

        Parameters
        ----------
        command : ApplyDeclaration
            Change to evaluate.

        Returns
        -------
        ApplyReply or None
            Original reply to a retried change, or a refusal; None if the command
            would be accepted.
        """
        remembered = self._remembered.get(command.request_id)
        if remembered is not None:
            return self._reply_to_retry(command, remembered)
        if command.expected_revision != self.current.revision:
            return self._conflict_reply(command)
        return None

    def history(self, limit: int | None = None) -> tuple[HistoryEntry, ...]:
        """Return the latest changes, newest first.

        Parameters
        ----------
        limit : int, optional
            Maximum number of entries; by default, all that are stored.
        """
        entries = tuple(reversed(self._history))
        return entries if limit is None else entries[:limit]

    def snapshot(self) -> ConfigurationSnapshot:
        """Return a snapshot of the state."""
        return ConfigurationSnapshot(
            self.current, tuple(self._history), tuple(self._remembered.values())
        )

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the state by a snapshot.

        Parameters
        ----------
        snapshot : ConfigurationSnapshot
            State of a replica that has applied at least as many commands.

        Raises
        ------
        BulrushleadError
            With ``INTERNAL`` if the snapshot is older than this state, because the
            accepted revision must never decrease.
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
        """Call ``listener`` with each configuration that is accepted or restored."""
        self._listeners.append(listener)

    def copy_listeners(self, other: "ConfigurationState") -> None:
        """Call the listeners of another state too, which this one replaces."""
        self._listeners += other._listeners

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

    def _reply_to_retry(
        self, command: ApplyDeclaration, remembered: RememberedChange
    ) -> ApplyReply:
        if compute_digest(command) == remembered.digest:
            return ApplyReply(remembered.revision)
        return ApplyReply(
            self.current.revision,
            ResultCode.REQUEST_ID_REUSED.value,
            f"request id {command.request_id!r} became revision "
            f"{remembered.revision} with other content; use a new request id",
        )

    def _conflict_reply(self, command: ApplyDeclaration) -> ApplyReply:
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
        return truncate_lines(lines)


def compute_digest(command: ApplyDeclaration) -> bytes:
    """Return the digest by which a retry of a change is recognised."""
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
    """Return a difference as lines, truncated by ``truncate_lines``."""
    return truncate_lines([str(change) for change in difference.changes]) or (
        str(difference),
    )


def truncate_lines(lines: list[str]) -> tuple[str, ...]:
    """Return at most ``MAX_SUMMARY_LINES`` lines, each truncated in length."""
    if len(lines) > MAX_SUMMARY_LINES:
        shown = lines[: MAX_SUMMARY_LINES - 1]
        lines = [*shown, f"... and {len(lines) - len(shown)} more"]
    return tuple(line[:MAX_SUMMARY_LINE_LENGTH] for line in lines)
