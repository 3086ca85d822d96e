"""Calls over real connections: matching of replies, faulty frames and lost peers."""

import asyncio
import random

import pytest
import websockets.asyncio.client
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import MonotonicClock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageClient, MessageServer, codec, message
from bulrushlead.wire._frame import pack_frame, unpack_frame


@message("test.echo")
class Echo:
    text: str
    numbers: tuple[int, ...] = ()


@pytest.fixture
async def server():
    server = MessageServer("127.0.0.1", 0)

    async def echo(request):
        if request.text == "fail":
            raise BulrushleadError(ResultCode.NOT_FOUND, "no such thing")
        if request.text == "hang":
            await asyncio.Event().wait()
        return request

    server.register_handler(Echo, echo)
    await server.start()
    yield server
    await server.close()


@pytest.fixture
async def client(server):
    client = MessageClient(f"127.0.0.1:{server.bound_port}", MonotonicClock())
    yield client
    await client.close()


async def test_calls_in_parallel_get_their_own_replies(client):
    requests = [Echo(str(number), (number,)) for number in range(50)]
    replies = await asyncio.gather(*(client.call(r, 5000) for r in requests))
    assert replies == requests


async def test_error_reply_becomes_an_error(client):
    with pytest.raises(BulrushleadError) as caught:
        await client.call(Echo("fail"), 5000)
    assert caught.value.code is ResultCode.NOT_FOUND


async def test_call_without_a_reply_times_out(client):
    with pytest.raises(BulrushleadError) as caught:
        await client.call(Echo("hang"), 20)
    assert caught.value.code is ResultCode.PEER_TIMEOUT


async def test_client_reconnects_after_the_server_restarts(server, client):
    assert await client.call(Echo("a"), 5000) == Echo("a")
    await server.close()
    server.port = server.bound_port
    await server.start()
    for _ in range(100):
        try:
            assert await client.call(Echo("b"), 5000) == Echo("b")
            break
        except BulrushleadError:
            await asyncio.sleep(0.01)
    else:
        pytest.fail("the client did not reconnect")


async def test_call_to_an_unreachable_peer_is_reported_as_not_sent():
    client = MessageClient("127.0.0.1:1", MonotonicClock())
    with pytest.raises(BulrushleadError) as caught:
        await client.call(Echo("a"), 5000)
    assert caught.value.code is ResultCode.PEER_UNREACHABLE


@pytest.mark.parametrize(
    "frame", [b"", b"12345678", b"12345678\xff\xff", "text", b"12345678\x80"]
)
async def test_invalid_frame_closes_only_its_connection(server, client, frame):
    url = f"ws://127.0.0.1:{server.bound_port}/"
    async with websockets.asyncio.client.connect(url, proxy=None) as connection:
        await connection.send(frame)
        await connection.wait_closed()
        assert connection.close_code == 1008
    assert await client.call(Echo("a"), 5000) == Echo("a")


async def test_oversized_frame_closes_the_connection(server, client):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.bound_port)
    writer.write(
        b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    )
    assert b"101" in await reader.readuntil(b"\r\n\r\n")
    frame_of_one_tebibyte = b"\x82\xff" + (1 << 40).to_bytes(8, "big") + b"mask"
    writer.write(frame_of_one_tebibyte)
    close_code = int.from_bytes((await reader.read())[2:4], "big")
    assert close_code == 1009
    writer.close()
    assert await client.call(Echo("a"), 5000) == Echo("a")


@given(st.text(), st.lists(st.integers(-(2**63), 2**63)))
def test_messages_survive_the_round_trip(text, numbers):
    echo = Echo(text, tuple(numbers))
    assert codec.decode(codec.encode(echo)) == echo


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(data):
    try:
        codec.decode(data)
    except BulrushleadError as error:
        assert error.code is ResultCode.MESSAGE_MALFORMED


