"""Changes of the voter set by the leader, one logged change at a time.

Until a change commits, every decision needs a majority of the old set and of the new set, so safety doesn't depend on
the waiting times: at worst a replica that is alive loses its vote, and may become a voter again later.
"""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.voter_placement import VoterPlacement
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
        """Keeps no state of its own for changes: the next one follows from the log and the replicas' progress."""
        self.core = core
        # Since when the voters have not borne the tolerated losses, and whether that was reported.
        self._unborne_since: timedelta | None = None
        self._unborne_reported = False

    def review(self) -> None:
        """Logs the next voter change, if one is due."""
        core = self.core
        self._review_tolerance()
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
        leaving = self._leaving_voters()
        lost = self._lost_voters()
        placed = core.placement is not None and core.placement.tolerated.depends_on_locations
        if not placed and ready and len(voters) < core.wanted_voters:
            return AddVoter(*ready[0])
        if not leaving and not lost:
            return self._relocation(ready) if placed else None
        if not ready:
            return None
        if core.state.level >= LEVEL_OF[ReplaceVoter]:
            gone = (lost or leaving)[0]
            return ReplaceVoter(*gone, *self._in_placement_order(ready, gone=gone)[0])
        # Below that level the successor is added once the removal is committed; at most one voter is missing meanwhile.
        return RemoveVoter(*lost[0]) if lost else None

    def _in_placement_order(self, ready: list[ReplicaKey], *, gone: ReplicaKey) -> list[ReplicaKey]:
        """The ready successors in the order in which they should become voters beside those that stay."""
        core = self.core
        if core.placement is None or not core.placement.tolerated.depends_on_locations:
            return ready
        staying = [replica for replica in core.state.voters if replica != gone[0]]
        order = core.placement.in_order(core.state, voters=staying, candidates=[replica for replica, _ in ready])
        return sorted(ready, key=lambda key: order.index(key[0]))

    def _relocation(self, ready: list[ReplicaKey]) -> VoterChange | None:
        """One step towards voters that bear the tolerated losses of zones and regions; None if they do already."""
        core = self.core
        placement = core.placement
        if placement is None:
            return None
        voters = dict(core.state.voters)
        if core.state.level < LEVEL_OF[ReplaceVoter] or placement.is_borne_by(core.state, voters):
            return None
        # The leader keeps its vote: its followers need no election then.
        preferred = sorted(voters, key=lambda replica: (replica != core.replica, replica))
        wanted = placement.wanted(core.state, preferred=preferred, others=[replica for replica, _ in ready])
        missing = [key for key in ready if key[0] in wanted]
        surplus = [(replica, voters[replica]) for replica in preferred if wanted and replica not in wanted]
        if missing and len(voters) < len(wanted):
            return AddVoter(*missing[0])
        if missing and surplus:
            return ReplaceVoter(*surplus[-1], *missing[0])
        return RemoveVoter(*surplus[-1]) if surplus else None

    def _review_tolerance(self) -> None:
        """Tells the operator if the voters have not borne the tolerated losses for longer than a repair takes."""
        core = self.core
        if core.placement is None:
            return
        if core.placement.is_borne_by(core.state, core.state.voters):
            if self._unborne_reported:
                core.announce("losses borne", voters=sorted(core.state.voters))
            self._unborne_since, self._unborne_reported = None, False
            return
        if self._unborne_since is None or self._unborne_since < core.replication.leader_since:
            self._unborne_since = core.now
        if not self._unborne_reported and core.now - self._unborne_since > core.timings.lag_wait:
            self._unborne_reported = True
            core.announce("losses not borne", **self._unborne_detail(core.placement))

    def _unborne_detail(self, placement: VoterPlacement) -> dict:
        core = self.core
        locations = placement.locations(core.state, core.state.voters)
        tolerated = placement.tolerated
        return {
            "tolerated": tolerated._asdict(),
            "voters": {str(replica): location.zone for replica, location in sorted(locations.items())},
            "lost_at_worst": tolerated.most_lost(locations.values()),
            "remedy": f"Run {tolerated.fewest_voters} core machines or more, spread over"
            f" {2 * tolerated.zones + 1} zones and {2 * tolerated.regions + 1} regions at least, or tolerate less.",
        }

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
