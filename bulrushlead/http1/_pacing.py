"""Division of the work on what was read between turns of the event loop."""

import asyncio
from collections import deque
from collections.abc import Callable

# Parsed at once: as many bytes of the smallest chunks take two milliseconds, and as
# many of an ordinary body take less than the call.
SLICE_BYTES = 32 * 1024
MAX_CALLBACKS = 1_000  # of the parser, after which the next turn goes on


class TurnQueue:
    """Runs one callback in each turn of the event loop, in order."""

    def __init__(self):
        self._callbacks: deque[Callable[[], None]] = deque()

    def add(self, callback: Callable[[], None]) -> None:
        """Run a callback after those that wait already."""
        self._callbacks.append(callback)
        if len(self._callbacks) == 1:
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        callback = self._callbacks.popleft()
        if self._callbacks:
            asyncio.get_running_loop().call_soon(self._run_next)
        callback()


class PacedReader:
    """Passes what a connection receives to its parser, a slice at a time.

    If the bytes give the parser much to do, the connection stops reading, and the
    remaining slices wait for their turn among those of other connections.

    Parameters
    ----------
    parse : callable
        Parses a slice; returns whether to go on.
    turns : TurnQueue
        Turns, shared with other connections.

    Attributes
    ----------
    n_callbacks : int
        Callbacks of the parser in this turn; counted by the owner.
    n_plain_bytes : int
        Bytes to come of a body of known length, which need no slices; set by the owner.
    """

    def __init__(self, parse: Callable[[bytes | memoryview], bool], turns: TurnQueue):
        self.n_callbacks = 0
        self.n_plain_bytes = 0
        self._parse = parse
        self._turns = turns
        self._rest: bytes | memoryview = b""
        self._transport: asyncio.Transport | None = None  # while it waits

    @property
    def n_waiting_bytes(self) -> int:
        """Bytes that were received but not parsed."""
        return len(self._rest)

    def receive(self, data: bytes, transport: asyncio.Transport) -> None:
        """Parse what was received, or a part of it."""
        if self._transport is not None:  # a transport may deliver what it has read
            self._rest = bytes(self._rest) + data
            return
        self.n_callbacks = 0
        if len(data) <= SLICE_BYTES or len(data) <= self.n_plain_bytes:
            goes_on = self._parse(data)
        else:
            self._rest = memoryview(data)
            goes_on = self._parse_slices()
        if goes_on and self.n_callbacks >= MAX_CALLBACKS:
            self._transport = transport
            transport.pause_reading()
            self._turns.add(self._continue)

    def finish(self) -> None:
        """Parse all that was received, at the end of the connection."""
        while self._rest:
            self.n_callbacks = 0
            self._parse_slices()

    def clear(self) -> None:
        """Drop what was not parsed."""
        self._rest = b""

    def _parse_slices(self) -> bool:
        while self._rest:
            size = max(SLICE_BYTES, self.n_plain_bytes)
            part, self._rest = self._rest[:size], self._rest[size:]
            if not self._parse(part):
                self._rest = b""
                return False
            if self.n_callbacks >= MAX_CALLBACKS:
                break
        return True

    def _continue(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            self._transport = None
            return
        self.n_callbacks = 0
        if self._parse_slices() and self.n_callbacks >= MAX_CALLBACKS:
            self._turns.add(self._continue)
            return
        self._transport = None
        if not transport.is_closing():
            transport.resume_reading()
