"""Sends one request to one backend server and reads the complete answer."""

import contextlib
import itertools
import re
import secrets

import aiohttp
import attrs
from yarl import URL

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.forwarding._checks import (
    build_deadline_error,
    build_no_answer_error,
    build_too_large_error,
    check_attempt_id,
    check_framing,
    has_no_body,
    is_refusal,
)
from bulrushlead.forwarding._connector import (
    AttemptConnector,
    AttemptState,
    current_attempt,
    disable_client_retries,
)
from bulrushlead.forwarding._headers import answer_headers, request_headers
from bulrushlead.forwarding._model import ForwardAnswer, ForwardError, ForwardRequest
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import ResultCode

_REQUEST_TARGET = re.compile(r"/[^\x00-\x20\x7f#]*")
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class ForwarderSettings:
    """Bounds of the connections to backend servers.

    Parameters
    ----------
    pooled_connections : int
        Maximum number of reused connections to one server, for requests that are
        safe to run twice.
    single_use_connections : int
        Maximum number of connections to one server that carry one request each,
        for all other requests.
    connect_timeout_ms : float
        Time to wait for the pool and to connect, in milliseconds.
    idle_timeout_ms : float
        Time after which an idle connection is closed, in milliseconds.
    max_answer_bytes : int
        Largest body of an answer, in bytes.
    """

    pooled_connections: int = 8
    single_use_connections: int = 8
    connect_timeout_ms: float = 1_000
    idle_timeout_ms: float = 4_000
    max_answer_bytes: int = 16 * 1024 * 1024


