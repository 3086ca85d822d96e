"""Memory for the messages that a host holds at the same time."""

# Each byte of an answer may be held four times until it is sent on: as received,
# joined, rendered and in the socket's buffer. A small host has 200 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Bodies of callers' requests: a single one of the usual limit, 64 MiB, must fit. It is
# held twice for a moment, while it is joined.
MAX_BODY_BYTES = 72 * 1024 * 1024


class ByteBudget:
    """Bound on the bytes that several connections hold together.

    Parameters
    ----------
    max_bytes : int
        Largest sum, and largest single message, in bytes.

    Attributes
    ----------
    used_bytes : int
        Bytes held now.
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
        """Return the room of bytes that are not held any more."""
        self.used_bytes -= n_bytes
