"""Seeded random schedules in which hosts are replaced at new addresses."""

from bulrushlead.replication.tests.cluster import Node
from bulrushlead.replication.tests.schedule import Schedule
from bulrushlead.results import BulrushleadError

N_SEEDS = 3  # addresses of other replicas that the settings of a replica name
RETIRE_TIMEOUT_MS = 500


class TurnoverSchedule(Schedule):
    """Run of a cluster that admits newcomers and retires silent voters.

    Settings name few replicas, as on the platform: a replica may know none that leads.
    """

    sizes = (4, 5, 5, 7)
    faults_ms = 6_000

    def __init__(self, seed):
        super().__init__(
            seed, admit_newcomers=True, retire_silent_ms=1_500, replace_silent_ms=700
        )
        self.tolerated_losses = (len(self.nodes) - 1) // 3
        self.cluster.settings["min_voters"] = 2 * self.tolerated_losses + 1
        self.next_number = len(self.nodes) + 1

    def may_wipe(self, node):
        """Return whether no more disks are lost at once than the settings tolerate.

        A lost disk counts until its identity has left each set of voters.
        """
        stored_ids = set().union(*(n.stored_ids for n in self.nodes if n is not node))
        return super().may_wipe(node) and all(
            sum(voter not in stored_ids for voter in n.known_voter_ids())
            <= self.tolerated_losses
            for n in self.nodes
        )

    def actions(self):
        return [*super().actions(), (self.replace, 1), (self.retire, 8)]

    async def replace(self):
        """End a host for good, and start an empty one at another address."""
        node = self.rng.choice(self.nodes)
        if not self.may_wipe(node):
            return
        node.wipe()
        self.cluster.isolate(node)
        self.nodes.remove(node)
        del self.cluster.nodes[node.address]
        await self.run_checked(self.rng.uniform(0, 300))
        address = f"10.0.0.{self.next_number}:7000"
        self.next_number += 1
        successor = self.cluster.nodes[address] = Node(self.cluster, address)
        self.prepare(successor)
        self.nodes.append(successor)
        await self.start(successor)

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
