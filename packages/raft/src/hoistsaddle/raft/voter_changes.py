"""The leader's changes of the set of voters, one logged change at a time.

Until a change commits, every count needs a majority of the set before it and of the set after it, so no wait is needed
for safety: at worst a replica that is alive becomes a spare, which may be taken again.
"""

from datetime import timedelta

from hoistsaddle.raft.replica import Replica
from hoistsaddle.raft.voters import VoterChange
from hoistsaddle.statemachine.commands import LEVEL_OF, AddVoter, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.encoding import pack_command

Life = tuple[int, str]


class VoterChanges(Replica):
    """Swaps blank disks in, grows to the number wanted, and replaces voters that are lost or leave."""

    def _review_voters(self) -> None:
        """Logs the change that is due now, if one is."""
        # One change at a time, and only once this epoch has committed something.
        if self.pending_voter_changes or self.high_watermark < self.epoch_began:
            return
        change = self._blank_disk()
        if change is None and self.wanted_voters and self.state.level >= LEVEL_OF[AddVoter]:
            change = self._growth_or_replacement()
        if change is not None:
            self._append((self._record(pack_command(change)),))
            self._answer_pending_fetches()

    def _blank_disk(self) -> VoterChange | None:
        """A caught-up new disk takes the place of the one that was at its address.

        Only one process can be there, so the former life is over as soon as a later one is heard.
        """
        voters = dict(self.state.voters)
        for (replica, incarnation), progress in self.progress.items():
            old = voters.get(replica)
            if old is None or old == incarnation or not self._is_ready((replica, incarnation)):
                continue
            former = self.progress.get((replica, old))
            if former is None or former.heard < progress.heard:
                return UpdateVoter(replica, old, incarnation)
        return None

    def _growth_or_replacement(self) -> VoterChange | None:
        voters = dict(self.state.voters)
        ready = self._successors()
        if not ready:
            return None
        if len(voters) < self.wanted_voters:
            return AddVoter(*ready[0])
        leaving = self._leaving_voters()
        lost = sorted(
            (
                life
                for life in voters.items()
                if life != self._self() and self._silence(life) > self.timings.replacement_timeout
            ),
            key=lambda life: (-self._silence(life), life),
        )
        if not leaving and not lost:
            return None
        if self.state.level >= LEVEL_OF[ReplaceVoter]:
            replica, incarnation = (lost or leaving)[0]
            successor, successor_incarnation = ready[0]
            return ReplaceVoter(replica, incarnation, successor, successor_incarnation)
        # Before that level: the new one joins next, once this is committed; never fewer than one below what is wanted.
        return RemoveVoter(*lost[0]) if lost else None

    def _self(self) -> Life:
        return (self.replica, self.incarnation)

    def _is_ready(self, life: Life) -> bool:
        progress = self.progress[life]
        return (
            progress.complete
            and progress.keeps_up
            and not progress.leaving
            and self.now - progress.heard < self.timings.fetch_timeout
        )

    def _successors(self) -> list[Life]:
        """Replicas without a vote that hold what is committed and keep up."""
        voters = self.state.voters
        return sorted(life for life in self.progress if life[0] not in voters and self._is_ready(life))

    def _silence(self, life: Life) -> timedelta:
        """For how long this voter's disk has said nothing; a new leader counts from its election."""
        progress = self.progress.get(life)
        return self.now - (self.lead_since if progress is None else progress.heard)

    def _leaving_voters(self) -> list[Life]:
        """Voters whose processes were told to stop and wait for a successor; the leader itself after the others."""
        leaving = [
            life for life in sorted(self.state.voters.items()) if life in self.progress and self.progress[life].leaving
        ]
        if self.stopping and self.state.voters.get(self.replica) == self.incarnation:
            leaving.append(self._self())
        return leaving
