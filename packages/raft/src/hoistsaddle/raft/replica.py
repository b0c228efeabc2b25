"""The state that a replica's components share: identity, epoch, vote, role and log, and the commands it returns.

The components (elections, replication, log fetching, snapshots, ...) are objects that core.py combines. Each keeps its
own state and accesses the shared state and the other components through the core.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import Announce, Answer, Boot, OffsetAndEpoch, RaftTimings, Send, Write
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.raft.voters import LoggedVoterChange, ReplicaKey, apply_voter_change, voter_change_in
from hoistsaddle.rpc.messages import UNSET, Record
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import State

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

# Protocol errors, named as in KIP-630 and Kafka; the last two are specific to this project.
SNAPSHOT_NOT_FOUND = "SNAPSHOT_NOT_FOUND"
OFFSET_OUT_OF_RANGE = "OFFSET_OUT_OF_RANGE"
NOT_LEADER_FOR_PARTITION = "NOT_LEADER_FOR_PARTITION"
WRONG_MESH = str(ErrorKind.WRONG_MESH)
RELEASE_OLD = str(ErrorKind.RELEASE_OLD)


class UnsyncedWrite(NamedTuple):
    """A write that is not synced yet: its sequence number, the log's end after it, and when it was queued."""

    sequence: int
    log_end: int
    written_at: timedelta


class StoredCheckpoint(NamedTuple):
    """A checkpoint on this replica's disk, and when it was stored."""

    checkpoint_id: OffsetAndEpoch
    stored_at: timedelta


