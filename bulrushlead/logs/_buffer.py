"""Bounded buffer that keeps a slow log reader from blocking the event loop."""

import io
import os
import threading
from collections import deque

FLUSH_INTERVAL_S = 0.1  # longest delay of a line while the reader keeps up
MAX_BUFFER_BYTES = 256 * 1024  # several seconds of lines on a busy host
MAX_WRITE_BYTES = 64 * 1024  # per write system call


class BufferedStream(io.TextIOBase):
    """Text stream whose ``write`` never blocks.

    A thread writes the buffered lines to the file. When the reader of the file
    stalls, the buffer fills up and further lines are dropped; a ``LINES_DROPPED``
    line before the next line that fits reports their count.

    Parameters
    ----------
    file_descriptor : int
        Open file to write to.
    max_bytes : int, default=262144
        Capacity of the buffer, in bytes.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, file_descriptor: int, max_bytes: int = MAX_BUFFER_BYTES):
        self.file_descriptor = file_descriptor
        self.max_bytes = max_bytes
        self.dropped = 0
        self._reported_dropped = 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the buffered lines and stop, without waiting for a stalled reader.

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
        """Append a line to the buffer, or drop it if the buffer is full."""
        data = text.encode()
        with self._lock:
            if self._bytes + len(data) > self.max_bytes:
                self.dropped += 1
                return len(text)
            if self.dropped > self._reported_dropped:
                notice = b'{"event": 110, "name": "LINES_DROPPED", "count": %d}\n' % (
                    self.dropped - self._reported_dropped
                )
                self._reported_dropped = self.dropped
                self._append(notice)
            self._append(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes the lines."""

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _run(self) -> None:
        while True:
            self._wake.wait(FLUSH_INTERVAL_S)
            stopping = self._stopping
            while chunk := self._pop_chunk():
                try:
                    _write_all(self.file_descriptor, chunk)
                except OSError:
                    return  # the reader has closed the file, so no error can be logged
            if stopping:
                return

    def _pop_chunk(self) -> bytes:
        with self._lock:
            lines = []
            size = 0
            while self._lines and size < MAX_WRITE_BYTES:
                size += len(self._lines[0])
                lines.append(self._lines.popleft())
            self._bytes -= size
        return b"".join(lines)


def _write_all(file_descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file_descriptor, view) :]
