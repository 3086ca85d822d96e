"""gRPC server of operators' calls."""

import grpc

from bulrushlead.clock import Clock, MonotonicClock
from bulrushlead.operators._backend import OperatorBackend
from bulrushlead.operators._credentials import Credentials
from bulrushlead.operators._servicer import MAX_WATCHERS, MalformedRequest, Servicer
from bulrushlead.operators._watch import ChangeFeed
from bulrushlead.operators.operators_pb2_grpc import add_OperatorsServicer_to_server
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MAX_MESSAGE_BYTES

# A watch occupies one call until it ends, so 64 calls remain for the others.
MAX_CONCURRENT_CALLS = MAX_WATCHERS + 64
CLOSE_GRACE_S = 1.0
KEEPALIVE_INTERVAL_MS = 10_000

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    # With port reuse, two servers could listen on one port and share its calls.
    ("grpc.so_reuseport", 0),
    # Half the ping interval of clients, so that jitter does not make the server
    # close connections for pinging too often.
    (
        "grpc.http2.min_ping_interval_without_data_ms",
        KEEPALIVE_INTERVAL_MS // 2,
    ),
)


class OperatorServer:
    """Listens for operators' calls.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 lets the operating system choose.
    backend : OperatorBackend
        The replicated log and the leases.
    credentials : Credentials, optional
        TLS credentials; with them, every client must present a signed certificate.
    clock : Clock, optional
        Source of time.

    Attributes
    ----------
    bound_port : int
        Port in use after ``start()``.
    """

    def __init__(
        self,
        address: str,
        port: int,
        backend: OperatorBackend,
        credentials: Credentials | None = None,
        clock: Clock | None = None,
    ):
        self.address = address
        self.port = port
        self.backend = backend
        self.credentials = credentials
        self.clock = clock or MonotonicClock()
        self.bound_port = port
        self._server: grpc.aio.Server | None = None
        self._feed: ChangeFeed | None = None

    async def start(self) -> None:
        """Start to serve calls.

        Raises
        ------
        BulrushleadError
            With ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID`` if the TLS files
            or the address are unusable.
        """
        credentials = self.credentials
        server_credentials = credentials.for_server() if credentials else None
        feed = ChangeFeed(self.backend, self.clock)
        allowed_authors = credentials.allowed_authors if credentials else ()
        servicer = Servicer(
            self.backend,
            server_credentials is not None,
            allowed_authors,
            feed,
            self.clock,
        )
        server = grpc.aio.server(
            interceptors=(_DecodingInterceptor(),),
            options=_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )
        add_OperatorsServicer_to_server(servicer, server)
        self.bound_port = self._bind(server, server_credentials)
        feed.start()
        self._feed, self._server = feed, server
        await server.start()

    async def close(self) -> None:
        """Stop listening; calls in progress have ``CLOSE_GRACE_S`` to end."""
        if self._server is None:
            return
        server, self._server = self._server, None
        await server.stop(CLOSE_GRACE_S)
        self._feed.close()

    def _bind(
        self, server: grpc.aio.Server, server_credentials: grpc.ServerCredentials | None
    ):
        target = f"{self.address}:{self.port}"
        try:
            if server_credentials is None:
                return server.add_insecure_port(target)
            return server.add_secure_port(target, server_credentials)
        except RuntimeError as error:
            raise BulrushleadError(
                ResultCode.SETTINGS_INVALID,
                f"cannot listen on {target}: {error}; choose a free address",
            ) from error


class _DecodingInterceptor(grpc.aio.ServerInterceptor):
    """Passes undecodable requests to the servicer, which refuses them."""

    async def intercept_service(self, continuation, handler_call_details):
        handler = await continuation(handler_call_details)
        if handler is None:
            return None
        make_handler = (
            grpc.unary_stream_rpc_method_handler
            if handler.response_streaming
            else grpc.unary_unary_rpc_method_handler
        )
        return make_handler(
            handler.unary_stream or handler.unary_unary,
            request_deserializer=_decode_or_malformed(handler.request_deserializer),
            response_serializer=handler.response_serializer,
        )


def _decode_or_malformed(deserialize):
    def decode(data: bytes):
        try:
            return deserialize(data)
        except Exception:
            # gRPC itself would reply with INTERNAL and no result code.
            return MalformedRequest()

    return decode
