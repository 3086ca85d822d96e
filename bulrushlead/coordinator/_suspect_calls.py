"""Calls of hosts and operators about requests under which servers ended."""

from typing import TYPE_CHECKING

from bulrushlead.coordinator._messages import StatusReply
from bulrushlead.logs import Event, EventLogger
from bulrushlead.quarantine import (
    ListQuarantine,
    QuarantineReply,
    ReleaseRequest,
    SuspectReport,
    TrialReply,
    TrialRequest,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageServer

if TYPE_CHECKING:
    from bulrushlead.coordinator._publisher import FleetPublisher


class SuspectCalls:
    """Answers these calls on the leader.

    Parameters
    ----------
    publisher : FleetPublisher
        Holds the evidence and publishes what changes.
    """

    def __init__(self, publisher: "FleetPublisher"):
        self.publisher = publisher
        self._log = EventLogger("coordinator")

    def register(self, messages: MessageServer) -> None:
        """Answer the calls on a port."""
        messages.register_handler(SuspectReport, self.handle_report)
        messages.register_handler(TrialRequest, self.handle_trial_request)
        messages.register_handler(ListQuarantine, self.handle_list)
        messages.register_handler(ReleaseRequest, self.handle_release)

    async def handle_report(self, request: SuspectReport) -> StatusReply:
        """Record what a host learned."""
        self.publisher.require_leader()
        changed = self.publisher.suspects.merge(request.suspects)
        self.publisher.notify_if_changed()
        return StatusReply(bool(changed))

    async def handle_trial_request(self, request: TrialRequest) -> TrialReply:
        """Let one host send a quarantined request once, if a trial is due."""
        publisher, fingerprint = self.publisher, request.fingerprint
        publisher.require_leader()
        versions = publisher.registry.ready_versions(
            publisher.suspects.service(fingerprint)
        )
        trial = publisher.suspects.due_trial(fingerprint, versions)
        if trial is None:
            return TrialReply()
        publisher.suspects.record_trial(fingerprint, trial)
        publisher.notify_if_changed()
        self._log.write(
            Event.TRIAL_GRANTED,
            fingerprint=fingerprint,
            host_id=request.host_id,
            trial=trial.value,
        )
        return TrialReply(trial.value)

    async def handle_list(self, request: ListQuarantine) -> QuarantineReply:
        """Return the evidence on the requests that are refused."""
        self.publisher.require_leader()
        suspects = self.publisher.suspects
        return QuarantineReply(suspects.notices(sorted(suspects.quarantined)))

    async def handle_release(self, request: ReleaseRequest) -> StatusReply:
        """Let all hosts send a request again."""
        publisher, fingerprint = self.publisher, request.fingerprint
        publisher.require_leader()
        if not publisher.suspects.release(fingerprint):
            raise BulrushleadError(
                ResultCode.NOT_FOUND,
                f"no server ended under request {fingerprint!r:.60}; list the refused "
                "requests with the quarantine command",
            )
        publisher.notify_if_changed()
        self._log.write(
            Event.ORDER_ACCEPTED, order="ReleaseRequest", subject=fingerprint
        )
        return StatusReply(True)
