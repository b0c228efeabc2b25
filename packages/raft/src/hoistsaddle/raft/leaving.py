"""Graceful shutdown: before a replica stops, all committed records must be on a majority of voters without it.

A stopping leader first replaces itself as a voter by a ready successor through the log, if there is one. It then stops
accepting proposals, completes the pending ones and transfers its leadership to the most caught-up voter. From then on,
like any stopping follower, it keeps fetching with the leaving flag set, until every live voter has all committed
records and its vote has passed to a ready successor, if there is one. All of this ends at the configured deadline.
"""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.events import Ended
from hoistsaddle.raft.replica import LEADER
from hoistsaddle.raft.voters import ReplicaKey
from hoistsaddle.rpc.messages import LEAVE_ALLOWED, LEAVE_UNANSWERED, LEAVE_WAIT, UNSET, FetchAnswer, FetchCall
from hoistsaddle.statemachine.commands import LEVEL_OF, ReplaceVoter

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# A leader waits for a successor that is still catching up for the time given to stop divided by this.
CATCH_UP_DIVISOR = 2
# Within so many fetch_max_wait intervals the others may not have fetched the record that removes the leader's vote.
VOTE_REMOVAL_FETCH_WAITS = 2
# A leader that transfers its leadership waits for pending proposals for the quorum timeout divided by this.
TRANSFER_DIVISOR = 2
# One answer without a leave status may have been in flight already; more come from a release without planned leaves.
MAX_IGNORED_LEAVES = 1


