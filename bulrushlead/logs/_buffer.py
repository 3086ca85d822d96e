"""A bounded buffer between the event loop and a slow reader of the log."""

import io
import os
import threading
from collections import deque

FLUSH_INTERVAL_S = 0.1  # a line waits this long at most while the reader keeps up
MAX_BUFFER_BYTES = 256 * 1024  # several seconds of lines of a busy host
MAX_WRITE_BYTES = 64 * 1024  # of one system call


class BufferedStream(io.TextIOBase):
    """Text stream whose ``write`` never waits.

    One thread hands the lines to the file. When its reader stalls, the buffer
    fills up, further lines are dropped, and the next line that fits says how many.

    Parameters
    ----------
    file_descriptor : int
        File to write to.
    max_bytes : int, default=262144
        Most bytes held.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, file_descriptor: int, max_bytes: int = MAX_BUFFER_BYTES):
        self.file_descriptor = file_descriptor
        self.max_bytes = max_bytes
        self.dropped = 0
        self._told_dropped = 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is held and stop; a stalled reader is not waited for.

        Parameters
        ----------
        timeout_s : float, default=0.5
            Longest time to wait, in seconds.
        """
        self._stopping = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def write(self, text: str) -> int:
        """Take a line, or drop it if the buffer is full."""
        data = text.encode()
        with self._lock:
            if self._bytes + len(data) > self.max_bytes:
                self.dropped += 1
                return len(text)
            if self.dropped > self._told_dropped:
                note = b'{"event": 110, "name": "LINES_DROPPED", "count": %d}\n' % (
                    self.dropped - self._told_dropped
                )
                self._told_dropped = self.dropped
                self._append(note)
            self._append(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes."""

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _run(self) -> None:
        while True:
            self._wake.wait(FLUSH_INTERVAL_S)
            stopping = self._stopping
            while chunk := self._take():
                try:
                    _write_all(self.file_descriptor, chunk)
                except OSError:
                    return  # the reader is gone, and nobody could be told
            if stopping:
                return

    def _take(self) -> bytes:
        with self._lock:
            taken = []
            size = 0
            while self._lines and size < MAX_WRITE_BYTES:
                size += len(self._lines[0])
                taken.append(self._lines.popleft())
            self._bytes -= size
        return b"".join(taken)


def _write_all(file_descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file_descriptor, view) :]
