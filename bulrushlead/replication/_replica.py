"""State of one replica that its components share."""

import asyncio
import math
import random
from collections.abc import Callable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.replication._interfaces import (
    LeadershipCallback,
    LinkFactory,
)
from bulrushlead.replication._journal import Journal
from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._settings import ReplicaSettings
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import PeerLink


class Replica:
    """State of one replica: its term, its leader and its log positions.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of this replica.
    clock : Clock
        Source of time.
    journal : Journal
        Entries and vote of this replica.
    link_factory : callable
        Creates the link to an address.
    rng : random.Random
        Source of identities and election timeouts.

    Attributes
    ----------
    leadership : Leadership or None
        Set while this replica is the leader.
    leader_address : str or None
        Address of the last known leader of the current term.
    sender_address : str
        Address of the last leader whose message was meant for an earlier replica at
        this address; empty if there was none.
    last_contact_ms : float
        When this replica last received a message of a leader, granted a vote or
        started, in milliseconds of the local clock.
    leader_seen_ms : float
        When this replica last received a message of a leader, led or started, in
        milliseconds of the local clock.
    silent_since_ms : dict of str to float
        Since when members have been silent, by identity, in milliseconds of the local
        clock: as the last leader reported it, and the leader since its last message.
    is_running : bool
        Whether the data folder is loaded and the replica is not closing.
    has_heard_leader : bool
        Whether this replica has accepted a leader, or led, since its start.
    is_leaving : bool
        Whether this replica is about to stop for good or for a restart.
    commit_index, last_applied : int
        Index of the last entry known to be committed, and of the last one applied.
    on_commit, on_leadership_lost : callable
        Called after ``commit_index`` has risen, and after this replica has stepped
        down.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        clock: Clock,
        journal: Journal,
        link_factory: LinkFactory,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.journal = journal
        self.rng = rng
        self.leadership: Leadership | None = None
        self.leader_address: str | None = None
        self.sender_address = ""
        self.last_contact_ms = self.leader_seen_ms = clock.now_ms()
        self.silent_since_ms: dict[str, float] = {}
        self.is_running = False
        self.has_heard_leader = False
        self.is_leaving = False
        self.commit_index = 0
        self.last_applied = 0
        self.on_commit: Callable[[], None] = lambda: None
        self.on_leadership_lost: Callable[[], None] = lambda: None
        self.log = EventLogger("replication")
        self._link_factory = link_factory
        self._links: dict[str, PeerLink] = {}
        self._watchers: list[LeadershipCallback] = []

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.journal.vote_state.term

    @property
    def cluster_id(self) -> str:
        """Identity of the cluster; empty until this replica joins or bootstraps one."""
        return self.journal.vote_state.cluster_id

    @property
    def replica_id(self) -> str:
        """Identity of this replica."""
        return self.journal.replica_id

    @property
    def may_bootstrap(self) -> bool:
        """Whether this replica may bootstrap a cluster while its log is empty."""
        return self.settings.bootstrap or self.journal.vote_state.may_bootstrap

    def is_voter(self) -> bool:
        """Return whether this replica is a voter in its own log."""
        return self.journal.members.is_voter(self.replica_id)

    def link_to(self, address: str) -> PeerLink:
        """Return the link to another replica."""
        if address not in self._links:
            self._links[address] = self._link_factory(address)
        return self._links[address]

    def has_recent_contact(self) -> bool:
        """Return whether the lease of a leader may still depend on this replica."""
        silence_ms = self.clock.now_ms() - self.last_contact_ms
        return silence_ms < self.settings.election_min_ms

    def check_running(self) -> None:
        """Raise unless this replica is running.

        Raises
        ------
        BulrushleadError
            ``STORAGE_FAILED`` if this replica has stopped acknowledging,
            ``PEER_UNREACHABLE`` if it is starting or closing.
        """
        if self.journal.failure is not None:
            raise self.journal.failure
        if not self.is_running:
            raise BulrushleadError(
                ResultCode.PEER_UNREACHABLE,
                f"the replica at {self.settings.address} is starting or closing; "
                "try again",
            )

    def check_addressee(self, target_id: str, cluster_id: str) -> None:
        """Raise if a message is meant for another replica or cluster.

        Raises
        ------
        BulrushleadError
            ``STORAGE_FAILED`` if this replica has stopped acknowledging,
            ``PEER_UNREACHABLE`` if it is starting or closing,
            ``MEMBERSHIP_REFUSED`` if the message is not meant for it.
        """
        self.check_running()
        if target_id != self.replica_id:
            raise BulrushleadError(
                ResultCode.MEMBERSHIP_REFUSED,
                f"{self.settings.address} is replica {self.replica_id}, not "
                f"{target_id!r:.40}; its disk was replaced or the address is wrong",
            )
        if self.cluster_id and cluster_id != self.cluster_id:
            raise BulrushleadError(
                ResultCode.MEMBERSHIP_REFUSED,
                f"{self.settings.address} belongs to cluster {self.cluster_id}, not "
                f"{cluster_id!r:.40}; empty its data folder if it shall change over",
            )

    def observe_term(self, term: int) -> None:
        """Adopt a higher term, and step down if this replica leads."""
        if term > self.term:
            state = self.journal.vote_state
            self.journal.set_vote_state(attrs.evolve(state, term=term, voted_for=""))
            self.leader_address = None
            self.step_down(f"term {term} has started")

    def accept_leader(self, term: int, leader_address: str, cluster_id: str) -> None:
        """Accept the leader of a term that is not lower than the current one."""
        self.observe_term(term)
        if not self.cluster_id:
            state = attrs.evolve(self.journal.vote_state, cluster_id=cluster_id)
            self.journal.set_vote_state(state)
        self.leader_address = leader_address
        self.has_heard_leader = True
        self.last_contact_ms = self.leader_seen_ms = self.clock.now_ms()

    def record_silences(self, leader_id: str, silences_ms: dict[str, float]) -> None:
        """Record which members are silent, from a message of the leader."""
        now_ms = self.clock.now_ms()
        self.silent_since_ms = {
            replica_id: now_ms - max(0.0, silence_ms)
            for replica_id, silence_ms in silences_ms.items()
            if math.isfinite(silence_ms)
        }
        self.silent_since_ms[leader_id] = now_ms

    def become_leader(self, leadership: Leadership) -> None:
        """Become the leader of the current term."""
        self.leadership = leadership
        self.leader_address = self.settings.address
        self.has_heard_leader = True
        leadership.start()
        self.log.write(
            Event.LEADER_ELECTED, replica_id=self.replica_id, term=leadership.term
        )

    def step_down(self, reason: str) -> None:
        """Stop being the leader, if this replica is."""
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return
        if self.leader_address == self.settings.address:
            self.leader_address = None
        self.silent_since_ms = leadership.silent_since_ms()
        leadership.close()
        self.leader_seen_ms = self.clock.now_ms()
        self.log.write(
            Event.LEADER_LOST,
            replica_id=self.replica_id,
            term=leadership.term,
            reason=reason,
        )
        self.on_leadership_lost()
        if leadership.is_ready:
            self._notify_watchers(False)

    def commit_to(self, index: int) -> None:
        """Record that all entries up to ``index`` are committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.on_commit()

    def record_applied(self, index: int) -> None:
        """Record the last applied entry and report the gain of leadership.

        Gain is reported when the first entry of the leader's term is applied.
        """
        self.last_applied = index
        leadership = self.leadership
        if leadership is not None and leadership.record_applied(index):
            self._notify_watchers(True)

    def watch_leadership(self, callback: LeadershipCallback) -> None:
        """Call ``callback`` with True on gain and False on loss of leadership."""
        self._watchers.append(callback)

    async def close_links(self) -> None:
        """Close the links to the other replicas."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()

    def _notify_watchers(self, is_leader: bool) -> None:
        for callback in self._watchers:
            callback(is_leader)
