"""Keeps the list of servers over a restart of all hosts."""

import asyncio
import os
import time

import xxhash

from bulrushlead.coordinator._messages import FleetSnapshot
from bulrushlead.fleet import ServerRecord
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

NAME = "servers"
# Older lists are of no use: the servers themselves are heard again within seconds.
MAX_AGE_MS = 15_000
_CHECKSUM_BYTES = 8


class FleetCache:
    """A file with the servers that were known lately.

    After all hosts lost power, servers announce themselves within two heartbeats. Until
    then hosts would place objects on the few servers heard so far, which do not know
    them, and move them again with each one that follows.

    Nothing depends on the file: it may be missing, torn or old.

    Parameters
    ----------
    folder : str
        Where the file is; created if absent.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self._log = EventLogger("coordinator")

    def load(self) -> tuple[ServerRecord, ...]:
        """Return the servers, none if the file is unusable."""
        try:
            with open(self._path(), "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return ()
        except OSError as error:
            self._note_unusable(str(error))
            return ()
        checksum, payload = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
        if xxhash.xxh64_digest(payload) != checksum:
            self._note_unusable("incomplete")
            return ()
        try:
            snapshot = codec.decode(payload)
        except BulrushleadError as error:
            self._note_unusable(error.detail)
            return ()
        age_ms = _wall_ms() - snapshot.written_wall_ms
        # Also refuses a list from the future: the time of day may have been set back.
        if not 0 <= age_ms <= MAX_AGE_MS:
            self._note_unusable(f"written {age_ms:.0f} ms ago")
            return ()
        self._log.write(
            Event.FLEET_RECALLED, servers=len(snapshot.servers), age_ms=round(age_ms)
        )
        return snapshot.servers

    async def save(self, servers: list[ServerRecord]) -> None:
        """Replace the file; a failed write is logged and tried again next time."""
        payload = codec.encode(FleetSnapshot(_wall_ms(), tuple(servers)))
        data = xxhash.xxh64_digest(payload) + payload
        try:
            await asyncio.to_thread(self._replace, data)
        except OSError as error:
            self._note_unusable(str(error))

    def _replace(self, data: bytes) -> None:
        os.makedirs(self.folder, exist_ok=True)
        with open(self._path(".new"), "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(self._path(".new"), self._path())
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _path(self, suffix: str = "") -> str:
        return os.path.join(self.folder, NAME + suffix)

    def _note_unusable(self, reason: str) -> None:
        self._log.write(Event.FLEET_CACHE_UNUSABLE, path=self._path(), reason=reason)


def _wall_ms() -> int:
    """Return the time of day; only for the age of a file."""
    return int(time.time() * 1_000)
