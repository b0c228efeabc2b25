"""One replica of the log: Raft by fetch, checkpoints after KIP-630, mesh time, voters by disk incarnation.

The core is given events and the present time, and returns commands; it does no I/O. docs/kip-630.md says which rule
comes from where. Here events are handed to the parts, each an object with the state of its own job; the state that they
share is in replica.py.
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

# A resignation because of the disk waits for no write.
WITHOUT_SYNC = 0


class RaftCore(Replica):
    """The parts joined: hands each event to the part whose job it is."""

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
    ) -> None:
        """Takes up what the disk held; the arguments are Replica's."""
        super().__init__(
            boot=boot,
            replicas=replicas,
            timings=timings,
            seed=seed,
            now=now,
            level=level,
            wanted_voters=wanted_voters,
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
        """Takes one event and returns the commands that follow from it, in order.

        Args:
            event: One of the events of events.py.
            now: The present time of the process's monotonic clock.
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
        if self.now < self.elections.election_at:
            return
        if self.elections.is_electable():
            # A pre-vote first: a replica that was merely cut off must not raise everyone's epoch.
            self.elections.campaign(pre_vote=True)
        else:
            self.leader = UNSET
            self.elections.postpone()

    def _tick_as_leader(self) -> None:
        if self.disk_delay() > self.timings.disk_stall_timeout:
            self._step_down_for_disk()
            return
        # No majority fetching means no majority following: the leader says so by stepping down.
        fetching = {
            key
            for key, progress in self.replication.progress.items()
            if self.now - progress.heard_at < self.timings.quorum_timeout
        }
        long_enough = self.now - self.replication.leader_since > self.timings.quorum_timeout
        if long_enough and not self.is_majority(fetching | {self.key}):
            self.announce("majority lost", heard=sorted(replica for replica, _ in fetching))
            self.elections.step_down(self.epoch, UNSET)
            return
        self.reads.note_current(self.reads.contact())
        if self.now - self.replication.begin_epoch_sent_at >= self.timings.begin_epoch_interval:
            self.elections.call_to_follow(everyone=False)
        self.replication.answer_pending_fetches()
        self.snapshot_server.raise_begin_offset()
        self.voter_changes.review()
        self._log_time()

    def _step_down_for_disk(self) -> None:
        """The disk doesn't write: others are to lead, and hear so without waiting for it."""
        self.announce("disk stalled", since=str(self.disk_delay()))
        for replica in self.others():
            self.number += 1
            self.commands.append(Send(self.number, replica, EndEpochCall(self.epoch, self.replica), WITHOUT_SYNC))
        self.elections.step_down(self.epoch, UNSET)

    def _log_time(self) -> None:
        """Time must go on for keys that are held to expire even when nothing else is written."""
        if (
            self.state.holds
            and self.now - self.appended_at >= self.timings.tick_record_interval
            and self.state.offset == self.last.offset
        ):
            self.append((self.replication.new_record(pack_command(Tick(self.replica))),))

    # -- the end of taking part --------------------------------------------------------------------------------------

    def check_level(self) -> None:
        """Halts if the log is past the release level that this replica supports."""
        if self.complete and self.state.level > self.level:
            self.halt(f"the log is at release level {self.state.level}, this release supports {self.level}")

    def halt(self, why: str) -> None:
        """Stops taking part: going on without a record would let this replica differ from the others."""
        self.halted = why
        if self.role == LEADER:
            self.elections.resign()
        self.role = FOLLOWER
        self.leader = UNSET
        self.announce("halted", why=why)
