"""Leader election with pre-votes."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from bulrushlead.logs import Event
from bulrushlead.replication._change_log import ChangeLog
from bulrushlead.replication._leadership import Leadership
from bulrushlead.replication._messages import Member, VoteReply, VoteRequest
from bulrushlead.results import BulrushleadError

if TYPE_CHECKING:
    from bulrushlead.replication._replica import Replica

# Lower bound of the delay before another campaign, as a share of the difference
# between the longest and the shortest election timeout.
MIN_RETRY_DELAY_SHARE = 0.5
MAX_LOGGED_VOTERS = 16


@attrs.define
class Ballot:
    """Votes or pre-votes of one campaign.

    Parameters
    ----------
    term : int
        Term of the campaign.
    trial : bool
        Whether pre-votes are collected.
    quorum_size : int
        Votes needed.
    times_ms : dict of str to float
        When each granted vote was requested, by identity, in milliseconds.
    granted : list of str
        Addresses of the voters that granted their vote.
    refused, unanswered : dict of str to str
        Addresses of the voters that refused, with the reason, and of those that did
        not answer or are no longer the voter, with the name of the error.
    """

    term: int
    trial: bool
    quorum_size: int
    times_ms: dict[str, float] = attrs.field(factory=dict)
    granted: list[str] = attrs.field(factory=list)
    refused: dict[str, str] = attrs.field(factory=dict)
    unanswered: dict[str, str] = attrs.field(factory=dict)

    @property
    def is_won(self) -> bool:
        """Whether a quorum granted its votes."""
        return len(self.times_ms) >= self.quorum_size


class Election:
    """Campaigns when there is no leader, and answers vote requests.

    Parameters
    ----------
    replica : Replica
        The replica that votes and campaigns.
    """

    def __init__(self, replica: "Replica"):
        self.replica = replica
        self._failures = ChangeLog(replica.log, replica.clock)

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
        if replica.leadership is not None:
            return VoteReply(replica.term, refusal="leads itself")
        if replica.has_recent_contact():
            return VoteReply(replica.term, refusal="heard a leader or voted recently")
        refusal = self._find_refusal(request)
        if refusal:
            if not request.trial:
                replica.observe_term(request.term)
            return VoteReply(replica.term, refusal=refusal)
        if request.trial:
            return VoteReply(replica.term, granted=True)
        return await self._grant_vote(request)

    async def _grant_vote(self, request: VoteRequest) -> VoteReply:
        replica = self.replica
        replica.observe_term(request.term)
        state = replica.journal.vote_state
        if state.voted_for not in ("", request.sender_id):
            return VoteReply(replica.term, refusal="voted for another in this term")
        replica.last_contact_ms = replica.clock.now_ms()
        new_state = attrs.evolve(state, term=request.term, voted_for=request.sender_id)
        if new_state != state:
            replica.journal.set_vote_state(new_state)
        await replica.journal.sync()
        state = replica.journal.vote_state
        is_unchanged = (state.term, state.voted_for) == (
            request.term,
            request.sender_id,
        )
        return VoteReply(replica.term, granted=is_unchanged)

    def _find_refusal(self, request: VoteRequest) -> str:
        """Return why the candidate must not lead, or an empty string."""
        replica, journal = self.replica, self.replica.journal
        if request.term < replica.term:
            return f"is in term {replica.term}"
        last = (journal.last_term, journal.last_index)
        if (request.last_term, request.last_index) < last:
            return f"has entry {last[1]} of term {last[0]}"
        return ""

    async def _campaign(self) -> None:
        replica = self.replica
        trial = await self._collect_votes(replica.term + 1, trial=True)
        if not trial.is_won:
            self._log_failure(trial)
            return
        if replica.has_recent_contact():
            return
        state = replica.journal.vote_state
        term = state.term + 1
        replica.journal.set_vote_state(
            attrs.evolve(state, term=term, voted_for=replica.replica_id)
        )
        replica.leader_address = None
        await replica.journal.sync()
        ballot = await self._collect_votes(term, trial=False)
        if ballot.is_won and replica.term == term and replica.is_voter():
            self._failures.forget(replica.replica_id)
            replica.become_leader(Leadership(replica, term, ballot.times_ms))
        else:
            self._log_failure(ballot)

    async def _collect_votes(self, term: int, trial: bool) -> Ballot:
        """Ask all voters, and return once a quorum or every one has answered."""
        replica = self.replica
        members = replica.journal.members
        sent_ms = replica.clock.now_ms()
        ballot = Ballot(term, trial, members.quorum_size())
        ballot.times_ms[replica.replica_id] = sent_ms
        pending = {
            asyncio.create_task(self._request_vote(v, term, trial)): v
            for v in members.voters()
            if v.replica_id != replica.replica_id
        }
        try:
            while not ballot.is_won and pending:
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in [task for task in pending if task.done()]:
                    voter = pending.pop(task)
                    reply = task.result()
                    if isinstance(reply, BulrushleadError):
                        ballot.unanswered[voter.address] = reply.code.name
                    elif reply.granted:
                        ballot.times_ms[voter.replica_id] = sent_ms
                        ballot.granted.append(voter.address)
                    else:
                        ballot.refused[voter.address] = reply.refusal
        finally:
            for task in pending:
                task.cancel()
        return ballot

    async def _request_vote(
        self, voter: Member, term: int, trial: bool
    ) -> VoteReply | BulrushleadError:
        """Return the answer of a voter, or the error of the call."""
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
        except BulrushleadError as error:
            return error
        replica.observe_term(reply.term)
        return reply

    def _log_failure(self, ballot: Ballot) -> None:
        replica = self.replica
        members = replica.journal.members
        self._failures.write(
            Event.CAMPAIGN_FAILED,
            replica.replica_id,
            (
                ballot.trial,
                ballot.quorum_size,
                sorted(ballot.granted),
                sorted(ballot.refused),
                sorted(ballot.unanswered.items()),
            ),
            replica_id=replica.replica_id,
            term=ballot.term,
            known_term=replica.term,
            trial=ballot.trial,
            voters=len(members.voters()),
            votes_needed=ballot.quorum_size,
            votes=len(ballot.times_ms),
            granted=sorted(ballot.granted)[:MAX_LOGGED_VOTERS],
            refused=_first_sorted(ballot.refused),
            unanswered=_first_sorted(ballot.unanswered),
            last_index=replica.journal.last_index,
            last_term=replica.journal.last_term,
            leaderless_ms=round(replica.clock.now_ms() - replica.leader_seen_ms),
        )

    def _election_timeout_ms(self) -> float:
        settings = self.replica.settings
        if self.replica.journal.members.quorum_size() == 1:
            return settings.election_min_ms
        return self.replica.rng.uniform(
            settings.election_min_ms, settings.election_max_ms
        )


def _first_sorted(details: dict[str, str]) -> dict[str, str]:
    return dict(sorted(details.items())[:MAX_LOGGED_VOTERS])
