"""Leader election with pre-votes."""

import asyncio
from typing import TYPE_CHECKING

from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._messages import Member, VoteReply, VoteRequest, VoteState
from bulrushlead.results import BulrushleadError

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

# Lower bound of the delay before another campaign, as a share of the difference
# between the longest and the shortest election timeout.
MIN_RETRY_DELAY_SHARE = 0.5


class Election:
    """Campaigns when there is no leader, and answers vote requests.

    Parameters
    ----------
    replica : Replica
        The replica that votes and campaigns.
    """

    def __init__(self, replica: "Replica"):
        self.replica = replica

    async def run(self) -> None:
        """Campaign whenever a randomized election timeout passes without a leader."""
        replica, settings = self.replica, self.replica.settings
        while True:
            election_timeout_ms = self._election_timeout_ms()
            while (
                due_ms := replica.last_contact_ms + election_timeout_ms
            ) > replica.clock.now_ms():
                await replica.clock.sleep_ms(due_ms - replica.clock.now_ms())
            if replica.leadership is not None or not replica.is_voter():
                await replica.clock.sleep_ms(settings.election_min_ms)
                continue
            try:
                await self._campaign()
            except BulrushleadError:
                return  # The storage failed; the journal has logged it.
            if replica.leadership is None:
                spread_ms = settings.election_max_ms - settings.election_min_ms
                share = replica.rng.uniform(MIN_RETRY_DELAY_SHARE, 1.0)
                await replica.clock.sleep_ms(spread_ms * share)

    async def answer_vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote or a pre-vote.

        Parameters
        ----------
        request : VoteRequest
            Request of a candidate.

        Returns
        -------
        VoteReply
            A vote is granted only after it is on disk. A pre-vote is not stored.
        """
        replica = self.replica
        replica.check_addressee(request.target_id, request.cluster_id)
        # The leader's lease depends on this: a replica that acknowledged the leader
        # votes for no other candidate within the shortest election timeout.
        if replica.has_recent_contact() or replica.leadership is not None:
            return VoteReply(replica.term)
        if request.term < replica.term or not self._is_log_up_to_date(request):
            if not request.trial:
                replica.observe_term(request.term)
            return VoteReply(replica.term)
        if request.trial:
            return VoteReply(replica.term, granted=True)
        return await self._grant_vote(request)

    async def _grant_vote(self, request: VoteRequest) -> VoteReply:
        replica = self.replica
        replica.observe_term(request.term)
        state = replica.journal.vote_state
        if state.voted_for not in ("", request.sender_id):
            return VoteReply(replica.term)
        replica.last_contact_ms = replica.clock.now_ms()
        new_state = VoteState(request.term, request.sender_id, state.cluster_id)
        if new_state != state:
            replica.journal.set_vote_state(new_state)
        await replica.journal.sync()
        state = replica.journal.vote_state
        is_unchanged = (state.term, state.voted_for) == (
            request.term,
            request.sender_id,
        )
        return VoteReply(replica.term, granted=is_unchanged)

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        journal = self.replica.journal
        candidate = (request.last_term, request.last_index)
        return candidate >= (journal.last_term, journal.last_index)

    async def _campaign(self) -> None:
        replica = self.replica
        if await self._collect_votes(replica.term + 1, trial=True) is None:
            return
        if replica.has_recent_contact():
            return
        state = replica.journal.vote_state
        term = state.term + 1
        replica.journal.set_vote_state(
            VoteState(term, replica.replica_id, state.cluster_id)
        )
        replica.leader_address = None
        await replica.journal.sync()
        votes = await self._collect_votes(term, trial=False)
        if votes is not None and replica.term == term and replica.is_voter():
            replica.become_leader(Leadership(replica, term, votes))

    async def _collect_votes(self, term: int, trial: bool) -> dict[str, float] | None:
        """Return when each vote was requested, in ms, or None without a quorum."""
        replica = self.replica
        voters = replica.journal.members.voters()
        others = [v for v in voters if v.replica_id != replica.replica_id]
        votes = {replica.replica_id: replica.clock.now_ms()}
        quorum_size = replica.journal.members.quorum_size()
        pending = {
            asyncio.create_task(self._request_vote(v, term, trial)): v for v in others
        }
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

    async def _request_vote(self, voter: Member, term: int, trial: bool) -> bool:
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

    def _election_timeout_ms(self) -> float:
        settings = self.replica.settings
        if self.replica.journal.members.quorum_size() == 1:
            return settings.election_min_ms
        return self.replica.rng.uniform(
            settings.election_min_ms, settings.election_max_ms
        )
