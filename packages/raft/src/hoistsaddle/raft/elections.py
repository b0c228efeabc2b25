"""Elections: who leads, who follows whom, pre-votes before votes, and stepping down."""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import ProposalResult, ReadResult
from hoistsaddle.raft.replica import CANDIDATE, FOLLOWER, LEADER, NOT_LEADER_FOR_PARTITION
from hoistsaddle.raft.voters import ReplicaKey
from hoistsaddle.rpc.messages import (
    UNSET,
    BeginEpochCall,
    EndEpochCall,
    EpochAcknowledged,
    FetchAnswer,
    VoteAnswer,
    VoteCall,
)
from hoistsaddle.statemachine.commands import LeaderChange
from hoistsaddle.statemachine.encoding import pack_command

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# Parts of an election time-out that a follower still waits: once the leader's process is gone, once the leader resigned
# and named nobody, and once it resigned and named another replica. Some spread keeps followers from standing at once.
REFUSED_FRACTION = 0.2
RESIGNED_FRACTION = 0.15
SUCCESSOR_NAMED_FRACTION = 0.5
# The part of an election time-out by which candidates spread their further attempts.
VOTE_RETRY_FRACTION = 0.5
# A write that has waited for this part of the disk's time-out keeps a replica from standing.
ELECTABLE_STALL_DIVISOR = 3


