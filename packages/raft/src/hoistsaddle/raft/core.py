"""One replica of the log: Raft by fetch, checkpoints after KIP-630, mesh time, voters by disk incarnation.

The core is told events and the present moment, and gives commands. docs/kip-630.md says which rule comes from where.
"""

import random
from datetime import timedelta
from typing import Any

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import MishapKind
from hoistsaddle.raft.contact import NEVER, Rounds, majority_contact
from hoistsaddle.raft.events import (
    Announce,
    Answer,
    AnswerArrived,
    Boot,
    CallArrived,
    CallRefused,
    Capture,
    CheckpointLoaded,
    CheckpointMishap,
    CheckpointStored,
    Concluded,
    DropCheckpoints,
    Mark,
    Pace,
    ProposalArrived,
    RaiseArrived,
    ReadArrived,
    ReadChunk,
    ReadReady,
    Send,
    StopAsked,
    StoreChunk,
    Synced,
    Ticked,
    Write,
)
from hoistsaddle.rpc.messages import (
    UNSAID,
    UNSET,
    BallotAnswer,
    BallotCall,
    FetchAnswer,
    FetchCall,
    Heard,
    LeadCall,
    PullAnswer,
    PullCall,
    Record,
    ResignCall,
)
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import (
    LEVEL,
    AddVoter,
    DropVoter,
    LeaderNote,
    Outcome,
    RaiseLevel,
    SwapVoter,
    Tick,
    pack_command,
    unpack_command,
)
from hoistsaddle.statemachine.state import State

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

SNAPSHOT_NOT_FOUND = "SNAPSHOT_NOT_FOUND"
OFFSET_OUT_OF_RANGE = "OFFSET_OUT_OF_RANGE"
NOT_LEADER_FOR_PARTITION = "NOT_LEADER_FOR_PARTITION"
WRONG_MESH = str(MishapKind.WRONG_MESH)
RELEASE_OLD = str(MishapKind.RELEASE_OLD)


class _Progress:
    """What the leader knows of one replica, learnt from its fetches alone."""

    def __init__(self) -> None:
        self.offset = -1
        self.whole = False
        self.heard = ZERO
        self.round = -1
        self.level = 1


VoterChange = SwapVoter | AddVoter | DropVoter


def _change_in(payload: bytes) -> VoterChange | None:
    # Cheap look first: nearly no record is a voter change.
    if b"Voter" not in payload[:16]:
        return None
    command = unpack_command(payload)
    return command if isinstance(command, SwapVoter | AddVoter | DropVoter) else None


def _changed(voters: dict[int, str], change: VoterChange) -> dict[int, str]:
    match change:
        case SwapVoter(replica=replica, new=new):
            return {**voters, replica: new}
        case AddVoter(replica=replica, incarnation=incarnation):
            return {**voters, replica: incarnation}
        case DropVoter(replica=replica):
            return {each: incarnation for each, incarnation in voters.items() if each != replica}
    return voters


