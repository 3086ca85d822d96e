"""A keyed table that returns the changes since a version."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

MAX_REMOVALS_KEPT = 1_000


@attrs.frozen
class TableChanges(Generic[K, V]):
    """Changes that bring a reader to the newest version.

    Parameters
    ----------
    version : int
        Version of the reader's copy after the changes.
    is_full : bool
        Whether the reader must clear its copy first.
    changed : tuple
        Values added or changed.
    removed : tuple
        Keys removed.
    """

    version: int
    is_full: bool
    changed: tuple[V, ...]
    removed: tuple[K, ...]


class VersionedTable(Generic[K, V]):
    """Stores values by key, each with the version in which it last changed."""

    def __init__(self):
        self.version = 0
        self._values: dict[K, V] = {}
        self._change_versions: dict[K, int] = {}
        self._removal_versions: dict[K, int] = {}
        self._oldest_delta_version = 0

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: K) -> V | None:
        """Return the value under ``key``, or None."""
        return self._values.get(key)

    def values(self) -> tuple[V, ...]:
        """Return all values."""
        return tuple(self._values.values())

    def put(self, key: K, value: V) -> bool:
        """Store a value; return whether it differs from the previous one."""
        if self._values.get(key) == value:
            return False
        self.version += 1
        self._values[key] = value
        self._change_versions[key] = self.version
        self._removal_versions.pop(key, None)
        return True

    def remove(self, key: K) -> bool:
        """Remove a value; return whether the key existed."""
        if key not in self._values:
            return False
        self.version += 1
        del self._values[key]
        del self._change_versions[key]
        self._removal_versions[key] = self.version
        if len(self._removal_versions) > MAX_REMOVALS_KEPT:
            oldest = min(self._removal_versions, key=self._removal_versions.get)
            self._oldest_delta_version = self._removal_versions.pop(oldest)
        return True

    def changes_since(self, version: int) -> TableChanges[K, V]:
        """Return the changes after ``version``.

        Notes
        -----
        A reader receives the full table if its version is 0, older than the oldest
        stored removal, or newer than this table's version.
        """
        if version == 0 or not self._oldest_delta_version <= version <= self.version:
            return TableChanges(self.version, True, self.values(), ())
        changed = tuple(
            self._values[key]
            for key, changed_in in self._change_versions.items()
            if changed_in > version
        )
        removed = tuple(
            key
            for key, changed_in in self._removal_versions.items()
            if changed_in > version
        )
        return TableChanges(self.version, False, changed, removed)
