"""Which set of replicas holds as of which entry."""

import attrs

from bulrushlead.replication._messages import (
    EntryKind,
    LogEntry,
    Members,
    SnapshotHeader,
)
from bulrushlead.wire import codec


@attrs.frozen
class _MembersAt:
    index: int
    members: Members


class MemberHistory:
    """Sets of replicas that the entries held by one replica name."""

    def __init__(self):
        self._history = [_MembersAt(0, Members())]

    @property
    def members(self) -> Members:
        """Latest set of replicas, committed or not."""
        return self._history[-1].members

    @property
    def index(self) -> int:
        """Index of the entry that holds the latest set."""
        return self._history[-1].index

    def members_at(self, index: int) -> Members:
        """Return the set of replicas as of an entry."""
        known = [at.members for at in self._history if at.index <= index]
        return known[-1] if known else Members()

    def add(self, entry: LogEntry) -> None:
        """Take note of an appended entry."""
        if entry.kind is EntryKind.MEMBERS:
            members = codec.decode(entry.payload)
            self._history.append(_MembersAt(entry.index, members))

    def truncate(self, index: int) -> None:
        """Forget the entries from ``index`` on."""
        self._history = [at for at in self._history if at.index < index]

    def restart_at(self, header: SnapshotHeader) -> None:
        """Begin with the set of a snapshot and forget what came before."""
        later = [at for at in self._history if at.index > header.index]
        self._history = [_MembersAt(header.index, header.members), *later]
