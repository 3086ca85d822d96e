"""In-memory storage that loses unsynced writes in a simulated power failure."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs

T = TypeVar("T")


@attrs.define
class _File:
    content: bytearray = attrs.field(factory=bytearray)
    synced_bytes: int = 0


class MemoryStorage:
    """Storage in memory, for tests and demonstrations.

    Parameters
    ----------
    before_step : callable, optional
        Called before each step with the names of the step and of its file. An
        exception that it raises is raised by the step.
    before_run : callable, optional
        Awaited before each ``run``, to simulate a slow disk.
    """

    def __init__(
        self,
        before_step: Callable[[str, str], None] | None = None,
        before_run: Callable[[], Awaitable[None]] | None = None,
    ):
        self.before_step = before_step
        self.before_run = before_run
        self._files: dict[str, _File] = {}
        self._synced_files: dict[str, _File] = {}
        self._crashed = False

    def crash(self, rng: random.Random | None = None) -> "MemoryStorage":
        """Return the storage after a power failure; this object fails from now on.

        Parameters
        ----------
        rng : random.Random, optional
            Chooses how many of the unsynced bytes survive; none if omitted.
        """
        self._crashed = True
        survivor = MemoryStorage(self.before_step, self.before_run)
        for name, file in self._synced_files.items():
            surviving_bytes = file.synced_bytes
            if rng is not None:
                surviving_bytes = rng.randint(surviving_bytes, len(file.content))
            copy = _File(file.content[:surviving_bytes], surviving_bytes)
            survivor._files[name] = survivor._synced_files[name] = copy
        return survivor

    def open(self) -> None:
        """Open the storage."""
        self._step("open", "")

    def close(self) -> None:
        """Do nothing; there is no folder to release."""

    async def run(self, steps: Callable[[], T]) -> T:
        """Run the steps on the event loop."""
        if self.before_run is not None:
            await self.before_run()
        return steps()

    def list_names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        self._step("read", name)
        return bytes(self._files[name].content)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if absent."""
        self._step("append", name)
        self._files.setdefault(name, _File()).content += data

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._step("sync", name)
        file = self._files[name]
        file.synced_bytes = len(file.content)

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically."""
        self._step("rename", target)
        self._files[target] = self._files.pop(source)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._step("remove", name)
        del self._files[name]

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        self._step("sync_folder", "")
        self._synced_files = dict(self._files)

    def _step(self, step: str, name: str) -> None:
        if self.before_step is not None and not self._crashed:
            self.before_step(step, name)
        if self._crashed:
            raise OSError(f"{step} {name}: the storage is gone")
