"""Public interface of the replicated log."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from bulrushlead.clock import Clock
from bulrushlead.logs import Event
from bulrushlead.replication._admission import Admission
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
    """A log of commands that is durable on a quorum of replicas.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of this replica.
    clock : Clock
        Source of time.
    storage : Storage
        Data folder of this replica.
    link_factory : callable
        Creates the link to an address. The log closes these links.
    state_machine : StateMachine
        State machine that the commands are applied to.
    rng : random.Random
        Source of identities and election timeouts; each process needs a
        different seed.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        clock: Clock,
        storage: Storage,
        link_factory: LinkFactory,
        state_machine: StateMachine,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.storage = storage
        self.link_factory = link_factory
        self.state_machine = state_machine
        self.rng = rng
        journal = Journal(storage, self._on_durable, self._on_storage_failure)
        self._replica = Replica(settings, clock, journal, link_factory, rng)
        self._applier = Applier(self._replica, state_machine)
        self._replica.on_commit = self._applier.wake
        self._replica.on_leadership_lost = self._applier.abandon_proposals
        self._election = Election(self._replica)
        self._follower = Follower(self._replica, self._applier)
        self._membership = Membership(self._replica, self._applier)
        self._admission = Admission(self._replica, self._membership)
        self._joining = Joining(self._replica)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Load the data folder and start the tasks of this replica.

        Raises
        ------
        BulrushleadError
            ``STORAGE_DAMAGED`` if a file that was synced cannot be read,
            ``STORAGE_FAILED`` if the folder cannot be written.
        """
        replica = self._replica
        await replica.journal.start(
            f"{self.rng.getrandbits(ID_BITS):016x}", replica.settings.bootstrap
        )
        # Before a restart this replica may have acknowledged a leader whose lease is
        # still valid, so it grants no vote for the shortest election timeout.
        replica.last_contact_ms = self.clock.now_ms()
        self._applier.load_snapshot()
        replica.is_running = True
        components = (self._applier, self._election, self._joining)
        for component in components:
            self._tasks.append(asyncio.create_task(self._run_component(component.run)))

    async def close(self) -> None:
        """Stop this replica; acknowledged changes are on disk already."""
        self._replica.is_running = False
        self._replica.step_down("the replica is closing")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        await self._replica.journal.close()
        await self._replica.close_links()

    def register(self, server: MessageServer) -> None:
        """Register the handlers for messages of other replicas on a server."""
        server.register_handler(VoteRequest, self._election.answer_vote)
        server.register_handler(AppendRequest, self._follower.answer_append)
        server.register_handler(SnapshotChunk, self._follower.answer_chunk)
        server.register_handler(JoinRequest, self._admission.answer_join)

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Set the addresses that reloaded settings name to join the cluster.

        The peers of the settings at the start are asked too. A member needs neither,
        and who may form a new cluster does not change.

        Parameters
        ----------
        addresses : iterable of str
            Addresses of other replicas; the own one and invalid ones are ignored.
        """
        self._joining.set_seeds(addresses)

    async def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Append a command and return the result of the state machine.

        Parameters
        ----------
        command : bytes
            Command of the state machine.
        timeout_ms : float
            Time allowed, in milliseconds.

        Returns
        -------
        bytes
            Result of ``apply`` on this replica, once the command is on the disks
            of a quorum.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, ``NO_QUORUM``, ``STORAGE_FAILED`` or
            ``MESSAGE_TOO_LARGE`` if the command was not appended,
            ``CHANGE_OUTCOME_UNKNOWN`` if it may or may not be committed.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise BulrushleadError(
                ResultCode.MESSAGE_TOO_LARGE,
                f"command of {len(command)} bytes; at most {MAX_COMMAND_BYTES} "
                "allowed, split the change",
            )
        leadership = self._membership.require_leadership()
        replica = self._replica
        uncommitted = replica.journal.last_index - replica.commit_index
        if uncommitted >= MAX_UNCOMMITTED_ENTRIES:
            raise BulrushleadError(
                ResultCode.NO_QUORUM,
                f"{uncommitted} changes wait for a quorum already; try again later",
            )
        entry = leadership.append(EntryKind.COMMAND, command)
        return await self._applier.wait_result(entry, timeout_ms)

    async def read_barrier(self, timeout_ms: float) -> int:
        """Wait until all changes acknowledged so far are applied.

        Parameters
        ----------
        timeout_ms : float
            Time allowed, in milliseconds.

        Returns
        -------
        int
            Index up to which entries are applied; a read directly after this call
            is linearizable.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER``, ``NO_QUORUM`` or the error that stopped the journal.
            A read after the error may return stale state.
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
        """Return whether this replica is the leader and its lease is valid.

        The lease is measured on the local clock, and the first entry of the term
        must be applied.
        """
        leadership = self._replica.leadership
        return (
            leadership is not None
            and self._replica.journal.failure is None
            and leadership.is_ready
            and leadership.holds_lease()
        )

    def watch_leadership(self, callback: LeadershipCallback) -> None:
        """Call ``callback`` on gain (True) and loss (False) of leadership.

        Gain is reported once the first entry of the new term is applied.
        """
        self._replica.watch_leadership(callback)

    async def add_learner(self, address: str, timeout_ms: float) -> str:
        """Add the running replica at an address as a learner.

        Returns
        -------
        str
            Identity of the new learner, for ``promote``.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        return await self._membership.add_learner(address, timeout_ms)

    async def promote(self, replica_id: str, timeout_ms: float) -> None:
        """Make a learner that has caught up a voter.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        await self._membership.promote(replica_id, timeout_ms)

    async def remove_member(self, replica_id: str, timeout_ms: float) -> None:
        """Remove a replica from the cluster.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED``, or any error of ``propose``.
        """
        await self._membership.remove(replica_id, timeout_ms)

    async def retire_silent_voter(self, timeout_ms: float) -> str | None:
        """Remove a voter that is gone, according to its silence.

        A voter is removed only if every other one either answers or is silent as long
        too, and ``min_voters`` remain.

        Returns
        -------
        str or None
            Identity of the removed voter, or None if none was removed.
        """
        return await self._membership.retire_silent_voter(timeout_ms)

    async def leave(self, timeout_ms: float) -> bool:
        """Give up the vote of this replica before a planned stop.

        A voter of an odd number keeps its vote, since the quorum would stay the same.
        From this call on the replica does not ask to join any more.

        Returns
        -------
        bool
            Whether the replica was removed from the cluster.

        Raises
        ------
        BulrushleadError
            Any error of ``propose``, or of the call to the leader.
        """
        replica = self._replica
        replica.is_leaving = True
        if replica.leadership is not None:
            return await self._membership.release_voter(replica.replica_id, timeout_ms)
        if replica.leader_address is None or not replica.is_voter():
            return False
        request = JoinRequest(replica.replica_id, replica.settings.address, leaves=True)
        reply = await replica.link_to(replica.leader_address).call(request, timeout_ms)
        return reply.removed

    async def remove_silent_learner(self, timeout_ms: float) -> str | None:
        """Remove a learner that has not answered for ``retire_silent_ms``.

        Returns
        -------
        str or None
            Identity of the removed learner, or None if none was removed.
        """
        return await self._membership.remove_silent_learner(timeout_ms)

    @property
    def term(self) -> int:
        """Highest term that this replica has seen."""
        return self._replica.term

    @property
    def leader_hint(self) -> str | None:
        """Address of the leader, or None without recent contact with one."""
        replica = self._replica
        if replica.leadership is None and not replica.has_recent_contact():
            return None
        return replica.leader_address

    @property
    def last_applied(self) -> int:
        """Index of the last applied entry."""
        return self._replica.last_applied

    @property
    def replica_id(self) -> str:
        """Identity of this replica, generated with its data folder."""
        return self._replica.replica_id

    @property
    def cluster_id(self) -> str:
        """Identity of the cluster; empty until this replica joins or bootstraps one."""
        return self._replica.cluster_id

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners in the latest membership entry."""
        return self._replica.journal.members.members

    @property
    def is_open(self) -> bool:
        """Whether the data folder is loaded and no write to it has failed."""
        return self._replica.is_running and self.failure is None

    @property
    def failure(self) -> BulrushleadError | None:
        """Error that stopped this replica from acknowledging, or None."""
        return self._replica.journal.failure

    def _on_durable(self) -> None:
        if self._replica.leadership is not None:
            self._replica.leadership.advance_commit()

    def _on_storage_failure(self) -> None:
        self._replica.step_down("the storage failed")

    async def _run_component(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run one component; an error in it stops this replica from acknowledging."""
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._replica.log.write(Event.UNEXPECTED_ERROR, error=repr(error))
            self._replica.journal.stop(error)
