"""Frames that tie a reply to its call."""

import struct
import zlib

from bulrushlead.results import BulrushleadError, ResultCode

MIN_COMPRESSED_BYTES = 1_024  # smaller payloads gain little for their processor time
COMPRESSION_LEVEL = 1  # the lists of records shrink to a sixth already
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024  # the same limit holds for a plain message
_COMPRESSED = 1 << 63  # flag beside the call identifier
_HEADER = struct.Struct(">Q")


def pack_frame(call_id: int, payload: bytes) -> bytes:
    """Return a frame: eight bytes of call identifier, then the message.

    A large message is compressed: links between regions are narrow.
    """
    return PackedPayload(payload).frame(call_id)


class PackedPayload:
    """The bytes of a message, compressed once for any number of frames.

    Parameters
    ----------
    payload : bytes
        The message.
    """

    def __init__(self, payload: bytes):
        self._flags = 0
        self._body = payload
        if len(payload) >= MIN_COMPRESSED_BYTES:
            compressed = zlib.compress(payload, COMPRESSION_LEVEL)
            if len(compressed) < len(payload):
                self._flags, self._body = _COMPRESSED, compressed

    def frame(self, call_id: int) -> bytes:
        """Return the frame that answers a call."""
        return _HEADER.pack(call_id | self._flags) + self._body


def unpack_frame(frame: bytes | str) -> tuple[int, bytes]:
    """Return the call identifier and the message bytes of a frame.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if the frame is text, too short or wrongly
        compressed, ``MESSAGE_TOO_LARGE`` if it grows beyond the limit.
    """
    if isinstance(frame, str) or len(frame) < _HEADER.size:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"a frame is binary and holds at least {_HEADER.size} bytes",
        )
    header = _HEADER.unpack_from(frame)[0]
    payload = frame[_HEADER.size :]
    if header & _COMPRESSED:
        return header & ~_COMPRESSED, _decompress(payload)
    return header, payload


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(payload, MAX_PAYLOAD_BYTES + 1)
    except zlib.error as error:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED, f"not a compressed message: {error}"
        ) from error
    if len(data) > MAX_PAYLOAD_BYTES:
        raise BulrushleadError(
            ResultCode.MESSAGE_TOO_LARGE,
            f"message grows beyond {MAX_PAYLOAD_BYTES} bytes",
        )
    if not decompressor.eof:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED, "a compressed message ends early"
        )
    return data