class Forwarder:
    """Sends single attempts to backend servers.

    Parameters
    ----------
    clock : Clock
        Source of time, to which deadlines refer.
    settings : ForwarderSettings
        Bounds of the connections.
    """

    def __init__(self, clock: Clock, settings: ForwarderSettings | None = None):
        self.clock = clock
        self.settings = settings or ForwarderSettings()
        self._pooled: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None
        self._attempt_prefix = secrets.token_hex(6)
        self._attempt_numbers = itertools.count(1)
        self._log = EventLogger("forwarding")

    async def start(self) -> None:
        """Open the connection pools."""
        settings = self.settings
        self._pooled = self._open_session(
            AttemptConnector(
                limit=0,
                limit_per_host=settings.pooled_connections,
                keepalive_timeout=settings.idle_timeout_ms / 1000,
            )
        )
        self._single_use = self._open_session(
            AttemptConnector(
                limit=0,
                limit_per_host=settings.single_use_connections,
                force_close=True,
            )
        )

    async def close(self) -> None:
        """Close every connection; attempts in progress fail."""
        for session in (self._pooled, self._single_use):
            if session is not None:
                await session.close()
        self._pooled = self._single_use = None

    async def forward(
        self, server: BackendServer, request: ForwardRequest
    ) -> ForwardAnswer:
        """Send ``request`` to ``server`` once and return the complete answer.

        If the caller of this method is cancelled, the connection is closed, so
        that the backend server can cancel its work.

        Parameters
        ----------
        server : BackendServer
            Server to which the request is sent.
        request : ForwardRequest
            The request.

        Returns
        -------
        ForwardAnswer
            The complete answer, with any status.

        Raises
        ------
        ForwardError
            If there is no complete answer; ``ran`` says whether the request can
            have run.
        """
        attempt = AttemptState(self.clock, request.deadline_ms)
        try:
            return await self._run_attempt(server, request, attempt)
        except BaseException as error:
            attempt.abort()
            if isinstance(error, ForwardError):
                self._log_failure(server, request, error)
            raise

    def _log_failure(
        self, server: BackendServer, request: ForwardRequest, error: ForwardError
    ) -> None:
        self._log.write(
            Event.ATTEMPT_FAILED,
            server=server.name,
            method=request.method,
            code=error.code.value,
            ran=error.ran.value,
            detail=error.detail,
        )

    def _open_session(self, connector: AttemptConnector) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
            # The default jar would send one caller's cookies with another's request.
            cookie_jar=aiohttp.DummyCookieJar(),
            # `clock` enforces the deadline: aiohttp rounds timeouts above 5 s.
            timeout=aiohttp.ClientTimeout(
                total=None, connect=self.settings.connect_timeout_ms / 1000
            ),
            auto_decompress=False,
            skip_auto_headers=_AUTOMATIC_HEADERS,
            middlewares=(disable_client_retries,),
        )

    async def _run_attempt(
        self, server: BackendServer, request: ForwardRequest, attempt: AttemptState
    ) -> ForwardAnswer:
        if not _REQUEST_TARGET.fullmatch(request.path_qs):
            raise ForwardError(
                ResultCode.BAD_REQUEST,
                f"path {request.path_qs!r:.200} is not percent-encoded; encode "
                "spaces, control characters and '#'",
            )
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            raise build_deadline_error(server, request, attempt)
        try:
            return await self.clock.wait_for(
                self._exchange(server, request, attempt, remaining_ms), remaining_ms
            )
        except TimeoutError as error:
            raise build_deadline_error(server, request, attempt) from error

    async def _exchange(
        self,
        server: BackendServer,
        request: ForwardRequest,
        attempt: AttemptState,
        remaining_ms: float,
    ) -> ForwardAnswer:
        current_attempt.set(attempt)
        attempt_id = f"{self._attempt_prefix}-{next(self._attempt_numbers)}"
        session = self._pooled if request.retryable else self._single_use
        if session is None:
            raise ForwardError(
                ResultCode.STOPPING, "the forwarder is closed; use another entry host"
            )
        try:
            response = await session.request(
                request.method,
                URL(f"http://{server.address}{request.path_qs}", encoded=True),
                headers=request_headers(request, attempt_id, remaining_ms),
                data=request.body or None,
                allow_redirects=False,
            )
        except ForwardError:
            raise
        except Exception as error:
            raise build_no_answer_error(server, request, attempt, error) from error
        return await self._read_answer(server, request, response, attempt_id, attempt)

    async def _read_answer(
        self,
        server: BackendServer,
        request: ForwardRequest,
        response: aiohttp.ClientResponse,
        attempt_id: str,
        attempt: AttemptState,
    ) -> ForwardAnswer:
        try:
            check_attempt_id(server, response, attempt_id)
            check_framing(server, request, response)
            if is_refusal(response):
                raise await self._read_refusal(server, response, attempt)
            body = await self._read_body(server, response)
        except BaseException:
            # The rest of this answer must not be read as the answer to another
            # request.
            response.close()
            raise
        _release(response, attempt)
        return ForwardAnswer(
            response.status, answer_headers(response.headers, request.method), body
        )

    async def _read_refusal(
        self,
        server: BackendServer,
        response: aiohttp.ClientResponse,
        attempt: AttemptState,
    ) -> ForwardError:
        """Read a refusal, so that its connection can be reused; return its error."""
        with contextlib.suppress(ForwardError):
            await self._read_body(server, response)
            _release(response, attempt)
        return ForwardError(
            ResultCode.BACKEND_REFUSED,
            f"{server.name} refused before running; try another server or later",
        )

    async def _read_body(
        self, server: BackendServer, response: aiohttp.ClientResponse
    ) -> bytes:
        limit_bytes = self.settings.max_answer_bytes
        if (response.content_length or 0) > limit_bytes and not has_no_body(response):
            raise build_too_large_error(server, response.content_length, limit_bytes)
        chunks = []
        size_bytes = 0
        try:
            async for chunk in response.content.iter_any():
                size_bytes += len(chunk)
                if size_bytes > limit_bytes:
                    raise build_too_large_error(server, size_bytes, limit_bytes)
                chunks.append(chunk)
        except (aiohttp.ClientError, OSError) as error:
            raise ForwardError(
                ResultCode.ANSWER_TRUNCATED,
                f"{server.name} sent {size_bytes} bytes of its answer, then: {error}",
            ) from error
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _release(response: aiohttp.ClientResponse, attempt: AttemptState) -> None:
    """Release the connection to the pool, so that the attempt cannot abort it."""
    attempt.transport = None
    response.release()
