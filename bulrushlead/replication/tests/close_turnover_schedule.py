"""Seeded schedules in which disks are lost as soon as the last loss is recovered."""

import contextlib

from bulrushlead.replication.tests.turnover_schedule import (
    CATCH_UP_MS,
    TurnoverSchedule,
)
from bulrushlead.results import BulrushleadError

STEP_MS = 100
MIN_LOSSES, MAX_LOSSES = 3, 6
MAX_DOWN_MS = 2_000
MAX_LEADERLESS_MS = 4_000
COORDINATOR_SETTINGS = {
    "heartbeat_ms": 100,
    "lease_ms": 400,
    "election_min_ms": 450,
    "election_max_ms": 750,
    "call_timeout_ms": 300,
    "replace_silent_ms": 2_000,
    "retire_silent_ms": 10_000,
}


class CloseTurnoverSchedule(TurnoverSchedule):
    """Run of losses that follow each other at the shortest distance allowed.

    As many disks as the settings tolerate are lost at once: hosts are replaced at new
    addresses, some with the new host first, or return without their disk. The next
    loss comes ``CATCH_UP_MS`` after the empty replicas have started. Meanwhile all
    others may lose power right after an accepted change, or the hosts be split in two:
    the next loss then comes ``CATCH_UP_MS`` after they are joined again. The times are
    those of the coordinator.
    """

    sizes = (4, 5, 5, 5, 7)

    def __init__(self, seed):
        super().__init__(seed)
        self.cluster.settings |= COORDINATOR_SETTINGS
        self.led_ms = 0.0
        self.split_until_ms = -1.0

    async def run(self):
        cluster = self.cluster
        await cluster.start()
        await cluster.wait_converged()
        cluster.network.delay_ms = (1, self.rng.choice((2, 20, 40)))
        for _ in range(self.rng.randint(MIN_LOSSES, MAX_LOSSES)):
            disturbance = self.rng.choice((None, None, self.lose_power, self.halve))
            await self.lose_hosts(disturbance)
            while self.split_until_ms >= 0:
                await self.live(STEP_MS)
            await self.live(CATCH_UP_MS)
        await self.lose_hosts(self.lose_power)
        await self.heal_and_check()

    async def lose_hosts(self, disturbance):
        """Lose disks right after an accepted change, and start empty replicas."""
        lost = self.choose_lost()
        planned = [self.add_node() for _ in lost if self.rng.random() < 0.25]
        for node in planned:
            await self.start(node)
        if planned:
            await self.live(self.rng.uniform(0, CATCH_UP_MS))
        await self.wait_accepted()
        for number, node in enumerate(lost):
            if number < len(planned):
                await self.leave(node)
                self.end(node)
            else:
                node.wipe()
        if disturbance is not None:
            await disturbance(lost)
        await self.live(self.rng.uniform(0, MAX_DOWN_MS))
        for node in lost[len(planned) :]:
            if self.rng.random() < 0.6:
                self.end(node)
                node = self.add_node()
            await self.start(node)

    def choose_lost(self):
        count = self.rng.randint(1, self.tolerated_losses)
        leaders = [node for node in self.cluster.leaders if node in self.nodes]
        ordered = self.rng.choice((self.nodes, self.nodes[::-1]))
        if self.rng.random() < 0.5:
            ordered = self.rng.sample(self.nodes, len(self.nodes))
        if leaders and self.rng.random() < 0.5:
            ordered = [leaders[0], *[n for n in ordered if n is not leaders[0]]]
        return list(ordered[:count])

    def end(self, node):
        """End a host for good."""
        node.crash(self.rng)
        self.nodes.remove(node)
        del self.cluster.nodes[node.address]

    async def leave(self, node):
        """Start a planned stop, which may end before it is answered."""
        if node.alive:
            self.cluster.spawn(self.leave_by(node.log))
            await self.run_checked(self.rng.uniform(0, 300))

    async def leave_by(self, log):
        with contextlib.suppress(BulrushleadError):
            await log.leave(300)

    async def wait_accepted(self):
        """Wait briefly for an accepted change, which the next loss must not undo."""
        accepted = len(self.accepted)
        end_ms = self.cluster.clock.now_ms() + 1_000
        while len(self.accepted) == accepted and self.cluster.clock.now_ms() < end_ms:
            await self.propose()
            await self.run_checked(20)

    async def lose_power(self, lost):
        """Cut the power of all hosts that keep their disks, and bring them back."""
        others = [node for node in self.nodes if node not in lost]
        for node in others:
            node.crash(self.rng)
        await self.run_checked(self.rng.uniform(0, 1_500))
        for node in self.rng.sample(others, len(others)):
            await self.start(node)
            await self.run_checked(self.rng.uniform(0, 300))
        self.led_ms = self.cluster.clock.now_ms()

    async def halve(self, lost):
        """Split the hosts in two halves for some seconds."""
        await self.split()
        self.split_until_ms = self.cluster.clock.now_ms() + self.rng.uniform(500, 6_000)

    async def live(self, duration_ms):
        """Change and retire as the coordinator does, and check that somebody leads."""
        clock = self.cluster.clock
        end_ms = clock.now_ms() + duration_ms
        while clock.now_ms() < end_ms:
            await self.retire()
            await self.propose()
            await self.run_checked(STEP_MS)
            self.end_split()
            self.check_led()

    def end_split(self):
        if 0 <= self.split_until_ms < self.cluster.clock.now_ms():
            self.cluster.network.blocked.clear()
            self.split_until_ms = -1.0

    def check_led(self):
        now_ms = self.cluster.clock.now_ms()
        n_down = sum(not node.alive for node in self.nodes)
        is_calm = self.split_until_ms < 0 and n_down <= self.tolerated_losses
        if self.cluster.leaders or not is_calm:
            self.led_ms = now_ms
        self.check_that(
            now_ms - self.led_ms < MAX_LEADERLESS_MS,
            f"nobody leads for {MAX_LEADERLESS_MS} ms though hosts run",
        )
