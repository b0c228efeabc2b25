"""What a replica holds and knows, and the small steps that all parts of the core share.

The parts (elections, replication, fetching, snapshots, ...) are classes over this one; core.py joins them. Steps that
one part asks of another are declared at the end.
"""

import random
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import Rounds
from hoistsaddle.raft.events import Announce, Answer, Boot, OffsetAndEpoch, RaftTimings, Send, Write
from hoistsaddle.raft.voters import apply_voter_change, voter_change_in
from hoistsaddle.rpc.messages import (
    UNSET,
    FetchAnswer,
    FetchCall,
    Record,
)
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import State

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

SNAPSHOT_NOT_FOUND = "SNAPSHOT_NOT_FOUND"
OFFSET_OUT_OF_RANGE = "OFFSET_OUT_OF_RANGE"
NOT_LEADER_FOR_PARTITION = "NOT_LEADER_FOR_PARTITION"
WRONG_MESH = str(ErrorKind.WRONG_MESH)
RELEASE_OLD = str(ErrorKind.RELEASE_OLD)


class Progress:
    """What the leader knows of one replica, learnt from its fetches alone."""

    def __init__(self) -> None:
        self.offset = -1
        self.complete = False
        self.heard = ZERO
        # When it was sent records, or a word that there are none, last.
        self.answered = ZERO
        self.round = -1
        self.level = 1
        # What was committed when it fetched last: whoever has that by its next fetch keeps up, however much is written.
        self.committed: int | None = None
        self.keeps_up = False
        self.leaving = False
        # It was told that it may go.
        self.gone = False


