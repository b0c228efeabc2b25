"""One replica of the log: Raft by fetch, checkpoints after KIP-630, mesh time, voters by disk incarnation.

The core takes events and the current time and returns commands; it does no I/O. docs/kip-630.md gives the source of
each rule. RaftCore dispatches every event to the component responsible for it. Each component keeps its own state; the
state that they share is in replica.py.
"""

import random
from datetime import timedelta

from hoistsaddle.raft.applying import Applying
from hoistsaddle.raft.elections import Elections
from hoistsaddle.raft.events import (
    AnswerArrived,
    Boot,
    CallArrived,
    CallRefused,
    CheckpointFailed,
    CheckpointLoaded,
    CheckpointStored,
    ProposalArrived,
    RaftTimings,
    RaiseArrived,
    ReadArrived,
    Send,
    StopRequested,
    Synced,
    Ticked,
)
from hoistsaddle.raft.leaving import Leaving
from hoistsaddle.raft.log_fetcher import LogFetcher
from hoistsaddle.raft.reads import Reads
from hoistsaddle.raft.replica import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    NOT_LEADER_FOR_PARTITION,
    OFFSET_OUT_OF_RANGE,
    SNAPSHOT_NOT_FOUND,
    Replica,
)
from hoistsaddle.raft.replication import Replication
from hoistsaddle.raft.snapshot_fetcher import SnapshotFetcher
from hoistsaddle.raft.snapshot_server import SnapshotServer
from hoistsaddle.raft.voter_changes import VoterChanges
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.rpc.messages import (
    UNSET,
    BeginEpochCall,
    EndEpochCall,
    EpochAcknowledged,
    FetchAnswer,
    FetchCall,
    FetchSnapshotAnswer,
    FetchSnapshotCall,
    VoteAnswer,
    VoteCall,
)
from hoistsaddle.statemachine.commands import LEVEL, Tick
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

# The sequence number of a message that need not wait for any write: a resignation because of a stalled disk.
NO_WRITE_TO_AWAIT = 0


