"""Memory for the answers that a host receives at the same time."""

# Each byte may be held four times until it is sent on: as received, joined, rendered
# and in the socket's buffer. A small host has 200 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class AnswerBuffer:
    """Bound on the bytes that all connections of a pool buffer together.

    Parameters
    ----------
    max_bytes : int
        Largest sum, and largest single answer, in bytes.

    Attributes
    ----------
    used_bytes : int
        Bytes buffered now.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, n_bytes: int) -> bool:
        """Reserve room for bytes; return whether there is enough."""
        if self.used_bytes + n_bytes > self.max_bytes:
            return False
        self.used_bytes += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Return the room of bytes that are not buffered any more."""
        self.used_bytes -= n_bytes
