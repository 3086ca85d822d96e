"""Limits on messages."""

import attrs

# Bytes of a message that are not its body: heads, chunk sizes and trailers. From some
# 30,000 chunks on, they must have 96 bytes on average, since each one costs as much
# time as a kilobyte of the body.
MAX_FRAMING_BYTES = 192 * 1024
BODY_BYTES_PER_FRAMING_BYTE = 16


@attrs.frozen
class RequestLimits:
    """Limits on the size and duration of a caller's requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request line with header fields, and largest body, in bytes.
    header_timeout_ms, idle_timeout_ms : float
        Longest time to receive the header fields, and between two requests, in
        milliseconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 30_000