class RaftCore(Replica):
    """Combines the components of a replica and dispatches each event to the component that handles it."""

    def __init__(
        self,
        *,
        boot: Boot,
        replicas: tuple[int, ...],
        timings: RaftTimings,
        seed: random.Random,
        now: timedelta,
        level: int = LEVEL,
        wanted_voters: int = 0,
        placement: VoterPlacement | None = None,
    ) -> None:
        """Restores the replica from its disk; the arguments are those of Replica."""
        super().__init__(
            boot=boot,
            replicas=replicas,
            timings=timings,
            seed=seed,
            now=now,
            level=level,
            wanted_voters=wanted_voters,
            placement=placement,
        )
        self.elections = Elections(self)
        self.replication = Replication(self)
        self.applying = Applying(self)
        self.reads = Reads(self)
        self.log_fetcher = LogFetcher(self)
        self.snapshot_fetcher = SnapshotFetcher(self)
        self.snapshot_server = SnapshotServer(self)
        self.voter_changes = VoterChanges(self)
        self.leaving = Leaving(self)
        self.check_level()

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        """Handles one event and returns the resulting commands, in order.

        Args:
            event: One of the events of events.py.
            now: The current time of the process's monotonic clock.
        """
        self.now = max(now, self.now)
        self.commands = []
        match event:
            case CallArrived(ticket=ticket, message=message):
                self._call_arrived(ticket, message)
            case AnswerArrived(number=number, replica=replica, message=message):
                self._answer_arrived(number, replica, message)
            case CallRefused(replica=replica):
                self.elections.connection_refused(replica)
            case Ticked():
                self._tick()
            case Synced(sequence=sequence):
                self._synced(sequence)
            case ProposalArrived(ticket=ticket, payloads=payloads):
                self.replication.propose(ticket, payloads)
            case ReadArrived(ticket=ticket):
                self.reads.read(ticket)
            case RaiseArrived(ticket=ticket, level=level):
                self.replication.raise_level(ticket, level)
            case CheckpointStored(checkpoint_id=checkpoint_id):
                self.snapshot_server.checkpoint_stored(checkpoint_id)
            case CheckpointFailed():
                self.applying.capturing = None
            case CheckpointLoaded(checkpoint_id=checkpoint_id, state=state):
                self.snapshot_fetcher.loaded(checkpoint_id, state)
            case StopRequested(span=span):
                self.leaving.stop(span)
        return self.commands

    def _call_arrived(self, ticket: int, message: tuple) -> None:
        match message:
            case FetchCall():
                self.replication.fetch_call(ticket, message)
            case FetchSnapshotCall():
                self.snapshot_server.fetch_snapshot_call(ticket, message)
            case VoteCall():
                self.elections.vote_call(ticket, message)
            case BeginEpochCall():
                self.elections.begin_epoch_call(ticket, message)
            case EndEpochCall():
                self.elections.end_epoch_call(ticket, message)

    def _answer_arrived(self, number: int, replica: int, message: tuple) -> None:
        match message:
            case FetchAnswer():
                self.log_fetcher.fetch_answer(number, replica, message)
            case FetchSnapshotAnswer():
                self.snapshot_fetcher.chunk_answer(number, message)
            case VoteAnswer():
                self.elections.vote_answer(message)
            case EpochAcknowledged():
                self.elections.epoch_acknowledged(message)

    def _synced(self, sequence: int) -> None:
        while self.unsynced and self.unsynced[0].sequence <= sequence:
            self.durable = self.unsynced.pop(0).log_end
        if self.role == LEADER:
            self.replication.advance()

    # -- time --------------------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self.leaving.stopping:
            self.leaving.tick()
        if self.halted or self.leaving.ended:
            return
        if self.role == LEADER:
            self._tick_as_leader()
            return
        self.log_fetcher.tick()
        if self.now < self.elections.election_deadline:
            return
        if self.elections.is_electable():
            # Starts with a pre-vote: a replica that was only partitioned must not raise the epoch of the others.
            self.elections.campaign(pre_vote=True)
        else:
            self.leader = UNSET
            self.elections.reset_election_timer()

    def _tick_as_leader(self) -> None:
        if self.disk_delay() > self.timings.disk_stall_timeout:
            self._step_down_for_disk()
            return
        # Without fetches from a majority the leader has lost its followers, so it steps down.
        fetching = {
            key
            for key, progress in self.replication.progress.items()
            if self.now - progress.last_fetch_at < self.timings.quorum_timeout
        }
        past_quorum_timeout = self.now - self.replication.leader_since > self.timings.quorum_timeout
        if past_quorum_timeout and not self.is_majority(fetching | {self.key}):
            self.announce("majority lost", heard=sorted(replica for replica, _ in fetching))
            self.elections.step_down(self.epoch, UNSET)
            return
        self.reads.note_current(self.reads.contact())
        if self.now - self.replication.begin_epoch_sent_at >= self.timings.begin_epoch_interval:
            self.elections.send_begin_epoch(include_fetching=False)
        self.replication.answer_pending_fetches()
        self.snapshot_server.raise_begin_offset()
        self.voter_changes.review()
        self._log_time()

    def _step_down_for_disk(self) -> None:
        """Resigns because the disk is stalled; the resignation is sent without waiting for the disk."""
        self.announce("disk stalled", since=str(self.disk_delay()))
        for replica in self.others():
            self.number += 1
            self.commands.append(Send(self.number, replica, EndEpochCall(self.epoch, self.replica), NO_WRITE_TO_AWAIT))
        self.elections.step_down(self.epoch, UNSET)

    def _log_time(self) -> None:
        """Logs a tick while keys are held and nothing else is written, so that mesh time advances and keys expire."""
        if (
            self.state.holds
            and self.now - self.appended_at >= self.timings.tick_record_interval
            and self.state.offset == self.last.offset
        ):
            self.append((self.replication.new_record(pack_command(Tick(self.replica))),))

    # -- halting -----------------------------------------------------------------------------------------------------

    def check_level(self) -> None:
        """Halts if the log is past the release level that this replica supports."""
        if self.complete and self.state.level > self.level:
            self.halt(f"the log is at release level {self.state.level}, this release supports {self.level}")

    def halt(self, why: str) -> None:
        """Stops taking part: skipping a record would make this replica's state diverge from the others."""
        self.halted = why
        if self.role == LEADER:
            self.elections.resign()
        self.role = FOLLOWER
        self.leader = UNSET
        self.announce("halted", why=why)
