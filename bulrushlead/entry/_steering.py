"""Admits a request, chooses its region and forwards it to a backend server."""

import asyncio

import attrs
from multidict import CIMultiDictProxy

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration, Service
from bulrushlead.entry._attempts import SERVER_ERROR_STATUS, AttemptRunner
from bulrushlead.entry._demand import DemandEstimate
from bulrushlead.entry._parts import SteeringParts
from bulrushlead.entry._placement import (
    Placement,
    PlacementRequest,
    PlacementSource,
)
from bulrushlead.entry._sizes import AnswerSizes
from bulrushlead.forwarding import (
    RETRYABLE_METHODS,
    ForwardAnswer,
    ForwardError,
    ForwardRequest,
    RetryBudget,
    RetryLoop,
)
from bulrushlead.keys import request_digest
from bulrushlead.limits import AdmissionQueue, AdmissionSettings, ShiftGate
from bulrushlead.metrics import Metric
from bulrushlead.results import BulrushleadError, Ran, ResultCode


@attrs.frozen
class IncomingRequest:
    """A caller's request as an entry host received it.

    Parameters
    ----------
    service : str
        Name of the service.
    method, path_qs : str
        Method, path and query string that the backend server receives.
    headers : CIMultiDictProxy
        The caller's headers.
    body : bytes
        The whole body.
    caller_address : str
        IP address of the caller.
    timeout_ms : float or None
        Time that the caller still waits, in milliseconds; None for the timeout
        of the service.
    idempotency_key : str or None
        Key of a request that must run at most once.
    """

    service: str
    method: str
    path_qs: str
    headers: CIMultiDictProxy[str]
    body: bytes
    caller_address: str
    timeout_ms: float | None
    idempotency_key: str | None


