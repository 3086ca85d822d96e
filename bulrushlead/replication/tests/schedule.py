"""Seeded random schedules of faults, with safety checks after every step."""

import random

from bulrushlead.replication.tests.cluster import Cluster, DriftingClock
from bulrushlead.results import BulrushleadError

FAULTS_MS = 3_000
MAX_DRIFT = 0.05  # as a share of the real clock rate
SIZES = (3, 3, 3, 5)


class Schedule:
    """Run of a cluster under random faults."""

    sizes = SIZES
    faults_ms = FAULTS_MS

    def __init__(self, seed, **settings):
        self.rng = random.Random(seed)
        self.cluster = Cluster(
            self.rng.choice(self.sizes),
            seed,
            snapshot_threshold_entries=self.rng.choice((5, 20, 100)),
            snapshot_trailing_entries=self.rng.choice((0, 2, 10)),
            snapshot_chunk_bytes=1024,
            **settings,
        )
        self.nodes = list(self.cluster.nodes.values())
        for node in self.nodes:
            self.prepare(node)
        self.fault_share = self.rng.choice((0.0, 0.002, 0.02))
        self.power_losses = False
        self.term_leaders = {}
        self.entries = {}
        self.accepted = []
        self.proposed = 0

    def prepare(self, node):
        rate = 1 + self.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        offset_ms = self.rng.uniform(0, 10_000)
        node.clock = DriftingClock(self.cluster.clock, rate, offset_ms)
        node.storage.before_run = self.wait_for_disk
        node.storage.before_step = self.power_loss_hook(node)

    async def run(self):
        cluster = self.cluster
        await cluster.start()
        await cluster.wait_converged()
        self.power_losses = True
        self.degrade_network()
        end_ms = cluster.clock.now_ms() + self.faults_ms
        while cluster.clock.now_ms() < end_ms:
            await self.run_random_action()
            await self.run_checked(self.rng.uniform(1, 60))
        self.power_losses = False
        await self.heal_and_check()

    async def run_checked(self, duration_ms):
        clock = self.cluster.clock
        end_ms = clock.now_ms() + duration_ms
        while clock.now_ms() < end_ms:
            await self.cluster.step()
            self.check()

    def degrade_network(self):
        network = self.cluster.network
        network.drop_share = self.rng.choice((0.0, 0.02, 0.1))
        network.duplicate_share = self.rng.choice((0.0, 0.1))
        network.delay_ms = (1, self.rng.choice((2, 10, 60)))

    async def wait_for_disk(self):
        if self.rng.random() < 0.3:
            await self.cluster.clock.sleep_ms(self.rng.uniform(0, 10))

    def power_loss_hook(self, node):
        def lose_power(step, name):
            if self.power_losses and self.rng.random() < self.fault_share:
                raise OSError(f"power lost before {step} {name}")

        return lose_power

    def actions(self):
        return [
            (self.propose, 10),
            (self.read, 4),
            (self.partition, 2),
            (self.heal_partition, 4),
            (self.crash, 1),
            (self.wipe, 1),
            (self.restart, 6),
        ]

    async def run_random_action(self):
        actions = self.actions()
        weights = [weight for _, weight in actions]
        (action, _) = self.rng.choices(actions, weights)[0]
        await action()

    async def propose(self):
        for _ in range(self.rng.choice((1, 1, 5))):
            node = self.rng.choice(self.cluster.leaders or self.cluster.alive or [None])
            if node is not None:
                self.proposed += 1
                change = b"change %d" % self.proposed
                self.cluster.spawn(self.propose_to(node.log, change))

    async def propose_to(self, log, change):
        try:
            await log.propose(change, 500)
        except BulrushleadError:
            return
        self.accepted.append(change)

    async def read(self):
        for node in self.cluster.alive:
            self.cluster.spawn(self.read_from(node.log, node.machine))

    async def read_from(self, log, machine):
        accepted = list(self.accepted)
        try:
            await log.read_barrier(200)
        except BulrushleadError:
            return
        missing = set(accepted) - set(machine.commands)
        self.check_that(not missing, f"a linearizable read misses {missing}")

    async def partition(self):
        network = self.cluster.network
        node = self.rng.choice(self.nodes)
        if self.rng.random() < 0.4:
            self.cluster.isolate(node)
        else:
            other = self.rng.choice(self.cluster.others(node))
            network.blocked.add((node.address, other.address))

    async def heal_partition(self):
        self.cluster.network.blocked.clear()

    async def crash(self):
        self.rng.choice(self.nodes).crash(self.rng)

    async def wipe(self):
        node = self.rng.choice(self.nodes)
        if self.may_wipe(node):
            node.wipe()

    def may_wipe(self, node):
        """Return whether each set of voters has a quorum of disks without this node."""
        stored_ids = set().union(*(n.stored_ids for n in self.nodes if n is not node))
        views = [n.known_voter_ids() for n in self.nodes]
        return all(
            sum(voter in stored_ids for voter in voters) > len(voters) // 2
            for voters in views
            if voters
        )

    async def restart(self):
        down = [n for n in self.nodes if not n.alive or n.log.failure]
        if down:
            await self.start(self.rng.choice(down))

    async def start(self, node):
        node.crash(self.rng)
        try:
            await self.cluster.result(node.start())
        except BulrushleadError:
            node.crash(self.rng)

    def heal_network(self):
        network = self.cluster.network
        network.blocked.clear()
        network.drop_share = network.duplicate_share = 0.0
        network.delay_ms = (1, 2)

    async def heal_and_check(self):
        self.heal_network()
        for node in self.nodes:
            if not node.alive or node.log.failure:
                await self.start(node)
        await self.cluster.propose(b"last")
        await self.cluster.wait_converged()
        self.check()
        final = self.nodes[0].machine.commands
        for node in self.nodes:
            self.check_that(node.machine.commands == final, "states differ")
        final = [change for change in final if change != b"last"]
        self.check_that(len(set(final)) == len(final), "a change was applied twice")
        missing = set(self.accepted) - set(final)
        self.check_that(not missing, f"accepted changes were lost: {missing}")

    def check(self):
        leaders = self.cluster.leaders
        self.check_that(len(leaders) <= 1, "two leaders hold a lease at once")
        for node in self.cluster.alive:
            replica = node.log._replica
            if replica.leadership is not None:
                previous = self.term_leaders.setdefault(
                    replica.leadership.term, replica.replica_id
                )
                self.check_that(
                    previous == replica.replica_id, "two leaders in one term"
                )
            self.check_entries(replica.journal)

    def check_entries(self, journal):
        """Check the log matching property on the last entries.

        Logs with the same entry at an index have the same term before it.
        """
        for entry in journal._entries[-4:]:
            previous_term = journal.term_at(entry.index - 1)
            found = (entry, previous_term)
            previous = self.entries.setdefault((entry.index, entry.term), found)
            if previous != found:
                raise AssertionError(f"logs differ: {previous} and {found}")

    def check_that(self, condition, failure):
        assert condition, failure