class Leaving:
    """Both sides of a planned leave: the replica that stops, and the leader that allows it."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins with no stop requested."""
        self.core = core
        self.stopping = False
        self.stop_requested_at = core.now
        # When the replica ends in any case.
        self.stop_deadline = core.now
        self.ended = False
        # The number of successive answers without a leave status.
        self.ignored_leaves = 0
        # Since when this leader accepts no proposals because it is transferring its leadership.
        self.transfer_since: timedelta | None = None
        # Since when this leader, while stopping, has no longer been a voter.
        self.voteless_since: timedelta | None = None

    # -- the stopping replica ----------------------------------------------------------------------------------------

    def stop(self, span: timedelta) -> None:
        """Begins to leave, within the given time; with zero the replica ends at once."""
        core = self.core
        self.stopping = True
        self.stop_requested_at = core.now
        self.stop_deadline = core.now + span
        if not span:
            if core.role == LEADER:
                core.elections.resign()
            self._end("no time to hand over")
        elif core.halted or not core.complete or not core.is_voter():
            self._end("not a voter")
        elif core.role != LEADER and core.leader != UNSET:
            # Sent at once, in place of the fetch that may be pending at the leader.
            core.log_fetcher.fetch()

    def tick(self) -> None:
        """Continues to leave; ends at the deadline, or when there is no leader to wait for."""
        core = self.core
        if self.ended:
            return
        waited = core.now - self.stop_requested_at
        if core.now >= self.stop_deadline:
            if core.role == LEADER:
                core.elections.resign()
            self._end("time over")
        elif core.role == LEADER:
            self._transfer_leadership(waited)
        elif core.now - max(core.log_fetcher.leader_known_at, self.stop_requested_at) >= core.timings.quorum_timeout:
            # Most likely all replicas are stopping together, so no leader will allow this one to leave.
            self._end("no leader")

    def _transfer_leadership(self, waited: timedelta) -> None:
        """Keeps leading while a successor catches up; then completes pending proposals and names the next leader."""
        core = self.core
        if core.is_voter():
            span = self.stop_deadline - self.stop_requested_at
            if self._has_potential_successor() and waited < span / CATCH_UP_DIVISOR:
                # The successor already follows this leader and would first have to discover another one. The vote
                # passes to it through the log.
                return
        elif self.voteless_since is None:
            self.voteless_since = core.now
        successor = self._next_leader()
        if successor is None:
            if waited >= core.timings.quorum_timeout:
                core.elections.resign()
                self._end("no successor")
            return
        vote_removal_wait = core.timings.fetch_max_wait * VOTE_REMOVAL_FETCH_WAITS
        if self.voteless_since is not None and core.now - self.voteless_since < vote_removal_wait:
            # The others must first learn that this replica is no voter any more, or their election would need its vote.
            return
        # Pending proposals are completed first, so that their senders learn the outcome.
        if self.transfer_since is None:
            self.transfer_since = core.now
        transfer_timed_out = core.now - self.transfer_since >= core.timings.quorum_timeout / TRANSFER_DIVISOR
        if core.high_watermark == core.last.offset or transfer_timed_out:
            core.announce("lead handed over", successor=successor)
            core.elections.resign(successor=successor)

    def _next_leader(self) -> int | None:
        """The most caught-up of the live voters that are not leaving; None if there is none."""
        core = self.core
        live = [
            (progress.offset, replica)
            for (replica, incarnation), progress in core.replication.progress.items()
            if core.state.voters.get(replica) == incarnation
            and replica != core.replica
            and progress.complete
            and not progress.leaving
            and core.now - progress.last_fetch_at < core.timings.fetch_timeout
        ]
        return max(live)[1] if live else None

    def leave_answered(self, answer: FetchAnswer) -> None:
        """Handles the leader's answer to the leave; a leader of an older release gives none and is not waited for."""
        if answer.leave == LEAVE_ALLOWED:
            self._end("handed over")
        elif answer.leave == LEAVE_WAIT:
            self.ignored_leaves = 0
        elif answer.leave == LEAVE_UNANSWERED and answer.records == () and answer.high_watermark != UNSET:
            self.ignored_leaves += 1
            if self.ignored_leaves > MAX_IGNORED_LEAVES:
                self._end("the leader's release does not support planned leaves")

    def _end(self, why: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.core.announce("left", why=why, waited=str(self.core.now - self.stop_requested_at))
        self.core.commands.append(Ended(why))

    # -- the leader --------------------------------------------------------------------------------------------------

    def answer_leaving(self, call: FetchCall) -> int:
        """The leave status for the answer to a leaving replica's fetch."""
        key = (call.replica, call.incarnation)
        decision = self.decide_leave(key)
        progress = self.core.replication.progress
        if decision == LEAVE_ALLOWED and key in progress:
            # From here on its acknowledgement must not count towards a commit.
            progress[key].complete = False
            progress[key].leave_granted = True
        return decision

    def decide_leave(self, key: ReplicaKey) -> int:
        """Whether this replica may leave: all committed records must be on a majority of the voters without it.

        Returns:
            LEAVE_ALLOWED or LEAVE_WAIT.
        """
        core = self.core
        if not core.replication.has_committed() or core.pending_voter_changes:
            return LEAVE_WAIT
        voters = dict(core.state.voters)
        if voters.get(key[0]) == key[1] and self._has_potential_successor():
            return LEAVE_WAIT
        holders = 0
        for voter in voters.items():
            if voter == key:
                continue
            if voter == core.key:
                holders += core.durable >= core.high_watermark
                continue
            progress = core.replication.progress.get(voter)
            if (
                progress is None
                or progress.leave_granted
                or core.now - progress.last_fetch_at >= core.timings.quorum_timeout
            ):
                continue
            if not progress.complete or progress.offset < core.high_watermark:
                return LEAVE_WAIT
            holders += 1
        # If the leader is stopping too and no voter can succeed it, keeping the others has no use.
        all_stopping = self.stopping and self._next_leader() is None
        return LEAVE_ALLOWED if all_stopping or holders * 2 > len(voters) else LEAVE_WAIT

    def _has_potential_successor(self) -> bool:
        """Whether a live replica without a vote can become a voter, now or once it has caught up."""
        core = self.core
        if not core.wanted_voters or core.state.level < LEVEL_OF[ReplaceVoter]:
            return False
        return any(
            key[0] not in core.state.voters
            and not progress.leaving
            and core.now - progress.last_fetch_at < core.timings.quorum_timeout
            for key, progress in core.replication.progress.items()
        )
