"""A keyed table that can tell what changed since a version."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

MAX_REMOVALS_KEPT = 1_000


@attrs.frozen
class TableChanges(Generic[K, V]):
    """What a reader must do to reach the newest version.

    Parameters
    ----------
    version : int
        Version that the reader then has.
    is_full : bool
        Whether the reader must drop what it has first.
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
    """Keyed values, each with the version in which it last changed."""

    def __init__(self):
        self.version = 0
        self._values: dict[K, V] = {}
        self._changed_at: dict[K, int] = {}
        self._removed_at: dict[K, int] = {}
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
        """Store a value; return whether it differs from the one before."""
        if self._values.get(key) == value:
            return False
        self.version += 1
        self._values[key] = value
        self._changed_at[key] = self.version
        self._removed_at.pop(key, None)
        return True

    def remove(self, key: K) -> bool:
        """Remove a value; return whether there was one."""
        if key not in self._values:
            return False
        self.version += 1
        del self._values[key]
        del self._changed_at[key]
        self._removed_at[key] = self.version
        if len(self._removed_at) > MAX_REMOVALS_KEPT:
            oldest = min(self._removed_at, key=self._removed_at.get)
            self._oldest_delta_version = self._removed_at.pop(oldest)
        return True

    def changes_since(self, version: int) -> TableChanges[K, V]:
        """Return what changed after ``version``.

        Notes
        -----
        A reader whose version is older than the oldest removal that is still
        remembered, or newer than this table's, gets the full table.
        """
        if version == 0 or not self._oldest_delta_version <= version <= self.version:
            return TableChanges(self.version, True, self.values(), ())
        changed = tuple(
            self._values[key] for key, at in self._changed_at.items() if at > version
        )
        removed = tuple(key for key, at in self._removed_at.items() if at > version)
        return TableChanges(self.version, False, changed, removed)