class Replica:
    """State of one replica, without what it does on an event."""

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
        self.replica = boot.replica
        # How many voters the losses to be borne ask for; 0 where founding named them once and for all.
        self.wanted_voters = wanted_voters
        self.incarnation = boot.incarnation
        # Those it may always turn to; voters that joined since are asked and told beside them.
        self.seeds = replicas
        self.sought = 0
        self.sought_at = now
        # When a leader was last known here.
        self.led_at = now
        self.timings = timings
        self.level = min(level, LEVEL)
        # Why this replica can't go on; empty while it can.
        self.halted = ""
        self.random = seed
        self.now = now
        self.epoch = boot.epoch
        self.vote = boot.vote
        self.mesh = boot.mesh
        self.role = FOLLOWER
        self.leader = UNSET
        self.checkpoint = boot.checkpoint
        self.checkpoints: list[tuple[OffsetAndEpoch, timedelta]] = [(boot.checkpoint, now)] if boot.checkpoint else []
        self.known_voters = boot.voters
        # What a former life knew to be committed; this one's high-watermark begins below it.
        self.committed_before = 0 if boot.catching else boot.committed
        self.appended_at = now
        # A level logged but not yet committed binds who may fetch already.
        self.raising = 1
        self.sequence = 0
        self.unsynced: list[tuple[int, int, timedelta]] = []
        self.number = 0
        self.stopping = False
        self.stop_asked_at = now
        self.stop_by = now
        self.ended = False
        # Answers in a row that said nothing to its leaving.
        self.unsaid = 0
        # Since when this leader takes no more orders, as it hands the lead over.
        self.handing_since: timedelta | None = None
        # Since when this leader, which leaves, has had no vote any more.
        self.voteless_since: timedelta | None = None
        self._out: list[tuple] = []
        self._begin_log(boot)
        self._begin_following()
        # After a start nobody is known to lead. Should somebody, its call comes first, and the voters that hear it
        # refuse the trial; if nobody does, all were down and every moment counts.
        self.election_at = now + self._election_span() * timings.startup_election_fraction
        # Candidate's side.
        self.pre_vote = False
        self.granted: set[tuple[int, str]] = set()
        self._begin_leading()
        self._check_level()

    def _begin_log(self, boot: Boot) -> None:
        # A log without a checkpoint between its begin and its high-watermark counts as empty.
        self.complete = boot.state is not None and not boot.catching
        if self.complete:
            self.state = boot.state
            self.begin = boot.begin
            self.log = list(boot.records)
            self.high_watermark = boot.state.offset
        else:
            self.state = State()
            self.begin = OffsetAndEpoch(0, 0)
            self.log = []
            self.high_watermark = 0
        self.durable = self.last.offset
        self.pending_voter_changes = [
            (record.offset, swap)
            for record in self.log
            if record.offset > self.state.offset and (swap := voter_change_in(record.payload))
        ]

    def _begin_following(self) -> None:
        self.fetch_number = 0
        self.fetch_sent: timedelta | None = None
        self.heard_leader: timedelta | None = None
        self.round_seen = 0
        # Where each of the last fetches asked the log to go on: a late answer counts if it still goes on there.
        self.fetched_from: dict[int, OffsetAndEpoch] = {}
        # A moment at which this replica's applied state held all that was committed anywhere; None while none is known.
        self.newest: timedelta | None = None
        self.fetching_snapshot: OffsetAndEpoch | None = None
        # The log above the checkpoint that is being pulled; log and state stay what they were until that is loaded.
        self.staged: list[Record] = []
        # After a failed pull the leader is asked anew where to begin, whatever is held here.
        self.starting_over = False
        self.snapshot_fetch_number = 0
        self.snapshot_fetch_sent: timedelta | None = None
        self.snapshot_position = 0
        self.loading = False

    def _begin_leading(self) -> None:
        self.progress: dict[tuple[int, str], Progress] = {}
        self.held: dict[int, tuple[int, FetchCall, timedelta]] = {}
        self.lead_since = ZERO
        self.lead_sent = ZERO
        self.base_stamp = ZERO
        self.epoch_began = 0
        self.rounds = Rounds(now=self.lead_since)
        self.reads: list[tuple[int, int]] = []
        self.waiting: dict[int, list] = {}
        self.ticket_of: dict[int, int] = {}
        self.capturing: OffsetAndEpoch | None = None
        # The checkpoint that each replica is pulling from here, and when it last asked for a piece.
        self.snapshot_fetches: dict[int, tuple[OffsetAndEpoch, timedelta]] = {}
        # Checkpoints that were left only because somebody was pulling them.
        self.spared: tuple[OffsetAndEpoch, ...] = ()

    @property
    def round(self) -> int:
        return self.rounds.newest

    # -- what is known ---------------------------------------------------------------------------------------------

    @property
    def last(self) -> OffsetAndEpoch:
        return OffsetAndEpoch(self.log[-1].offset, self.log[-1].epoch) if self.log else self.begin

    @property
    def begin_offset(self) -> int:
        return self.begin.offset + 1

    @property
    def vote_position(self) -> OffsetAndEpoch:
        # KIP-630: with an incomplete checkpoint a replica votes as if its log were empty.
        return self.last if self.complete else OffsetAndEpoch(-1, -1)

    def epoch_at(self, offset: int) -> int | None:
        if offset == self.begin.offset:
            return self.begin.epoch
        place = offset - self.begin_offset
        return self.log[place].epoch if 0 <= place < len(self.log) else None

    def voter_sets(self) -> list[dict[int, str]]:
        """The voters, and beside them the set that an uncommitted change would make: until it commits, both must agree.

        A change is logged only once the one before it is committed, so of several unapplied ones, as a start finds
        them, only the last is open; and not even that if a former life knew it to be committed. To ask the sets before
        them as well would ask for disks that may have been lost and replaced since.
        """
        voters = dict(self.state.voters) if self.complete else dict(self.known_voters)
        sets = [voters]
        for offset, swap in self.pending_voter_changes:
            voters = apply_voter_change(voters, swap)
            sets = [voters] if offset <= self.committed_before else [sets[-1], voters]
        return sets

    @property
    def replicas(self) -> tuple[int, ...]:
        known = set(self.seeds)
        for voters in self.voter_sets():
            known.update(voters)
        return tuple(sorted(known))

    def is_voter(self) -> bool:
        return any(voters.get(self.replica) == self.incarnation for voters in self.voter_sets())

    def _majority(self, agreed: set[tuple[int, str]]) -> bool:
        for voters in self.voter_sets():
            if not voters or sum(
                (replica, incarnation) in agreed for replica, incarnation in voters.items()
            ) * 2 <= len(voters):
                return False
        return True

    # -- commands to the shell, and the log's end ------------------------------------------------------------------

    def _send(self, replica: int, message: tuple) -> int:
        self.number += 1
        self._out.append(Send(self.number, replica, message, self.sequence))
        return self.number

    def _answer(self, ticket: int, message: tuple) -> None:
        # Whatever is said rests on what was written before it: the shell waits for that sync.
        self._out.append(Answer(ticket, message, self.sequence))

    def _announce(self, kind: str, **detail) -> None:
        self._out.append(Announce(kind, {"replica": self.replica, "epoch": self.epoch, **detail}))

    def _write(self, *, records: tuple[Record, ...] = (), truncate_from: int = UNSET, clear: bool = False) -> None:
        self.sequence += 1
        if self.complete:
            self.known_voters = tuple(sorted(self.state.voters.items()))
        self._out.append(
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
        self.unsynced.append((self.sequence, self.last.offset, self.now))

    def _append(self, records: tuple[Record, ...]) -> None:
        for record in records:
            self.log.append(record)
            if swap := voter_change_in(record.payload):
                self.pending_voter_changes.append((record.offset, swap))
        self.appended_at = self.now
        self._write(records=records)

    def _check_level(self) -> None:
        if self.complete and self.state.level > self.level:
            self._halt(f"the log is at release level {self.state.level}, this release supports {self.level}")

    def _halt(self, why: str) -> None:
        """Going on without a record would let this replica differ from the others: it stops, and says so."""
        self.halted = why
        if self.role == LEADER:
            self._resign()
        self.role = FOLLOWER
        self.leader = UNSET
        self._announce("halted", why=why)

    def _synced(self, sequence: int) -> None:
        while self.unsynced and self.unsynced[0][0] <= sequence:
            _, end, _ = self.unsynced.pop(0)
            self.durable = end
        if self.role == LEADER:
            self._advance()

    # -- what the parts ask of one another -------------------------------------------------------------------------

    def _election_span(self) -> timedelta:
        raise NotImplementedError

    def _step_down(self, epoch: int, leader: int) -> None:
        raise NotImplementedError

    def _follow(self, epoch: int, leader: int) -> None:
        raise NotImplementedError

    def _resign(self, *, successor: int = UNSET) -> None:
        raise NotImplementedError

    def _record(self, payload: bytes) -> Record:
        raise NotImplementedError

    def _answer_pending_fetches(self, *, everyone: bool = False) -> None:
        raise NotImplementedError

    def _advance(self) -> None:
        raise NotImplementedError

    def _apply(self) -> None:
        raise NotImplementedError

    def _contact_age(self) -> timedelta:
        raise NotImplementedError

    def _note_newest(self, timestamp: timedelta | None) -> None:
        raise NotImplementedError

    def _confirm_reads(self) -> None:
        raise NotImplementedError

    def _set_begin(self, offset: int) -> None:
        raise NotImplementedError

    def _begin_snapshot_fetch(self, answer: FetchAnswer) -> None:
        raise NotImplementedError

    def _abandon_snapshot_fetch(self, why: str) -> None:
        raise NotImplementedError

    def _stage(self, records: tuple[Record, ...]) -> None:
        raise NotImplementedError

    def _fetch(self) -> None:
        raise NotImplementedError

    def _heir(self) -> int | None:
        raise NotImplementedError

    def _successors_to_come(self) -> bool:
        raise NotImplementedError

    def _leave_word(self, life: tuple[int, str]) -> int:
        raise NotImplementedError

    def _tell_leaving(self, call: FetchCall) -> int:
        raise NotImplementedError

    def _heard_leave(self, answer: FetchAnswer) -> None:
        raise NotImplementedError
