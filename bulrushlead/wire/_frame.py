"""Frames: encoded messages with the identifier of their call."""

import struct
import zlib

from bulrushlead.results import BulrushleadError, ResultCode

MIN_COMPRESSED_BYTES = 1_024  # below, compression saves too little for its CPU time
COMPRESSION_LEVEL = 1  # already reduces lists of records to a sixth of their size
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024  # same limit as for an uncompressed message
_COMPRESSED_FLAG = 1 << 63  # highest bit of the header; the others are the call ID
_HEADER = struct.Struct(">Q")


def pack_frame(call_id: int, payload: bytes) -> bytes:
    """Return a frame: eight bytes of call identifier and flag, then the message.

    A large message is compressed, since links between regions have little bandwidth.
    """
    return PackedPayload(payload).frame(call_id)


class PackedPayload:
    """Encoded message, compressed once for any number of frames.

    Parameters
    ----------
    payload : bytes
        The encoded message.
    """

    def __init__(self, payload: bytes):
        self._flags = 0
        self._body = payload
        if len(payload) >= MIN_COMPRESSED_BYTES:
            compressed = zlib.compress(payload, COMPRESSION_LEVEL)
            if len(compressed) < len(payload):
                self._flags, self._body = _COMPRESSED_FLAG, compressed

    def frame(self, call_id: int) -> bytes:
        """Return the frame that sends the message as the reply to a call."""
        return _HEADER.pack(call_id | self._flags) + self._body


def unpack_frame(frame: bytes | str) -> tuple[int, bytes]:
    """Return the call identifier and the message bytes of a frame.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if the frame is text, too short or not valid
        compressed data, or ``MESSAGE_TOO_LARGE`` if the decompressed message exceeds
        ``MAX_PAYLOAD_BYTES``.
    """
    if isinstance(frame, str) or len(frame) < _HEADER.size:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"a frame is binary and holds at least {_HEADER.size} bytes",
        )
    header = _HEADER.unpack_from(frame)[0]
    payload = frame[_HEADER.size :]
    if header & _COMPRESSED_FLAG:
        return header & ~_COMPRESSED_FLAG, _decompress(payload)
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
