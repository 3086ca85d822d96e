"""Frames that tie a reply to its call."""

import struct

from bulrushlead.results import BulrushleadError, ResultCode

_HEADER = struct.Struct(">Q")


def pack_frame(call_id: int, payload: bytes) -> bytes:
    """Return a frame: eight bytes of call identifier, then the message."""
    return _HEADER.pack(call_id) + payload


def unpack_frame(frame: bytes | str) -> tuple[int, bytes]:
    """Return the call identifier and the message bytes of a frame.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if the frame is text or too short.
    """
    if isinstance(frame, str) or len(frame) < _HEADER.size:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"a frame is binary and holds at least {_HEADER.size} bytes",
        )
    return _HEADER.unpack_from(frame)[0], frame[_HEADER.size :]
