"""The replicated log as other slices use it."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from bulrushlead.clock import Clock
from bulrushlead.logs import Event
from bulrushlead.replication._applier import Applier
from bulrushlead.replication._election import Election
from bulrushlead.replication._follower import Follower
from bulrushlead.replication._interfaces import (
    LeadershipCallback,
    LinkFactory,
    StateMachine,
)
from bulrushlead.replication._joining import ID_BITS, Joining
from bulrushlead.replication._journal import Journal
from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._membership import Membership
from bulrushlead.replication._messages import (
    AppendRequest,
    EntryKind,
    JoinRequest,
    Member,
    SnapshotChunk,
    VoteRequest,
)
from bulrushlead.replication._replica import Replica
from bulrushlead.replication._settings import ReplicaSettings
from bulrushlead.replication._storage import Storage
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageServer

MAX_COMMAND_BYTES = 1024 * 1024
MAX_UNCOMMITTED_ENTRIES = 10_000


class ReplicatedLog:
    """A log of commands that a quorum of replicas keeps on its disks.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of this replica.
    clock : Clock
        Source of time.
    storage : Storage
        Data folder of this replica.
    links : callable
        Makes the link to an address; the log closes the links that it asked for.
    state_machine : StateMachine
        What the commands change.
    rng : random.Random
        Source of identities and of election times; seeded differently in each
        process.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        clock: Clock,
        storage: Storage,
        links: LinkFactory,
        state_machine: StateMachine,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.storage = storage
        self.links = links
        self.state_machine = state_machine
        self.rng = rng
        journal = Journal(storage, self._note_durable, self._note_failure)
        self._replica = Replica(settings, clock, journal, links, rng)
        self._applier = Applier(self._replica, state_machine)
        self._replica.on_commit = self._applier.wake
        self._replica.on_leadership_lost = self._applier.abandon_proposals
        self._election = Election(self._replica)
        self._follower = Follower(self._replica, self._applier)
        self._membership = Membership(self._replica, self._applier)
        self._joining = Joining(self._replica)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Read the data folder and take part in the cluster.

        Raises
        ------
        BulrushleadError
            ``STORAGE_DAMAGED`` if a file that was synced cannot be read,
            ``STORAGE_FAILED`` if the folder cannot be written.
        """
        replica = self._replica
        await replica.journal.start(f"{self.rng.getrandbits(ID_BITS):016x}")
        # A leader may still rely on what this replica acknowledged before it was
        # restarted, so it gives no vote for the shortest election time.
        replica.heard_ms = self.clock.now_ms()
        self._applier.load()
        replica.is_running = True
        parts = (self._applier, self._election, self._joining)
        for part in parts:
            self._tasks.append(asyncio.create_task(self._guard(part.run)))

    async def close(self) -> None:
        """Stop taking part; what was acknowledged is on the disk already."""
        self._replica.is_running = False
        self._replica.step_down("the replica is closing")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        await self._replica.journal.close()
        await self._replica.close_links()

    def register(self, server: MessageServer) -> None:
        """Answer the messages of the other replicas on a server."""
        server.handle(VoteRequest, self._election.answer)
        server.handle(AppendRequest, self._follower.answer_append)
        server.handle(SnapshotChunk, self._follower.answer_chunk)
        server.handle(JoinRequest, self._membership.answer_join)

    async def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Append a command and return what the state machine answered.

        Parameters
        ----------
        command : bytes
            Command of the state machine.
        timeout_ms : float
            Time allowed, in milliseconds.

        Returns
        -------
        bytes
            Result of ``apply`` on this replica, after a quorum has the command on
            its disks.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, ``NO_QUORUM``, ``STORAGE_FAILED`` or
            ``MESSAGE_TOO_LARGE`` if the command was not appended,
            ``CHANGE_OUTCOME_UNKNOWN`` if it may or may not be accepted.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise BulrushleadError(
                ResultCode.MESSAGE_TOO_LARGE,
                f"command of {len(command)} bytes; at most {MAX_COMMAND_BYTES} "
                "allowed, split the change",
            )
        leadership = self._membership.require_leadership()
        replica = self._replica
        waiting = replica.journal.last_index - replica.commit_index
        if waiting >= MAX_UNCOMMITTED_ENTRIES:
            raise BulrushleadError(
                ResultCode.NO_QUORUM,
                f"{waiting} changes wait for a quorum already; try again later",
            )
        entry = leadership.append(EntryKind.COMMAND, command)
        return await self._applier.wait_result(entry, timeout_ms)

    async def read_barrier(self, timeout_ms: float) -> int:
        """Wait until the state machine holds everything acknowledged so far.

        Parameters
        ----------
        timeout_ms : float
            Time allowed, in milliseconds.

        Returns
        -------
        int
            Index up to which the state machine is current; a read right after
            this call is linearizable.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` or ``NO_QUORUM``; nothing was read.
        """
        leadership = self._membership.require_leadership()
        index = self._replica.commit_index
        try:
            await self.clock.wait_for(self._confirm(leadership, index), timeout_ms)
        except TimeoutError as error:
            raise BulrushleadError(
                ResultCode.NO_QUORUM,
                f"entry {index} was not confirmed by a quorum within "
                f"{timeout_ms:.0f} ms; try again",
            ) from error
        return index

    async def _confirm(self, leadership: Leadership, index: int) -> None:
        await leadership.confirm()
        await self._applier.wait_applied(index)

    def is_leader(self) -> bool:
        """Return whether this replica answers as the leader now.

        True only while it holds the lease of a quorum on its own clock and has
        applied the first entry of its term.
        """
        leadership = self._replica.leadership
        return (
            leadership is not None
            and self._replica.journal.failure is None
            and leadership.announced
            and leadership.holds_lease()
        )

    def watch_leadership(self, callback: LeadershipCallback) -> None:
        """Call ``callback`` on gain (True) and loss (False) of leadership.

        Gain is told once the first entry of the new term is applied.
        """
        self._replica.watch_leadership(callback)

    async def add_learner(self, address: str, timeout_ms: float) -> str:
        """Add the running replica at an address, without a vote.

        Returns
        -------
        str
            Identity of the new learner, to be promoted later.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        return await self._membership.add_learner(address, timeout_ms)

    async def promote(self, replica_id: str, timeout_ms: float) -> None:
        """Give a learner that has caught up its vote.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        await self._membership.promote(replica_id, timeout_ms)

    async def remove_member(self, replica_id: str, timeout_ms: float) -> None:
        """Take a replica out of the set.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        await self._membership.remove(replica_id, timeout_ms)

    async def retire_silent_voter(self, timeout_ms: float) -> str | None:
        """Remove a voter that was silent for long; see ``Membership``."""
        return await self._membership.retire_silent_voter(timeout_ms)

    @property
    def term(self) -> int:
        """Highest term that this replica has seen."""
        return self._replica.term

    @property
    def leader_hint(self) -> str | None:
        """Address of the leader, or None if it was not heard from lately."""
        replica = self._replica
        if replica.leadership is None and not replica.heard_recently():
            return None
        return replica.leader_address

    @property
    def last_applied(self) -> int:
        """Index of the last entry in the state machine."""
        return self._replica.last_applied

    @property
    def replica_id(self) -> str:
        """Identity of this replica, made together with its data folder."""
        return self._replica.replica_id

    @property
    def cluster_id(self) -> str:
        """Identity of the cluster, or empty before the first contact."""
        return self._replica.cluster_id

    @property
    def members(self) -> tuple[Member, ...]:
        """Replicas that the log names, voters and learners."""
        return self._replica.journal.members.members

    @property
    def failure(self) -> BulrushleadError | None:
        """Why this replica has stopped acknowledging, or None."""
        return self._replica.journal.failure

    def _note_durable(self) -> None:
        if self._replica.leadership is not None:
            self._replica.leadership.advance_commit()

    def _note_failure(self) -> None:
        self._replica.step_down("the storage failed")

    async def _guard(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run one part; a fault in it stops this replica from acknowledging."""
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._replica.log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            self._replica.journal.stop(error)
