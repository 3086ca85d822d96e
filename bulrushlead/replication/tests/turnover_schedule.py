"""Seeded random schedules in which hosts are replaced at new addresses."""

import itertools

from bulrushlead.replication.tests.cluster import Node
from bulrushlead.replication.tests.schedule import Schedule
from bulrushlead.results import BulrushleadError

N_SEEDS = 3  # addresses of other replicas that the settings of a replica name
RETIRE_TIMEOUT_MS = 500
CATCH_UP_MS = 4_000  # after which a host that returned counts as recovered
EPISODES = 3


class TurnoverSchedule(Schedule):
    """Run of a cluster that admits newcomers and retires silent voters.

    Each episode has random cuts and crashes, a time in which all hosts recover, and
    the loss of as many disks at once as the settings tolerate. Settings name few
    replicas, as on the platform: a replica may know none that leads.
    """

    sizes = (4, 5, 5, 7)

    def __init__(self, seed):
        super().__init__(
            seed, admit_newcomers=True, retire_silent_ms=1_500, replace_silent_ms=700
        )
        self.tolerated_losses = (len(self.nodes) - 1) // 3
        self.cluster.settings["min_voters"] = 2 * self.tolerated_losses + 1
        self.next_number = len(self.nodes) + 1

    async def run(self):
        cluster = self.cluster
        await cluster.start()
        await cluster.wait_converged()
        self.degrade_network()
        for _ in range(EPISODES):
            self.power_losses = True
            await self.run_faults()
            self.power_losses = False
            await self.recover()
            await self.lose_disks()
        await self.heal_and_check()

    def check(self):
        super().check()
        for node in self.cluster.alive:
            self.check_members(node.log._replica)

    def check_members(self, replica):
        """Check that sets follow each other by steps whose quorums always meet."""
        history = replica.journal._member_history._history
        for before, after in itertools.pairwise(history):
            old = {voter.replica_id for voter in before.members.voters()}
            new = {voter.replica_id for voter in after.members.voters()}
            if not old:
                continue  # the first set
            entry = f"entry {after.index}"
            self.check_that(len(old ^ new) <= 1, f"{entry} changes several voters")
            members = {member.replica_id for member in before.members.members}
            self.check_that(new <= members, f"{entry} adds a voter that was no learner")
        if replica.leadership is None:
            return
        # A new leader may not know yet that the changes of others are committed.
        pending = [v.index for v in history if v.index > replica.commit_index]
        if pending and replica.journal.term_at(pending[-1]) == replica.term:
            self.check_that(len(pending) == 1, f"changes {pending} are pending at once")

    async def run_faults(self):
        clock = self.cluster.clock
        end_ms = clock.now_ms() + self.rng.choice((300, 1_000, 4_000))
        while clock.now_ms() < end_ms:
            await self.run_random_action()
            await self.run_checked(self.rng.uniform(1, 60))

    def actions(self):
        kept = [a for a in super().actions() if a[0] != self.wipe]
        return [*kept, (self.split, 2), (self.retire, 8)]

    async def split(self):
        """Cut the hosts in two, in the place of all other cuts."""
        network = self.cluster.network
        network.blocked.clear()
        part = self.rng.sample(self.nodes, self.rng.randrange(len(self.nodes)))
        others = [n.address for n in self.nodes if n not in part]
        for node in part:
            network.block(node.address, others)

    async def recover(self):
        self.heal_network()
        for node in self.nodes:
            if not node.alive or node.log.failure:
                await self.start(node)
        end_ms = self.cluster.clock.now_ms() + CATCH_UP_MS
        while self.cluster.clock.now_ms() < end_ms:
            await self.retire()
            await self.propose()
            await self.run_checked(100)

    async def lose_disks(self):
        """Lose disks at once, of hosts that return and of hosts that are replaced.

        Changes are accepted until then, while links fail.
        """
        self.degrade_network()
        end_ms = self.cluster.clock.now_ms() + self.rng.uniform(50, 500)
        while self.cluster.clock.now_ms() < end_ms:
            action = self.rng.choice((self.propose, self.propose, self.partition))
            await action()
            await self.run_checked(self.rng.uniform(1, 30))
        lost = self.rng.sample(self.nodes, self.tolerated_losses)
        for node in lost:
            node.wipe()
        await self.run_checked(self.rng.uniform(0, 1_000))
        for node in lost:
            if self.rng.random() < 0.5:
                node = self.replace(node)
            await self.start(node)

    def replace(self, node):
        """End a host for good, and return an empty one at another address."""
        self.nodes.remove(node)
        del self.cluster.nodes[node.address]
        return self.add_node()

    def add_node(self):
        """Return an empty host at a new address."""
        address = f"10.0.0.{self.next_number}:7000"
        self.next_number += 1
        successor = self.cluster.nodes[address] = Node(self.cluster, address)
        self.prepare(successor)
        self.nodes.append(successor)
        return successor

    async def retire(self):
        for leader in self.cluster.leaders:
            self.cluster.spawn(self.retire_by(leader.log))

    async def retire_by(self, log):
        try:
            await log.retire_silent_voter(RETIRE_TIMEOUT_MS)
            await log.remove_silent_learner(RETIRE_TIMEOUT_MS)
        except BulrushleadError:
            return

    async def start(self, node):
        node.crash(self.rng)
        others = [n.address for n in self.nodes if n is not node]
        seeds = self.rng.sample(others, min(N_SEEDS, len(others)))
        try:
            await self.cluster.result(node.start(peers=seeds, bootstrap=False))
        except BulrushleadError:
            node.crash(self.rng)

    async def heal_and_check(self):
        retiring = self.cluster.spawn(self.keep_retiring())
        try:
            await super().heal_and_check()
        finally:
            retiring.cancel()

    async def keep_retiring(self):
        while True:
            await self.retire()
            await self.cluster.clock.sleep_ms(250)
