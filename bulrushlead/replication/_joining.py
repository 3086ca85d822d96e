"""How a replica without a vote finds its cluster, or forms the first one."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._messages import (
    EntryKind,
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    Members,
)
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

ID_BITS = 64
JOIN_INTERVAL_HEARTBEATS = 2
FORGOTTEN_ELECTIONS = 3  # time-outs in a row without any leader
FIRST_TERM = 1


class Joining:
    """Asks the peers for a cluster while this replica is not a voter.

    Parameters
    ----------
    replica : Replica
        The replica that wants to join.
    """

    def __init__(self, replica: "Replica"):
        self.replica = replica
        self._last_obstacle = ""

    async def run(self) -> None:
        """Ask whenever the log does not say that this replica is a voter.

        The task goes on as long as the replica runs: an entry that makes it a
        voter may be replaced by another leader before it is committed.
        """
        replica, settings = self.replica, self.replica.settings
        while True:
            if not replica.is_voter() or self._is_forgotten():
                await self._join()
            await replica.clock.sleep_ms(
                settings.heartbeat_ms * JOIN_INTERVAL_HEARTBEATS
            )

    def _is_forgotten(self) -> bool:
        """Return whether the cluster may have gone on without this voter."""
        replica, settings = self.replica, self.replica.settings
        silence_ms = replica.clock.now_ms() - replica.heard_ms
        return (
            settings.admit_newcomers
            and replica.leadership is None
            and silence_ms > FORGOTTEN_ELECTIONS * settings.election_max_ms
        )

    async def _join(self) -> None:
        replica = self.replica
        replies = await self._ask_all()
        if not replica.settings.bootstrap or replica.journal.last_index > 0:
            return
        obstacle = self._obstacle(replies)
        if obstacle:
            self._log_obstacle(obstacle)
        else:
            self._form_cluster(replies)

    def _form_cluster(self, replies: dict[str, JoinReply]) -> None:
        """Write the first entry of a new cluster, with every peer as a voter."""
        replica, journal = self.replica, self.replica.journal
        voters = [Member(replica.replica_id, replica.settings.address)]
        voters += [
            Member(reply.replica_id, address)
            for address, reply in sorted(replies.items())
        ]
        state = journal.vote_state
        cluster_id = f"{replica.rng.getrandbits(ID_BITS):016x}"
        journal.set_vote_state(
            attrs.evolve(state, term=max(state.term, FIRST_TERM), cluster_id=cluster_id)
        )
        payload = codec.encode(Members(tuple(voters)))
        journal.append([LogEntry(1, FIRST_TERM, EntryKind.MEMBERS, payload)])

    def _obstacle(self, replies: dict[str, JoinReply]) -> str:
        """Return why a new cluster must not be formed here, or nothing.

        An empty folder may be that of a lost disk. Only if every peer answers
        that it knows of no cluster can nothing have been accepted before: an
        accepted change is on the disks of a quorum.
        """
        settings = self.replica.settings
        founders = tuple(sorted((settings.address, *settings.peers)))
        if founders[0] != settings.address:
            return f"the cluster is formed by {founders[0]}, the lowest address"
        for peer in settings.peers:
            reply = replies.get(peer)
            if reply is None:
                return f"{peer} does not answer; every peer must on the first start"
            if reply.cluster_id:
                return f"{peer} knows cluster {reply.cluster_id}; waiting to join it"
            if reply.founders != founders:
                return f"{peer} is set to start with {reply.founders}, not {founders}"
        return ""

    async def _ask_all(self) -> dict[str, JoinReply]:
        replica, settings = self.replica, self.replica.settings
        addresses = {m.address for m in replica.journal.members.members}
        addresses = sorted((addresses | set(settings.peers)) - {settings.address})
        replies = await asyncio.gather(*(self._ask(a) for a in addresses))
        return {
            address: reply
            for address, reply in zip(addresses, replies, strict=True)
            if reply is not None
        }

    async def _ask(self, address: str) -> JoinReply | None:
        replica = self.replica
        request = JoinRequest(replica.replica_id, replica.settings.address)
        try:
            return await replica.link_to(address).call(
                request, replica.settings.call_timeout_ms
            )
        except BulrushleadError:
            return None

    def _log_obstacle(self, obstacle: str) -> None:
        if obstacle != self._last_obstacle:
            self._last_obstacle = obstacle
            self.replica.log.write(
                Event.REPLICA_STALLED,
                replica_id=self.replica.replica_id,
                error=obstacle,
            )