class RaftCore:
    def __init__(
        self,
        *,
        boot: Boot,
        replicas: tuple[int, ...],
        pace: Pace,
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
        self.pace = pace
        self.level = min(level, LEVEL)
        # Why this replica can't go on; empty while it can.
        self.halted = ""
        self.random = seed
        self.now = now
        self.epoch = boot.epoch
        self.vote = boot.vote
        self.mesh = boot.mesh
        self.standing = FOLLOWER
        self.leader = UNSET
        self.checkpoint = boot.checkpoint
        self.checkpoints: list[tuple[Mark, timedelta]] = [(boot.checkpoint, now)] if boot.checkpoint else []
        self.known_voters = boot.voters
        # What a former life knew to be committed; this one's high-watermark begins below it.
        self.committed_before = 0 if boot.catching else boot.committed
        # A log without a checkpoint between its begin and its high-watermark counts as empty.
        self.whole = boot.state is not None and not boot.catching
        if self.whole:
            self.state = boot.state
            self.begin = boot.begin
            self.log = list(boot.records)
            self.high_watermark = boot.state.offset
        else:
            self.state = State()
            self.begin = Mark(0, 0)
            self.log = []
            self.high_watermark = 0
        self.durable = self.last.offset
        self.swaps = [
            (record.offset, swap)
            for record in self.log
            if record.offset > self.state.offset and (swap := _change_in(record.payload))
        ]
        self.sequence = 0
        self.unsynced: list[tuple[int, int, timedelta]] = []
        self.number = 0
        self.stopping = False
        # Follower's side.
        self.fetch_number = 0
        self.fetch_sent: timedelta | None = None
        self.heard_leader: timedelta | None = None
        self.round_seen = 0
        # A moment at which this replica's applied state held all that was committed anywhere; None while none is known.
        self.newest: timedelta | None = None
        self.pulling: Mark | None = None
        self.pull_number = 0
        self.pull_sent: timedelta | None = None
        self.pull_position = 0
        self.loading = False
        # After a start nobody is known to lead. Should somebody, its call comes first, and the voters that hear it
        # refuse the trial; if nobody does, all were down and every moment counts.
        self.election_at = now + self._election_span() * pace.boot_share
        # Candidate's side.
        self.trial = False
        self.granted: set[tuple[int, str]] = set()
        # Leader's side.
        self.progress: dict[tuple[int, str], _Progress] = {}
        self.held: dict[int, tuple[int, FetchCall, timedelta]] = {}
        self.lead_since = ZERO
        self.lead_sent = ZERO
        self.base_stamp = ZERO
        self.epoch_began = 0
        self.rounds = Rounds(now=now)
        self.reads: list[tuple[int, int]] = []
        self.waiting: dict[int, list] = {}
        self.ticket_of: dict[int, int] = {}
        self.capturing: Mark | None = None
        self.appended_at = now
        # A level logged but not yet committed binds who may fetch already.
        self.raising = 1
        self._out: list[tuple] = []
        self._check_level()

    @property
    def round(self) -> int:
        return self.rounds.newest

    # -- what is known ---------------------------------------------------------------------------------------------

    @property
    def last(self) -> Mark:
        return Mark(self.log[-1].offset, self.log[-1].epoch) if self.log else self.begin

    @property
    def begin_offset(self) -> int:
        return self.begin.offset + 1

    @property
    def vote_mark(self) -> Mark:
        # KIP-630: with an incomplete checkpoint a replica votes as if its log were empty.
        return self.last if self.whole else Mark(-1, -1)

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
        voters = dict(self.state.voters) if self.whole else dict(self.known_voters)
        sets = [voters]
        for offset, swap in self.swaps:
            voters = _changed(voters, swap)
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

    def _election_span(self) -> timedelta:
        spread = self.pace.election_most - self.pace.election_least
        return self.pace.election_least + spread * self.random.random()

    def mesh_time(self) -> timedelta:
        """The leader's stamp for this moment: its first stamp plus its own monotonic time since."""
        return self.base_stamp + (self.now - self.lead_since)

    # -- events ----------------------------------------------------------------------------------------------------

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
            case CheckpointStored(mark=mark):
                self.capturing = None
                # A follower that threw its log away meanwhile has no use for the old capture.
                if self.whole and mark.offset >= self.begin.offset:
                    self.checkpoints.append((mark, self.now))
                    self.checkpoint = max((each for each, _ in self.checkpoints), key=lambda each: each.offset)
                    self._raise_begin()
            case CheckpointMishap():
                self.capturing = None
            case CheckpointLoaded(mark=mark, state=state):
                self._loaded(mark, state)
            case StopAsked():
                self._stop()
        return self._out

    def _refused(self, replica: int) -> None:
        """The leader's process is gone: no need to wait until its silence has lasted."""
        if replica != self.leader or self.standing == LEADER:
            return
        self.heard_leader = None
        self.fetch_sent = None
        # Some spread keeps the followers from standing at once; a leader that is back by then answers the fetches.
        self.election_at = min(self.election_at, self.now + self._election_span() * 0.2)

    def _call(self, ticket: int, message: tuple) -> None:
        match message:
            case FetchCall():
                self._fetch_call(ticket, message)
            case PullCall():
                self._pull_call(ticket, message)
            case BallotCall():
                self._ballot_call(ticket, message)
            case LeadCall(mesh=mesh, epoch=epoch, leader=leader):
                # A leader of another mesh is no leader here; a blank disk takes the first that calls.
                if (not self.mesh or mesh == self.mesh) and epoch >= self.epoch and leader != self.replica:
                    self._follow(epoch, leader)
                self._answer(ticket, Heard(self.epoch))
            case ResignCall(epoch=epoch, leader=leader):
                if epoch == self.epoch and leader == self.leader:
                    self.leader = UNSET
                    self.heard_leader = None
                    # The spread keeps the followers from all standing at once.
                    self.election_at = self.now + self._election_span() * 0.15
                self._answer(ticket, Heard(self.epoch))

    def _answered(self, number: int, replica: int, message: tuple) -> None:
        match message:
            case FetchAnswer():
                if number == self.fetch_number:
                    self._fetch_answer(replica, message)
            case PullAnswer():
                if number == self.pull_number:
                    self._pull_answer(message)
            case BallotAnswer():
                self._ballot_answer(message)
            case Heard(epoch=epoch):
                # A higher epoch elsewhere means this leadership is over or can't reach that replica: stand again.
                if epoch > self.epoch:
                    self._step_down(epoch, UNSET)

    # -- output helpers ----------------------------------------------------------------------------------------------

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
        if self.whole:
            self.known_voters = tuple(sorted(self.state.voters.items()))
        self._out.append(
            Write(
                self.sequence,
                self.epoch,
                self.vote,
                self.known_voters,
                self.mesh,
                self.begin,
                not self.whole,
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
            if swap := _change_in(record.payload):
                self.swaps.append((record.offset, swap))
        self.appended_at = self.now
        self._write(records=records)

    def _check_level(self) -> None:
        if self.whole and self.state.level > self.level:
            self._halt(f"the log is at release level {self.state.level}, this release supports {self.level}")

    def _halt(self, why: str) -> None:
        """Going on without a record would let this replica differ from the others: it stops, and says so."""
        self.halted = why
        if self.standing == LEADER:
            self._resign()
        self.standing = FOLLOWER
        self.leader = UNSET
        self._announce("halted", why=why)

    def _truncate(self, offset: int) -> bool:
        """Drops every record from the offset on."""
        # Committed records never go; a leader that asks for it is not of this mesh.
        if offset <= max(self.high_watermark, self.state.offset if self.whole else 0):
            self._announce("truncation refused", offset=offset, high_watermark=self.high_watermark)
            return False
        self.log = self.log[: max(0, offset - self.begin_offset)]
        self.swaps = [(place, swap) for place, swap in self.swaps if place < offset]
        self.durable = min(self.durable, offset - 1)
        self.unsynced = [(sequence, min(end, offset - 1), moment) for sequence, end, moment in self.unsynced]
        self._write(truncate_from=offset)
        return True

    def _synced(self, sequence: int) -> None:
        while self.unsynced and self.unsynced[0][0] <= sequence:
            _, end, _ = self.unsynced.pop(0)
            self.durable = end
        if self.standing == LEADER:
            self._advance()

    # -- standing ----------------------------------------------------------------------------------------------------

    def _step_down(self, epoch: int, leader: int) -> None:
        was = self.standing
        if epoch > self.epoch:
            self.epoch = epoch
            self.vote = None
            self._write()
        if was == LEADER:
            for ticket in list(self.waiting):
                # The records may still commit under the next leader, so the honest word is "unsure".
                self._out.append(Concluded(ticket, str(MishapKind.UNSURE), leader, UNSET, ()))
            for ticket, _ in self.reads:
                self._out.append(ReadReady(ticket, str(MishapKind.NOT_LEADER), leader, None))
            for ticket, _, _ in self.held.values():
                self._answer(ticket, FetchAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, leader))
            self.waiting, self.ticket_of, self.reads, self.held, self.progress = {}, {}, [], {}, {}
            self._announce("leader stepped down", leader=leader)
        self.standing = FOLLOWER
        self.raising = 1
        self.leader = leader
        self.heard_leader = None
        self.election_at = self.now + self._election_span()
        self.granted = set()

    def _follow(self, epoch: int, leader: int) -> None:
        if epoch < self.epoch or (epoch == self.epoch and self.leader == leader and self.standing == FOLLOWER):
            return
        self._step_down(epoch, leader)
        self.round_seen = 0
        # Hearing of a leader gives it time to answer the first fetch.
        self._announce("following", leader=leader)
        if self.pulling is not None:
            # KIP-630: the checkpoint being pulled was the old leader's; start over at offset and epoch zero.
            self.pulling = None
        self._fetch()

    def _stop(self) -> None:
        self.stopping = True
        if self.standing == LEADER:
            self._resign()

    def _resign(self) -> None:
        for replica in self.replicas:
            if replica != self.replica:
                self._send(replica, ResignCall(self.epoch, self.replica))
        self._step_down(self.epoch, UNSET)

    def _can_stand(self) -> bool:
        # A disk that can't write now couldn't lead either.
        stalled = bool(self.unsynced) and self.now - self.unsynced[0][2] > self.pace.disk_stall / 3
        return self.whole and self.is_voter() and not self.stopping and not stalled and not self.halted

    def _stand(self, *, trial: bool) -> None:
        self.standing = CANDIDATE
        self.trial = trial
        self.leader = UNSET
        if not trial:
            self.epoch += 1
            self.vote = (self.replica, self.incarnation)
            self._write()
        self.granted = {(self.replica, self.incarnation)}
        self.election_at = self.now + self.pace.ballot_retry + self._election_span() * 0.5
        epoch = self.epoch + 1 if trial else self.epoch
        mark = self.vote_mark
        for replica in self.replicas:
            if replica != self.replica:
                self._send(
                    replica,
                    BallotCall(
                        self.mesh, epoch, self.replica, self.incarnation, mark.offset, mark.epoch, trial, self.level
                    ),
                )
        self._count_ballots()

    def _ballot_call(self, ticket: int, call: BallotCall) -> None:
        def answer(granted: bool) -> None:
            self._answer(
                ticket, BallotAnswer(self.epoch, self.replica, self.incarnation, granted, call.trial, call.epoch)
            )

        # While a leader answers, a ballot from elsewhere would only disturb it.
        led = self.standing == LEADER or (
            self.heard_leader is not None and self.now - self.heard_leader < self.pace.election_least
        )
        mark = self.vote_mark
        complete = (call.last_epoch, call.last_offset) >= (mark.epoch, mark.offset)
        # A blank or foreign disk never votes: it can't know what its predecessor promised.
        if not self.is_voter() or call.mesh != self.mesh or led or call.epoch < self.epoch or self.halted:
            return answer(False)
        # A leader must be able to apply whatever the log may hold.
        if call.level < self.state.level:
            return answer(False)
        if call.trial:
            return answer(complete and call.epoch > self.epoch)
        if call.epoch > self.epoch:
            self._step_down(call.epoch, UNSET)
        free = self.vote in (None, (call.replica, call.incarnation)) and self.leader == UNSET
        if complete and free:
            if self.vote is None:
                self.vote = (call.replica, call.incarnation)
                self._write()
            self.election_at = self.now + self._election_span()
            return answer(True)
        return answer(False)

    def _ballot_answer(self, message: BallotAnswer) -> None:
        if message.epoch > self.epoch:
            self._step_down(message.epoch, UNSET)
            return
        expected = self.epoch + 1 if self.trial else self.epoch
        if (
            self.standing == CANDIDATE
            and message.granted
            and message.trial == self.trial
            and message.ballot_epoch == expected
        ):
            self.granted.add((message.replica, message.incarnation))
            self._count_ballots()

    def _count_ballots(self) -> None:
        if not self._majority(self.granted):
            return
        if self.trial:
            self._stand(trial=False)
            return
        self.standing = LEADER
        self.leader = self.replica
        self.heard_leader = None
        self.fetch_sent = None
        self.progress = {}
        self.held = {}
        self.reads = []
        self.rounds = Rounds(now=self.now)
        self.lead_since = self.now
        self.lead_sent = self.now
        # Mesh time goes on from the newest stamp in the log: it stood still while nobody led.
        self.base_stamp = max(self.log[-1].stamp if self.log else ZERO, self.state.stamp)
        self.epoch_began = self.last.offset + 1
        self._announce("leading", offset=self.epoch_began)
        self._append((self._record(pack_command(LeaderNote(self.replica))),))
        self._call_to_follow(everyone=True)
        self._advance()

    def _call_to_follow(self, *, everyone: bool) -> None:
        self.lead_sent = self.now
        heard = {
            replica
            for (replica, _), progress in self.progress.items()
            if self.now - progress.heard < self.pace.fetch_retry
        }
        for replica in self.replicas:
            if replica != self.replica and (everyone or replica not in heard):
                self._send(replica, LeadCall(self.mesh, self.epoch, self.replica))

    # -- the leader's side of the log --------------------------------------------------------------------------------

    def _record(self, payload: bytes) -> Record:
        return Record(self.last.offset + 1, self.epoch, self.mesh_time(), payload)

    def _propose(self, ticket: int, payloads: tuple[bytes, ...]) -> None:
        if self.standing != LEADER:
            self._out.append(Concluded(ticket, str(MishapKind.NOT_LEADER), self.leader, UNSET, ()))
            return
        records = []
        offset = self.last.offset
        stamp = self.mesh_time()
        for payload in payloads:
            offset += 1
            records.append(Record(offset, self.epoch, stamp, payload))
            self.ticket_of[offset] = ticket
        self.waiting[ticket] = [len(payloads), []]
        self._append(tuple(records))
        self._answer_held()
        self._advance()

    def _read(self, ticket: int) -> None:
        if self.standing != LEADER:
            self._out.append(ReadReady(ticket, str(MishapKind.NOT_LEADER), self.leader, None))
            return
        # Only fetches sent after this round was announced prove that nobody else led when the read began.
        self.reads.append((ticket, self.rounds.begin(now=self.now)))
        self._answer_held(everyone=True)
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        if not self.reads or self.high_watermark < self.epoch_began or self.state.offset < self.high_watermark:
            return
        left = []
        for ticket, number in self.reads:
            agreed = {key for key, progress in self.progress.items() if progress.round >= number} | {
                (self.replica, self.incarnation)
            }
            if self._majority(agreed):
                self._out.append(ReadReady(ticket, "", self.replica, self.state))
            else:
                left.append((ticket, number))
        self.reads = left

    def _raise(self, ticket: int, level: int) -> None:
        """Logs a higher release level, once every voter is seen to support it. Nodes are the asker's affair."""
        if self.standing != LEADER:
            self._out.append(Concluded(ticket, str(MishapKind.NOT_LEADER), self.leader, UNSET, ()))
            return
        recent = {
            key: each.level for key, each in self.progress.items() if self.now - each.heard < self.pace.alive_span
        }
        recent[(self.replica, self.incarnation)] = self.level
        levels = [recent.get(voter, 0) for voters in self.voter_sets() for voter in voters.items()]
        if min(levels) < level or self.high_watermark < self.epoch_began:
            self._out.append(Concluded(ticket, str(MishapKind.RELEASE_LEVEL), self.replica, UNSET, ()))
            return
        if self.state.level >= level:
            self._out.append(Concluded(ticket, "", self.replica, self.state.offset, ()))
            return
        self.raising = level
        self._propose(ticket, (pack_command(RaiseLevel(level)),))

    def _fetch_call(self, ticket: int, call: FetchCall) -> None:
        if call.mesh and self.mesh and call.mesh != self.mesh:
            return self._answer(ticket, FetchAnswer(WRONG_MESH, self.epoch, self.leader))
        if call.epoch > self.epoch and self.is_voter():
            self._step_down(call.epoch, UNSET)
        if self.standing != LEADER or call.epoch != self.epoch:
            return self._answer(ticket, FetchAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, self.leader))
        # A former release passes over records it doesn't know, so it must not get any that came later.
        if call.level < max(self.state.level, self.raising):
            return self._answer(ticket, FetchAnswer(RELEASE_OLD, self.epoch, self.leader))
        key = (call.replica, call.incarnation)
        progress = self.progress.setdefault(key, _Progress())
        progress.heard = self.now
        progress.level = call.level
        progress.round = max(progress.round, call.round)
        answer = FetchAnswer("", self.epoch, self.replica, self.high_watermark, self.begin_offset, round=self.round)
        if call.fetch_offset < self.begin_offset:
            # KIP-630: below the begin offset the answer is the latest checkpoint and where the log goes on after it.
            progress.whole = False
            mark = self.checkpoint
            return self._answer(
                ticket,
                answer._replace(
                    checkpoint_offset=mark.offset, checkpoint_epoch=mark.epoch, next_offset=mark.offset + 1
                ),
            )
        known = self.epoch_at(call.fetch_offset - 1)
        if known != call.fetch_epoch:
            # KIP-595: the follower's log parts from ours; name the end of the newest epoch that both may share.
            offset = min(call.fetch_offset - 1, self.last.offset)
            while offset > self.begin.offset and self.epoch_at(offset) > call.fetch_epoch:
                offset -= 1
            return self._answer(ticket, answer._replace(diverging_offset=offset, diverging_epoch=self.epoch_at(offset)))
        # Records above a checkpoint still being pulled don't count: without what lies below they save nothing.
        progress.whole = call.whole
        progress.offset = call.fetch_offset - 1
        old = self.held.pop(call.replica, None)
        if old is not None:
            self._answer(old[0], answer)
        self._advance()
        # Only a read hurries: the rounds that date this leader's contact go along with what is sent anyway.
        if call.fetch_offset <= self.last.offset or any(call.round < number for _, number in self.reads):
            self._answer_fetch(ticket, call)
        else:
            self.held[call.replica] = (ticket, call, self.now)
        self._confirm_reads()

    def _answer_fetch(self, ticket: int, call: FetchCall, *, held: timedelta = ZERO) -> None:
        age = self._contact_age()
        if self.now - self.rounds.latest() >= self.pace.fetch_wait / 4:
            # The fetch that follows this answer proves that the follower still followed at this moment.
            self.rounds.begin(now=self.now)
        records = []
        size = 0
        place = max(0, call.fetch_offset - self.begin_offset)
        for record in self.log[place : place + self.pace.fetch_records]:
            records.append(record)
            size += len(record.payload)
            if size >= self.pace.fetch_bytes:
                break
        self._answer(
            ticket,
            FetchAnswer(
                "",
                self.epoch,
                self.replica,
                self.high_watermark,
                self.begin_offset,
                tuple(records),
                round=self.round,
                # The follower counts from when it sent the fetch: it was here for that long already.
                contact_age=age - held,
            ),
        )
        # A leader's answer carries records it may not have synced itself: only its own count waits for that.
        answer: Any = self._out.pop()
        self._out.append(answer._replace(after=0))

    def _answer_held(self, *, everyone: bool = False) -> None:
        for replica, (ticket, call, arrived) in list(self.held.items()):
            if everyone or call.fetch_offset <= self.last.offset or self.now - arrived >= self.pace.fetch_wait:
                del self.held[replica]
                if call.fetch_offset < self.begin_offset:
                    # The begin offset rose while the fetch was held: the next fetch is sent to the checkpoint.
                    self._answer(
                        ticket,
                        FetchAnswer(
                            "",
                            self.epoch,
                            self.replica,
                            self.high_watermark,
                            self.begin_offset,
                            round=self.round,
                        ),
                    )
                else:
                    self._answer_fetch(ticket, call, held=self.now - arrived)

    def _contact(self) -> timedelta | None:
        """Leader: the newest moment at which nobody else can have led, and this state held all that was committed."""
        if self.high_watermark < self.epoch_began or self.state.offset < self.high_watermark:
            return None
        return majority_contact(
            voter_sets=self.voter_sets(),
            me=(self.replica, self.incarnation),
            now=self.now,
            heard={key: self.rounds.began(progress.round) for key, progress in self.progress.items()},
        )

    def _contact_age(self) -> timedelta:
        contact = self._contact()
        return NEVER if contact is None else self.now - contact

    def _note_newest(self, moment: timedelta | None) -> None:
        if moment is not None and (self.newest is None or moment > self.newest):
            self.newest = moment

    def _advance(self) -> None:
        """Raises the high-watermark to what a majority of every voter set has synced."""
        if self.standing != LEADER:
            return
        least = None
        for voters in self.voter_sets():
            offsets = []
            for key in voters.items():
                if key == (self.replica, self.incarnation):
                    offsets.append(self.durable)
                else:
                    progress = self.progress.get(key)
                    offsets.append(progress.offset if progress is not None and progress.whole else -1)
            agreed = sorted(offsets, reverse=True)[len(offsets) // 2]
            least = agreed if least is None else min(least, agreed)
        # Only a record of this epoch commits by counting; older ones commit beneath it.
        if least is not None and least > self.high_watermark and least >= self.epoch_began:
            self.high_watermark = least
            self._apply()
            self._confirm_reads()

    def _apply(self) -> None:
        while self.state.offset < min(self.high_watermark, self.last.offset) and not self.halted:
            record = self.log[self.state.offset + 1 - self.begin_offset]
            before = self.state
            self.state, outcome = apply(
                self.state,
                offset=record.offset,
                epoch=record.epoch,
                stamp=record.stamp,
                payload=record.payload,
                supported=self.level,
            )
            if outcome.mishap == MishapKind.OTHER_RELEASE:
                return self._halt(outcome.message)
            self._tell_changes(before, outcome)
            if self.swaps and self.swaps[0][0] <= record.offset:
                _, swap = self.swaps.pop(0)
                match swap:
                    case SwapVoter(replica=replica, old=old, new=new):
                        self._announce("voter swapped", voter=replica, old=old, new=new)
                    case AddVoter(replica=replica):
                        self._announce("voter added", voter=replica, voters=len(self.state.voters))
                    case DropVoter(replica=replica):
                        self._announce("voter dropped", voter=replica, voters=len(self.state.voters))
            ticket = self.ticket_of.pop(record.offset, None)
            if ticket is not None:
                held = self.waiting[ticket]
                held[1].append(outcome)
                if len(held[1]) == held[0]:
                    del self.waiting[ticket]
                    self._out.append(Concluded(ticket, "", self.replica, record.offset, tuple(held[1])))
        latest = self.checkpoint.offset if self.checkpoint else 0
        if self.capturing is None and self.whole and self.state.offset - latest > self.pace.checkpoint_records:
            # The state is immutable, so keeping this reference is the whole capture; records go on applying.
            self.capturing = Mark(self.state.offset, self.state.epoch)
            self._out.append(Capture(self.capturing, self.state))

    def _tell_changes(self, before: State, outcome: Outcome) -> None:
        if self.state.level != before.level:
            self._announce("release level raised", level=self.state.level)
        if self.state.purged != before.purged:
            self._announce("gone forgotten", **outcome.detail)
        # Expiry is everybody's; one voice tells it.
        if self.state.swept != before.swept and self.standing == LEADER:
            for scope, hold in sorted(before.holds.items()):
                if scope not in self.state.holds:
                    self._announce("key expired", scope=scope[:12], entry=hold.entry, was=hold.phase)

    def _raise_begin(self) -> None:
        """Leader: raises the begin offset as KIP-630 allows."""
        if self.standing != LEADER:
            return
        live = [progress for progress in self.progress.values() if self.now - progress.heard < self.pace.alive_span]
        for mark, stored in sorted(self.checkpoints, reverse=True):
            if mark.offset <= self.begin.offset:
                return
            replicated = all(progress.whole and progress.offset >= mark.offset for progress in live)
            if replicated or self.now - stored >= self.pace.lag_wait:
                self._set_begin(mark.offset)
                return

    def _set_begin(self, offset: int) -> None:
        """Makes offset + 1 the begin offset; checkpoints wholly below it go."""
        epoch = self.epoch_at(offset)
        if epoch is None or offset <= self.begin.offset:
            return
        self.log = self.log[offset + 1 - self.begin_offset :]
        self.begin = Mark(offset, epoch)
        self.checkpoints = [(mark, stored) for mark, stored in self.checkpoints if mark.offset >= offset]
        self._write()
        self._out.append(DropCheckpoints(offset))
        self._announce("log trimmed", begin_offset=self.begin_offset)

    def _pull_call(self, ticket: int, call: PullCall) -> None:
        if self.standing != LEADER or call.epoch != self.epoch:
            return self._answer(
                ticket, PullAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, call.checkpoint_offset, call.checkpoint_epoch)
            )
        self._out.append(ReadChunk(ticket, self.epoch, call, min(call.max_bytes, self.pace.chunk_bytes)))

    # -- the follower's side -----------------------------------------------------------------------------------------

    def _fetch(self) -> None:
        if self.leader in (UNSET, self.replica) or self.halted:
            return
        # While nothing is held, offset and epoch zero ask the leader where to begin.
        waiting = not self.whole and self.pulling is None
        offset, epoch = (0, 0) if waiting else (self.last.offset + 1, self.last.epoch)
        self.fetch_sent = self.now
        self.fetch_number = self._send(
            self.leader,
            FetchCall(
                self.mesh,
                self.replica,
                self.incarnation,
                self.epoch,
                offset,
                epoch,
                self.round_seen,
                self.whole,
                self.level,
            ),
        )

    def _fetch_answer(self, replica: int, answer: FetchAnswer) -> None:
        sent, self.fetch_sent = self.fetch_sent, None
        if answer.mishap == WRONG_MESH:
            self._announce("wrong mesh", leader=replica)
            return None
        if answer.mishap == RELEASE_OLD:
            return self._halt(f"the mesh is past release level {self.level}")
        if answer.epoch > self.epoch or (
            answer.mishap and answer.epoch == self.epoch and answer.leader not in (UNSET, self.leader)
        ):
            # A leader of a newer epoch takes over; "nobody" leaves this replica to its election schedule.
            if answer.leader not in (UNSET, self.replica):
                self._follow(answer.epoch, answer.leader)
            else:
                self._step_down(answer.epoch, UNSET)
            return None
        if self.leader == UNSET and not answer.mishap and answer.epoch == self.epoch and answer.leader == replica:
            # The one that was asked on the off chance leads itself.
            return self._follow(answer.epoch, replica)
        if answer.mishap and answer.epoch == self.epoch and replica == self.leader:
            # It led once and says it no longer does: wait for a call to follow, or for the election schedule.
            self.leader = UNSET
        if answer.mishap or answer.epoch < self.epoch or replica != self.leader or self.standing == LEADER:
            return None
        self.heard_leader = self.now
        self.election_at = self.now + self._election_span()
        self.round_seen = max(self.round_seen, answer.round)
        if answer.checkpoint_offset != UNSET:
            self._discard(answer)
        elif answer.diverging_offset != UNSET:
            if not self._diverge(answer):
                # Asked to forget what was committed: say so, and ask again no sooner than the schedule does.
                self.fetch_sent = self.now
                return None
        else:
            fresh = tuple(record for record in answer.records if record.offset > self.last.offset)
            if fresh and fresh[0].offset == self.last.offset + 1:
                self._append(fresh)
            if self.whole:
                self.high_watermark = max(self.high_watermark, min(answer.high_watermark, self.last.offset))
                self._apply()
                if sent is not None and self.state.epoch == self.epoch and self.state.offset >= answer.high_watermark:
                    # No clocks are compared: the age was taken after this fetch was sent. A leader of a former release
                    # says none; it steps down after so long a silence of the others.
                    said = answer.contact_age != UNSAID
                    self._note_newest(sent - (answer.contact_age if said else self.pace.quorum_silence))
                # Followers adopt the begin offset once their own checkpoint covers it.
                if (
                    answer.begin_offset - 1 > self.begin.offset
                    and self.checkpoint
                    and self.checkpoint.offset >= answer.begin_offset - 1
                ):
                    self._set_begin(answer.begin_offset - 1)
        self._fetch()

    def _diverge(self, answer: FetchAnswer) -> bool:
        offset = min(answer.diverging_offset, self.last.offset)
        while offset > self.begin.offset and self.epoch_at(offset) > answer.diverging_epoch:
            offset -= 1
        return self._truncate(offset + 1)

    def _discard(self, answer: FetchAnswer) -> None:
        """KIP-630: throw log and checkpoints away, then pull the leader's checkpoint and its log side by side."""
        self.known_voters = tuple(sorted(self.state.voters.items())) if self.whole else self.known_voters
        self.whole = False
        self.newest = None
        self.state = State()
        self.log = []
        self.swaps = []
        self.checkpoint = None
        self.checkpoints = []
        self.begin = Mark(answer.checkpoint_offset, answer.checkpoint_epoch)
        self.high_watermark = self.committed_before = 0
        self.durable = self.begin.offset
        self.unsynced = [(sequence, self.begin.offset, moment) for sequence, _, moment in self.unsynced]
        self._write(clear=True)
        self._out.append(DropCheckpoints(2**62))
        self.pulling = self.begin
        self.pull_position = 0
        self.loading = False
        self._announce("catching up", checkpoint=self.begin.offset)
        self._pull()

    def _pull(self) -> None:
        self.pull_sent = self.now
        self.pull_number = self._send(
            self.leader,
            PullCall(
                self.replica,
                self.epoch,
                self.pulling.offset,
                self.pulling.epoch,
                self.pull_position,
                self.pace.chunk_bytes,
            ),
        )

    def _pull_answer(self, answer: PullAnswer) -> None:
        self.pull_sent = None
        if self.pulling is None or self.loading:
            return
        if answer.mishap:
            # KIP-630: on any of the three errors ask again from offset and epoch zero.
            self._announce("catch-up restarts", mishap=answer.mishap)
            self.pulling = None
            return
        if (answer.checkpoint_offset, answer.checkpoint_epoch) != self.pulling or answer.position != self.pull_position:
            return
        self.pull_position += len(answer.data)
        self._out.append(StoreChunk(self.pulling, answer.position, answer.data, not answer.continues))
        if answer.continues:
            self._pull()
        else:
            self.loading = True

    def _loaded(self, mark: Mark, state: State | None) -> None:
        if self.pulling != mark or not self.loading:
            return
        self.loading = False
        self.pulling = None
        if state is None:
            self._announce("catch-up restarts", mishap=str(MishapKind.CHECKPOINT_TORN))
            return
        self.state = state
        self.mesh = state.mesh
        self.whole = True
        self.checkpoint = mark
        self.checkpoints = [(mark, self.now)]
        self.high_watermark = mark.offset
        self._check_level()
        self.swaps = [(record.offset, swap) for record in self.log if (swap := _change_in(record.payload))]
        self._write()
        self._announce("caught up", checkpoint=mark.offset, log_end=self.last.offset)
        self._fetch()

    # -- schedules ---------------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self.halted:
            return
        if self.standing == LEADER:
            self._lead_tick()
            return
        if self.leader != UNSET:
            # A fetch that got no answer is sent again; the old answer, if it still comes, is passed over.
            if self.fetch_sent is None or self.now - self.fetch_sent > self.pace.fetch_retry:
                self._fetch()
            if (
                self.pulling is not None
                and not self.loading
                and (self.pull_sent is None or self.now - self.pull_sent > self.pace.fetch_retry * 2)
            ):
                self._pull()
        if self.leader != UNSET:
            self.led_at = self.now
        # A voter without a leader for long may have been dropped while it was away: then nobody calls it either.
        unknown = not self.is_voter() or self.now - self.led_at >= self.pace.alive_span
        if self.leader == UNSET and unknown and self.now - self.sought_at >= self.pace.seek_every:
            self._seek()
        if self.now >= self.election_at:
            if self._can_stand():
                # A trial first: a replica that was merely cut off must not raise everyone's epoch.
                self._stand(trial=True)
            else:
                self.leader = UNSET
                self.election_at = self.now + self._election_span()

    def _seek(self) -> None:
        """Nobody calls a replica nobody knows of: it asks the seeds and its last voters who leads."""
        others = [replica for replica in self.replicas if replica != self.replica]
        if not others:
            return
        self.sought_at = self.now
        self.sought += 1
        self.fetch_number = self._send(
            others[self.sought % len(others)],
            FetchCall(self.mesh, self.replica, self.incarnation, self.epoch, 0, 0, 0, False, self.level),
        )

    def _lead_tick(self) -> None:
        if self.unsynced and self.now - self.unsynced[0][2] > self.pace.disk_stall:
            self._announce("disk stalled", since=str(self.now - self.unsynced[0][2]))
            for replica in self.replicas:
                if replica != self.replica:
                    self.number += 1
                    self._out.append(Send(self.number, replica, ResignCall(self.epoch, self.replica), 0))
            self._step_down(self.epoch, UNSET)
            return
        # No majority fetching means no majority following: the leader says so by stepping down.
        recent = {
            key for key, progress in self.progress.items() if self.now - progress.heard < self.pace.quorum_silence
        }
        if self.now - self.lead_since > self.pace.quorum_silence and not self._majority(
            recent | {(self.replica, self.incarnation)}
        ):
            self._announce("majority lost", heard=sorted(replica for replica, _ in recent))
            self._step_down(self.epoch, UNSET)
            return
        self._note_newest(self._contact())
        if self.now - self.lead_sent >= self.pace.lead_every:
            self._call_to_follow(everyone=False)
        self._answer_held()
        self._raise_begin()
        self._swap_blank()
        # Time must go on for holds to expire even when nothing else is written.
        if (
            self.state.holds
            and self.now - self.appended_at >= self.pace.tick_record
            and self.state.offset == self.last.offset
        ):
            self._append((self._record(pack_command(Tick(self.replica))),))

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
