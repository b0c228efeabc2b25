"""One replica of the log: Raft by fetch, checkpoints after KIP-630, mesh time, voters by disk incarnation.

The core is told events and the present moment, and gives commands. docs/kip-630.md says which rule comes from where.
Here events are handed to the parts: elections, replication, applying, reads, snapshots, fetching, voterchanges and
leaving, all over the state in replica.py.
"""

from datetime import timedelta

from hoistsaddle.raft.applying import Applying
from hoistsaddle.raft.elections import Elections
from hoistsaddle.raft.events import (
    AnswerArrived,
    CallArrived,
    CallRefused,
    CheckpointFailed,
    CheckpointLoaded,
    CheckpointStored,
    ProposalArrived,
    RaiseArrived,
    ReadArrived,
    Send,
    StopRequested,
    Synced,
    Ticked,
)
from hoistsaddle.raft.fetching import Fetching
from hoistsaddle.raft.leaving import Leaving
from hoistsaddle.raft.reads import Reads
from hoistsaddle.raft.replica import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    NOT_LEADER_FOR_PARTITION,
    OFFSET_OUT_OF_RANGE,
    SNAPSHOT_NOT_FOUND,
)
from hoistsaddle.raft.replication import Replication
from hoistsaddle.raft.snapshots import Snapshots
from hoistsaddle.raft.voter_changes import VoterChanges
from hoistsaddle.rpc.messages import (
    UNSET,
    BeginEpochCall,
    EndEpochCall,
    FetchAnswer,
    FetchCall,
    FetchSnapshotAnswer,
    FetchSnapshotCall,
    Heard,
    VoteAnswer,
    VoteCall,
)
from hoistsaddle.statemachine.commands import Tick
from hoistsaddle.statemachine.encoding import pack_command

__all__ = [
    "CANDIDATE",
    "FOLLOWER",
    "LEADER",
    "NOT_LEADER_FOR_PARTITION",
    "OFFSET_OUT_OF_RANGE",
    "SNAPSHOT_NOT_FOUND",
    "RaftCore",
]


class RaftCore(Elections, Replication, Applying, Reads, Snapshots, Fetching, VoterChanges, Leaving):
    """The parts joined: hands each event to the part whose job it is."""

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        self.now = max(now, self.now)
        self._out = []
        match event:
            case CallArrived(ticket=ticket, message=message):
                self._call(ticket, message)
            case AnswerArrived(number=number, replica=replica, message=message):
                self._answered(number, replica, message)
            case CallRefused(replica=replica):
                self._refused(replica)
            case Ticked():
                self._tick()
            case Synced(sequence=sequence):
                self._synced(sequence)
            case ProposalArrived(ticket=ticket, payloads=payloads):
                self._propose(ticket, payloads)
            case ReadArrived(ticket=ticket):
                self._read(ticket)
            case RaiseArrived(ticket=ticket, level=level):
                self._raise(ticket, level)
            case CheckpointStored(checkpoint_id=checkpoint_id):
                self.capturing = None
                # A follower that threw its log away meanwhile has no use for the old capture.
                if self.complete and checkpoint_id.offset >= self.begin.offset:
                    self.checkpoints.append((checkpoint_id, self.now))
                    self.checkpoint = max((each for each, _ in self.checkpoints), key=lambda each: each.offset)
                    self._raise_begin()
            case CheckpointFailed():
                self.capturing = None
            case CheckpointLoaded(checkpoint_id=checkpoint_id, state=state):
                self._loaded(checkpoint_id, state)
            case StopRequested(span=span):
                self._stop(span)
        return self._out

    def _call(self, ticket: int, message: tuple) -> None:
        match message:
            case FetchCall():
                self._fetch_call(ticket, message)
            case FetchSnapshotCall():
                self._fetch_snapshot_call(ticket, message)
            case VoteCall():
                self._vote_call(ticket, message)
            case BeginEpochCall(mesh=mesh, epoch=epoch, leader=leader):
                # A leader of another mesh is no leader here; a blank disk takes the first that calls.
                if (not self.mesh or mesh == self.mesh) and epoch >= self.epoch and leader != self.replica:
                    self._follow(epoch, leader)
                self._answer(ticket, Heard(self.epoch))
            case EndEpochCall():
                self._resigned(message)
                self._answer(ticket, Heard(self.epoch))

    def _answered(self, number: int, replica: int, message: tuple) -> None:
        match message:
            case FetchAnswer():
                if number == self.fetch_number:
                    self._fetch_answer(replica, message)
                else:
                    self._late_answer(number, replica, message)
            case FetchSnapshotAnswer():
                if number == self.snapshot_fetch_number:
                    self._fetch_snapshot_answer(message)
            case VoteAnswer():
                self._vote_answer(message)
            case Heard(epoch=epoch):
                # A higher epoch elsewhere means this leadership is over or can't reach that replica: stand again.
                if epoch > self.epoch:
                    self._step_down(epoch, UNSET)

    def _tick(self) -> None:
        if self.stopping:
            self._leave_tick()
        if self.halted or self.ended:
            return
        if self.role == LEADER:
            self._lead_tick()
            return
        if self.leader != UNSET:
            # A fetch that got no answer is sent again; the old answer, if it still comes, is passed over.
            if self.fetch_sent is None or self.now - self.fetch_sent > self.timings.fetch_timeout:
                self._fetch()
            if (
                self.fetching_snapshot is not None
                and not self.loading
                and (
                    self.snapshot_fetch_sent is None
                    or self.now - self.snapshot_fetch_sent > self.timings.fetch_timeout * 2
                )
            ):
                self._fetch_snapshot()
        if self.leader != UNSET:
            self.led_at = self.now
        # A voter without a leader for long may have been dropped while it was away: then nobody calls it either.
        unknown = not self.is_voter() or self.now - self.led_at >= self.timings.liveness_timeout
        if self.leader == UNSET and unknown and self.now - self.sought_at >= self.timings.leader_discovery_interval:
            self._seek()
        if self.now >= self.election_at:
            if self._can_stand():
                # A trial first: a replica that was merely cut off must not raise everyone's epoch.
                self._stand(pre_vote=True)
            else:
                self.leader = UNSET
                self.election_at = self.now + self._election_span()

    def _lead_tick(self) -> None:
        if self.unsynced and self.now - self.unsynced[0][2] > self.timings.disk_stall_timeout:
            self._announce("disk stalled", since=str(self.now - self.unsynced[0][2]))
            for replica in self.replicas:
                if replica != self.replica:
                    self.number += 1
                    self._out.append(Send(self.number, replica, EndEpochCall(self.epoch, self.replica), 0))
            self._step_down(self.epoch, UNSET)
            return
        # No majority fetching means no majority following: the leader says so by stepping down.
        recent = {
            key for key, progress in self.progress.items() if self.now - progress.heard < self.timings.quorum_timeout
        }
        if self.now - self.lead_since > self.timings.quorum_timeout and not self._majority(
            recent | {(self.replica, self.incarnation)}
        ):
            self._announce("majority lost", heard=sorted(replica for replica, _ in recent))
            self._step_down(self.epoch, UNSET)
            return
        self._note_newest(self._contact())
        if self.now - self.lead_sent >= self.timings.begin_epoch_interval:
            self._call_to_follow(everyone=False)
        self._answer_pending_fetches()
        self._raise_begin()
        self._review_voters()
        # Time must go on for holds to expire even when nothing else is written.
        if (
            self.state.holds
            and self.now - self.appended_at >= self.timings.tick_record_interval
            and self.state.offset == self.last.offset
        ):
            self._append((self._record(pack_command(Tick(self.replica))),))
