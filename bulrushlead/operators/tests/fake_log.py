"""In-memory replicated log that can lose replies and change its leader."""

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


class ManualClock:
    """Clock that advances only by the duration of each ``sleep_ms`` call.

    A slow machine therefore causes no timeout. ``trigger_timeout`` makes the current
    or else the next ``wait_for`` call time out.
    """

    def __init__(self):
        self.time_ms = 0.0
        self._timeout_event = asyncio.Event()

    def trigger_timeout(self) -> None:
        self._timeout_event.set()

    def now_ms(self) -> float:
        return self.time_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        self.time_ms += max(0.0, duration_ms)
        await asyncio.sleep(0)

    async def wait_for(self, awaitable, timeout_ms: float):
        task = asyncio.ensure_future(awaitable)
        timeout_wait = asyncio.ensure_future(self._timeout_event.wait())
        try:
            await asyncio.wait(
                {task, timeout_wait}, return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            self._timeout_event.clear()
            raise TimeoutError
        finally:
            task.cancel()
            timeout_wait.cancel()


class FakeLog:
    """Encoded committed commands and the number of the leading replica."""

    def __init__(self, replica_count: int = 3):
        self.entries: list[bytes] = []
        self.replicas = [FakeReplica(self, i) for i in range(replica_count)]
        self.leader = 0
        self.addresses = [""] * replica_count

    def append(self, command: ApplyDeclaration) -> None:
        self.entries.append(codec.encode(command))


class FakeReplica:
    """Replica of the log on one control host.

    ``n_lost_proposals`` commands are lost before they are appended. After an append,
    ``n_hanging_replies`` replies never arrive and ``n_lost_replies`` replies are
    replaced by an unknown outcome. ``next_leader`` becomes the leader after the next
    append.
    """

    def __init__(self, log: FakeLog, number: int):
        self.log = log
        self.number = number
        self.state = ConfigurationState()
        self.applied = 0
        self.replies: list[ApplyReply] = []
        self.n_lost_replies = 0
        self.n_hanging_replies = 0
        self.on_hang = lambda: None
        self.n_lost_proposals = 0
        self.next_leader: int | None = None
        self.servers = ()
        self.hosts: tuple[HostStatus, ...] = ()

    async def propose(self, command: ApplyDeclaration) -> ApplyReply:
        self._require_leader()
        await asyncio.sleep(0)
        self._require_leader()
        if self.n_lost_proposals:
            self.n_lost_proposals -= 1
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "lost")
        self.log.append(command)
        index = len(self.log.entries)
        self._apply_committed()
        if self.next_leader is not None:
            self.log.leader, self.next_leader = self.next_leader, None
        if self.n_hanging_replies:
            self.n_hanging_replies -= 1
            self.on_hang()
            await asyncio.Event().wait()
        if self.n_lost_replies:
            self.n_lost_replies -= 1
            raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "answer lost")
        return self.replies[index - 1]

    async def read_barrier(self) -> None:
        self._require_leader()
        await asyncio.sleep(0)
        self._apply_committed()

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
        """Replace the state by one decoded from its encoded snapshot."""
        self._apply_committed()
        data = codec.encode(self.state.snapshot())
        self.state = ConfigurationState()
        self.state.restore(codec.decode(data))

    def _apply_committed(self) -> None:
        while self.applied < len(self.log.entries):
            command = codec.decode(self.log.entries[self.applied])
            self.applied += 1
            self.replies.append(self.state.apply(self.applied, command))

    def _require_leader(self) -> None:
        if not self.is_leader():
            raise BulrushleadError(ResultCode.NOT_LEADER, "ask the leader")
