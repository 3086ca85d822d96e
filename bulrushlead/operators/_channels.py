"""gRPC channels to the control hosts."""

import grpc

from bulrushlead.operators._credentials import Credentials
from bulrushlead.operators._search import RETRY_BACKOFF_MS
from bulrushlead.operators._server import KEEPALIVE_INTERVAL_MS
from bulrushlead.operators.operators_pb2_grpc import OperatorsStub
from bulrushlead.wire import MAX_MESSAGE_BYTES

MAX_RECONNECT_BACKOFF_MS = 1_000
KEEPALIVE_TIMEOUT_MS = 3_000

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    # Clients with different credentials must not share a connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", RETRY_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    # Without pings, an idle watch would not detect that its control host is
    # unreachable.
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # 0 removes the limit on pings of an idle connection.
    ("grpc.http2.max_pings_without_data", 0),
)

_PENDING_STATES = (grpc.ChannelConnectivity.IDLE, grpc.ChannelConnectivity.CONNECTING)


class Channels:
    """One channel for each control host, opened on first use.

    Parameters
    ----------
    credentials : Credentials, optional
        TLS credentials, if the control hosts require them.
    """

    def __init__(self, credentials: Credentials | None):
        self.credentials = credentials
        self._channels: dict[str, grpc.aio.Channel] = {}

    def stub(self, address: str) -> OperatorsStub:
        """Return the gRPC stub for one control host."""
        return OperatorsStub(self._channel(address))

    async def connect(self, address: str) -> None:
        """Wait until a connection is ready or has failed.

        A call made afterwards either reaches the control host or fails at once.
        A timeout while connecting therefore means that no request was sent.
        """
        channel = self._channel(address)
        state = channel.get_state(try_to_connect=True)
        while state in _PENDING_STATES:
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)

    async def close(self) -> None:
        """Close every channel; calls in progress fail."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def _open(self, address: str) -> grpc.aio.Channel:
        if self.credentials is None:
            return grpc.aio.insecure_channel(address, _OPTIONS)
        options = list(_OPTIONS)
        if self.credentials.server_name:
            name = self.credentials.server_name
            options.append(("grpc.ssl_target_name_override", name))
        return grpc.aio.secure_channel(address, self.credentials.for_client(), options)
