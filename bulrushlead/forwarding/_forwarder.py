"""Sends one request to one backend server and reads its whole answer."""

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
    check_framing,
    check_own,
    is_bodiless,
    is_refusal,
    not_answered,
    too_large,
    too_late,
)
from bulrushlead.forwarding._connector import (
    AttemptConnector,
    AttemptTrace,
    current_attempt,
    forbid_resending,
)
from bulrushlead.forwarding._headers import answer_headers, request_headers
from bulrushlead.forwarding._model import ForwardAnswer, ForwardError, ForwardRequest
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import ResultCode

_TARGET = re.compile(r"/[^\x00-\x20\x7f#]*")
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class ForwarderSettings:
    """Bounds of the connections to backend servers.

    Parameters
    ----------
    pooled_connections : int
        Most connections to one server that are reused, for repeatable requests.
    single_use_connections : int
        Most connections to one server that carry one request each, for all other
        requests.
    connect_timeout_ms : float
        Time for a free place in the pool and a new connection, in milliseconds.
    idle_timeout_ms : float
        Time that an idle connection is kept, in milliseconds.
    max_answer_bytes : int
        Largest body of an answer.
    """

    pooled_connections: int = 8
    single_use_connections: int = 8
    connect_timeout_ms: float = 1_000
    idle_timeout_ms: float = 4_000
    max_answer_bytes: int = 16 * 1024 * 1024


class Forwarder:
    """One attempt at a backend server: a complete answer or an error.

    Parameters
    ----------
    clock : Clock
        Source of time; deadlines are readings of it.
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
        """Prepare the connection pools."""
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
            Where to send it.
        request : ForwardRequest
            What to send.

        Returns
        -------
        ForwardAnswer
            The whole answer, of any status.

        Raises
        ------
        ForwardError
            With ``ran`` telling whether the request can have run.
        """
        trace = AttemptTrace(self.clock, request.deadline_ms)
        try:
            return await self._attempt(server, request, trace)
        except BaseException as error:
            trace.abort()
            if isinstance(error, ForwardError):
                self._note_failure(server, request, error)
            raise

    def _note_failure(
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
            # The deadline is kept by `clock`: aiohttp rounds timeouts above 5 s.
            timeout=aiohttp.ClientTimeout(
                total=None, connect=self.settings.connect_timeout_ms / 1000
            ),
            auto_decompress=False,
            skip_auto_headers=_AUTOMATIC_HEADERS,
            middlewares=(forbid_resending,),
        )

    async def _attempt(
        self, server: BackendServer, request: ForwardRequest, trace: AttemptTrace
    ) -> ForwardAnswer:
        if not _TARGET.fullmatch(request.path_qs):
            raise ForwardError(
                ResultCode.BAD_REQUEST,
                f"path {request.path_qs!r:.200} is not percent-encoded; encode "
                "spaces, control characters and '#'",
            )
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            raise too_late(server, request, trace)
        try:
            return await self.clock.wait_for(
                self._exchange(server, request, trace, remaining_ms), remaining_ms
            )
        except TimeoutError as error:
            raise too_late(server, request, trace) from error

    async def _exchange(
        self,
        server: BackendServer,
        request: ForwardRequest,
        trace: AttemptTrace,
        remaining_ms: float,
    ) -> ForwardAnswer:
        current_attempt.set(trace)
        attempt_id = f"{self._attempt_prefix}-{next(self._attempt_numbers)}"
        session = self._pooled if request.repeatable else self._single_use
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
            raise not_answered(server, request, trace, error) from error
        return await self._read(server, request, response, attempt_id, trace)

    async def _read(
        self,
        server: BackendServer,
        request: ForwardRequest,
        response: aiohttp.ClientResponse,
        attempt_id: str,
        trace: AttemptTrace,
    ) -> ForwardAnswer:
        try:
            check_own(server, response, attempt_id)
            check_framing(server, request, response)
            if is_refusal(response):
                raise await self._refused(server, response, trace)
            body = await self._read_body(server, response)
        except BaseException:
            # The rest of this answer must never meet another request.
            response.close()
            raise
        _release(response, trace)
        return ForwardAnswer(
            response.status, answer_headers(response.headers, request.method), body
        )

    async def _refused(
        self,
        server: BackendServer,
        response: aiohttp.ClientResponse,
        trace: AttemptTrace,
    ) -> ForwardError:
        """Read a refusal to its end, so that the connection can be used again."""
        with contextlib.suppress(ForwardError):
            await self._read_body(server, response)
            _release(response, trace)
        return ForwardError(
            ResultCode.BACKEND_REFUSED,
            f"{server.name} refused before running; try another server or later",
        )

    async def _read_body(
        self, server: BackendServer, response: aiohttp.ClientResponse
    ) -> bytes:
        limit_bytes = self.settings.max_answer_bytes
        if (response.content_length or 0) > limit_bytes and not is_bodiless(response):
            raise too_large(server, response.content_length, limit_bytes)
        chunks = []
        size_bytes = 0
        try:
            async for chunk in response.content.iter_any():
                size_bytes += len(chunk)
                if size_bytes > limit_bytes:
                    raise too_large(server, size_bytes, limit_bytes)
                chunks.append(chunk)
        except (aiohttp.ClientError, OSError) as error:
            raise ForwardError(
                ResultCode.ANSWER_TRUNCATED,
                f"{server.name} sent {size_bytes} bytes of its answer, then: {error}",
            ) from error
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _release(response: aiohttp.ClientResponse, trace: AttemptTrace) -> None:
    """Give the connection back to the pool: it no longer belongs to the attempt."""
    trace.transport = None
    response.release()
