"""Commands of operators and servers, on their way to the log of the leader."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.coordinator._messages import OrderRequest, StatusReply
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._state import OrderState, command_subject
from bulrushlead.fleet import LeaderSession
from bulrushlead.logs import Event, EventLogger
from bulrushlead.metrics import CompactMeters, Metric
from bulrushlead.replication import ReplicatedLog
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec

LEADER_CALL_TIMEOUT_MS = 900  # operators give up a call after a second
PROPOSE_TIMEOUT_MS = 850
# Lets the end of a caller's connection arrive that was already received with its call.
CALLER_CHECK_MS = 1
UNKNOWN_BORN_MS = -1  # the leader replaces it by the registered time


class OrderCalls:
    """Submits commands to the leader, and proposes them while this host leads.

    Parameters
    ----------
    clock : Clock
        Source of time.
    publisher : FleetPublisher
        Knows whether this host leads and which servers are registered.
    meters : CompactMeters
        Metrics in which commands are counted.

    Attributes
    ----------
    session : LeaderSession or None
        Session with the leader; set before the first command.
    """

    def __init__(self, clock: Clock, publisher: FleetPublisher, meters: CompactMeters):
        self.clock = clock
        self.publisher = publisher
        self.meters = meters
        self.session: LeaderSession | None = None
        self._log: ReplicatedLog | None = None
        self._state: OrderState | None = None
        self._events = EventLogger("coordinator")

    def attach(self, log: ReplicatedLog, state: OrderState) -> None:
        """Use a log and its state machine."""
        self._log = log
        self._state = state

    async def submit(self, command) -> bool:
        """Commit a command; return whether it changed the state.

        Raises
        ------
        BulrushleadError
            The error of the call if no leader accepted the command.
        """
        return (await self._send(command)).changed

    async def submit_guarded(self, command) -> bool:
        """Commit a command that has no effect after one that its sender had not seen.

        A command that is held up on its way to the leader takes effect late, when the
        caller has sent it again elsewhere and others after it. It names the log index
        up to which this host knew all commands, which a held-up one keeps. A caller
        that still waits gets its command sent again, with the index of the overtaking
        one: this host knew less than the caller. One that has left does not; the end
        of its connection cancels this call.

        Raises
        ------
        BulrushleadError
            ``CHANGE_OUTCOME_UNKNOWN`` if the command was overtaken again, or the error
            of the call if no leader accepted it.
        """
        seen_index = self._log.last_applied
        await self.clock.sleep_ms(CALLER_CHECK_MS)
        reply = await self._send(attrs.evolve(command, seen_index=seen_index))
        if reply.overtaken_by:
            again = attrs.evolve(command, seen_index=reply.overtaken_by)
            reply = await self._send(again)
        if reply.overtaken_by:
            raise BulrushleadError(
                ResultCode.CHANGE_OUTCOME_UNKNOWN,
                f"other changes of {command_subject(command)} came meanwhile; "
                "send the same change again",
            )
        return reply.changed

    async def handle(self, request: OrderRequest) -> StatusReply:
        """Propose a command, as the leader.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, or any error of ``ReplicatedLog.propose``.
        """
        self.publisher.require_leader()
        command = self._with_born_ms(codec.decode(request.command))
        # Replicas of an earlier build would apply an overtaken command.
        reply = StatusReply(False, self._state.overtaking_index(command))
        if not reply.overtaken_by:
            result = await self._log.propose(codec.encode(command), PROPOSE_TIMEOUT_MS)
            reply = codec.decode(result)
        if reply.overtaken_by:
            # Logged here, since the sender of a late command has given it up.
            self._events.write(
                Event.ORDER_OVERTAKEN,
                order=type(command).__name__,
                subject=command_subject(command),
                seen_index=command.seen_index,
                overtaken_by=reply.overtaken_by,
            )
        return reply

    async def _send(self, command) -> StatusReply:
        name = type(command).__name__
        request = OrderRequest(codec.encode(command))
        try:
            if self._log.is_leader():
                reply = await self.handle(request)
            else:
                reply = await self.session.call_leader(request, LEADER_CALL_TIMEOUT_MS)
        except BulrushleadError as error:
            self.meters.count(Metric.ORDERS_TOTAL, order=name, outcome=error.code.name)
            raise
        outcome = "overtaken" if reply.overtaken_by else "accepted"
        self.meters.count(Metric.ORDERS_TOTAL, order=name, outcome=outcome)
        if not reply.overtaken_by:
            self._events.write(
                Event.ORDER_ACCEPTED,
                order=name,
                subject=command_subject(command),
                changed=reply.changed,
                leader=self._log.leader_hint,
            )
        return reply

    def _with_born_ms(self, command):
        """Add the registered ``born_ms`` to a departure without one."""
        if getattr(command, "born_ms", None) != UNKNOWN_BORN_MS:
            return command
        born_ms = self.publisher.registry.born_ms_of(command.server_id)
        if born_ms is None:
            raise BulrushleadError(
                ResultCode.CONTROL_UNREACHABLE,
                f"no incarnation of {command.server_id!r:.60} is known yet; try again",
            )
        return attrs.evolve(command, born_ms=born_ms)
