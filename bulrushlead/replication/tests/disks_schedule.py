"""Seeded random schedules of disks that are full one after the other."""

from bulrushlead.replication.tests.limited_storage import LimitedStorage
from bulrushlead.replication.tests.schedule import Schedule
from bulrushlead.results import BulrushleadError

EPISODES = 12
RETRY_MS = 750  # between two attempts to open a log
RETIRE_TIMEOUT_MS = 500
ACCEPT_MS = 4_000  # of a change, once every disk has room
REFUSED_STEPS = ("", "", "sync", "rename", "sync_folder", "remove")


class DisksSchedule(Schedule):
    """Run of a cluster whose disks are full in turn, never two at once.

    Processes run on meanwhile and open a log that failed again, as those of the
    programs do. Between the full disks a replica may lose its power, its disk or its
    connections, but then the next disk fills only once all replicas are voters again.
    """

    sizes = (3, 4, 5, 5)

    def __init__(self, seed):
        super().__init__(
            seed, admit_newcomers=True, retire_silent_ms=2_500, replace_silent_ms=700
        )
        self.fault_share = 0.0
        self.is_closing = False

    def prepare(self, node):
        super().prepare(node)
        storage = LimitedStorage()
        storage.before_run = node.storage.before_run
        node.storage = storage

    async def run(self):
        cluster = self.cluster
        await cluster.start()
        await cluster.wait_converged()
        cluster.network.delay_ms = (1, self.rng.choice((2, 10, 40)))
        for node in self.nodes:
            cluster.spawn(self.keep_open(node))
        cluster.spawn(self.retire())
        for _ in range(EPISODES):
            await self.fill_one_disk()
            if self.rng.random() < 0.3:
                await self.lose_one()
        await self.check_accepting()
        self.is_closing = True
        self.lose_disk_and_power()
        await self.heal_and_check()
        for node in self.nodes:
            names = node.storage.list_names()
            self.check_that(len(names) <= 2, f"files are left behind: {names}")

    async def keep_open(self, node):
        while not self.is_closing:
            await self.cluster.clock.sleep_ms(RETRY_MS)
            log = node.log
            if log is None or log.is_open or not node.alive:
                continue
            await log.close()
            if node.log is not log:
                continue  # it lost its power meanwhile
            try:
                await node.start(listen_first=True)
            except BulrushleadError:
                continue

    async def retire(self):
        while not self.is_closing:
            await self.cluster.clock.sleep_ms(250)
            for node in self.cluster.leaders:
                try:
                    await node.log.retire_silent_voter(RETIRE_TIMEOUT_MS)
                    await node.log.remove_silent_learner(RETIRE_TIMEOUT_MS)
                except BulrushleadError:
                    continue

    async def fill_one_disk(self):
        leaders = self.cluster.leaders or self.nodes
        node = self.rng.choice(leaders if self.rng.random() < 0.5 else self.nodes)
        storage = node.storage
        storage.refused_step = self.rng.choice(REFUSED_STEPS)
        storage.room_bytes = storage.used_bytes + self.rng.choice((0, 40, 300, 3_000))
        await self.change_for(self.rng.choice((500, 2_000, 4_000)))
        storage.room_bytes = None
        await self.change_for(self.rng.choice((0, 200, 1_000, 3_000)))

    async def change_for(self, duration_ms):
        end_ms = self.cluster.clock.now_ms() + duration_ms
        while self.cluster.clock.now_ms() < end_ms:
            await self.propose()
            await self.read()
            await self.run_checked(self.rng.uniform(20, 300))

    async def lose_one(self):
        await self.check_accepting()
        await self.cluster.wait_converged()
        node = self.rng.choice(self.nodes)
        match self.rng.choice(("power", "disk", "cut")):
            case "power":
                node.crash(self.rng)
            case "disk":
                node.wipe()
            case "cut":
                self.cluster.isolate(node)
        await self.change_for(self.rng.choice((300, 1_500)))
        self.cluster.network.blocked.clear()
        if node.log is None:
            await self.cluster.result(node.start())
        await self.cluster.wait_converged()

    def lose_disk_and_power(self):
        """Lose one disk and the power of all others, just after an accepted change."""
        lost = self.rng.choice(self.nodes)
        if self.may_wipe(lost):
            lost.wipe()
        for node in self.nodes:
            node.crash(self.rng)

    async def check_accepting(self):
        """Check that a change is accepted soon after every disk has room."""
        try:
            await self.cluster.result(self.send(), ACCEPT_MS)
        except AssertionError as error:
            raise AssertionError(
                "no change is accepted with all disks sound"
            ) from error

    async def send(self):
        while True:
            self.proposed += 1
            change = b"change %d" % self.proposed
            for node in self.cluster.leaders:
                await self.propose_to(node.log, change)
            if change in self.accepted:
                return
            await self.cluster.clock.sleep_ms(50)
