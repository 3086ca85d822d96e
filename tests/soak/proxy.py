"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 64 * 1024


class Proxy:
    """Forwards one address to another; faults hold for all its connections.

    Parameters
    ----------
    listen, target : str
        ``host:port`` that others use, and the real one.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.distance_ms = 0.0  # one way, for the whole run
        self.delay_ms = 0.0
        self.cut_in = False  # nothing reaches the target, connects included
        self.cut_out = False  # nothing comes back from the target
        self._pairs = set()
        self._server = None

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self):
        self._server.close()
        self.reset(1.0, None)

    def heal(self):
        self.delay_ms = 0.0
        self.cut_in = self.cut_out = False

    def reset(self, share, rng):
        """Reset a share of the open connections on both sides."""
        for writers in list(self._pairs):
            if share >= 1.0 or rng.random() < share:
                for writer in writers:
                    _reset(writer)

    async def _serve(self, reader, writer):
        # The stream server of Python 3.11 reports a cancelled handler as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._join(reader, writer)

    async def _join(self, reader, writer):
        while self.cut_in:
            # As behind a partition: the caller's connection hangs.
            await asyncio.sleep(0.05)
            if reader.at_eof():
                _reset(writer)
                return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        pair = (writer, far_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, "cut_in"),
                self._pump(far_reader, writer, "cut_out"),
            )
        finally:
            self._pairs.discard(pair)
            for one in pair:
                one.close()

    async def _pump(self, reader, writer, cut):
        with contextlib.suppress(OSError):
            while True:
                try:
                    data = await reader.read(CHUNK_BYTES)
                except ConnectionError:
                    _reset(writer)
                    return
                if not data:
                    break
                if self.distance_ms + self.delay_ms:
                    await asyncio.sleep((self.distance_ms + self.delay_ms) / 1000)
                while getattr(self, cut):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if not getattr(self, cut) and writer.can_write_eof():
                writer.write_eof()


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()
