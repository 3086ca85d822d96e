"""A loopback TCP proxy that delays, resets or blocks connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 64 * 1024


class Proxy:
    """Forwards connections; each fault applies to all of them.

    Parameters
    ----------
    listen, target : str
        ``host:port`` to listen on, and ``host:port`` to forward to.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.base_delay_ms = 0.0  # one way, constant during a run
        self.delay_ms = 0.0  # one way, injected in addition
        self.cut_in = False  # blocks data and new connections to the target
        self.cut_out = False  # blocks data from the target
        self._pairs = set()
        self._server = None

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self):
        if self._server is not None:
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
        # asyncio streams of Python 3.11 log a cancelled handler as an error.
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(reader, writer)
        finally:
            writer.close()

    async def _forward(self, reader, writer):
        while self.cut_in:
            # The client's connection hangs, as in a network partition.
            await asyncio.sleep(0.05)
            if reader.at_eof():
                _reset(writer)
                return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._relay(reader, target_writer, "cut_in"),
                self._relay(target_reader, writer, "cut_out"),
            )
        finally:
            self._pairs.discard(pair)
            for one in pair:
                one.close()

    async def _relay(self, reader, writer, cut):
        with contextlib.suppress(OSError):
            while True:
                try:
                    data = await reader.read(CHUNK_BYTES)
                except ConnectionError:
                    _reset(writer)
                    return
                if not data:
                    break
                if self.base_delay_ms + self.delay_ms:
                    await asyncio.sleep((self.base_delay_ms + self.delay_ms) / 1000)
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
