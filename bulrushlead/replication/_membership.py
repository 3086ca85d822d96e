"""Membership changes, one at a time through the log."""

import asyncio
from typing import TYPE_CHECKING

from bulrushlead.replication._applier import Applier
from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._messages import (
    EntryKind,
    JoinReply,
    JoinRequest,
    Member,
    MemberRole,
    Members,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica


class Membership:
    """Adds, promotes, removes and replaces members of the cluster.

    Parameters
    ----------
    replica : Replica
        The local replica; only the leader changes the membership.
    applier : Applier
        Reports when a change is committed.
    """

    def __init__(self, replica: "Replica", applier: Applier):
        self.replica = replica
        self.applier = applier
        self.lock = asyncio.Lock()

    async def add_learner(self, address: str, timeout_ms: float) -> str:
        """Add the replica at an address as a learner.

        Returns
        -------
        str
            Identity of the new learner.
        """
        leadership = self.require_leadership()
        reply = await self._request_identity(address, timeout_ms)
        async with self.lock:
            members = self.committed_members(leadership)
            if members.find(reply.replica_id) is None:
                learner = Member(reply.replica_id, address, MemberRole.LEARNER)
                changed = Members((*members.members, learner))
                await self.change_members(leadership, changed, timeout_ms)
        return reply.replica_id

    async def promote(self, replica_id: str, timeout_ms: float) -> None:
        """Make a learner that has caught up a voter."""
        leadership = self.require_leadership()
        async with self.lock:
            members = self.committed_members(leadership)
            learner = members.find(replica_id)
            if learner is None:
                raise refused(f"no replica {replica_id!r}; add it as a learner first")
            if learner.role is MemberRole.VOTER:
                return
            if not self.has_caught_up(leadership, replica_id):
                raise refused(f"{replica_id} has not caught up yet; try again later")
            voter = Member(replica_id, learner.address)
            await self.change_members(
                leadership, members.replaced(replica_id, voter), timeout_ms
            )

    async def remove(self, replica_id: str, timeout_ms: float) -> None:
        """Remove a replica from the cluster."""
        leadership = self.require_leadership()
        async with self.lock:
            members = self.committed_members(leadership)
            if members.find(replica_id) is None:
                return
            if replica_id == self.replica.replica_id:
                raise refused(
                    f"{replica_id} is the leader; stop it, then ask the next leader"
                )
            remaining = members.replaced(replica_id)
            self.check_reachable_quorum(leadership, remaining)
            await self.change_members(leadership, remaining, timeout_ms)

    async def retire_silent_voter(self, timeout_ms: float) -> str | None:
        """Remove a voter that is gone, according to its silence.

        A voter is removed only if every other one either answers or is silent as long
        too, and ``min_voters`` remain. From an even number of voters one is removed
        sooner, since that lowers the quorum by one.

        Returns
        -------
        str or None
            Identity of the removed voter, or None. The voter is admitted again if
            it returns.
        """
        leadership = self.require_leadership()
        settings = self.replica.settings
        async with self.lock:
            members = self.committed_members(leadership)
            voters = members.voters()
            is_even = len(voters) % 2 == 0
            limit_ms = (
                settings.replace_silent_ms if is_even else settings.retire_silent_ms
            )
            silences = {v.replica_id: self.silence_ms(leadership, v) for v in voters}
            silent = [i for i in silences if silences[i] > limit_ms]
            reachable = [
                i
                for i in silences
                if i == self.replica.replica_id or self.is_reachable(leadership, i)
            ]
            if (
                not silent
                or len(reachable) + len(silent) < len(voters)
                or len(voters) <= settings.min_voters
            ):
                return None
            longest = max(silent, key=silences.get)
            await self.change_members(leadership, members.replaced(longest), timeout_ms)
            return longest

    async def release_voter(self, replica_id: str, timeout_ms: float) -> bool:
        """Remove a voter that is about to stop from an even number of voters.

        The quorum of the others is lower by one, so that nobody has to wait for the
        silence of a voter whose successor runs already. The voter is admitted again
        if it returns, as after a request that was held up. The leader may release
        itself: it needs a quorum of the others, and leads until it stops.

        Returns
        -------
        bool
            Whether the voter was removed.
        """
        leadership = self.require_leadership()
        settings = self.replica.settings
        async with self.lock:
            members = self.committed_members(leadership)
            n_voters = len(members.voters())
            if (
                not settings.admit_newcomers
                or not members.is_voter(replica_id)
                or n_voters % 2
                or n_voters <= settings.min_voters
            ):
                return False
            remaining = members.replaced(replica_id)
            self.check_reachable_quorum(leadership, remaining)
            await self.change_members(leadership, remaining, timeout_ms)
            return True

    async def remove_silent_learner(self, timeout_ms: float) -> str | None:
        """Remove a learner that has not answered for ``retire_silent_ms``.

        Learners count towards no quorum, but each costs the leader a connection.

        Returns
        -------
        str or None
            Identity of the removed learner, or None. It is admitted again if it
            returns.
        """
        leadership = self.require_leadership()
        async with self.lock:
            members = self.committed_members(leadership)
            for member in members.members:
                silence_ms = self.silence_ms(leadership, member)
                if (
                    member.role is MemberRole.LEARNER
                    and silence_ms > self.replica.settings.retire_silent_ms
                ):
                    remaining = members.replaced(member.replica_id)
                    await self.change_members(leadership, remaining, timeout_ms)
                    return member.replica_id
        return None

    def require_leadership(self) -> Leadership:
        """Return the current leadership.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` with the address of the leader if known, ``NO_QUORUM``
            without a valid lease, or the error that stopped the journal.
        """
        replica = self.replica
        if replica.journal.failure is not None:
            raise replica.journal.failure
        leadership = replica.leadership
        if leadership is None:
            hint = replica.leader_address or "unknown"
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                f"{replica.settings.address} is not the leader; ask {hint}",
            )
        if not leadership.is_ready or not leadership.holds_lease():
            raise BulrushleadError(
                ResultCode.NO_QUORUM,
                f"{replica.settings.address} has not reached "
                f"{replica.journal.members.quorum_size()} voters within "
                f"{replica.settings.lease_ms:.0f} ms; try again",
            )
        return leadership

    def silence_ms(self, leadership: Leadership, member: Member) -> float:
        if member.replica_id == self.replica.replica_id:
            return 0.0
        return leadership.silence_ms(member.replica_id)

    def committed_members(self, leadership: Leadership) -> Members:
        replica = self.replica
        if replica.leadership is not leadership:
            raise BulrushleadError(ResultCode.NOT_LEADER, "the leader changed; retry")
        if replica.commit_index < replica.journal.members_index:
            raise refused("the last change is not committed yet; try again later")
        return replica.journal.members

    def check_reachable_quorum(self, leadership: Leadership, members: Members):
        reachable = [
            voter
            for voter in members.voters()
            if voter.replica_id == self.replica.replica_id
            or self.is_reachable(leadership, voter.replica_id)
        ]
        if len(reachable) < members.quorum_size():
            raise refused(
                f"only {len(reachable)} of the {len(members.voters())} voters left "
                "would be reachable; restart or replace the others first"
            )

    def is_reachable(self, leadership: Leadership, replica_id: str) -> bool:
        progress = leadership.progress_of(replica_id)
        if progress is None:
            return False
        silence_ms = self.replica.clock.now_ms() - progress.acknowledged_sent_ms
        return silence_ms < self.replica.settings.election_min_ms

    def has_caught_up(self, leadership: Leadership, replica_id: str) -> bool:
        progress = leadership.progress_of(replica_id)
        return (
            progress is not None
            and self.is_reachable(leadership, replica_id)
            and progress.has_caught_up
        )

    async def change_members(
        self, leadership: Leadership, members: Members, timeout_ms: float
    ) -> None:
        if self.replica.leadership is not leadership:
            raise BulrushleadError(ResultCode.NOT_LEADER, "the leader changed; retry")
        entry = leadership.append(EntryKind.MEMBERS, codec.encode(members))
        await self.applier.wait_result(entry, timeout_ms)

    async def _request_identity(self, address: str, timeout_ms: float) -> JoinReply:
        replica = self.replica
        link = replica.link_to(address)
        request = JoinRequest(replica.replica_id, replica.settings.address)
        reply = await link.call(request, timeout_ms)
        if reply.cluster_id not in ("", replica.cluster_id):
            raise refused(
                f"{address} belongs to cluster {reply.cluster_id}; empty its data "
                "folder first"
            )
        return reply


def refused(detail: str) -> BulrushleadError:
    return BulrushleadError(ResultCode.MEMBERSHIP_REFUSED, detail)
