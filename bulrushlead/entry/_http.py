"""HTTP server of an entry host: look-ups, requests, announcements and metrics."""

import asyncio
import contextlib
import json
import math

import cattrs
from aiohttp import web

from bulrushlead.backend import (
    ANNOUNCE_PATH,
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_MS_HEADER,
    Announcement,
)
from bulrushlead.clock import Clock
from bulrushlead.distribution import Session
from bulrushlead.entry._lookups import Lookups
from bulrushlead.entry._refusal import build_internal_error, build_refusal
from bulrushlead.entry._steering import IncomingRequest, Steering
from bulrushlead.forwarding import ran_of
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import Meters, Metric
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec

MAX_KEY_LENGTH = 255
MAX_ANNOUNCEMENT_BYTES = 16_384
MAX_TIMEOUT_MS = 3_600_000
SERVICE_PREFIX = "/v1/services/"


class EntryHttp:
    """Serves callers and backend servers over HTTP.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 lets the operating system choose.
    clock : Clock
        Source of time.
    session : Session
        Receives announcements and forwards them to the leader.
    lookups : Lookups
        Answers look-ups.
    steering : Steering
        Forwards requests to backend servers.
    meters : Meters
        Metrics of this host.
    max_body_bytes : int
        Largest request body, in bytes.

    Attributes
    ----------
    bound_port : int
        Port that the host listens on after ``start()``.
    """

    def __init__(
        self,
        address: str,
        port: int,
        clock: Clock,
        session: Session,
        lookups: Lookups,
        steering: Steering,
        meters: Meters,
        max_body_bytes: int,
    ):
        self.address = address
        self.port = port
        self.clock = clock
        self.session = session
        self.lookups = lookups
        self.steering = steering
        self.meters = meters
        self.max_body_bytes = max_body_bytes
        self.bound_port = port
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._log = EventLogger("entry")

    async def start(self) -> None:
        """Listen for callers and backend servers."""
        app = web.Application(client_max_size=self.max_body_bytes)
        app.router.add_get("/v1/lookup", self._answer_lookup)
        app.router.add_post(ANNOUNCE_PATH, self._answer_announcement)
        app.router.add_get("/metrics", self.meters.serve)
        app.router.add_route("*", SERVICE_PREFIX + "{service}", self._answer_request)
        app.router.add_route(
            "*", SERVICE_PREFIX + "{service}/{tail:.*}", self._answer_request
        )
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self.address, self.port)
        await self._site.start()
        self.bound_port = self._runner.addresses[0][1]

    async def stop_listening(self) -> None:
        """Stop accepting connections; open connections continue."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def close(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    async def _answer_lookup(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        try:
            answer = self.lookups.find(service, _caller_address(request))
        except BulrushleadError as error:
            self.meters.count(Metric.LOOKUPS_TOTAL, code=error.code.name)
            self._log.write(
                Event.LOOKUP_REFUSED, service=service[:80], code=error.code.value
            )
            return build_refusal(error)
        self.meters.count(Metric.LOOKUPS_TOTAL, code=ResultCode.OK.name)
        return web.json_response(
            cattrs.unstructure(answer),
            headers={"Cache-Control": f"max-age={answer.ttl_ms // 1000}"},
        )

    async def _answer_announcement(self, request: web.Request) -> web.Response:
        try:
            announcement = await _read_announcement(request)
            if not self.session.is_valid():
                # On this refusal the backend server tries another entry host.
                raise BulrushleadError(
                    ResultCode.NO_LEASE,
                    "this entry host has no valid lease; announce to another one",
                )
        except BulrushleadError as error:
            return build_refusal(error)
        self.session.queue_announcement(announcement)
        self.meters.count(
            Metric.ANNOUNCEMENTS_TOTAL, service=announcement.server.service
        )
        return web.Response(status=204)

    async def _answer_request(self, request: web.Request) -> web.StreamResponse:
        started_ms = self.clock.now_ms()
        self._in_flight += 1
        self._idle.clear()
        service = request.match_info["service"]
        try:
            response, code = await self._serve(request)
            duration_ms = self.clock.now_ms() - started_ms
            self._record_request(service, code, duration_ms)
            # Written within this block, so that the request counts as in flight
            # until its last byte has been written.
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    async def _serve(self, request: web.Request) -> tuple[web.Response, ResultCode]:
        try:
            incoming = await self._read_request(request)
            answer = await self.steering.serve(incoming)
        except BulrushleadError as error:
            self._log.write(
                Event.REQUEST_REFUSED,
                service=request.match_info["service"][:80],
                code=error.code.value,
                ran=ran_of(error).value,
                reason=error.detail,
            )
            return build_refusal(error), error.code
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            return build_internal_error(error), ResultCode.INTERNAL
        response = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        return response, ResultCode.OK

    async def _read_request(self, request: web.Request) -> IncomingRequest:
        service = request.match_info["service"]
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BulrushleadError(
                ResultCode.BODY_TOO_LARGE,
                f"the body exceeds {self.max_body_bytes} bytes; send less",
            ) from error
        # The raw path has the service name as the caller percent-encoded it.
        prefix = SERVICE_PREFIX + request.rel_url.raw_path.split("/")[3]
        path_qs = request.raw_path.removeprefix(prefix)
        return IncomingRequest(
            service=service,
            method=request.method,
            path_qs=path_qs if path_qs.startswith("/") else "/" + path_qs,
            headers=request.headers,
            body=body,
            caller_address=_caller_address(request),
            timeout_ms=_read_timeout_ms(request),
            idempotency_key=_read_idempotency_key(request),
        )

    def _record_request(
        self, service: str, code: ResultCode, duration_ms: float
    ) -> None:
        service_label = service if code is not ResultCode.UNKNOWN_SERVICE else "unknown"
        self.meters.count(Metric.REQUESTS_TOTAL, service=service_label, code=code.name)
        self.meters.observe(
            Metric.REQUEST_DURATION_MS, duration_ms, service=service_label
        )


def _caller_address(request: web.Request) -> str:
    return request.remote or "0.0.0.0"


def _read_timeout_ms(request: web.Request) -> float | None:
    text = request.headers.get(TIMEOUT_MS_HEADER)
    if text is None:
        return None
    with contextlib.suppress(ValueError):
        timeout_ms = float(text)
        if math.isfinite(timeout_ms) and 0 < timeout_ms <= MAX_TIMEOUT_MS:
            return timeout_ms
    raise BulrushleadError(
        ResultCode.BAD_REQUEST,
        f"header {TIMEOUT_MS_HEADER} is {text!r:.40}; send milliseconds above 0 and "
        f"up to {MAX_TIMEOUT_MS}",
    )


def _read_idempotency_key(request: web.Request) -> str | None:
    keys = request.headers.getall(IDEMPOTENCY_KEY_HEADER, [])
    if not keys:
        return None
    if len(keys) > 1 or not 0 < len(keys[0]) <= MAX_KEY_LENGTH:
        raise BulrushleadError(
            ResultCode.BAD_REQUEST,
            f"header {IDEMPOTENCY_KEY_HEADER} must be sent once, with 1 to "
            f"{MAX_KEY_LENGTH} characters",
        )
    return keys[0]


async def _read_announcement(request: web.Request) -> Announcement:
    data = await request.content.read(MAX_ANNOUNCEMENT_BYTES + 1)
    while not request.content.at_eof() and len(data) <= MAX_ANNOUNCEMENT_BYTES:
        data += await request.content.read(MAX_ANNOUNCEMENT_BYTES + 1 - len(data))
    if len(data) > MAX_ANNOUNCEMENT_BYTES:
        raise BulrushleadError(
            ResultCode.BODY_TOO_LARGE,
            f"an announcement has at most {MAX_ANNOUNCEMENT_BYTES} bytes",
        )
    try:
        plain = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BulrushleadError(
            ResultCode.BAD_REQUEST, f"the announcement is not JSON: {error}"
        ) from error
    return codec.from_plain(plain, Announcement)
