"""Bodies as they are received."""

MIN_PIECE_BYTES = 1024  # below, an object of its own takes too much beside its bytes


class BodyBuffer:
    """Pieces of one body.

    Small pieces are joined as they come, so that the buffer takes about as much memory
    as the body has bytes.

    Attributes
    ----------
    n_bytes : int
        Length of the body so far.
    """

    __slots__ = ("_pieces", "n_bytes")

    def __init__(self):
        self.n_bytes = 0
        self._pieces: list[bytes | bytearray] = []

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        size = len(piece)
        self.n_bytes += size
        pieces = self._pieces
        if size >= MIN_PIECE_BYTES or not pieces:
            pieces.append(piece)
            return
        last = pieces[-1]
        if type(last) is bytearray:
            last += piece
        elif len(last) < MIN_PIECE_BYTES:
            pieces[-1] = bytearray(last)
            pieces[-1] += piece
        else:
            pieces.append(bytearray(piece))

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._pieces)

    def clear(self) -> None:
        """Drop all pieces."""
        self._pieces = []
        self.n_bytes = 0
