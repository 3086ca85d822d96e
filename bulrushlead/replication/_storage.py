"""Data folder of a replica."""

import asyncio
import contextlib
import fcntl
import os
from collections.abc import Callable
from typing import Protocol, TypeVar

from bulrushlead.results import BulrushleadError, ResultCode

T = TypeVar("T")

LOCK_NAME = "lock"
DAMAGED_PREFIX = "damaged-"  # of the folders for files that could not be read
FILE_MODE = 0o600
FOLDER_MODE = 0o700


class Storage(Protocol):
    """A flat folder of files with explicit durability.

    Notes
    -----
    Written bytes survive a crash only after ``sync`` of the file; created, renamed
    and removed names survive only after ``sync_folder``. The methods block, so they
    are called through ``run``.
    """

    def open(self) -> None:
        """Create the folder if absent and lock it for this process."""
        ...

    def close(self) -> None:
        """Release the folder."""
        ...

    async def run(self, steps: Callable[[], T]) -> T:
        """Run blocking steps without blocking the event loop."""
        ...

    def list_names(self) -> list[str]:
        """Return the names of the files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if absent."""
        ...

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        ...

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        ...


class FileStorage:
    """Storage in a folder of the file system.

    Parameters
    ----------
    folder : str
        Path of the data folder; created if absent.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor: int | None = None

    def open(self) -> None:
        """Create the folder if absent and lock it for this process.

        Raises
        ------
        BulrushleadError
            ``STORAGE_FAILED`` if another process uses the folder.
        OSError
            If the folder cannot be created or opened.
        """
        os.makedirs(self.folder, mode=FOLDER_MODE, exist_ok=True)
        parent = os.path.dirname(os.path.abspath(self.folder))
        _sync_path(parent)
        descriptor = os.open(self._path(LOCK_NAME), os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise BulrushleadError(
                ResultCode.STORAGE_FAILED,
                f"data folder {self.folder!r} is in use by another process; give "
                "each replica a folder of its own",
            ) from error
        self._lock_descriptor = descriptor

    def close(self) -> None:
        """Close every file and release the folder.

        A disk without room may report that only now. Whatever was not synced counts
        as lost, and the descriptor is free in any case, so it is not closed again.
        """
        descriptors = list(self._descriptors.values())
        if self._lock_descriptor is not None:
            descriptors.append(self._lock_descriptor)
        self._descriptors.clear()
        self._lock_descriptor = None
        for descriptor in descriptors:
            with contextlib.suppress(OSError):
                os.close(descriptor)

    async def run(self, steps: Callable[[], T]) -> T:
        """Run blocking steps in a thread."""
        return await asyncio.to_thread(steps)

    def list_names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(name for name in os.listdir(self.folder) if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if absent."""
        descriptor = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._descriptor(name))

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically."""
        os.rename(self._path(source), self._path(target))
        if source in self._descriptors:
            self._descriptors[target] = self._descriptors.pop(source)

    def remove(self, name: str) -> None:
        """Remove a file."""
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
        os.unlink(self._path(name))

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        _sync_path(self.folder)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptors[name] = os.open(self._path(name), flags, FILE_MODE)
        return self._descriptors[name]


def set_files_aside(folder: str) -> str:
    """Move the files of a data folder to a new folder inside it.

    The lock file stays. The newest journal is moved after the older ones: if a move
    fails half-way, its damage is found again, and an older one never takes its place.

    Returns
    -------
    str
        Path of the new folder.
    """
    number = 1
    while os.path.exists(target := os.path.join(folder, f"{DAMAGED_PREFIX}{number}")):
        number += 1
    os.mkdir(target, FOLDER_MODE)
    for name in sorted(os.listdir(folder)):
        path = os.path.join(folder, name)
        if name != LOCK_NAME and os.path.isfile(path):
            os.rename(path, os.path.join(target, name))
    _sync_path(target)
    _sync_path(folder)
    return target


def _sync_path(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
