"""Joining a cluster, and bootstrapping a new one."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._change_log import ChangeLog
from bulrushlead.replication._messages import (
    EntryKind,
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    Members,
)
from bulrushlead.replication._settings import is_address
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

ID_BITS = 64
MAX_LOGGED_ADDRESSES = 16
MAX_LEARNED_ADDRESSES = 64  # far more than a cluster has members
JOIN_INTERVAL_HEARTBEATS = 2
LOST_CONTACT_TIMEOUTS = 3  # election timeouts without a leader before joining again
FIRST_TERM = 1
JOIN_LOG_TIMEOUTS = 3  # election timeouts after which a join counts as delayed


class Joining:
    """Sends join requests while this replica is not a voter or has lost contact.

    Only the leader admits a replica, and it may be none of the peers in the settings.
    The requests therefore also go to the members that other replicas name.

    Parameters
    ----------
    replica : Replica
        The replica that joins.
    """

    def __init__(self, replica: "Replica"):
        self.replica = replica
        self._learned_addresses: set[str] = set()
        self._seeds: set[str] = set()
        self._last_blocking_reason = ""
        self._asked_addresses: set[str] = set()
        self._joining_since_ms: float | None = None
        self._delays = ChangeLog(replica.log, replica.clock)

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Ask further addresses, beside the peers of the settings at the start."""
        self._seeds = set(list(filter(is_address, addresses))[:MAX_LEARNED_ADDRESSES])

    async def run(self) -> None:
        """Join while this replica is not a voter in its own log or has lost contact.

        The task runs until the replica closes, because another leader may replace
        the entry that makes this replica a voter before that entry is committed.
        """
        replica, settings = self.replica, self.replica.settings
        while True:
            if replica.is_leaving:
                return
            if not replica.is_voter() or self._has_lost_contact():
                if self._joining_since_ms is None:
                    self._joining_since_ms = replica.clock.now_ms()
                await self._join()
            else:
                self._joining_since_ms = None
            await replica.clock.sleep_ms(
                settings.heartbeat_ms * JOIN_INTERVAL_HEARTBEATS
            )

    def _has_lost_contact(self) -> bool:
        """Return whether the cluster may have removed this voter.

        That may have happened before a start, after which no leader sends to it.
        """
        replica, settings = self.replica, self.replica.settings
        if not settings.admit_newcomers or replica.leadership is not None:
            return False
        silence_ms = replica.clock.now_ms() - replica.last_contact_ms
        timeouts = LOST_CONTACT_TIMEOUTS if replica.has_heard_leader else 0
        return silence_ms > timeouts * settings.election_max_ms

    async def _join(self) -> None:
        replica = self.replica
        replies = await self._request_join_from_all()
        self._log_delay(replies)
        if not replica.may_bootstrap or replica.journal.last_index > 0:
            return
        reason = self._find_blocking_reason(replies)
        if reason:
            self._log_blocking_reason(reason)
        else:
            self._bootstrap_cluster(replies)

    def _bootstrap_cluster(self, replies: dict[str, JoinReply]) -> None:
        """Append the first entry of a new cluster, with every peer as a voter."""
        replica, journal = self.replica, self.replica.journal
        voters = [Member(replica.replica_id, replica.settings.address)]
        voters += [
            Member(replies[address].replica_id, address)
            for address in sorted(replica.settings.peers)
        ]
        state = journal.vote_state
        cluster_id = f"{replica.rng.getrandbits(ID_BITS):016x}"
        journal.set_vote_state(
            attrs.evolve(state, term=max(state.term, FIRST_TERM), cluster_id=cluster_id)
        )
        payload = codec.encode(Members(tuple(voters)))
        journal.append([LogEntry(1, FIRST_TERM, EntryKind.MEMBERS, payload)])

    def _find_blocking_reason(self, replies: dict[str, JoinReply]) -> str:
        """Return why this replica must not bootstrap a cluster, or an empty string.

        The folder may be empty because a disk was lost. An accepted change is on
        the disks of a quorum, so nothing was accepted before if every peer
        answers that it belongs to no cluster.

        Only one replica may do it, or two clusters could form at once: the lowest
        address of those that may. One that crashed at the first start before its
        folder was created may not, and the next one takes its place.
        """
        settings = self.replica.settings
        founders = tuple(sorted((settings.address, *settings.peers)))
        lower = founders[: founders.index(settings.address)]
        for address in lower:
            if address not in replies or replies[address].may_bootstrap:
                return f"the cluster is formed by {address}, a lower address"
        for address, reply in sorted(replies.items()):
            if reply.cluster_id:
                return (
                    f"{address} belongs to cluster {reply.cluster_id}; "
                    "waiting to join it"
                )
        for peer in settings.peers:
            reply = replies.get(peer)
            if reply is None:
                return (
                    f"{peer} does not answer; every peer must answer on the first start"
                )
            if reply.founders != founders:
                return f"{peer} is configured with {reply.founders}, not {founders}"
        return ""

    async def _request_join_from_all(self) -> dict[str, JoinReply]:
        """Ask all replicas that this one knows of, then those that the replies name."""
        replica, settings = self.replica, self.replica.settings
        known = {m.address for m in replica.journal.members.members}
        known |= {*settings.peers, *self._seeds, *self._learned_addresses}
        known.add(replica.sender_address)
        known -= {settings.address, ""}
        replies = await self._request_join_from(known)
        named = {a for r in replies.values() for a in r.members if is_address(a)}
        named = set(sorted(named - {settings.address})[:MAX_LEARNED_ADDRESSES])
        if named:
            self._learned_addresses = named
        self._asked_addresses = known | named
        return replies | await self._request_join_from(named - known)

    async def _request_join_from(self, addresses: set[str]) -> dict[str, JoinReply]:
        ordered = sorted(addresses)
        replies = await asyncio.gather(*(self._request_join(a) for a in ordered))
        return {
            address: reply
            for address, reply in zip(ordered, replies, strict=True)
            if reply is not None
        }

    async def _request_join(self, address: str) -> JoinReply | None:
        replica = self.replica
        request = JoinRequest(replica.replica_id, replica.settings.address)
        try:
            return await replica.link_to(address).call(
                request, replica.settings.call_timeout_ms
            )
        except BulrushleadError:
            return None

    def _log_delay(self, replies: dict[str, JoinReply]) -> None:
        replica = self.replica
        now_ms = replica.clock.now_ms()
        waited_ms = now_ms - self._joining_since_ms
        if waited_ms < JOIN_LOG_TIMEOUTS * replica.settings.election_max_ms:
            return
        member = replica.journal.members.find(replica.replica_id)
        role = "none" if member is None else member.role.value
        answered = sorted(replies)[:MAX_LOGGED_ADDRESSES]
        unanswered = sorted(self._asked_addresses - replies.keys())
        unanswered = unanswered[:MAX_LOGGED_ADDRESSES]
        self._delays.write(
            Event.JOIN_DELAYED,
            replica.replica_id,
            (role, answered, unanswered, replica.leader_address),
            replica_id=replica.replica_id,
            own_role=role,
            waited_ms=round(waited_ms),
            leaderless_ms=round(now_ms - replica.leader_seen_ms),
            leader=replica.leader_address or "",
            answered=answered,
            unanswered=unanswered,
        )

    def _log_blocking_reason(self, reason: str) -> None:
        if reason != self._last_blocking_reason:
            self._last_blocking_reason = reason
            self.replica.log.write(
                Event.REPLICA_STALLED,
                replica_id=self.replica.replica_id,
                error=reason,
            )
