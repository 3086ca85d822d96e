"""File that preserves the list of servers across a restart of all hosts."""

import asyncio
import contextlib
import os
import time

import xxhash

from bulrushlead.coordinator._messages import FleetSnapshot
from bulrushlead.fleet import ServerRecord
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

FILE_NAME = "servers"
# Older lists are of no use: every server sends a heartbeat again within seconds.
MAX_AGE_MS = 15_000
_CHECKSUM_BYTES = 8


class FleetCache:
    """File with the server records of the last seconds before a restart.

    After a power loss of all hosts, every server announces itself within two heartbeat
    intervals. Without the file, hosts would assign objects to the few servers announced
    by then, which have not cached them, and move the objects again with each server
    that follows.

    The file is optional: it may be missing, truncated or old.

    Parameters
    ----------
    folder : str
        Folder of the file; created if absent.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self._log = EventLogger("coordinator")

    def load(self) -> tuple[ServerRecord, ...]:
        """Return the saved servers; empty if the file is missing or unusable."""
        try:
            with open(self._path(), "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return ()
        except OSError as error:
            self._log_unusable(str(error))
            return ()
        checksum, payload = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
        if xxhash.xxh64_digest(payload) != checksum:
            self._log_unusable("incomplete")
            return ()
        try:
            snapshot = codec.decode(payload)
        except BulrushleadError as error:
            self._log_unusable(error.detail)
            return ()
        age_ms = _wall_ms() - snapshot.written_wall_ms
        # A negative age occurs when the time of day was set back.
        if not 0 <= age_ms <= MAX_AGE_MS:
            self._log_unusable(f"written {age_ms:.0f} ms ago, outside the allowed age")
            return ()
        self._log.write(
            Event.FLEET_RECALLED, servers=len(snapshot.servers), age_ms=round(age_ms)
        )
        return snapshot.servers

    async def save(self, servers: list[ServerRecord]) -> None:
        """Replace the file; a failed write is logged, and the next save retries it."""
        payload = codec.encode(FleetSnapshot(_wall_ms(), tuple(servers)))
        data = xxhash.xxh64_digest(payload) + payload
        try:
            await asyncio.to_thread(self._replace, data)
        except OSError as error:
            self._log_unusable(str(error))
            await asyncio.to_thread(self._remove_unfinished)

    def _remove_unfinished(self) -> None:
        """Free the room on a full disk for the journal beside this file."""
        with contextlib.suppress(OSError):
            os.remove(self._path(".new"))

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
        return os.path.join(self.folder, FILE_NAME + suffix)

    def _log_unusable(self, reason: str) -> None:
        self._log.write(Event.FLEET_CACHE_UNUSABLE, path=self._path(), reason=reason)


def _wall_ms() -> int:
    """Return the time of day in milliseconds; only for the age of the file."""
    return int(time.time() * 1_000)
