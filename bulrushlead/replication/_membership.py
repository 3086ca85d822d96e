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
from bulrushlead.replication._settings import is_address
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
        self._lock = asyncio.Lock()

    async def add_learner(self, address: str, timeout_ms: float) -> str:
        """Add the replica at an address as a learner.

        Returns
        -------
        str
            Identity of the new learner.
        """
        leadership = self.require_leadership()
        reply = await self._request_identity(address, timeout_ms)
        async with self._lock:
            members = self._committed_members(leadership)
            if members.find(reply.replica_id) is None:
                learner = Member(reply.replica_id, address, MemberRole.LEARNER)
                changed = Members((*members.members, learner))
                await self._change_members(leadership, changed, timeout_ms)
        return reply.replica_id

    async def promote(self, replica_id: str, timeout_ms: float) -> None:
        """Make a learner that has caught up a voter."""
        leadership = self.require_leadership()
        async with self._lock:
            members = self._committed_members(leadership)
            learner = members.find(replica_id)
            if learner is None:
                raise _refused(f"no replica {replica_id!r}; add it as a learner first")
            if learner.role is MemberRole.VOTER:
                return
            if not self._has_caught_up(leadership, replica_id):
                raise _refused(f"{replica_id} has not caught up yet; try again later")
            voter = Member(replica_id, learner.address)
            await self._change_members(
                leadership, members.replaced(replica_id, voter), timeout_ms
            )

    async def remove(self, replica_id: str, timeout_ms: float) -> None:
        """Remove a replica from the cluster."""
        leadership = self.require_leadership()
        async with self._lock:
            members = self._committed_members(leadership)
            if members.find(replica_id) is None:
                return
            if replica_id == self.replica.replica_id:
                raise _refused(
                    f"{replica_id} is the leader; stop it, then ask the next leader"
                )
            remaining = members.replaced(replica_id)
            self._check_reachable_quorum(leadership, remaining)
            await self._change_members(leadership, remaining, timeout_ms)

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
        async with self._lock:
            members = self._committed_members(leadership)
            voters = members.voters()
            is_even = len(voters) % 2 == 0
            limit_ms = (
                settings.replace_silent_ms if is_even else settings.retire_silent_ms
            )
            silences = {v.replica_id: self._silence_ms(leadership, v) for v in voters}
            silent = [i for i in silences if silences[i] > limit_ms]
            reachable = [
                i
                for i in silences
                if i == self.replica.replica_id or self._is_reachable(leadership, i)
            ]
            if (
                not silent
                or len(reachable) + len(silent) < len(voters)
                or len(voters) <= settings.min_voters
            ):
                return None
            longest = max(silent, key=silences.get)
            await self._change_members(
                leadership, members.replaced(longest), timeout_ms
            )
            return longest

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
        async with self._lock:
            members = self._committed_members(leadership)
            for member in members.members:
                silence_ms = self._silence_ms(leadership, member)
                if (
                    member.role is MemberRole.LEARNER
                    and silence_ms > self.replica.settings.retire_silent_ms
                ):
                    remaining = members.replaced(member.replica_id)
                    await self._change_members(leadership, remaining, timeout_ms)
                    return member.replica_id
        return None

    async def answer_join(self, request: JoinRequest) -> JoinReply:
        """Return the cluster of this replica; the leader also admits the sender."""
        replica = self.replica
        # Until the folder is read, this replica does not know its own cluster and
        # could answer that it has none.
        replica.check_running()
        if not is_address(request.address):
            raise _refused(f"{request.address!r:.60} is no address of a replica")
        if replica.leadership is not None and not self._lock.locked():
            await self._admit(request)
        cluster_id = replica.cluster_id if replica.journal.last_index else ""
        founders = (replica.settings.address, *replica.settings.peers)
        members = replica.journal.members.members
        return JoinReply(
            replica.replica_id,
            cluster_id,
            tuple(sorted(founders)),
            tuple(sorted({member.address for member in members})),
        )

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

    async def _admit(self, request: JoinRequest) -> None:
        """Make the next membership change that admits a replica.

        The newcomer is added as a learner. Once it has caught up, the voter that it
        replaces is removed and the newcomer is promoted directly afterwards: the
        removal needs no larger quorum than before, and the newcomer counts towards
        the quorum for its own promotion.
        """
        try:
            leadership = self.require_leadership()
            async with self._lock:
                members = self._committed_members(leadership)
                timeout_ms = self.replica.settings.call_timeout_ms
                newcomer = members.find(request.replica_id)
                if newcomer is None:
                    changed = self._with_new_learner(members, request)
                elif newcomer.role is MemberRole.LEARNER and self._has_caught_up(
                    leadership, newcomer.replica_id
                ):
                    changed = await self._with_promoted(
                        leadership, members, newcomer, timeout_ms
                    )
                else:
                    return
                if changed is not None:
                    await self._change_members(leadership, changed, timeout_ms)
        except BulrushleadError:
            return  # The newcomer sends its join request again.

    async def _with_promoted(
        self,
        leadership: Leadership,
        members: Members,
        newcomer: Member,
        timeout_ms: float,
    ) -> Members | None:
        """Return the set with a caught-up learner as a voter, or None.

        A learner at a new address takes the place of an absent voter: the host of a
        replaced replica never returns, and its vote would raise the quorum until it
        is retired. A voter that does return is admitted in the same way.

        None means that the voter to be replaced answers again, that a voter does not
        answer but may still return, or that the settings admit no newcomers.
        """
        replaces = newcomer.replaces
        if not replaces:
            if not self.replica.settings.admit_newcomers:
                return None
            absent = self._absent_voters(leadership, members)
            if absent:
                longest_ms, replaces = max(absent)
                if longest_ms < self.replica.settings.replace_silent_ms:
                    return None
        if replaces:
            return await self._with_replacement(
                leadership, members, newcomer, replaces, timeout_ms
            )
        voter = Member(newcomer.replica_id, newcomer.address)
        return members.replaced(newcomer.replica_id, voter)

    def _absent_voters(
        self, leadership: Leadership, members: Members
    ) -> list[tuple[float, str]]:
        """Return the silence and the identity of each voter that does not answer.

        Voters that a learner at the same address replaces are left out.
        """
        being_replaced = {member.replaces for member in members.members}
        return [
            (self._silence_ms(leadership, voter), voter.replica_id)
            for voter in members.voters()
            if voter.replica_id not in being_replaced
            and voter.replica_id != self.replica.replica_id
            and not self._is_reachable(leadership, voter.replica_id)
        ]

    def _with_new_learner(
        self, members: Members, request: JoinRequest
    ) -> Members | None:
        """Return the set with the sender as a learner, or None.

        A new identity at the address of a member means that its disk was replaced,
        so the learner replaces that member.
        """
        same_address = [m for m in members.members if m.address == request.address]
        if request.address == self.replica.settings.address:
            return None
        if not same_address:
            if not self.replica.settings.admit_newcomers:
                return None
            learner = Member(request.replica_id, request.address, MemberRole.LEARNER)
            return Members((*members.members, learner))
        voters = [m for m in same_address if m.role is MemberRole.VOTER]
        replaces = voters[0].replica_id if voters else same_address[0].replaces
        newcomer = Member(
            request.replica_id, request.address, MemberRole.LEARNER, replaces
        )
        others = [m for m in members.members if m not in same_address or m in voters]
        return Members((*others, newcomer))

    def _silence_ms(self, leadership: Leadership, member: Member) -> float:
        if member.replica_id == self.replica.replica_id:
            return 0.0
        return leadership.silence_ms(member.replica_id)

    async def _with_replacement(
        self,
        leadership: Leadership,
        members: Members,
        newcomer: Member,
        replaces: str,
        timeout_ms: float,
    ) -> Members | None:
        """Remove the replaced voter and return the set with the newcomer as a voter.

        Returns
        -------
        Members or None
            None if the voter to be replaced answers again and therefore stays.
        """
        if members.find(replaces) is not None:
            if self._is_reachable(leadership, replaces):
                return None
            members = members.replaced(replaces)
            self._check_reachable_quorum(leadership, members)
            await self._change_members(leadership, members, timeout_ms)
        voter = Member(newcomer.replica_id, newcomer.address)
        return members.replaced(newcomer.replica_id, voter)

    def _committed_members(self, leadership: Leadership) -> Members:
        replica = self.replica
        if replica.leadership is not leadership:
            raise BulrushleadError(ResultCode.NOT_LEADER, "the leader changed; retry")
        if replica.commit_index < replica.journal.members_index:
            raise _refused("the last change is not committed yet; try again later")
        return replica.journal.members

    def _check_reachable_quorum(self, leadership: Leadership, members: Members):
        reachable = [
            voter
            for voter in members.voters()
            if voter.replica_id == self.replica.replica_id
            or self._is_reachable(leadership, voter.replica_id)
        ]
        if len(reachable) < members.quorum_size():
            raise _refused(
                f"only {len(reachable)} of the {len(members.voters())} voters left "
                "would be reachable; restart or replace the others first"
            )

    def _is_reachable(self, leadership: Leadership, replica_id: str) -> bool:
        progress = leadership.progress_of(replica_id)
        if progress is None:
            return False
        silence_ms = self.replica.clock.now_ms() - progress.acknowledged_sent_ms
        return silence_ms < self.replica.settings.election_min_ms

    def _has_caught_up(self, leadership: Leadership, replica_id: str) -> bool:
        progress = leadership.progress_of(replica_id)
        return (
            progress is not None
            and self._is_reachable(leadership, replica_id)
            and progress.match_index >= self.replica.commit_index
        )

    async def _change_members(
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
            raise _refused(
                f"{address} belongs to cluster {reply.cluster_id}; empty its data "
                "folder first"
            )
        return reply


def _refused(detail: str) -> BulrushleadError:
    return BulrushleadError(ResultCode.MEMBERSHIP_REFUSED, detail)