class Steering:
    """Admits requests, forwards them and returns complete answers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    region : str
        Region of this host.
    parts : SteeringParts
        Components of the entry host.
    admission : AdmissionSettings, optional
        Bounds of the admission queues.
    """

    def __init__(
        self,
        clock: Clock,
        region: str,
        parts: SteeringParts,
        admission: AdmissionSettings | None = None,
    ):
        self.clock = clock
        self.region = region
        self.parts = parts
        self.admission = admission or AdmissionSettings()
        self._services: dict[str, Service] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._sizes = AnswerSizes()
        self._demands: dict[tuple[str, str], DemandEstimate] = {}

    def set_configuration(self, declaration: Declaration) -> None:
        """Set the services that a new configuration declares."""
        self._services = {service.name: service for service in declaration.services}
        for name in self._services:
            if name not in self._queues:
                self._queues[name] = AdmissionQueue(self.clock, self.admission)
                self._budgets[name] = RetryBudget()
        for name in self._queues.keys() - self._services.keys():
            self._queues.pop(name).close()
            del self._budgets[name]

    def wake(self) -> None:
        """Retry the admission of waiting requests: slots or limits may have changed."""
        for service, region in self._demands:
            self._report_demand(service, region)
        for queue in self._queues.values():
            queue.wake()

    def running(self) -> int:
        """Return the number of admitted requests that are running."""
        return sum(queue.running() for queue in self._queues.values())

    def close(self) -> None:
        """Refuse all waiting and all further requests."""
        for queue in self._queues.values():
            queue.close()

    async def serve(self, incoming: IncomingRequest) -> ForwardAnswer:
        """Return the complete answer to a caller's request.

        Parameters
        ----------
        incoming : IncomingRequest
            The request.

        Returns
        -------
        ForwardAnswer
            The answer of a backend server, or the one recorded under the
            request's idempotency key.

        Raises
        ------
        BulrushleadError
            The refusal or failure; `ran_of` returns whether the request can
            have run.
        """
        try:
            service = self._find_service(incoming)
        except BulrushleadError as error:
            if incoming.idempotency_key is None:
                raise
            # An earlier request with the same key may have run.
            raise ForwardError(error.code, error.detail, Ran.UNKNOWN) from error
        deadline_ms = self._deadline_ms(incoming, service)
        if incoming.idempotency_key is None:
            return await self._steer(incoming, service, deadline_ms)
        return await self.parts.keys.run(
            incoming.idempotency_key,
            service.name,
            request_digest(incoming.method, incoming.path_qs, incoming.body),
            lambda: self._steer(incoming, service, deadline_ms),
            deadline_ms,
        )

    def _find_service(self, incoming: IncomingRequest) -> Service:
        if not self.parts.session.is_valid():
            raise BulrushleadError(
                ResultCode.NO_LEASE,
                "this entry host has no valid lease from control; use another one",
            )
        service = self._services.get(incoming.service)
        if service is None:
            raise BulrushleadError(
                ResultCode.UNKNOWN_SERVICE,
                f"service {incoming.service!r:.80} is not declared",
            )
        return service

    def _deadline_ms(self, incoming: IncomingRequest, service: Service) -> float:
        timeout_ms = incoming.timeout_ms
        if timeout_ms is None:
            timeout_ms = service.timeout_ms
        # The leader reuses slots on the assumption that no request runs for longer
        # than the declared maximum duration.
        return self.clock.now_ms() + min(timeout_ms, service.max_duration_ms)

    async def _steer(
        self, incoming: IncomingRequest, service: Service, deadline_ms: float
    ) -> ForwardAnswer:
        home_region = self.parts.region_of(incoming.caller_address) or self.region
        gate = self.parts.limits.choose_shift(service.name, home_region)
        target_region = gate.shift.to_region if gate else home_region
        if gate is not None:
            self.parts.meters.count(Metric.SHIFTED_TOTAL, shift=gate.shift.name)
        if not self.parts.placer.has_accepting_servers(service.name):
            raise BulrushleadError(
                ResultCode.NO_BACKEND_SERVER,
                f"no backend server of service {service.name!r} takes new work",
            )
        source = self._build_source(incoming, service, target_region, deadline_ms)
        queue = self._queues[service.name]
        ticket = await self._admit(queue, service, target_region, source)
        started_ms = self.clock.now_ms()
        answer, is_cancelled = None, False
        try:
            answer = await self._forward(incoming, source, ticket.slot, deadline_ms)
            return answer
        except asyncio.CancelledError:
            is_cancelled = True
            raise
        finally:
            duration_ms = self.clock.now_ms() - started_ms
            queue.leave(ticket, duration_ms if answer is not None else None)
            if not is_cancelled:
                # A cancellation by the caller is no sign of the target region's health.
                self._observe_shifts(service, home_region, gate, duration_ms, answer)

    def _build_source(
        self,
        incoming: IncomingRequest,
        service: Service,
        target_region: str,
        deadline_ms: float,
    ) -> PlacementSource:
        request = PlacementRequest(
            service=service,
            target_region=target_region,
            request_bytes=self._sizes.request_bytes(incoming.headers, incoming.body),
            answer_bytes=self._sizes.expected_bytes(service),
            deadline_ms=deadline_ms,
            arrived_ms=self.clock.now_ms(),
            retryable=incoming.method in RETRYABLE_METHODS,
        )
        return PlacementSource(self.parts.placer, request)

    async def _admit(
        self,
        queue: AdmissionQueue,
        service: Service,
        region: str,
        source: PlacementSource,
    ):
        try:
            return await queue.admit(
                service.request_class,
                source.request.deadline_ms,
                source,
                region,
                on_wait=lambda: self._on_wait(service.name, region),
            )
        finally:
            self._report_demand(service.name, region)

    def _on_wait(self, service: str, region: str) -> None:
        self._report_demand(service, region)
        self.parts.session.request_sync()

    def _report_demand(self, service: str, region: str) -> None:
        """Set the slot demand from the decaying peak of concurrent requests."""
        queue = self._queues.get(service)
        if queue is None:
            return
        running, waiting = queue.running_in(region), queue.waiting_in(region)
        demand = self._demands.get((service, region))
        if demand is None:
            demand = DemandEstimate(self.clock)
            self._demands[(service, region)] = demand
        demand.observe(running + waiting)
        wanted = max(waiting, demand.slots_needed() - running)
        self.parts.holder.set_demand(service, region, wanted)

    async def _forward(
        self,
        incoming: IncomingRequest,
        source: PlacementSource,
        placement: Placement,
        deadline_ms: float,
    ) -> ForwardAnswer:
        attempts = AttemptRunner(self.clock, self.parts, source, placement)
        request = ForwardRequest(
            method=incoming.method,
            path_qs=incoming.path_qs,
            headers=incoming.headers,
            body=incoming.body,
            deadline_ms=deadline_ms,
            idempotency_key=incoming.idempotency_key,
            retryable=incoming.method in RETRYABLE_METHODS,
        )
        service = source.request.service
        loop = RetryLoop(attempts.send, self._budgets[service.name], self.clock)
        # Until the answer is complete, all reserved bytes count as transferred.
        source.sent_bytes = source.request.request_bytes
        source.received_bytes = source.request.answer_bytes
        answer = await loop.run(placement.server, request, attempts.pick_server)
        source.received_bytes = self._sizes.record_answer(service, answer)
        return answer

    def _observe_shifts(
        self,
        service: Service,
        home_region: str,
        gate: ShiftGate | None,
        duration_ms: float,
        answer: ForwardAnswer | None,
    ) -> None:
        ok = answer is not None and answer.status < SERVER_ERROR_STATUS
        if gate is not None:
            gate.observe(duration_ms, ok, shifted=True)
            return
        for other in self.parts.limits.find_gates(service.name, home_region):
            other.observe(duration_ms, ok, shifted=False)
