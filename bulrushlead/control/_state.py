"""State machine of the control hosts, which applies all commands of the log."""

from functools import singledispatchmethod
from typing import Any

from bulrushlead.control._drains import DrainState, StartDrain, StartedDrain
from bulrushlead.control._terms import BeginTerm, TermBegun, TermState
from bulrushlead.keys import (
    AbandonHost,
    AbandonKey,
    ClaimKey,
    FinishKey,
    ForgetKeys,
    KeyState,
    ResolveKey,
)
from bulrushlead.operators import (
    ApplyDeclaration,
    ApplyReply,
    ConfigurationSnapshot,
    ConfigurationState,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import ErrorReply, codec, message


@message("control.snapshot")
class ControlSnapshot:
    """Snapshot of the whole replicated state.

    Parameters
    ----------
    configuration : ConfigurationSnapshot
        Accepted configuration, its history and recent request identifiers.
    keys : bytes
        Idempotency keys.
    started_drains : tuple of StartedDrain
        Planned drains that have started.
    granting_term : int
        Highest term in which leases may have been granted.
    """

    configuration: ConfigurationSnapshot
    keys: bytes
    started_drains: tuple[StartedDrain, ...] = ()
    granting_term: int = 0


class ControlState:
    """State machine of the replicated log.

    Attributes
    ----------
    configuration : ConfigurationState
        Accepted configuration.
    keys : KeyState
        Idempotency keys.
    drains : DrainState
        Planned drains that have started.
    terms : TermState
        Terms in which leases may have been granted.
    """

    def __init__(self):
        self.configuration = ConfigurationState()
        self.keys = KeyState()
        self.drains = DrainState()
        self.terms = TermState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply.

        Notes
        -----
        A command that cannot be applied changes nothing and returns the same
        error on every replica.
        """
        try:
            reply = self._apply(codec.decode(command), index)
        except BulrushleadError as error:
            reply = ErrorReply(error.code.value, error.detail)
        return codec.encode(reply)

    def snapshot(self) -> bytes:
        """Return the encoded snapshot of the whole state."""
        return codec.encode(
            ControlSnapshot(
                self.configuration.snapshot(),
                self.keys.snapshot(),
                self.drains.snapshot(),
                self.terms.granting_term,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an encoded snapshot."""
        snapshot = codec.decode(data)
        self.keys.restore(snapshot.keys)
        self.drains.restore(snapshot.started_drains)
        self.terms.granting_term = snapshot.granting_term
        # Last, because listeners of the configuration read the drains.
        self.configuration.restore(snapshot.configuration)

    @singledispatchmethod
    def _apply(self, command: Any, index: int) -> Any:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"{type(command).__name__} is no command of the replicated log",
        )

    @_apply.register
    def _(self, command: ApplyDeclaration, index: int) -> ApplyReply:
        reply = self.configuration.apply(index, command)
        self.drains.prune(self.configuration.current.declaration)
        return reply

    @_apply.register
    def _(self, command: StartDrain, index: int) -> StartedDrain:
        return self.drains.apply(command)

    @_apply.register
    def _(self, command: BeginTerm, index: int) -> TermBegun:
        return self.terms.apply(command)

    @_apply.register(ClaimKey)
    @_apply.register(FinishKey)
    @_apply.register(AbandonKey)
    @_apply.register(AbandonHost)
    @_apply.register(ResolveKey)
    @_apply.register(ForgetKeys)
    def _(self, command: Any, index: int) -> Any:
        return self.keys.apply(index, command)
