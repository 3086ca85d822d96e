"""Sends the attempts of one request and reports their outcomes to the router."""

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.entry._parts import SteeringParts
from bulrushlead.entry._placement import Placement, PlacementSource
from bulrushlead.forwarding import ForwardAnswer, ForwardError, ForwardRequest
from bulrushlead.metrics import Metric
from bulrushlead.results import Ran, ResultCode
from bulrushlead.routing import AttemptOutcome

SERVER_ERROR_STATUS = 500

_OUTCOME_BY_CODE = {
    ResultCode.DEADLINE_EXPIRED: AttemptOutcome.TIMEOUT,
    ResultCode.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
    ResultCode.ANSWER_LOST: AttemptOutcome.LOST,
    ResultCode.ANSWER_TRUNCATED: AttemptOutcome.LOST,
    ResultCode.BACKEND_REFUSED: AttemptOutcome.REFUSED,
}


class AttemptRunner:
    """Runs the attempts at one request and holds the placement that they use.

    The admission ticket refers to the same `Placement` object. A retry updates
    that object in place, so that the ticket releases the slot of the last server.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parts : SteeringParts
        Components of the entry host.
    source : PlacementSource
        Slot source through which the request was admitted.
    placement : Placement
        Placement of the first attempt.
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
        """Send one attempt to the server of the current placement.

        Parameters
        ----------
        server : BackendServer
            Server of the current placement.
        request : ForwardRequest
            The request to send.

        Raises
        ------
        ForwardError
            ``NO_LEASE`` if the slot's lease has expired, otherwise the error of
            the attempt.
        """
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
            outcome = _OUTCOME_BY_CODE.get(error.code, AttemptOutcome.ERROR)
            if outcome is AttemptOutcome.LOST:
                self.placement.may_run_until_ms = request.deadline_ms
            raise
        finally:
            parts.router.end(server.name, clock.now_ms() - started_ms, outcome)

    def pick_server(self, tried: frozenset[str]) -> BackendServer | None:
        """Move the placement to another server, or return None if there is none."""
        parts = self.parts
        other = parts.placer.place(self.source.request, tried)
        if other is None:
            return None
        parts.placer.release(
            self.placement,
            self.source.request.request_bytes,
            self.source.request.answer_bytes,
        )
        self.placement.replace_with(other)
        parts.meters.count(
            Metric.RETRIES_TOTAL, service=self.source.request.service.name
        )
        return other.server
