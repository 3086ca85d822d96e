"""Admission of replicas that ask to join the cluster."""

from typing import TYPE_CHECKING

from bulrushlead.logs import Event
from bulrushlead.replication._change_log import ChangeLog
from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._membership import Membership, refused
from bulrushlead.replication._messages import (
    JoinReply,
    JoinRequest,
    Member,
    MemberRole,
    Members,
)
from bulrushlead.replication._settings import is_address
from bulrushlead.results import BulrushleadError

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica


class Admission:
    """Answers join requests; the leader adds the senders and promotes them.

    Parameters
    ----------
    replica : Replica
        The local replica; only the leader admits others.
    membership : Membership
        Makes the changes.
    """

    def __init__(self, replica: "Replica", membership: Membership):
        self.replica = replica
        self.membership = membership
        self._delays = ChangeLog(replica.log, replica.clock)

    async def answer_join(self, request: JoinRequest) -> JoinReply:
        """Return the cluster of this replica.

        The leader also admits the sender, or removes it if it leaves.
        """
        replica = self.replica
        # Until the folder is read, this replica does not know its own cluster and
        # could answer that it has none.
        replica.check_running()
        if not is_address(request.address):
            raise refused(f"{request.address!r:.60} is no address of a replica")
        removed = False
        if request.leaves:
            timeout_ms = replica.settings.call_timeout_ms
            removed = await self.membership.release_voter(
                request.replica_id, timeout_ms
            )
        elif replica.leadership is not None and not self.membership.lock.locked():
            await self._admit(request)
        cluster_id = replica.cluster_id if replica.journal.last_index else ""
        founders = (replica.settings.address, *replica.settings.peers)
        members = replica.journal.members.members
        return JoinReply(
            replica.replica_id,
            cluster_id,
            tuple(sorted(founders)),
            tuple(sorted({member.address for member in members})),
            removed,
            replica.may_bootstrap,
        )

    async def _admit(self, request: JoinRequest) -> None:
        """Make the next membership change that admits a replica.

        The newcomer is added as a learner. Once it has caught up, the voter that it
        replaces is removed and the newcomer is promoted directly afterwards: the
        removal needs no larger quorum than before, and the newcomer counts towards
        the quorum for its own promotion.
        """
        membership = self.membership
        try:
            leadership = membership.require_leadership()
            async with membership.lock:
                members = membership.committed_members(leadership)
                timeout_ms = self.replica.settings.call_timeout_ms
                newcomer = members.find(request.replica_id)
                if newcomer is None:
                    changed = self._with_new_learner(members, request)
                elif newcomer.role is MemberRole.LEARNER:
                    changed = await self._with_promoted(
                        leadership, members, newcomer, timeout_ms
                    )
                else:
                    return
                await membership.change_members(leadership, changed, timeout_ms)
        except BulrushleadError as error:
            # The newcomer sends its join request again.
            self._log_delay(request, error)

    async def _with_promoted(
        self,
        leadership: Leadership,
        members: Members,
        newcomer: Member,
        timeout_ms: float,
    ) -> Members:
        """Return the set with a learner as a voter.

        A learner at a new address takes the place of an absent voter: the host of a
        replaced replica never returns, and its vote would raise the quorum until it
        is retired. A voter that does return is admitted in the same way.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED`` if the learner has not caught up, if the voter to be
            replaced answers again, if a voter does not answer but may still return, or
            if the settings admit no newcomers.
        """
        if not self.membership.has_caught_up(leadership, newcomer.replica_id):
            raise refused("the learner has not caught up")
        replaces = newcomer.replaces
        if not replaces:
            if not self.replica.settings.admit_newcomers:
                raise refused("an operator has to promote the learner")
            absent = self._absent_voters(leadership, members)
            if absent:
                longest_ms, replaces = max(absent)
                if longest_ms < self.replica.settings.replace_silent_ms:
                    raise refused(f"voter {replaces} does not answer but may return")
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
            (self.membership.silence_ms(leadership, voter), voter.replica_id)
            for voter in members.voters()
            if voter.replica_id not in being_replaced
            and voter.replica_id != self.replica.replica_id
            and not self.membership.is_reachable(leadership, voter.replica_id)
        ]

    def _with_new_learner(self, members: Members, request: JoinRequest) -> Members:
        """Return the set with the sender as a learner.

        A new identity at the address of a member means that its disk was replaced,
        so the learner replaces that member.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED`` if only an operator may add the sender.
        """
        same_address = [m for m in members.members if m.address == request.address]
        if request.address == self.replica.settings.address:
            raise refused("the sender claims the address of the leader")
        if not same_address:
            if not self.replica.settings.admit_newcomers:
                raise refused("an operator has to add a replica at a new address")
            learner = Member(request.replica_id, request.address, MemberRole.LEARNER)
            return Members((*members.members, learner))
        voters = [m for m in same_address if m.role is MemberRole.VOTER]
        replaces = voters[0].replica_id if voters else same_address[0].replaces
        newcomer = Member(
            request.replica_id, request.address, MemberRole.LEARNER, replaces
        )
        others = [m for m in members.members if m not in same_address or m in voters]
        return Members((*others, newcomer))

    async def _with_replacement(
        self,
        leadership: Leadership,
        members: Members,
        newcomer: Member,
        replaces: str,
        timeout_ms: float,
    ) -> Members:
        """Remove the replaced voter and return the set with the newcomer as a voter.

        Raises
        ------
        BulrushleadError
            ``MEMBERSHIP_REFUSED`` if the voter to be replaced answers again, or if too
            few of the others do.
        """
        if members.find(replaces) is not None:
            if self.membership.is_reachable(leadership, replaces):
                raise refused(f"voter {replaces} answers again")
            members = members.replaced(replaces)
            self.membership.check_reachable_quorum(leadership, members)
            await self.membership.change_members(leadership, members, timeout_ms)
        voter = Member(newcomer.replica_id, newcomer.address)
        return members.replaced(newcomer.replica_id, voter)

    def _log_delay(self, request: JoinRequest, error: BulrushleadError) -> None:
        replica, leadership = self.replica, self.replica.leadership
        is_voter = replica.journal.members.is_voter(request.replica_id)
        if leadership is None or is_voter:
            return
        progress = leadership.progress_of(request.replica_id)
        silences_ms = leadership.silences_ms()
        self._delays.write(
            Event.ADMISSION_DELAYED,
            request.replica_id,
            error.detail,
            replica_id=request.replica_id,
            address=request.address,
            code=error.code.value,
            reason=error.detail,
            is_learner=progress is not None,
            match_index=0 if progress is None else progress.match_index,
            commit_index=replica.commit_index,
            silent={i: round(ms) for i, ms in sorted(silences_ms.items())},
        )
