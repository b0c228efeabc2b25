"""Changes of the voter set by the leader, one logged change at a time.

Until a change commits, every decision needs a majority of the old set and of the new set, so safety doesn't depend on
the waiting times: at worst a replica that is alive loses its vote, and may become a voter again later.
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
    """Adopts new disks, adds voters up to the wanted number, and replaces voters that are lost or leaving."""

    def __init__(self, core: "RaftCore") -> None:
        """Keeps no state of its own: the next change follows from the log and the replicas' progress."""
        self.core = core

    def review(self) -> None:
        """Logs the next voter change, if one is due."""
        core = self.core
        # One change at a time, and only once a record of this epoch is committed.
        if core.pending_voter_changes or not core.replication.has_committed():
            return
        change = self._swap_for_new_disk()
        if change is None and core.wanted_voters and core.state.level >= LEVEL_OF[AddVoter]:
            change = self._growth_or_replacement()
        if change is not None:
            core.append((core.replication.new_record(pack_command(change)),))
            core.replication.answer_pending_fetches()

    def _swap_for_new_disk(self) -> VoterChange | None:
        """Replaces a voter's incarnation by the new one at the same address, once that has caught up.

        Only one process can listen on an address, so the old incarnation has ended once a later one fetches.
        """
        progress_of = self.core.replication.progress
        for (replica, incarnation), progress in progress_of.items():
            old = self.core.state.voters.get(replica)
            if old is None or old == incarnation or not self._is_ready((replica, incarnation)):
                continue
            former = progress_of.get((replica, old))
            if former is None or former.last_fetch_at < progress.last_fetch_at:
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
        # Below that level the successor is added once the removal is committed; at most one voter is missing meanwhile.
        return RemoveVoter(*lost[0]) if lost else None

    def _is_ready(self, key: ReplicaKey) -> bool:
        """Whether the replica has a complete state, keeps up with the log, is alive and is not leaving."""
        core = self.core
        progress = core.replication.progress[key]
        return (
            progress.complete
            and progress.keeps_up
            and not progress.leaving
            and core.now - progress.last_fetch_at < core.timings.fetch_timeout
        )

    def _ready_successors(self) -> list[ReplicaKey]:
        """Replicas without a vote that are ready to become voters, in order."""
        voters = self.core.state.voters
        return sorted(key for key in self.core.replication.progress if key[0] not in voters and self._is_ready(key))

    def _silent_for(self, key: ReplicaKey) -> timedelta:
        """How long ago this voter last fetched; a new leader counts from its election."""
        replication = self.core.replication
        progress = replication.progress.get(key)
        return self.core.now - (replication.leader_since if progress is None else progress.last_fetch_at)

    def _lost_voters(self) -> list[ReplicaKey]:
        """Voters that have not fetched within the replacement timeout, the longest silent first."""
        core = self.core
        lost = [
            key
            for key in core.state.voters.items()
            if key != core.key and self._silent_for(key) > core.timings.replacement_timeout
        ]
        return sorted(lost, key=lambda key: (-self._silent_for(key), key))

    def _leaving_voters(self) -> list[ReplicaKey]:
        """Voters that are stopping and wait for a successor; the leader itself comes last."""
        core = self.core
        progress = core.replication.progress
        leaving = [key for key in sorted(core.state.voters.items()) if key in progress and progress[key].leaving]
        if core.leaving.stopping and core.state.voters.get(core.replica) == core.incarnation:
            leaving.append(core.key)
        return leaving
