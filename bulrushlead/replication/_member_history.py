"""History of the membership by log index."""

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
    """Sets of replicas in the snapshot and the entries of one journal."""

    def __init__(self):
        self._history = [_MembersAt(0, Members())]

    @property
    def members(self) -> Members:
        """Latest set of replicas, committed or not."""
        return self._history[-1].members

    @property
    def index(self) -> int:
        """Index of the entry with the latest set."""
        return self._history[-1].index

    def members_at(self, index: int) -> Members:
        """Return the set of replicas as of an entry."""
        earlier = [
            version.members for version in self._history if version.index <= index
        ]
        return earlier[-1] if earlier else Members()

    def add(self, entry: LogEntry) -> None:
        """Record the set of replicas of an appended membership entry."""
        if entry.kind is EntryKind.MEMBERS:
            members = codec.decode(entry.payload)
            self._history.append(_MembersAt(entry.index, members))

    def truncate(self, index: int) -> None:
        """Remove the sets of the entries from ``index`` on."""
        self._history = [version for version in self._history if version.index < index]

    def reset_to(self, header: SnapshotHeader) -> None:
        """Replace all sets up to a snapshot by the set of the snapshot."""
        later = [version for version in self._history if version.index > header.index]
        self._history = [_MembersAt(header.index, header.members), *later]
