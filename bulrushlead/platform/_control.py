"""Answers the platform's calls to the control interface."""

import json
from urllib.parse import parse_qs

from bulrushlead.clock import Clock
from bulrushlead.coordinator import Coordinator
from bulrushlead.http1 import Answer, Request, RequestLimits
from bulrushlead.logs import Event, EventLogger
from bulrushlead.platform._heartbeats import decode_born_ms, decode_heartbeat
from bulrushlead.platform._plans import decode_plan
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MAX_MESSAGE_BYTES

_JSON = (b"content-type", b"application/json")
# A caller retries at another host after one second. A call that was delayed longer,
# for example because this host was suspended, must not take effect late.
MAX_CALL_AGE_MS = 1_000
# No larger document could be stored. Without a bound, one that takes more memory than a
# host has would end one coordinator after the other, since it is sent again.
LIMITS = RequestLimits(max_body_bytes=MAX_MESSAGE_BYTES)
_CLIENT_ERRORS = frozenset(
    {
        ResultCode.DECLARATION_INVALID,
        ResultCode.DECLARATION_UNREADABLE,
        ResultCode.BAD_REQUEST,
        ResultCode.MESSAGE_TOO_LARGE,
    }
)


class ControlInterface:
    """Decodes heartbeats, configurations and evacuations for the coordinator.

    Parameters
    ----------
    coordinator : Coordinator
        Receives the decoded calls.
    zone_regions : dict of str to str
        Availability zones that exist, with their regions.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, coordinator: Coordinator, zone_regions: dict[str, str], clock: Clock
    ):
        self.coordinator = coordinator
        self.zones = set(zone_regions)
        self.clock = clock
        self._handlers = {
            "instances.heartbeat": self._heartbeat,
            "instances.deregister": self._deregister,
            "config.put": self._put_config,
            "config.get": self._get_config,
            "evacuations.start": self._start_evacuation,
            "evacuations.end": self._end_evacuation,
        }
        self._log = EventLogger("platform")

    async def answer(self, request: Request) -> Answer:
        """Answer one call.

        The status is 404 for an unknown call, 400 for a call that is invalid and
        503 for one that is too old or that the coordinator could not complete.
        """
        path, _, query = request.target.decode("latin-1").partition("?")
        fields = parse_qs(query, keep_blank_values=True)
        name = fields.get("call", [""])[0]
        subject = fields.get("of", [""])[0]
        handler = self._handlers.get(name) if path == "/v1/rpc" else None
        if handler is None:
            return Answer(404)
        age_ms = self.clock.now_ms() - request.received_ms
        if age_ms > MAX_CALL_AGE_MS:
            return Answer(503)
        try:
            return await handler(subject, request.body)
        except BulrushleadError as error:
            is_rejected = error.code in _CLIENT_ERRORS
            self._log.write(
                Event.ORDER_REFUSED,
                call=name,
                subject=subject,
                code=error.code.value,
                detail=error.detail,
            )
            body = json.dumps({"error": error.detail}).encode()
            return Answer(400 if is_rejected else 503, [_JSON], body)

    async def _heartbeat(self, server_id: str, body: bytes) -> Answer:
        await self.coordinator.announce(decode_heartbeat(server_id, body, self.zones))
        return Answer(200, [_JSON], b"{}")

    async def _deregister(self, server_id: str, body: bytes) -> Answer:
        await self.coordinator.deregister(server_id, decode_born_ms(body))
        return Answer(200, [_JSON], b"{}")

    async def _put_config(self, subject: str, body: bytes) -> Answer:
        await self.coordinator.accept_plan(decode_plan(body), body)
        return Answer(200, [_JSON], b"{}")

    async def _get_config(self, subject: str, body: bytes) -> Answer:
        reply = await self.coordinator.read_plan()
        if reply.version < 0:
            return Answer(503)
        return Answer(200, [_JSON], reply.document)

    async def _start_evacuation(self, zone: str, body: bytes) -> Answer:
        self._check_zone(zone)
        await self.coordinator.start_evacuation(zone)
        return Answer(200, [_JSON], b"{}")

    async def _end_evacuation(self, zone: str, body: bytes) -> Answer:
        self._check_zone(zone)
        await self.coordinator.end_evacuation(zone)
        return Answer(200, [_JSON], b"{}")

    def _check_zone(self, zone: str) -> None:
        if zone not in self.zones:
            raise BulrushleadError(
                ResultCode.BAD_REQUEST,
                f"no availability zone {zone!r:.60}; known: {sorted(self.zones)}",
            )