class Elections:
    """Who leads and who follows, seen from one replica."""

    def __init__(self, core: "RaftCore") -> None:
        """Draws the first election time-out."""
        self.core = core
        # After a start nobody is known to lead. Should somebody, its call comes first, and the voters that hear it
        # refuse the pre-vote; if nobody does, all were down and every millisecond counts.
        self.election_at = core.now + self.random_timeout() * core.timings.startup_election_fraction
        # When the leader was heard last; None while no leader is heard.
        self.leader_heard_at: timedelta | None = None
        # Whether the candidacy under way is a pre-vote, and who granted it.
        self.pre_vote = False
        self.granted: set[ReplicaKey] = set()

    def random_timeout(self) -> timedelta:
        """An election time-out drawn anew."""
        timings = self.core.timings
        spread = timings.election_timeout_max - timings.election_timeout_min
        return timings.election_timeout_min + spread * self.core.random.random()

    def postpone(self) -> None:
        """Starts the election time-out anew."""
        self.election_at = self.core.now + self.random_timeout()

    def connection_refused(self, replica: int) -> None:
        """The leader's process is gone: no need to wait until its time-out has passed."""
        core = self.core
        if replica != core.leader or core.role == LEADER:
            return
        self.leader_heard_at = None
        core.log_fetcher.fetch_sent_at = None
        # A leader that is back by then answers the fetches.
        self.election_at = min(self.election_at, core.now + self.random_timeout() * REFUSED_FRACTION)

    # -- following and stepping down ---------------------------------------------------------------------------------

    def step_down(self, epoch: int, leader: int) -> None:
        """Becomes a follower, of a newer epoch or of the present one; leader is UNSET while it is not known."""
        core = self.core
        former_role = core.role
        if epoch > core.epoch:
            core.epoch = epoch
            core.vote = None
            core.persist()
        if former_role == LEADER:
            self._close_leadership(leader)
            core.announce("leader stepped down", leader=leader)
        core.role = FOLLOWER
        core.replication.level_being_raised = 1
        core.leader = leader
        self.leader_heard_at = None
        self.postpone()
        self.granted = set()

    def _close_leadership(self, leader: int) -> None:
        """Answers everything that waits for this leader, and forgets it."""
        core = self.core
        replication = core.replication
        for ticket in list(replication.proposals):
            # The records may still commit under the next leader, so the true answer is "unsure".
            core.commands.append(ProposalResult(ticket, str(ErrorKind.UNSURE), leader, UNSET, ()))
        for read in core.reads.pending:
            core.commands.append(ReadResult(read.ticket, str(ErrorKind.NOT_LEADER), leader, None))
        for fetch in replication.pending_fetches.values():
            core.answer(fetch.ticket, FetchAnswer(NOT_LEADER_FOR_PARTITION, core.epoch, leader))
        replication.proposals = {}
        replication.ticket_of = {}
        core.reads.pending = []
        replication.pending_fetches = {}
        replication.progress = {}

    def follow(self, epoch: int, leader: int) -> None:
        """Follows the leader of this or a newer epoch."""
        core = self.core
        if epoch < core.epoch or (epoch == core.epoch and core.leader == leader and core.role == FOLLOWER):
            return
        self.step_down(epoch, leader)
        core.log_fetcher.newest_round = 0
        # Hearing of a leader gives it time to answer the first fetch.
        core.announce("following", leader=leader)
        # The checkpoint being fetched was the old leader's. What is held here stayed complete, so the new one is asked
        # for the log after it; where that is gone, or nothing is held, it says where to begin.
        core.snapshot_fetcher.abandon("")
        core.log_fetcher.fetch()

    def begin_epoch_call(self, ticket: int, call: BeginEpochCall) -> None:
        """A leader says that it leads."""
        core = self.core
        # A leader of another mesh is no leader here; a blank disk takes the first that calls.
        if (not core.mesh or call.mesh == core.mesh) and call.epoch >= core.epoch and call.leader != core.replica:
            self.follow(call.epoch, call.leader)
        core.answer(ticket, EpochAcknowledged(core.epoch))

    def end_epoch_call(self, ticket: int, call: EndEpochCall) -> None:
        """A leader says that it resigns."""
        self._leader_resigned(call)
        self.core.answer(ticket, EpochAcknowledged(self.core.epoch))

    def epoch_acknowledged(self, answer: EpochAcknowledged) -> None:
        """A replica's answer to the call of a leader."""
        # A higher epoch elsewhere means this leadership is over or can't reach that replica: stand again.
        if answer.epoch > self.core.epoch:
            self.step_down(answer.epoch, UNSET)

    def resign(self, *, successor: int = UNSET) -> None:
        """Gives up the lead and tells the others, with the replica that is to stand at once if there is one."""
        core = self.core
        for replica in core.others():
            core.send(replica, EndEpochCall(core.epoch, core.replica, successor))
        self.step_down(core.epoch, UNSET)

    def _leader_resigned(self, call: EndEpochCall) -> None:
        """The leader goes. Whom it names stands at once; the others wait, shorter if it names nobody."""
        core = self.core
        # Its answer to the last fetch may have come first and said that it no longer leads.
        if call.epoch != core.epoch or core.leader not in (call.leader, UNSET):
            return
        core.leader = UNSET
        self.leader_heard_at = None
        if call.successor == core.replica and self.is_electable():
            core.announce("called to stand", by=call.leader)
            self.campaign(pre_vote=False, leadership_transfer=True)
            return
        fraction = RESIGNED_FRACTION if call.successor == UNSET else SUCCESSOR_NAMED_FRACTION
        self.election_at = core.now + self.random_timeout() * fraction

    # -- candidacy ---------------------------------------------------------------------------------------------------

    def is_electable(self) -> bool:
        """Whether this replica may stand."""
        core = self.core
        # A disk that can't write now couldn't lead either.
        stalled = core.disk_delay() > core.timings.disk_stall_timeout / ELECTABLE_STALL_DIVISOR
        return core.complete and core.is_voter() and not core.leaving.stopping and not stalled and not core.halted

    def campaign(self, *, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Asks all replicas for their votes, or for a pre-vote that raises nobody's epoch.

        Args:
            pre_vote: Whether the replicas only say how they would vote.
            leadership_transfer: Whether the leader named this replica for its place.
        """
        core = self.core
        core.role = CANDIDATE
        self.pre_vote = pre_vote
        core.leader = UNSET
        if not pre_vote:
            core.epoch += 1
            core.vote = core.key
            core.persist()
        self.granted = {core.key}
        self.election_at = core.now + core.timings.vote_retry_interval + self.random_timeout() * VOTE_RETRY_FRACTION
        position = core.vote_position
        call = VoteCall(
            core.mesh,
            core.epoch + 1 if pre_vote else core.epoch,
            core.replica,
            core.incarnation,
            position.offset,
            position.epoch,
            pre_vote,
            core.level,
            leadership_transfer,
        )
        for replica in core.others():
            core.send(replica, call)
        self.count_votes()

    def vote_call(self, ticket: int, call: VoteCall) -> None:
        """Answers a candidate, after its vote is on the disk."""
        granted = self._grants(call)
        core = self.core
        core.answer(ticket, VoteAnswer(core.epoch, core.replica, core.incarnation, granted, call.pre_vote, call.epoch))

    def _grants(self, call: VoteCall) -> bool:
        """Whether the candidate gets this replica's vote or pre-vote; a vote that is given is written."""
        core = self.core
        # A blank or foreign disk never votes: it can't know what its predecessor promised.
        # A complete replica that its own log doesn't show as a voter may be one by a record that it hasn't fetched yet;
        # its vote is kept on its disk and counts in those sets alone that name this disk.
        if (
            not (core.is_voter() or core.complete)
            or call.mesh != core.mesh
            or self._hears_leader(call)
            or call.epoch < core.epoch
            or core.halted
        ):
            return False
        # A leader must be able to apply whatever the log may hold.
        if call.level < core.state.level:
            return False
        position = core.vote_position
        up_to_date = (call.last_epoch, call.last_offset) >= (position.epoch, position.offset)
        if call.pre_vote:
            return up_to_date and call.epoch > core.epoch
        if call.epoch > core.epoch:
            self.step_down(call.epoch, UNSET)
        candidate = (call.replica, call.incarnation)
        if not up_to_date or core.vote not in (None, candidate) or core.leader != UNSET:
            return False
        if core.vote is None:
            core.vote = candidate
            core.persist()
        self.postpone()
        return True

    def _hears_leader(self, call: VoteCall) -> bool:
        """While a leader answers, a vote request from elsewhere would only disturb it, unless the leader asked for it.

        What KIP-996 and Raft's thesis call the leader's stickiness.
        """
        core = self.core
        if call.leadership_transfer:
            return False
        if core.role == LEADER:
            return True
        return self.leader_heard_at is not None and core.now - self.leader_heard_at < core.timings.election_timeout_min

    def vote_answer(self, answer: VoteAnswer) -> None:
        """A replica's answer to this candidate."""
        core = self.core
        if answer.epoch > core.epoch:
            self.step_down(answer.epoch, UNSET)
            return
        expected = core.epoch + 1 if self.pre_vote else core.epoch
        if (
            core.role == CANDIDATE
            and answer.granted
            and answer.pre_vote == self.pre_vote
            and answer.vote_epoch == expected
        ):
            self.granted.add((answer.replica, answer.incarnation))
            self.count_votes()

    def count_votes(self) -> None:
        """Goes on once a majority granted: from the pre-vote to the vote, from the vote to leading."""
        core = self.core
        if not core.is_majority(self.granted):
            return
        if self.pre_vote:
            self.campaign(pre_vote=False)
            return
        core.role = LEADER
        core.leader = core.replica
        core.snapshot_fetcher.abandon("")
        self.leader_heard_at = None
        core.log_fetcher.fetch_sent_at = None
        core.reads.pending = []
        core.replication.begin_leading()
        core.announce("leading", offset=core.replication.epoch_began)
        core.append((core.replication.new_record(pack_command(LeaderChange(core.replica))),))
        self.call_to_follow(everyone=True)
        core.replication.advance()

    def call_to_follow(self, *, everyone: bool) -> None:
        """Leader: tells the others that it leads, those that fetch only if everyone is to hear it."""
        core = self.core
        core.replication.begin_epoch_sent_at = core.now
        fetching = {
            replica
            for (replica, _), progress in core.replication.progress.items()
            if core.now - progress.heard_at < core.timings.fetch_timeout
        }
        for replica in core.others():
            if everyone or replica not in fetching:
                core.send(replica, BeginEpochCall(core.mesh, core.epoch, core.replica))
