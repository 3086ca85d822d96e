"""In-memory fake of the replicated key state, with faults of its calls."""

import asyncio
from collections import deque
from enum import Enum

from bulrushlead.keys import KeyLimits, KeyState
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec


class Fault(Enum):
    REPLY_LOST = "reply_lost"
    CALL_LOST = "call_lost"
    TWICE = "twice"
    FAIL_OVER = "fail_over"
    HANG = "hang"


class FakeControl:
    """Applies each command to one `KeyState`, with one planned fault per call."""

    def __init__(self, limits=None):
        self.state = KeyState(limits or KeyLimits())
        self.index = 0
        self.planned_faults = deque()
        self.is_down = False
        self.reply_gate = None
        self.calls = []
        self.called = asyncio.Event()

    async def call(self, command):
        self.calls.append(command)
        self.called.set()
        await asyncio.sleep(0)
        fault = self.planned_faults.popleft() if self.planned_faults else None
        if self.is_down or fault is Fault.CALL_LOST:
            raise BulrushleadError(ResultCode.CONTROL_UNREACHABLE, "no leader")
        if fault is Fault.FAIL_OVER:
            self.fail_over()
        reply = self.apply(command)
        if fault is Fault.TWICE:
            reply = self.apply(command)
        if self.reply_gate is not None:
            await self.reply_gate.wait()
        if fault is Fault.HANG:
            await asyncio.Event().wait()
        if fault is Fault.REPLY_LOST:
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "reply lost")
        return reply

    def apply(self, command):
        self.index += 1
        decoded = codec.decode(codec.encode(command))
        return codec.decode(codec.encode(self.state.apply(self.index, decoded)))

    def fail_over(self):
        """Replace the state by a replica that is restored from a snapshot."""
        replica = KeyState(self.state.limits)
        replica.restore(self.state.snapshot())
        self.state = replica

    def count(self, command_type):
        return sum(isinstance(call, command_type) for call in self.calls)
