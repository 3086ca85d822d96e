"""Elections: when to ask for votes, and when to give one."""

import asyncio
from typing import TYPE_CHECKING

from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._messages import Member, VoteReply, VoteRequest, VoteState
from bulrushlead.results import BulrushleadError

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

RETRY_SHARE_MIN = 0.5  # of the spread of election times


class Election:
    """Campaigns when no leader is heard, and answers the campaigns of others.

    Parameters
    ----------
    replica : Replica
        The replica that votes and campaigns.
    """

    def __init__(self, replica: "Replica"):
        self.replica = replica

    async def run(self) -> None:
        """Campaign whenever no leader has been heard for a random time."""
        replica, settings = self.replica, self.replica.settings
        while True:
            patience_ms = self._patience_ms()
            while (due_ms := replica.heard_ms + patience_ms) > replica.clock.now_ms():
                await replica.clock.sleep_ms(due_ms - replica.clock.now_ms())
            if replica.leadership is not None or not replica.is_voter():
                await replica.clock.sleep_ms(settings.election_min_ms)
                continue
            try:
                await self._campaign()
            except BulrushleadError:
                return  # The storage has failed; the journal has logged it.
            if replica.leadership is None:
                spread_ms = settings.election_max_ms - settings.election_min_ms
                share = replica.rng.uniform(RETRY_SHARE_MIN, 1.0)
                await replica.clock.sleep_ms(spread_ms * share)

    async def answer(self, request: VoteRequest) -> VoteReply:
        """Give or refuse a vote, or tell whether it would be given.

        Parameters
        ----------
        request : VoteRequest
            The campaign of another replica.

        Returns
        -------
        VoteReply
            Granted only after the vote is on the disk.
        """
        replica = self.replica
        replica.check_addressee(request.target_id, request.cluster_id)
        # The leader's lease rests on this: nobody who acknowledged it helps to
        # elect another one before the shortest election time has passed.
        if replica.heard_recently() or replica.leadership is not None:
            return VoteReply(replica.term)
        if request.term < replica.term or not self._is_current(request):
            if not request.trial:
                replica.observe_term(request.term)
            return VoteReply(replica.term)
        if request.trial:
            return VoteReply(replica.term, granted=True)
        return await self._vote(request)

    async def _vote(self, request: VoteRequest) -> VoteReply:
        replica = self.replica
        replica.observe_term(request.term)
        state = replica.journal.vote_state
        if state.voted_for not in ("", request.sender_id):
            return VoteReply(replica.term)
        replica.heard_ms = replica.clock.now_ms()
        voted = VoteState(request.term, request.sender_id, state.cluster_id)
        if voted != state:
            replica.journal.set_vote_state(voted)
        await replica.journal.sync()
        state = replica.journal.vote_state
        still = (state.term, state.voted_for) == (request.term, request.sender_id)
        return VoteReply(replica.term, granted=still)

    def _is_current(self, request: VoteRequest) -> bool:
        journal = self.replica.journal
        candidate = (request.last_term, request.last_index)
        return candidate >= (journal.last_term, journal.last_index)

    async def _campaign(self) -> None:
        replica = self.replica
        if await self._gather(replica.term + 1, trial=True) is None:
            return
        if replica.heard_recently():
            return
        state = replica.journal.vote_state
        term = state.term + 1
        replica.journal.set_vote_state(
            VoteState(term, replica.replica_id, state.cluster_id)
        )
        replica.leader_address = None
        await replica.journal.sync()
        votes = await self._gather(term, trial=False)
        if votes is not None and replica.term == term and replica.is_voter():
            replica.lead(Leadership(replica, term, votes))

    async def _gather(self, term: int, trial: bool) -> dict[str, float] | None:
        """Return when each vote was asked for, or None without a quorum."""
        replica = self.replica
        voters = replica.journal.members.voters()
        others = [v for v in voters if v.replica_id != replica.replica_id]
        votes = {replica.replica_id: replica.clock.now_ms()}
        quorum_size = replica.journal.members.quorum_size()
        pending = {asyncio.create_task(self._ask(v, term, trial)): v for v in others}
        try:
            while len(votes) < quorum_size and pending:
                sent_ms = votes[replica.replica_id]
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in [task for task in pending if task.done()]:
                    voter = pending.pop(task)
                    if task.result():
                        votes[voter.replica_id] = sent_ms
        finally:
            for task in pending:
                task.cancel()
        return votes if len(votes) >= quorum_size else None

    async def _ask(self, voter: Member, term: int, trial: bool) -> bool:
        replica = self.replica
        request = VoteRequest(
            cluster_id=replica.cluster_id,
            target_id=voter.replica_id,
            sender_id=replica.replica_id,
            term=term,
            last_index=replica.journal.last_index,
            last_term=replica.journal.last_term,
            trial=trial,
        )
        link = replica.link_to(voter.address)
        try:
            reply = await link.call(request, replica.settings.call_timeout_ms)
        except BulrushleadError:
            return False
        replica.observe_term(reply.term)
        return reply.granted

    def _patience_ms(self) -> float:
        settings = self.replica.settings
        if self.replica.journal.members.quorum_size() == 1:
            return settings.election_min_ms
        return self.replica.rng.uniform(
            settings.election_min_ms, settings.election_max_ms
        )
