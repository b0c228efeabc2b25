"""The leader's changes of the set of voters, one logged change at a time.

Until a change commits, every count needs a majority of the set before it and of the set after it, so no wait is needed
for safety: at worst a replica that is alive loses its vote, which it may be given again.
"""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.voters import ReplicaKey, VoterChange
from hoistsaddle.statemachine.commands import (
    LEVEL_OF,
    AddVoter,
    RemoveVoter,
    ReplaceVoter,
    UpdateVoter,
)
from hoistsaddle.statemachine.encoding import pack_command

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore


class VoterChanges:
    """Swaps blank disks in, grows to the number wanted, and replaces voters that are lost or leave."""

    def __init__(self, core: "RaftCore") -> None:
        """Holds no state of its own: what is due follows from the log and from the replicas' progress."""
        self.core = core

    def review(self) -> None:
        """Logs the change that is due now, if one is."""
        core = self.core
        # One change at a time, and only once this epoch has committed something.
        if core.pending_voter_changes or not core.replication.has_committed():
            return
        change = self._swap_for_new_disk()
        if change is None and core.wanted_voters and core.state.level >= LEVEL_OF[AddVoter]:
            change = self._growth_or_replacement()
        if change is not None:
            core.append((core.replication.new_record(pack_command(change)),))
            core.replication.answer_pending_fetches()

    def _swap_for_new_disk(self) -> VoterChange | None:
        """A caught-up new disk takes the place of the one that was at its address.

        Only one process can be there, so the former incarnation is over as soon as a later one is heard.
        """
        progress_of = self.core.replication.progress
        for (replica, incarnation), progress in progress_of.items():
            old = self.core.state.voters.get(replica)
            if old is None or old == incarnation or not self._is_ready((replica, incarnation)):
                continue
            former = progress_of.get((replica, old))
            if former is None or former.heard_at < progress.heard_at:
                return UpdateVoter(replica, old, incarnation)
        return None

    def _growth_or_replacement(self) -> VoterChange | None:
        core = self.core
        voters = dict(core.state.voters)
        ready = self._ready_successors()
        if not ready:
            return None
        if len(voters) < core.wanted_voters:
            return AddVoter(*ready[0])
        leaving = self._leaving_voters()
        lost = self._lost_voters()
        if not leaving and not lost:
            return None
        if core.state.level >= LEVEL_OF[ReplaceVoter]:
            replica, incarnation = (lost or leaving)[0]
            successor, successor_incarnation = ready[0]
            return ReplaceVoter(replica, incarnation, successor, successor_incarnation)
        # Before that level: the new one joins next, once this is committed; never fewer than one below what is wanted.
        return RemoveVoter(*lost[0]) if lost else None

    def _is_ready(self, key: ReplicaKey) -> bool:
        """Whether the replica holds what is committed, keeps up and stays."""
        core = self.core
        progress = core.replication.progress[key]
        return (
            progress.complete
            and progress.keeps_up
            and not progress.leaving
            and core.now - progress.heard_at < core.timings.fetch_timeout
        )

    def _ready_successors(self) -> list[ReplicaKey]:
        """Replicas without a vote that could take one now, in order."""
        voters = self.core.state.voters
        return sorted(key for key in self.core.replication.progress if key[0] not in voters and self._is_ready(key))

    def _silence(self, key: ReplicaKey) -> timedelta:
        """For how long this voter's disk has not been heard; a new leader counts from its election."""
        replication = self.core.replication
        progress = replication.progress.get(key)
        return self.core.now - (replication.leader_since if progress is None else progress.heard_at)

    def _lost_voters(self) -> list[ReplicaKey]:
        """Voters that have been silent for too long, the longest first."""
        core = self.core
        lost = [
            key
            for key in core.state.voters.items()
            if key != core.key and self._silence(key) > core.timings.replacement_timeout
        ]
        return sorted(lost, key=lambda key: (-self._silence(key), key))

    def _leaving_voters(self) -> list[ReplicaKey]:
        """Voters whose processes are to stop and wait for a successor; the leader itself after the others."""
        core = self.core
        progress = core.replication.progress
        leaving = [key for key in sorted(core.state.voters.items()) if key in progress and progress[key].leaving]
        if core.leaving.stopping and core.state.voters.get(core.replica) == core.incarnation:
            leaving.append(core.key)
        return leaving
