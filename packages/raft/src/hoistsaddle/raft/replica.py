"""The state that all parts of a replica share: its identity, epoch, vote, role and log, and the commands it gives.

The parts (elections, replication, log fetching, snapshots, ...) are objects that core.py joins. Each holds the state of
its own job and reaches the shared state and the other parts through the core.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import Announce, Answer, Boot, OffsetAndEpoch, RaftTimings, Send, Write
from hoistsaddle.raft.voters import LoggedVoterChange, ReplicaKey, apply_voter_change, voter_change_in
from hoistsaddle.rpc.messages import UNSET, Record
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import State

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

# Errors of the protocol, named as in KIP-630 and Kafka; the last two are our own.
SNAPSHOT_NOT_FOUND = "SNAPSHOT_NOT_FOUND"
OFFSET_OUT_OF_RANGE = "OFFSET_OUT_OF_RANGE"
NOT_LEADER_FOR_PARTITION = "NOT_LEADER_FOR_PARTITION"
WRONG_MESH = str(ErrorKind.WRONG_MESH)
RELEASE_OLD = str(ErrorKind.RELEASE_OLD)


class UnsyncedWrite(NamedTuple):
    """A write whose sync is still to come: its number, the log's end with it, and when it was given to the disk."""

    sequence: int
    log_end: int
    written_at: timedelta


class StoredCheckpoint(NamedTuple):
    """A checkpoint on this replica's disk, and since when it is there."""

    checkpoint_id: OffsetAndEpoch
    stored_at: timedelta


class Replica:
    """Identity, persistent facts, role and log of one replica."""

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
        """Takes up what the disk held.

        Args:
            boot: What the disk held when the process started.
            replicas: The replicas that this one may always turn to, by number.
            timings: Time-outs, intervals and batch sizes.
            seed: The source of chance; only election time-outs draw from it.
            now: The present time of the process's monotonic clock.
            level: The highest release level that this replica supports.
            wanted_voters: How many voters the losses to be borne ask for; 0 where the bootstrap named them for good.
        """
        self.replica = boot.replica
        self.incarnation = boot.incarnation
        # Voters that joined since are called beside these.
        self.seeds = replicas
        self.wanted_voters = wanted_voters
        self.timings = timings
        self.level = min(level, LEVEL)
        # Why this replica can't go on; empty while it can.
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
        # What a former incarnation knew to be committed; this one's high watermark begins below it.
        self.committed_before = 0 if boot.catching else boot.committed
        self.appended_at = now
        # Of the newest write.
        self.sequence = 0
        self.unsynced: list[UnsyncedWrite] = []
        # Of the newest call.
        self.number = 0
        # What the event under way makes the process do.
        self.commands: list[tuple] = []
        self._restore_log(boot)

    def _restore_log(self, boot: Boot) -> None:
        # Whether this replica holds a state with the log above it; a log without a checkpoint between its begin and its
        # high watermark counts as empty.
        self.complete = boot.state is not None and not boot.catching
        self.state = State()
        self.begin = OffsetAndEpoch(0, 0)
        self.log: list[Record] = []
        if boot.state is not None and self.complete:
            self.state = boot.state
            self.begin = boot.begin
            self.log = list(boot.records)
        self.high_watermark = self.state.offset if self.complete else 0
        # The end of the log that is synced here.
        self.durable = self.last.offset
        self.pending_voter_changes: list[LoggedVoterChange] = []
        self.find_voter_changes()

    def find_voter_changes(self) -> None:
        """Lists anew the changes of voters in the log that are not applied yet."""
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
        """The log's last record, or where it begins if it holds none."""
        return OffsetAndEpoch(self.log[-1].offset, self.log[-1].epoch) if self.log else self.begin

    @property
    def begin_offset(self) -> int:
        """The offset of the log's first record."""
        return self.begin.offset + 1

    @property
    def vote_position(self) -> OffsetAndEpoch:
        """The end of the log as it counts in votes."""
        # KIP-630: with an incomplete checkpoint a replica votes as if its log were empty.
        return self.last if self.complete else OffsetAndEpoch(-1, -1)

    def epoch_at(self, offset: int) -> int | None:
        """The epoch of the record at the offset; None if the log doesn't reach there."""
        if offset == self.begin.offset:
            return self.begin.epoch
        index = offset - self.begin_offset
        return self.log[index].epoch if 0 <= index < len(self.log) else None

    def last_offset_of_epoch(self, epoch: int, *, at_most: int) -> int:
        """The last offset up to the given one whose record's epoch is not above the given one (KIP-595).

        Where the log holds none, it is the log's begin, or the given offset if that lies below.
        """
        offset = min(at_most, self.last.offset)
        while offset > self.begin.offset and self.log[offset - self.begin_offset].epoch > epoch:
            offset -= 1
        return offset

    def voter_sets(self) -> list[dict[int, str]]:
        """The voters, and beside them the set that an uncommitted change would make: until it commits, both must agree.

        A change is logged only once the one before it is committed, so of several unapplied ones, as a start finds
        them, only the last is open; and not even that if a former incarnation knew it to be committed. To ask the sets
        before them as well would ask for disks that may have been lost and replaced since.
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
        """Whether this replica's disk has a vote in any set in force."""
        return any(voters.get(self.replica) == self.incarnation for voters in self.voter_sets())

    def is_majority(self, agreed: set[ReplicaKey]) -> bool:
        """Whether these replicas are a majority of every set of voters in force."""
        for voters in self.voter_sets():
            if not voters or sum(key in agreed for key in voters.items()) * 2 <= len(voters):
                return False
        return True

    # -- commands ----------------------------------------------------------------------------------------------------

    def send(self, replica: int, message: tuple) -> int:
        """Calls a replica once everything written so far is synced; returns the call's number."""
        self.number += 1
        self.commands.append(Send(self.number, replica, message, self.sequence))
        return self.number

    def answer(self, ticket: int, message: tuple) -> None:
        """Answers a call once everything written so far is synced: what an answer says rests on it."""
        self.commands.append(Answer(ticket, message, self.sequence))

    def announce(self, kind: str, **detail) -> None:
        """Records a change of state for operators; kind and the detail's keys are part of their interface."""
        self.commands.append(Announce(kind, {"replica": self.replica, "epoch": self.epoch, **detail}))

    def persist(self, *, records: tuple[Record, ...] = (), truncate_from: int = UNSET, clear: bool = False) -> None:
        """Writes epoch, vote and the other facts to the disk, and the given change of the log with them."""
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
        """Puts records at the log's end and writes them to the disk."""
        for record in records:
            self.log.append(record)
            if change := voter_change_in(record.payload):
                self.pending_voter_changes.append(LoggedVoterChange(record.offset, change))
        self.appended_at = self.now
        self.persist(records=records)

    def disk_delay(self) -> timedelta:
        """How long the oldest unsynced write has been waiting; zero if there is none."""
        return self.now - self.unsynced[0].written_at if self.unsynced else timedelta()
