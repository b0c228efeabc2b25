"""Leaving in order: a replica whose process is told to stop hands over what would hang on fewer disks without it.

A leader gives its own vote to a ready successor by the log, if there is one, concludes what is under way, takes no
more, and calls the most caught-up voter to stand at once. Then, like any follower, it goes on fetching and says that it
leaves, until the leader has seen every live voter hold what is committed and has given its vote to a ready successor,
if there is one. All of this ends at the bound the settings give.
"""

from datetime import timedelta

from hoistsaddle.raft.events import Ended
from hoistsaddle.raft.replica import LEADER, Replica
from hoistsaddle.rpc.messages import LEAVE_GO, LEAVE_UNANSWERED, LEAVE_WAIT, UNSET, FetchAnswer, FetchCall
from hoistsaddle.statemachine.commands import LEVEL_OF, ReplaceVoter

Life = tuple[int, str]


class Leaving(Replica):
    """Both sides of a planned leave: the replica that goes, and the leader that lets it go."""

    # -- the side of the one that goes -------------------------------------------------------------------------------

    def _stop(self, span: timedelta) -> None:
        self.stopping = True
        self.stop_asked_at = self.now
        self.stop_by = self.now + span
        if not span:
            if self.role == LEADER:
                self._resign()
            self._end("no time given")
        elif self.halted or not self.complete or not self.is_voter():
            self._end("no vote here")
        elif self.role != LEADER and self.leader != UNSET:
            # At once, in place of the fetch that the leader may hold.
            self._fetch()

    def _leave_tick(self) -> None:
        if self.ended:
            return
        waited = self.now - self.stop_asked_at
        if self.now >= self.stop_by:
            if self.role == LEADER:
                self._resign()
            self._end("time over")
        elif self.role == LEADER:
            self._leave_the_lead(waited)
        elif self.now - max(self.led_at, self.stop_asked_at) >= self.timings.quorum_timeout:
            # Most likely everybody stops at once: there is nobody to wait for.
            self._end("nobody leads")

    def _leave_the_lead(self, waited: timedelta) -> None:
        """Leads on while a successor catches up; then concludes what is under way and names who leads next."""
        span = self.stop_by - self.stop_asked_at
        if self.is_voter():
            if self._successors_to_come() and waited < span / 2:
                # It knows this leader: another one would have to be found first. The vote goes to it by the log.
                return
        elif self.voteless_since is None:
            self.voteless_since = self.now
        heir = self._heir()
        if heir is None:
            if waited >= self.timings.quorum_timeout:
                self._resign()
                self._end("nobody to hand over to")
            return
        if self.voteless_since is not None and self.now - self.voteless_since < self.timings.fetch_max_wait * 2:
            # The others must hear that this vote is gone, or they would ask for it when they elect.
            return
        # Orders under way are concluded first: whoever sent them gets a clear answer.
        if self.handing_since is None:
            self.handing_since = self.now
        waits_in_vain = self.now - self.handing_since >= self.timings.quorum_timeout / 2
        if self.high_watermark == self.last.offset or waits_in_vain:
            self._announce("lead handed over", successor=heir)
            self._resign(successor=heir)

    def _heir(self) -> int | None:
        """The most caught-up of the live voters that stay."""
        live = [
            (progress.offset, replica)
            for (replica, incarnation), progress in self.progress.items()
            if self.state.voters.get(replica) == incarnation
            and replica != self.replica
            and progress.complete
            and not progress.leaving
            and self.now - progress.heard < self.timings.fetch_timeout
        ]
        return max(live)[1] if live else None

    def _heard_leave(self, answer: FetchAnswer) -> None:
        """What the leader says to this one's leave. A former release says nothing: then nothing is waited for."""
        if answer.leave == LEAVE_GO:
            self._end("handed over")
        elif answer.leave == LEAVE_WAIT:
            self.unsaid = 0
        elif answer.leave == LEAVE_UNANSWERED and answer.records == () and answer.high_watermark != UNSET:
            self.unsaid += 1
            if self.unsaid > 1:
                self._end("the leader's release knows no leave")

    def _end(self, why: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._announce("left", why=why, waited=str(self.now - self.stop_asked_at))
        self._out.append(Ended(why))

    # -- the leader's side -------------------------------------------------------------------------------------------

    def _tell_leaving(self, call: FetchCall) -> int:
        life = (call.replica, call.incarnation)
        word = self._leave_word(life)
        if word == LEAVE_GO and life in self.progress:
            # From here on nothing may be committed on its word.
            self.progress[life].complete = False
            self.progress[life].gone = True
        return word

    def _leave_word(self, life: Life) -> int:
        """Whether this replica may go: nothing that is committed may hang on fewer disks than a majority without it."""
        if self.high_watermark < self.epoch_began or self.pending_voter_changes:
            return LEAVE_WAIT
        voters = dict(self.state.voters)
        if voters.get(life[0]) == life[1] and self._successors_to_come():
            return LEAVE_WAIT
        holders = 0
        for voter in voters.items():
            if voter == life:
                continue
            if voter == (self.replica, self.incarnation):
                holders += self.durable >= self.high_watermark
                continue
            progress = self.progress.get(voter)
            if progress is None or progress.gone or self.now - progress.heard >= self.timings.quorum_timeout:
                continue
            if not progress.complete or progress.offset < self.high_watermark:
                return LEAVE_WAIT
            holders += 1
        # A leader that goes too, with nobody to take its place, has nothing to keep the others for.
        all_go = self.stopping and self._heir() is None
        return LEAVE_GO if all_go or holders * 2 > len(voters) else LEAVE_WAIT

    def _successors_to_come(self) -> bool:
        """Whether a replica without a vote is there that will be able to take one, ready or still catching up."""
        if not self.wanted_voters or self.state.level < LEVEL_OF[ReplaceVoter]:
            return False
        return any(
            life[0] not in self.state.voters
            and not progress.leaving
            and self.now - progress.heard < self.timings.quorum_timeout
            for life, progress in self.progress.items()
        )
