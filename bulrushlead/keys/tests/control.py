"""Replicated key state in memory, with the faults of the way to it."""

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
    """Applies each command to one `KeyState`; takes one planned fault a call."""

    def __init__(self, limits=None):
        self.state = KeyState(limits or KeyLimits())
        self.index = 0
        self.plan = deque()
        self.down = False
        self.delay = None
        self.calls = []
        self.called = asyncio.Event()

    async def call(self, command):
        self.calls.append(command)
        self.called.set()
        await asyncio.sleep(0)
        fault = self.plan.popleft() if self.plan else None
        if self.down or fault is Fault.CALL_LOST:
            raise BulrushleadError(ResultCode.CONTROL_UNREACHABLE, "no leader")
        if fault is Fault.FAIL_OVER:
            self.fail_over()
        reply = self.apply(command)
        if fault is Fault.TWICE:
            reply = self.apply(command)
        if self.delay is not None:
            await self.delay.wait()
        if fault is Fault.HANG:
            await asyncio.Event().wait()
        if fault is Fault.REPLY_LOST:
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "reply lost")
        return reply

    def apply(self, command):
        self.index += 1
        over_the_wire = codec.decode(codec.encode(command))
        return codec.decode(codec.encode(self.state.apply(self.index, over_the_wire)))

    def fail_over(self):
        """Go on with a replica that starts from a snapshot."""
        replica = KeyState(self.state.limits)
        replica.restore(self.state.snapshot())
        self.state = replica

    def count(self, command_type):
        return sum(isinstance(call, command_type) for call in self.calls)
