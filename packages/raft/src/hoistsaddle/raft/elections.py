"""Elections: pre-votes, votes, following a leader, and stepping down."""

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

# The fraction of an election timeout that a follower still waits before it becomes a candidate: after the leader's
# process has gone, after the leader resigned without naming a successor, and after it resigned and named another
# replica. The timeout is random, which keeps followers from becoming candidates at the same time.
REFUSED_FRACTION = 0.2
RESIGNED_FRACTION = 0.15
SUCCESSOR_NAMED_FRACTION = 0.5
# The fraction of an election timeout that is added to the interval between the attempts of a candidate.
VOTE_RETRY_FRACTION = 0.5
# A replica whose oldest write has waited for the timeout of its disk divided by this does not become a candidate.
ELECTABLE_STALL_DIVISOR = 3


class Elections:
    """The election state of one replica: as a follower, as a candidate and as a leader."""

    def __init__(self, core: "RaftCore") -> None:
        """Draws the first election timeout."""
        self.core = core
        # No leader is known after a start. If there is one, its call arrives first, and the voters that follow it
        # refuse the pre-vote. If there is none, all replicas were down, and this timeout adds to the recovery time.
        self.election_deadline = core.now + self.random_timeout() * core.timings.startup_election_fraction
        # When the leader last answered; None while no leader answers.
        self.leader_heard_at: timedelta | None = None
        # Whether the current candidacy is a pre-vote, and the replicas that granted it.
        self.pre_vote = False
        self.granted: set[ReplicaKey] = set()

    def random_timeout(self) -> timedelta:
        """Draws an election timeout."""
        timings = self.core.timings
        spread = timings.election_timeout_max - timings.election_timeout_min
        return timings.election_timeout_min + spread * self.core.random.random()

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a new timeout."""
        self.election_deadline = self.core.now + self.random_timeout()

    def connection_refused(self, replica: int) -> None:
        """Shortens the election timeout if the replica is the leader: its process has gone."""
        core = self.core
        if replica != core.leader or core.role == LEADER:
            return
        self.leader_heard_at = None
        core.log_fetcher.fetch_sent_at = None
        # A leader that restarts within this time answers the fetches.
        self.election_deadline = min(self.election_deadline, core.now + self.random_timeout() * REFUSED_FRACTION)

    # -- following and stepping down ---------------------------------------------------------------------------------

    def step_down(self, epoch: int, leader: int) -> None:
        """Becomes a follower in a newer epoch or in the current one; leader is UNSET while it is not known."""
        core = self.core
        former_role = core.role
        if epoch > core.epoch:
            core.epoch = epoch
            core.vote = None
            core.persist()
        if former_role == LEADER:
            self._close_term(leader)
            core.announce("leader stepped down", leader=leader)
        core.role = FOLLOWER
        core.replication.level_being_raised = 1
        core.leader = leader
        self.leader_heard_at = None
        self.reset_election_timer()
        self.granted = set()

    def _close_term(self, leader: int) -> None:
        """Answers all pending requests of this leader's term and clears the term's state."""
        core = self.core
        replication = core.replication
        for ticket in list(replication.proposals):
            # The records may still commit under the next leader, so the outcome is not known.
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
        # The restarted election timer gives the new leader time to answer the first fetch.
        core.announce("following", leader=leader)
        # The checkpoint being fetched was the old leader's. The log and state of this replica are still complete, so it
        # fetches the log after them from the new leader. If that part of the log has been trimmed, or this replica has
        # no state, the new leader answers with a checkpoint.
        core.snapshot_fetcher.abandon("")
        core.log_fetcher.fetch()

    def begin_epoch_call(self, ticket: int, call: BeginEpochCall) -> None:
        """Handles the announcement of a leader."""
        core = self.core
        # Ignores the leader of another mesh; a replica with a blank disk accepts the first leader that calls.
        if (not core.mesh or call.mesh == core.mesh) and call.epoch >= core.epoch and call.leader != core.replica:
            self.follow(call.epoch, call.leader)
        core.answer(ticket, EpochAcknowledged(core.epoch))

    def end_epoch_call(self, ticket: int, call: EndEpochCall) -> None:
        """Handles the resignation of a leader."""
        self._leader_resigned(call)
        self.core.answer(ticket, EpochAcknowledged(self.core.epoch))

    def epoch_acknowledged(self, answer: EpochAcknowledged) -> None:
        """Handles a replica's answer to a leader's call."""
        # A higher epoch means that this leader is superseded or can't lead that replica: it must be elected again.
        if answer.epoch > self.core.epoch:
            self.step_down(answer.epoch, UNSET)

    def resign(self, *, successor: int = UNSET) -> None:
        """Resigns as leader and informs the other replicas.

        Args:
            successor: The replica that is to become a candidate at once; UNSET for none.
        """
        core = self.core
        for replica in core.others():
            core.send(replica, EndEpochCall(core.epoch, core.replica, successor))
        self.step_down(core.epoch, UNSET)

    def _leader_resigned(self, call: EndEpochCall) -> None:
        """Becomes a candidate at once if this replica is the named successor; otherwise shortens the election timeout.

        The timeout is shorter still if the leader named no successor.
        """
        core = self.core
        # The leader may be unknown here already: its answer to the last fetch may have come first and reported this.
        if call.epoch != core.epoch or core.leader not in (call.leader, UNSET):
            return
        core.leader = UNSET
        self.leader_heard_at = None
        if call.successor == core.replica and self.is_electable():
            core.announce("called to stand", by=call.leader)
            self.campaign(pre_vote=False, leadership_transfer=True)
            return
        fraction = RESIGNED_FRACTION if call.successor == UNSET else SUCCESSOR_NAMED_FRACTION
        self.election_deadline = core.now + self.random_timeout() * fraction

    # -- candidacy ---------------------------------------------------------------------------------------------------

    def is_electable(self) -> bool:
        """Whether this replica may become a candidate."""
        core = self.core
        # A replica whose disk is stalled could not commit anything as leader.
        stalled = core.disk_delay() > core.timings.disk_stall_timeout / ELECTABLE_STALL_DIVISOR
        return core.complete and core.is_voter() and not core.leaving.stopping and not stalled and not core.halted

    def campaign(self, *, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Requests votes from all replicas, or pre-votes, which leave every epoch as it is.

        Args:
            pre_vote: Whether to request pre-votes: each replica only answers how it would vote.
            leadership_transfer: Whether the leader named this replica as its successor.
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
        self.election_deadline = (
            core.now + core.timings.vote_retry_interval + self.random_timeout() * VOTE_RETRY_FRACTION
        )
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
        """Answers a candidate once the vote is on the disk."""
        granted = self._grants_vote(call)
        core = self.core
        core.answer(ticket, VoteAnswer(core.epoch, core.replica, core.incarnation, granted, call.pre_vote, call.epoch))

    def _grants_vote(self, call: VoteCall) -> bool:
        """Whether this replica grants its vote or pre-vote; a granted vote is written to the disk."""
        core = self.core
        # A blank disk, or one of another mesh, never votes: it can't know which votes its predecessor granted.
        # A complete replica that is no voter according to its own log may be one by a record that it hasn't fetched
        # yet. Its vote is kept on its disk and counts only in the voter sets that contain its incarnation.
        if (
            not (core.is_voter() or core.complete)
            or call.mesh != core.mesh
            or self._has_live_leader(call)
            or call.epoch < core.epoch
            or core.halted
        ):
            return False
        # A leader must be able to apply every record that the log may contain.
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
        self.reset_election_timer()
        return True

    def _has_live_leader(self, call: VoteCall) -> bool:
        """Whether a leader is alive, so that a vote request would only disrupt it, unless it is a leadership transfer.

        KIP-996 and the Raft thesis call this leader stickiness.
        """
        core = self.core
        if call.leadership_transfer:
            return False
        if core.role == LEADER:
            return True
        return self.leader_heard_at is not None and core.now - self.leader_heard_at < core.timings.election_timeout_min

    def vote_answer(self, answer: VoteAnswer) -> None:
        """Handles a replica's answer to this candidate."""
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
        """Once a majority has granted: proceeds from the pre-vote to the vote, or from the vote to leadership."""
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
        core.announce("leading", offset=core.replication.epoch_start_offset)
        core.append((core.replication.new_record(pack_command(LeaderChange(core.replica))),))
        self.send_begin_epoch(include_fetching=True)
        core.replication.advance()

    def send_begin_epoch(self, *, include_fetching: bool) -> None:
        """Leader: announces itself to the other replicas; include_fetching adds those that are fetching from it."""
        core = self.core
        core.replication.begin_epoch_sent_at = core.now
        fetching = {
            replica
            for (replica, _), progress in core.replication.progress.items()
            if core.now - progress.last_fetch_at < core.timings.fetch_timeout
        }
        for replica in core.others():
            if include_fetching or replica not in fetching:
                core.send(replica, BeginEpochCall(core.mesh, core.epoch, core.replica))
