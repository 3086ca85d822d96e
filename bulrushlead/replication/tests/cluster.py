"""Test harness: a cluster of replicas on a manual clock and in-memory links."""

import asyncio
import random

import cbor2

from bulrushlead.clock import ManualClock
from bulrushlead.replication import (
    MemberRole,
    MemoryStorage,
    ReplicaSettings,
    ReplicatedLog,
)
from bulrushlead.results import BulrushleadError, ResultCode

SETTLE_ROUNDS = 4
MIN_STEP_MS = 0.001
CLOSE_MS = 100
HEARTBEAT_MS = 50
LEASE_MS = 250
ELECTION_MIN_MS = 300
ELECTION_MAX_MS = 600


class Recorder:
    """State machine that records every command and returns it as the result."""

    def __init__(self, observe=lambda index, command: None):
        self.observe = observe
        self.commands = []

    def apply(self, index, command):
        self.observe(index, command)
        self.commands.append(command)
        return command

    def snapshot(self):
        return cbor2.dumps(self.commands)

    def restore(self, data):
        self.commands = cbor2.loads(data)


class DriftingClock:
    """Clock of one host, with an offset and a rate that differs from the real one."""

    def __init__(self, clock, rate, offset_ms):
        self.clock, self.rate, self.offset_ms = clock, rate, offset_ms

    def now_ms(self):
        return self.clock.now_ms() * self.rate + self.offset_ms

    async def sleep_ms(self, duration_ms):
        await self.clock.sleep_ms(duration_ms / self.rate)

    async def wait_for(self, awaitable, timeout_ms):
        return await self.clock.wait_for(awaitable, timeout_ms / self.rate)


class Network:
    """Fake network that blocks, drops, duplicates and delays messages."""

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.blocked = set()  # (source, target) pairs that lose every message
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.delay_ms = (1, 1)
        self.on_message = lambda source, target, message: None

    def block(self, address, others):
        for other in others:
            self.blocked |= {(address, other), (other, address)}

    def loses(self, source, target):
        return (source, target) in self.blocked or self.rng.random() < self.drop_share

    async def delay(self):
        await self.clock.sleep_ms(self.rng.uniform(*self.delay_ms))


class Link:
    """Link to a node; a message in transit arrives even if its call has timed out."""

    def __init__(self, cluster, source, target):
        self.cluster, self.source, self.target = cluster, source, target

    async def call(self, request, timeout_ms):
        network = self.cluster.network
        future = asyncio.get_running_loop().create_future()
        copies = 2 if network.rng.random() < network.duplicate_share else 1
        for _ in range(copies):
            self.cluster.spawn(self._deliver(request, future))
        try:
            reply = await network.clock.wait_for(future, timeout_ms)
        except TimeoutError as error:
            raise BulrushleadError(ResultCode.PEER_TIMEOUT, "lost") from error
        if isinstance(reply, BulrushleadError):
            raise reply
        return reply

    async def _deliver(self, request, future):
        network = self.cluster.network
        await network.delay()
        node = self.cluster.nodes.get(self.target)
        if node is None or network.loses(self.source, self.target) or not node.alive:
            return
        network.on_message(self.source, self.target, request)
        if not node.alive:
            return
        answer = asyncio.create_task(node.handlers[type(request)](request))
        node.answers.add(answer)
        try:
            reply = await answer
        except BulrushleadError as error:
            reply = error
        finally:
            node.answers.discard(answer)
        await network.delay()
        if not network.loses(self.target, self.source) and not future.done():
            future.set_result(reply)

    async def close(self):
        pass