async def test_connection_without_received_bytes_is_replaced_after_a_time_out(
    server, client
):
    """A connection can stop delivering without a reset while new ones work."""
    await client.call(Echo("first"), 5000)
    silent = client._connection
    with pytest.raises(BulrushleadError) as caught:
        await client.call(Echo("hang"), 30)
    assert caught.value.code is ResultCode.PEER_TIMEOUT
    assert client._connection is not silent
    assert (await client.call(Echo("again"), 5000)).text == "again"


class BlackholeProxy:
    """Forwards bytes until ``is_blackhole`` is set, and discards them from then on."""

    def __init__(self, port):
        self.port = port
        self.is_blackhole = False
        self._tasks = []
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        self._writers += [writer, other_writer]
        for source, target in ((reader, other_writer), (other_reader, writer)):
            self._tasks.append(asyncio.create_task(self._forward(source, target)))

    async def _forward(self, source, target):
        while data := await source.read(65_536):
            if not self.is_blackhole:
                target.write(data)


@pytest.mark.parametrize("side", ["client", "server"])
async def test_close_does_not_wait_for_a_silent_peer(server, side):
    """A stopping process has a few seconds, and its peers may be unreachable."""
    proxy = BlackholeProxy(server.bound_port)
    client = MessageClient(f"127.0.0.1:{await proxy.start()}", MonotonicClock())
    await client.call(Echo("first"), 5000)
    proxy.is_blackhole = True
    closed = asyncio.create_task((client if side == "client" else server).close())
    # The default timeout of websockets for the closing handshake is 10 s.
    done, _ = await asyncio.wait([closed], timeout=5)
    await proxy.close()
    assert done


def test_large_payload_is_compressed():
    payload = b"record of a server " * 1_000
    frame = pack_frame(7, payload)
    assert len(frame) < len(payload) / 6
    assert unpack_frame(frame) == (7, payload)


@pytest.mark.parametrize("size", [0, 1, 1_023, 1_024, 100_000])
def test_payload_of_any_size_is_unpacked_unchanged(size):
    for payload in (bytes(size), random.Random(size).randbytes(size)):
        assert unpack_frame(pack_frame(2**62, payload)) == (2**62, payload)


def test_payload_that_decompresses_beyond_the_limit_is_refused():
    frame = pack_frame(1, bytes(5 * 1024 * 1024))
    with pytest.raises(BulrushleadError) as caught:
        unpack_frame(frame)
    assert caught.value.code is ResultCode.MESSAGE_TOO_LARGE


@pytest.mark.parametrize("cut", [9, 12, -1])
def test_truncated_compressed_payload_is_refused(cut):
    frame = pack_frame(1, b"record of a server " * 1_000)
    with pytest.raises(BulrushleadError) as caught:
        unpack_frame(frame[:cut])
    assert caught.value.code is ResultCode.MESSAGE_MALFORMED


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:x", "[::1:80", "\ud800:80", "x" * 300, ""]
)
async def test_an_address_that_is_none_is_unreachable(address):
    """Guards against one odd host that ends the loops that go through a list of them.

    A leader would step down, and a replica that joins would stop.
    """
    client = MessageClient(address, MonotonicClock())
    with pytest.raises(BulrushleadError) as caught:
        await client.call(Echo("a"), 1_000)
    assert caught.value.code is ResultCode.PEER_UNREACHABLE
    await client.close()


async def test_calls_that_wait_for_one_connection_keep_their_timeouts():
    """Guards against calls that wait for all attempts before them.

    The host accepts connections and answers nothing, as one that stands still does.
    """

    async def stand_still(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(stand_still, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    clock = MonotonicClock()
    client = MessageClient(f"127.0.0.1:{port}", clock)
    ended = []

    async def call():
        with pytest.raises(BulrushleadError) as error:
            await client.call(Echo("a"), 200)
        ended.append(error.value.code)

    try:
        calls = [asyncio.create_task(call()) for _ in range(10)]
        # Half of the time that ten attempts of 200 ms after each other take.
        await clock.wait_for(asyncio.gather(*calls), 1_000)
    finally:
        await client.close()
        server.close()
    assert ended == [ResultCode.PEER_UNREACHABLE] * 10
