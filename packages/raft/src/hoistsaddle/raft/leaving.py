"""Graceful shutdown: a replica whose process is to stop hands over what would hang on fewer disks without it.

A leader gives its own vote to a ready successor by the log, if there is one, concludes what is under way, takes no
more, and calls the most caught-up voter to stand at once. Then, like any follower, it goes on fetching and says that it
leaves, until the leader has seen every live voter hold what is committed and has given its vote to a ready successor,
if there is one. All of this ends at the bound the settings give.
"""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.events import Ended
from hoistsaddle.raft.replica import LEADER
from hoistsaddle.raft.voters import ReplicaKey
from hoistsaddle.rpc.messages import LEAVE_GO, LEAVE_UNANSWERED, LEAVE_WAIT, UNSET, FetchAnswer, FetchCall
from hoistsaddle.statemachine.commands import LEVEL_OF, ReplaceVoter

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# The part of the time to stop in which a leader waits for a successor that still catches up.
CATCH_UP_DIVISOR = 2
# For so many of a fetch's waits the others may not have heard that the leader's vote is gone.
VOTE_GONE_FETCH_WAITS = 2
# A leader that hands over waits for what is under way for this part of the quorum's time-out.
TRANSFER_DIVISOR = 2
# One answer that says nothing to a leave may have been under way; more come from a release that knows no leave.
UNANSWERED_LEAVES = 1


class Leaving:
    """Both sides of a planned leave: the replica that goes, and the leader that lets it go."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins as a replica that stays."""
        self.core = core
        self.stopping = False
        self.stop_requested_at = core.now
        # When the replica ends regardless.
        self.stop_by = core.now
        self.ended = False
        # Answers in a row that said nothing to its leaving.
        self.unanswered = 0
        # Since when this leader takes no more proposals, as it hands the lead over.
        self.transfer_since: timedelta | None = None
        # Since when this leader, which leaves, has had no vote any more.
        self.voteless_since: timedelta | None = None

    # -- the replica that goes ---------------------------------------------------------------------------------------

    def stop(self, span: timedelta) -> None:
        """The process is to stop within the span; with none it ends at once."""
        core = self.core
        self.stopping = True
        self.stop_requested_at = core.now
        self.stop_by = core.now + span
        if not span:
            if core.role == LEADER:
                core.elections.resign()
            self._end("no time given")
        elif core.halted or not core.complete or not core.is_voter():
            self._end("no vote here")
        elif core.role != LEADER and core.leader != UNSET:
            # At once, in place of the fetch that the leader may hold.
            core.log_fetcher.fetch()

    def tick(self) -> None:
        """Goes on leaving; ends when the time is over or nobody is there to wait for."""
        core = self.core
        if self.ended:
            return
        waited = core.now - self.stop_requested_at
        if core.now >= self.stop_by:
            if core.role == LEADER:
                core.elections.resign()
            self._end("time over")
        elif core.role == LEADER:
            self._hand_over_lead(waited)
        elif core.now - max(core.log_fetcher.leader_known_at, self.stop_requested_at) >= core.timings.quorum_timeout:
            # Most likely everybody stops at once: there is nobody to wait for.
            self._end("nobody leads")

    def _hand_over_lead(self, waited: timedelta) -> None:
        """Leads on while a successor catches up; then concludes what is under way and names who leads next."""
        core = self.core
        if core.is_voter():
            span = self.stop_by - self.stop_requested_at
            if self._has_successors_to_come() and waited < span / CATCH_UP_DIVISOR:
                # It knows this leader: another one would have to be found first. The vote goes to it by the log.
                return
        elif self.voteless_since is None:
            self.voteless_since = core.now
        successor = self._next_leader()
        if successor is None:
            if waited >= core.timings.quorum_timeout:
                core.elections.resign()
                self._end("nobody to hand over to")
            return
        vote_gone_wait = core.timings.fetch_max_wait * VOTE_GONE_FETCH_WAITS
        if self.voteless_since is not None and core.now - self.voteless_since < vote_gone_wait:
            # The others must hear that this vote is gone, or they would ask for it when they elect.
            return
        # Proposals under way are concluded first: whoever sent them gets a clear answer.
        if self.transfer_since is None:
            self.transfer_since = core.now
        waits_in_vain = core.now - self.transfer_since >= core.timings.quorum_timeout / TRANSFER_DIVISOR
        if core.high_watermark == core.last.offset or waits_in_vain:
            core.announce("lead handed over", successor=successor)
            core.elections.resign(successor=successor)

    def _next_leader(self) -> int | None:
        """The most caught-up of the live voters that stay."""
        core = self.core
        live = [
            (progress.offset, replica)
            for (replica, incarnation), progress in core.replication.progress.items()
            if core.state.voters.get(replica) == incarnation
            and replica != core.replica
            and progress.complete
            and not progress.leaving
            and core.now - progress.heard_at < core.timings.fetch_timeout
        ]
        return max(live)[1] if live else None

    def leave_answered(self, answer: FetchAnswer) -> None:
        """What the leader says to this one's leave. A former release says nothing: then nothing is waited for."""
        if answer.leave == LEAVE_GO:
            self._end("handed over")
        elif answer.leave == LEAVE_WAIT:
            self.unanswered = 0
        elif answer.leave == LEAVE_UNANSWERED and answer.records == () and answer.high_watermark != UNSET:
            self.unanswered += 1
            if self.unanswered > UNANSWERED_LEAVES:
                self._end("the leader's release knows no leave")

    def _end(self, why: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.core.announce("left", why=why, waited=str(self.core.now - self.stop_requested_at))
        self.core.commands.append(Ended(why))

    # -- the leader that lets it go ----------------------------------------------------------------------------------

    def answer_leaving(self, call: FetchCall) -> int:
        """What the answer to the fetch of a replica that leaves says of its leave."""
        key = (call.replica, call.incarnation)
        decision = self.decide(key)
        progress = self.core.replication.progress
        if decision == LEAVE_GO and key in progress:
            # From here on nothing may be committed by its acknowledgement.
            progress[key].complete = False
            progress[key].gone = True
        return decision

    def decide(self, key: ReplicaKey) -> int:
        """Whether this replica may go: nothing that is committed may hang on fewer disks than a majority without it.

        Returns:
            LEAVE_GO or LEAVE_WAIT.
        """
        core = self.core
        if not core.replication.has_committed() or core.pending_voter_changes:
            return LEAVE_WAIT
        voters = dict(core.state.voters)
        if voters.get(key[0]) == key[1] and self._has_successors_to_come():
            return LEAVE_WAIT
        holders = 0
        for voter in voters.items():
            if voter == key:
                continue
            if voter == core.key:
                holders += core.durable >= core.high_watermark
                continue
            progress = core.replication.progress.get(voter)
            if progress is None or progress.gone or core.now - progress.heard_at >= core.timings.quorum_timeout:
                continue
            if not progress.complete or progress.offset < core.high_watermark:
                return LEAVE_WAIT
            holders += 1
        # A leader that goes too, with nobody to take its place, has nothing to keep the others for.
        all_go = self.stopping and self._next_leader() is None
        return LEAVE_GO if all_go or holders * 2 > len(voters) else LEAVE_WAIT

    def _has_successors_to_come(self) -> bool:
        """Whether a replica without a vote is there that will be able to take one, ready or still catching up."""
        core = self.core
        if not core.wanted_voters or core.state.level < LEVEL_OF[ReplaceVoter]:
            return False
        return any(
            key[0] not in core.state.voters
            and not progress.leaving
            and core.now - progress.heard_at < core.timings.quorum_timeout
            for key, progress in core.replication.progress.items()
        )