class Node:
    """One host with its disk and its replica."""

    def __init__(self, cluster, address):
        self.cluster, self.address = cluster, address
        self.clock = cluster.clock
        self.storage = MemoryStorage()
        self.log = self.machine = None
        self.alive = False
        self.handlers = {}
        self.answers = set()
        self.stored_ids = set()  # identity on disk, if any
        self.members = ()  # before the last crash

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    async def start(self, listen_first=False, **changes):
        cluster = self.cluster
        peers = [a for a in cluster.nodes if a != self.address]
        values = cluster.settings | {"peers": peers, "bootstrap": True} | changes
        self.machine = Recorder(cluster.observe_apply)
        self.log = ReplicatedLog(
            ReplicaSettings(self.address, **values),
            self.clock,
            self.storage,
            lambda target: Link(cluster, self.address, target),
            self.machine,
            random.Random(cluster.rng.getrandbits(64)),
        )
        self.handlers = {}
        self.log.register(self)
        self.alive = listen_first
        await self.log.start()
        self.stored_ids = {self.log.replica_id}
        self.alive = True

    def crash(self, rng=None):
        """Simulate a power failure: calls are cancelled, unsynced bytes are lost."""
        if self.log is None:
            return
        if self.alive:
            self.members = self.log.members
        self.alive = False
        self.storage = self.storage.crash(rng)
        for answer in self.answers:
            answer.cancel()
        self.answers = set()
        self.cluster.spawn(self.log.close())
        self.log = None

    def wipe(self):
        """Crash, and replace the disk by an empty one."""
        self.crash()
        kind = type(self.storage)
        self.storage = kind(self.storage.before_step, self.storage.before_run)
        self.stored_ids = set()
        self.members = ()

    def known_voter_ids(self):
        """Return the identities of the voters in this node's log."""
        members = self.log.members if self.alive else self.members
        return [m.replica_id for m in members if m.role is MemberRole.VOTER]


class Cluster:
    """Nodes with a common clock and network."""

    def __init__(self, size=3, seed=0, **settings):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.network = Network(self.clock, self.rng)
        self.settings = {
            "heartbeat_ms": HEARTBEAT_MS,
            "lease_ms": LEASE_MS,
            "election_min_ms": ELECTION_MIN_MS,
            "election_max_ms": ELECTION_MAX_MS,
            "call_timeout_ms": 100,
        } | settings
        addresses = [f"10.0.0.{number}:7000" for number in range(1, size + 1)]
        self.nodes = {address: Node(self, address) for address in addresses}
        self.applied = {}
        self.tasks = set()

    def observe_apply(self, index, command):
        previous = self.applied.setdefault(index, command)
        assert previous == command, f"entry {index} was {previous}, now {command}"

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self):
        for node in self.nodes.values():
            await self.result(node.start())
        return await self.wait_leader()

    async def close(self):
        for node in self.nodes.values():
            node.crash()
        await self.run_for(CLOSE_MS)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    @property
    def alive(self):
        return [node for node in self.nodes.values() if node.alive]

    @property
    def leaders(self):
        return [node for node in self.alive if node.log.is_leader()]

    def others(self, node):
        return [other for other in self.nodes.values() if other is not node]

    def isolate(self, node):
        self.network.block(node.address, [n.address for n in self.others(node)])

    async def step(self):
        """Advance the clock to the next due timer."""
        due_ms = self.clock.next_due_ms()
        step_ms = 1.0 if due_ms is None else due_ms - self.clock.now_ms()
        await self.clock.advance_ms(max(MIN_STEP_MS, step_ms), SETTLE_ROUNDS)

    async def run_for(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            await self.step()

    async def run_until(self, condition, limit_ms=20_000):
        end_ms = self.clock.now_ms() + limit_ms
        while not condition():
            assert self.clock.now_ms() < end_ms, f"not within {limit_ms} ms"
            await self.step()

    async def result(self, work, limit_ms=20_000):
        task = self.spawn(work)
        await self.run_until(task.done, limit_ms)
        return task.result()

    async def wait_leader(self, among=None):
        def found():
            return [n for n in self.leaders if among is None or n in among]

        await self.run_until(found)
        return found()[0]

    async def propose(self, command, among=None):
        """Propose until the command is accepted; return the accepting leader."""
        while True:
            leader = await self.wait_leader(among)
            try:
                await self.result(leader.log.propose(command, 1000))
                return leader
            except BulrushleadError:
                await self.step()

    async def wait_converged(self):
        """Wait until all nodes are voters with equal members and applied index."""

        def has_converged():
            if len(self.alive) < len(self.nodes) or not self.leaders:
                return False
            log = self.leaders[0].log
            wanted = {(n.log.replica_id, a) for a, n in self.nodes.items()}
            found = {(m.replica_id, m.address) for m in log.members}
            roles = {m.role.value for m in log.members}
            return (
                wanted == found
                and roles == {"voter"}
                and len({n.log.last_applied for n in self.alive}) == 1
                and all(n.log.members == log.members for n in self.alive)
            )

        await self.run_until(has_converged)


class DiskGate:
    """Blocks every disk operation of nodes until it is opened."""

    def __init__(self, cluster, *nodes):
        self.cluster, self.is_open = cluster, False
        for node in nodes:
            node.storage.before_run = self.wait

    async def wait(self):
        while not self.is_open:
            await self.cluster.clock.sleep_ms(1)
