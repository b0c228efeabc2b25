"""The leader's changes of the set of voters, one logged change at a time."""

from hoistsaddle.raft.replica import Replica
from hoistsaddle.raft.voters import VoterChange
from hoistsaddle.statemachine.commands import AddVoter, DropVoter, SwapVoter, pack_command


class VoterChanges(Replica):
    """The leader's changes of the set of voters, one logged change at a time."""

    def _swap_blank(self) -> None:
        """Logs the one-voter change that swaps a caught-up new disk in for the one it replaces."""
        # One change at a time, and only once this epoch has committed something.
        if self.swaps or self.high_watermark < self.epoch_began or self.now - self.lead_since < self.pace.alive_span:
            return None
        voters = dict(self.state.voters)
        for (replica, incarnation), progress in self.progress.items():
            old = voters.get(replica)
            if (
                old is None
                or old == incarnation
                or not progress.whole
                or self.now - progress.heard > self.pace.fetch_retry
            ):
                continue
            former = self.progress.get((replica, old))
            gone = former is None or self.now - former.heard > self.pace.alive_span
            if gone and progress.offset >= self.high_watermark:
                return self._change_voters(SwapVoter(replica, old, incarnation))
        self._grow_voters(voters)

    def _change_voters(self, change: VoterChange) -> None:
        self._append((self._record(pack_command(change)),))
        self._answer_held()

    def _grow_voters(self, voters: dict[int, str]) -> None:
        """One change at a time towards the number wanted; a voter long silent makes room for one that keeps up."""
        if not self.wanted_voters or self.state.level < 3:
            return None
        ready = sorted(
            (replica, incarnation)
            for (replica, incarnation), progress in self.progress.items()
            if replica not in voters
            and progress.whole
            and self.now - progress.heard < self.pace.fetch_retry
            and progress.offset >= self.high_watermark
        )
        if not ready:
            return None
        if len(voters) < self.wanted_voters:
            return self._change_voters(AddVoter(*ready[0]))
        if self.now - self.lead_since < self.pace.replace_span:
            return None
        for replica, incarnation in sorted(voters.items()):
            if replica == self.replica:
                continue
            heard = [each.heard for (other, _), each in self.progress.items() if other == replica]
            if self.now - max(heard, default=self.lead_since) > self.pace.replace_span:
                # The new one joins next, once this is committed: never fewer than one below what is wanted.
                return self._change_voters(DropVoter(replica, incarnation))
