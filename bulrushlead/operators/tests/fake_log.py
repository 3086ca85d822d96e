"""A replicated log in memory that can lose answers and change its leader."""

import asyncio

from bulrushlead.operators import (
    ApplyDeclaration,
    ApplyReply,
    ClusterStatus,
    ConfigurationState,
    HostStatus,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec


class SteppingClock:
    """Clock that moves only by the pauses of its user.

    Nothing times out because a machine is slow; ``expire`` makes whatever is
    awaited next, or now, time out.
    """

    def __init__(self):
        self.time_ms = 0.0
        self._expired = asyncio.Event()

    def expire(self) -> None:
        self._expired.set()

    def now_ms(self) -> float:
        return self.time_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        self.time_ms += max(0.0, duration_ms)
        await asyncio.sleep(0)

    async def wait_for(self, awaitable, timeout_ms: float):
        task = asyncio.ensure_future(awaitable)
        expired = asyncio.ensure_future(self._expired.wait())
        try:
            await asyncio.wait({task, expired}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            self._expired.clear()
            raise TimeoutError
        finally:
            task.cancel()
            expired.cancel()


class FakeLog:
    """Committed commands as bytes, and which replica leads."""

    def __init__(self, replica_count: int = 3):
        self.entries: list[bytes] = []
        self.replicas = [FakeReplica(self, i) for i in range(replica_count)]
        self.leader = 0
        self.addresses = [""] * replica_count

    def append(self, command: ApplyDeclaration) -> None:
        self.entries.append(codec.encode(command))


class FakeReplica:
    """One control host's view of the log."""

    def __init__(self, log: FakeLog, number: int):
        self.log = log
        self.number = number
        self.state = ConfigurationState()
        self.applied = 0
        self.replies: list[ApplyReply] = []
        self.lose_answers = 0
        self.hang_answers = 0
        self.on_hang = lambda: None
        self.lose_before_append = 0
        self.next_leader: int | None = None
        self.servers = ()
        self.hosts: tuple[HostStatus, ...] = ()

    async def propose(self, command: ApplyDeclaration) -> ApplyReply:
        self._require_leader()
        await asyncio.sleep(0)
        self._require_leader()
        if self.lose_before_append:
            self.lose_before_append -= 1
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "lost")
        self.log.append(command)
        place = len(self.log.entries)
        self._catch_up()
        if self.next_leader is not None:
            self.log.leader, self.next_leader = self.next_leader, None
        if self.hang_answers:
            self.hang_answers -= 1
            self.on_hang()
            await asyncio.Event().wait()
        if self.lose_answers:
            self.lose_answers -= 1
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "answer lost")
        return self.replies[place - 1]

    async def read_barrier(self) -> None:
        self._require_leader()
        await asyncio.sleep(0)
        self._catch_up()

    def status(self) -> ClusterStatus:
        revision = self.state.current.revision
        return ClusterStatus(revision, f"control-{self.number}", 1, self.hosts)

    def backend_servers(self):
        return self.servers

    def is_leader(self) -> bool:
        return self.log.leader == self.number

    def leader_hint(self) -> str:
        return self.log.addresses[self.log.leader]

    def restart_from_snapshot(self) -> None:
        """Replace the state by what a snapshot on disk holds."""
        self._catch_up()
        data = codec.encode(self.state.snapshot())
        self.state = ConfigurationState()
        self.state.restore(codec.decode(data))

    def _catch_up(self) -> None:
        while self.applied < len(self.log.entries):
            command = codec.decode(self.log.entries[self.applied])
            self.applied += 1
            self.replies.append(self.state.apply(self.applied, command))

    def _require_leader(self) -> None:
        if not self.is_leader():
            raise BulrushleadError(ResultCode.NOT_LEADER, "ask the leader")
