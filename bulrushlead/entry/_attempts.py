"""Attempts at one request, and what the router learns from them."""

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.entry._parts import SteeringParts
from bulrushlead.entry._placement import Placement, PlacementSource
from bulrushlead.forwarding import ForwardAnswer, ForwardError, ForwardRequest
from bulrushlead.metrics import Metric
from bulrushlead.results import Ran, ResultCode
from bulrushlead.routing import AttemptOutcome

SERVER_ERROR_STATUS = 500

_OUTCOMES = {
    ResultCode.DEADLINE_EXPIRED: AttemptOutcome.TIMEOUT,
    ResultCode.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
    ResultCode.ANSWER_LOST: AttemptOutcome.LOST,
    ResultCode.ANSWER_TRUNCATED: AttemptOutcome.LOST,
    ResultCode.BACKEND_REFUSED: AttemptOutcome.REFUSED,
}


class Attempts:
    """Attempts at one request, each in the placement it needs.

    The placement object is the one that the admission ticket holds; a retry
    moves it to another server, so that the ticket returns what is held last.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parts : SteeringParts
        Parts of the entry host.
    source : PlacementSource
        Where the request's place came from.
    placement : Placement
        Its first place.
    """

    def __init__(
        self,
        clock: Clock,
        parts: SteeringParts,
        source: PlacementSource,
        placement: Placement,
    ):
        self.clock = clock
        self.parts = parts
        self.source = source
        self.placement = placement

    async def send(
        self, server: BackendServer, request: ForwardRequest
    ) -> ForwardAnswer:
        """Make one attempt at the server of the present placement."""
        parts = self.parts
        if not parts.holder.may_start(self.placement.token):
            raise ForwardError(
                ResultCode.NO_LEASE,
                "the lease ran out before the request was sent; use another host",
                Ran.NO,
            )
        clock = self.clock
        started_ms = clock.now_ms()
        outcome = AttemptOutcome.CANCELLED
        parts.router.begin(server.name)
        try:
            answer = await parts.forwarder.forward(server, request)
            failed = answer.status >= SERVER_ERROR_STATUS
            outcome = AttemptOutcome.ERROR if failed else AttemptOutcome.SUCCESS
            return answer
        except ForwardError as error:
            outcome = _OUTCOMES.get(error.code, AttemptOutcome.ERROR)
            if outcome is AttemptOutcome.LOST:
                self.placement.in_doubt_until_ms = request.deadline_ms
            raise
        finally:
            parts.router.end(server.name, clock.now_ms() - started_ms, outcome)

    def pick(self, tried: frozenset[str]) -> BackendServer | None:
        """Move the placement to another server, if there is a place."""
        parts = self.parts
        other = parts.placer.place(self.source.request, tried)
        if other is None:
            return None
        parts.placer.release(
            self.placement,
            self.source.request.request_bytes,
            self.source.request.answer_bytes,
        )
        self.placement.move_to(other)
        parts.meters.count(
            Metric.RETRIES_TOTAL, service=self.source.request.service.name
        )
        return other.server