class Replica:
    """Identity, persistent state, role and log of one replica."""

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
        """Restores the replica from what its disk held.

        Args:
            boot: What the disk held when the process started.
            replicas: The numbers of the replicas that this one may always call.
            timings: Timeouts, intervals and batch sizes.
            seed: The random number generator; only election timeouts draw from it.
            now: The current time of the process's monotonic clock.
            level: The highest release level that this replica supports.
            wanted_voters: How many voters the configured losses require; 0 if the bootstrap fixed the voters.
            placement: Where the voters should be; None if the bootstrap fixed the voters.
        """
        self.replica = boot.replica
        self.incarnation = boot.incarnation
        # Voters that joined later are called in addition to these.
        self.seeds = replicas
        self.wanted_voters = wanted_voters
        self.placement = placement
        self.timings = timings
        self.level = min(level, LEVEL)
        # Why this replica has halted; empty while it runs.
        self.halted = ""
        self.random = seed
        self.now = now
        self.epoch = boot.epoch
        self.vote = boot.vote
        self.mesh = boot.mesh
        self.first_seeds = boot.first_seeds
        self.role = FOLLOWER
        self.leader = UNSET
        self.checkpoint = boot.checkpoint
        self.checkpoints = [StoredCheckpoint(boot.checkpoint, now)] if boot.checkpoint else []
        self.known_voters = boot.voters
        # The offset known to be committed before the restart; the high watermark restarts at the checkpoint, below it.
        self.committed_before = 0 if boot.catching else boot.committed
        self.appended_at = now
        # The sequence number of the newest write.
        self.sequence = 0
        self.unsynced: list[UnsyncedWrite] = []
        # The number of the newest call.
        self.number = 0
        # The commands that result from the event being handled.
        self.commands: list[tuple] = []
        self._restore_log(boot)

    def _restore_log(self, boot: Boot) -> None:
        # Whether this replica has a state together with the log above it. A log without a checkpoint between its begin
        # offset and its high watermark counts as empty.
        self.complete = boot.state is not None and not boot.catching
        self.state = State()
        self.begin = OffsetAndEpoch(0, 0)
        self.log: list[Record] = []
        if boot.state is not None and self.complete:
            self.state = boot.state
            self.begin = boot.begin
            self.log = list(boot.records)
        self.high_watermark = self.state.offset if self.complete else 0
        # The offset of the last record that is synced here.
        self.durable = self.last.offset
        self.pending_voter_changes: list[LoggedVoterChange] = []
        self.find_voter_changes()

    def find_voter_changes(self) -> None:
        """Rebuilds the list of voter changes in the log that are not applied yet."""
        self.pending_voter_changes = [
            LoggedVoterChange(record.offset, change)
            for record in self.log
            if record.offset > self.state.offset and (change := voter_change_in(record.payload))
        ]

    # -- the log and the voters --------------------------------------------------------------------------------------

    @property
    def key(self) -> ReplicaKey:
        """This replica's number and incarnation, as maps of voters hold them."""
        return (self.replica, self.incarnation)

    @property
    def last(self) -> OffsetAndEpoch:
        """The position of the log's last record, or the position before its first if it is empty."""
        return OffsetAndEpoch(self.log[-1].offset, self.log[-1].epoch) if self.log else self.begin

    @property
    def begin_offset(self) -> int:
        """The offset of the log's first record."""
        return self.begin.offset + 1

    @property
    def vote_position(self) -> OffsetAndEpoch:
        """The end of the log as compared in votes."""
        # KIP-630: with an incomplete checkpoint a replica votes as if its log were empty.
        return self.last if self.complete else OffsetAndEpoch(-1, -1)

    def epoch_at(self, offset: int) -> int | None:
        """The epoch of the record at the offset; None if the log doesn't contain it."""
        if offset == self.begin.offset:
            return self.begin.epoch
        index = offset - self.begin_offset
        return self.log[index].epoch if 0 <= index < len(self.log) else None

    def last_offset_of_epoch(self, epoch: int, *, at_most: int) -> int:
        """The last offset up to the given one whose record's epoch is not above the given one (KIP-595).

        Without such a record it is the offset before the log's first record, or the given offset if that is lower.
        """
        offset = min(at_most, self.last.offset)
        while offset > self.begin.offset and self.log[offset - self.begin_offset].epoch > epoch:
            offset -= 1
        return offset

    def voter_sets(self) -> list[dict[int, str]]:
        """The current voters, and the set that results from an uncommitted change: until it commits, both must agree.

        A change is logged only once the previous one is committed. So of several unapplied changes found after a start
        only the last can be uncommitted, and not even that one if it was known to be committed before the restart.
        Requiring the earlier sets too would require disks that may have been lost and replaced since.
        """
        voters = dict(self.state.voters) if self.complete else dict(self.known_voters)
        sets = [voters]
        for offset, change in self.pending_voter_changes:
            voters = apply_voter_change(voters, change)
            sets = [voters] if offset <= self.committed_before else [sets[-1], voters]
        return sets

    @property
    def replicas(self) -> tuple[int, ...]:
        """The numbers of all replicas known here, in order."""
        known = set(self.seeds)
        for voters in self.voter_sets():
            known.update(voters)
        return tuple(sorted(known))

    def others(self) -> list[int]:
        """The numbers of all other replicas known here, in order."""
        return [replica for replica in self.replicas if replica != self.replica]

    def is_voter(self) -> bool:
        """Whether this replica, with its present incarnation, is a voter in any set in force."""
        return any(voters.get(self.replica) == self.incarnation for voters in self.voter_sets())

    def is_majority(self, agreed: set[ReplicaKey]) -> bool:
        """Whether these replicas are a majority of every set of voters in force."""
        for voters in self.voter_sets():
            if not voters or sum(key in agreed for key in voters.items()) * 2 <= len(voters):
                return False
        return True

    # -- commands ----------------------------------------------------------------------------------------------------

    def send(self, replica: int, message: tuple) -> int:
        """Calls a replica once all writes so far are synced; returns the call's number."""
        self.number += 1
        self.commands.append(Send(self.number, replica, message, self.sequence))
        return self.number

    def answer(self, ticket: int, message: tuple) -> None:
        """Answers a call once all writes so far are synced, since the answer depends on them."""
        self.commands.append(Answer(ticket, message, self.sequence))

    def announce(self, kind: str, **detail) -> None:
        """Records a change of state for operators; kind and the detail's keys are part of their interface."""
        self.commands.append(Announce(kind, {"replica": self.replica, "epoch": self.epoch, **detail}))

    def persist(self, *, records: tuple[Record, ...] = (), truncate_from: int = UNSET, clear: bool = False) -> None:
        """Writes epoch, vote and the other facts to the disk, together with the given change of the log."""
        self.sequence += 1
        if self.complete:
            self.known_voters = tuple(sorted(self.state.voters.items()))
        self.commands.append(
            Write(
                self.sequence,
                self.epoch,
                self.vote,
                self.known_voters,
                self.mesh,
                self.begin,
                not self.complete,
                clear,
                truncate_from,
                records,
                max(self.committed_before, self.high_watermark),
            )
        )
        self.unsynced.append(UnsyncedWrite(self.sequence, self.last.offset, self.now))

    def append(self, records: tuple[Record, ...]) -> None:
        """Appends records to the log and writes them to the disk."""
        for record in records:
            self.log.append(record)
            if change := voter_change_in(record.payload):
                self.pending_voter_changes.append(LoggedVoterChange(record.offset, change))
        self.appended_at = self.now
        self.persist(records=records)

    def disk_delay(self) -> timedelta:
        """How long the oldest unsynced write has been waiting; zero if there is none."""
        return self.now - self.unsynced[0].written_at if self.unsynced else timedelta()
