"""The leader's side of the log: proposals, answers to fetches, the high watermark."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import Rounds
from hoistsaddle.raft.events import Answer, ProposalResult
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, RELEASE_OLD, WRONG_MESH
from hoistsaddle.raft.voters import ReplicaKey
from hoistsaddle.rpc.messages import LEAVE_GO, LEAVE_UNANSWERED, UNSET, FetchAnswer, FetchCall, Record
from hoistsaddle.statemachine.commands import Outcome, RaiseLevel
from hoistsaddle.statemachine.encoding import pack_command

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# A round begins with an answer to a fetch once the newest one is this part of a fetch's wait old.
ROUNDS_IN_FETCH_WAIT = 4


class Progress:
    """What the leader knows of one replica, learnt from its fetches alone."""

    def __init__(self) -> None:
        """Of a replica that has not fetched yet."""
        # The last offset that it has synced.
        self.offset = -1
        # Whether it holds a state, so that its log counts.
        self.complete = False
        self.heard_at = ZERO
        # When it was sent records last, or an answer that there are none.
        self.answered_at = ZERO
        self.round = -1
        self.level = 1
        # What was committed when it fetched last: whoever has that by its next fetch keeps up, however much is written.
        self.committed: int | None = None
        self.keeps_up = False
        self.leaving = False
        # It was given leave to go.
        self.gone = False


class PendingFetch(NamedTuple):
    """A fetch that waits for records."""

    ticket: int
    call: FetchCall
    arrived_at: timedelta


class PendingProposal:
    """A proposal whose records are not all applied yet."""

    def __init__(self, *, size: int) -> None:
        """Waits for as many outcomes as the proposal has records."""
        self.size = size
        self.outcomes: list[Outcome] = []


class Replication:
    """What a leader does with the log; its fields count only while it leads."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins as no leader."""
        self.core = core
        self.progress: dict[ReplicaKey, Progress] = {}
        # By the replica's number.
        self.pending_fetches: dict[int, PendingFetch] = {}
        # By the proposal's ticket, and the ticket of each of their records, by offset.
        self.proposals: dict[int, PendingProposal] = {}
        self.ticket_of: dict[int, int] = {}
        self.leader_since = ZERO
        # When the others were notified last that this replica leads.
        self.begin_epoch_sent_at = ZERO
        # Mesh time when this leader's term began.
        self.base_stamp = ZERO
        # The offset of the first record of this leader's epoch.
        self.epoch_began = 0
        self.rounds = Rounds(now=ZERO)
        # A level logged but not yet committed binds who may fetch already.
        self.level_being_raised = 1

    @property
    def round(self) -> int:
        """The newest round's number."""
        return self.rounds.newest

    def begin_leading(self) -> None:
        """Starts a leader's term after the log's present end."""
        core = self.core
        self.progress = {}
        self.pending_fetches = {}
        self.rounds = Rounds(now=core.now)
        self.leader_since = core.now
        self.begin_epoch_sent_at = core.now
        # Mesh time goes on from the newest stamp in the log: it stood still while nobody led.
        self.base_stamp = max(core.log[-1].stamp if core.log else ZERO, core.state.mesh_time)
        self.epoch_began = core.last.offset + 1

    def has_committed(self) -> bool:
        """Whether a record of this leader's epoch is committed."""
        return self.core.high_watermark >= self.epoch_began

    def mesh_time(self) -> timedelta:
        """The leader's stamp for the present time: its first stamp plus its own monotonic time since."""
        return self.base_stamp + (self.core.now - self.leader_since)

    # -- proposals ---------------------------------------------------------------------------------------------------

    def new_record(self, payload: bytes) -> Record:
        """The record that would follow the log's last."""
        core = self.core
        return Record(core.last.offset + 1, core.epoch, self.mesh_time(), payload)

    def propose(self, ticket: int, payloads: tuple[bytes, ...]) -> None:
        """Appends the payloads to the log, if this replica leads; the result comes once all are applied."""
        core = self.core
        if core.role != LEADER or core.leaving.transfer_since is not None:
            # A leader that leaves takes nothing more: its successor will soon.
            leader = UNSET if core.role == LEADER else core.leader
            core.commands.append(ProposalResult(ticket, str(ErrorKind.NOT_LEADER), leader, UNSET, ()))
            return
        records = []
        offset = core.last.offset
        stamp = self.mesh_time()
        for payload in payloads:
            offset += 1
            records.append(Record(offset, core.epoch, stamp, payload))
            self.ticket_of[offset] = ticket
        self.proposals[ticket] = PendingProposal(size=len(payloads))
        core.append(tuple(records))
        self.answer_pending_fetches()
        self.advance()

    def record_applied(self, offset: int, outcome: Outcome) -> None:
        """Answers the proposal whose last record this was."""
        ticket = self.ticket_of.pop(offset, None)
        if ticket is None:
            return
        proposal = self.proposals[ticket]
        proposal.outcomes.append(outcome)
        if len(proposal.outcomes) == proposal.size:
            del self.proposals[ticket]
            core = self.core
            core.commands.append(ProposalResult(ticket, "", core.replica, offset, tuple(proposal.outcomes)))

    def raise_level(self, ticket: int, level: int) -> None:
        """Logs a higher release level, once every voter is seen to support it. Nodes are the caller's affair."""
        core = self.core
        if core.role != LEADER:
            core.commands.append(ProposalResult(ticket, str(ErrorKind.NOT_LEADER), core.leader, UNSET, ()))
            return
        levels = {
            key: progress.level
            for key, progress in self.progress.items()
            if core.now - progress.heard_at < core.timings.liveness_timeout
        }
        levels[core.key] = core.level
        lowest = min(levels.get(voter, 0) for voters in core.voter_sets() for voter in voters.items())
        if lowest < level or not self.has_committed():
            core.commands.append(ProposalResult(ticket, str(ErrorKind.RELEASE_LEVEL), core.replica, UNSET, ()))
            return
        if core.state.level >= level:
            core.commands.append(ProposalResult(ticket, "", core.replica, core.state.offset, ()))
            return
        self.level_being_raised = level
        self.propose(ticket, (pack_command(RaiseLevel(level)),))

    # -- fetches -----------------------------------------------------------------------------------------------------

    def fetch_call(self, ticket: int, call: FetchCall) -> None:
        """A replica fetches: it says how far its log goes, and gets what follows."""
        core = self.core
        if error := self._fetch_error(call):
            return core.answer(ticket, FetchAnswer(error, core.epoch, core.leader))
        key = (call.replica, call.incarnation)
        progress = self.progress.setdefault(key, Progress())
        progress.heard_at = core.now
        progress.level = call.level
        progress.round = max(progress.round, call.round)
        progress.leaving = call.leaving
        progress.gone = False
        answer = self._answer_without_records()
        if call.fetch_offset < core.begin_offset:
            # KIP-630: below the begin offset the answer is the latest checkpoint and where the log goes on after it.
            return core.answer(ticket, self._to_checkpoint(answer, progress))
        if core.epoch_at(call.fetch_offset - 1) != call.fetch_epoch:
            return core.answer(ticket, self._to_divergence(answer, call, progress))
        # Records above a checkpoint that is still being fetched don't count: without what lies below they save nothing.
        progress.complete = call.complete
        progress.offset = call.fetch_offset - 1
        reached = core.high_watermark if progress.committed is None else progress.committed
        progress.keeps_up = call.complete and progress.offset >= reached
        progress.committed = core.high_watermark
        former = self.pending_fetches.pop(call.replica, None)
        if former is not None:
            core.answer(former.ticket, answer)
        self.advance()
        may_leave = call.leaving and core.leaving.decide(key) == LEAVE_GO
        # Only a read hurries: the rounds that date this leader's contact go along with what is sent anyway.
        hurries = any(call.round < read.round for read in core.reads.pending)
        if hurries or may_leave or self._has_records_for(call, arrived_at=core.now):
            self._answer_fetch(ticket, call)
        else:
            self.pending_fetches[call.replica] = PendingFetch(ticket, call, core.now)
        core.reads.confirm()

    def _fetch_error(self, call: FetchCall) -> str:
        """Why the fetch can't be answered here; empty if it can. A newer epoch ends this replica's own."""
        core = self.core
        if call.mesh and core.mesh and call.mesh != core.mesh:
            return WRONG_MESH
        if call.epoch > core.epoch and core.is_voter():
            core.elections.step_down(call.epoch, UNSET)
        if core.role != LEADER or call.epoch != core.epoch:
            return NOT_LEADER_FOR_PARTITION
        # A former release passes over records it doesn't know, so it must not get any that came later.
        return RELEASE_OLD if call.level < max(core.state.level, self.level_being_raised) else ""

    def _answer_without_records(self) -> FetchAnswer:
        core = self.core
        return FetchAnswer("", core.epoch, core.replica, core.high_watermark, core.begin_offset, round=self.round)

    def _has_records_for(self, call: FetchCall, *, arrived_at: timedelta) -> bool:
        """Whether the fetch that arrived then is answered with records now."""
        core = self.core
        lacking = core.last.offset - call.fetch_offset + 1
        if lacking <= 0:
            return False
        if lacking >= core.timings.fetch_records:
            return True
        key = (call.replica, call.incarnation)
        if any(key in voters.items() for voters in core.voter_sets()):
            return core.now - self.progress[key].answered_at >= core.timings.voter_batch_interval
        return core.now - arrived_at >= core.timings.observer_batch_delay

    def _to_divergence(self, answer: FetchAnswer, call: FetchCall, progress: Progress) -> FetchAnswer:
        """KIP-595: the follower's log parts from ours; names the end of the newest epoch that both may share."""
        core = self.core
        offset = core.last_offset_of_epoch(call.fetch_epoch, at_most=call.fetch_offset - 1)
        epoch = core.epoch_at(offset)
        if epoch is None or epoch > call.fetch_epoch:
            # They part below the begin offset, where this log knows nothing to name.
            return self._to_checkpoint(answer, progress)
        return answer._replace(diverging_offset=offset, diverging_epoch=epoch)

    def _to_checkpoint(self, answer: FetchAnswer, progress: Progress) -> FetchAnswer:
        """Sends the follower to the newest checkpoint, and to the log after it."""
        progress.complete = progress.keeps_up = False
        progress.committed = None
        checkpoint_id = self.core.checkpoint
        if checkpoint_id is None:
            raise LookupError("a leader holds a complete state, so it has a checkpoint")
        return answer._replace(
            checkpoint_offset=checkpoint_id.offset,
            checkpoint_epoch=checkpoint_id.epoch,
            next_offset=checkpoint_id.offset + 1,
        )

    def _answer_fetch(self, ticket: int, call: FetchCall, *, waited: timedelta = ZERO) -> None:
        """Answers with the records that follow; waited says for how long the fetch was pending here."""
        core = self.core
        self.progress[(call.replica, call.incarnation)].answered_at = core.now
        age = core.reads.contact_age()
        if core.now - self.rounds.latest() >= core.timings.fetch_max_wait / ROUNDS_IN_FETCH_WAIT:
            # The fetch that follows this answer proves that the follower still followed at this time.
            self.rounds.begin(now=core.now)
        answer = FetchAnswer(
            "",
            core.epoch,
            core.replica,
            core.high_watermark,
            core.begin_offset,
            self._records_from(call.fetch_offset),
            round=self.round,
            leave=core.leaving.answer_leaving(call) if call.leaving else LEAVE_UNANSWERED,
            # The follower counts from when it sent the fetch: it was here for that long already.
            contact_age=age - waited,
        )
        # A leader's answer carries records it may not have synced itself: only its own count waits for that.
        core.commands.append(Answer(ticket, answer, 0))

    def _records_from(self, offset: int) -> tuple[Record, ...]:
        """As many records from the offset on as go into one answer."""
        core = self.core
        records = []
        size = 0
        first = max(0, offset - core.begin_offset)
        for record in core.log[first : first + core.timings.fetch_records]:
            records.append(record)
            size += len(record.payload)
            if size >= core.timings.fetch_bytes:
                break
        return tuple(records)

    def answer_pending_fetches(self, *, everyone: bool = False) -> None:
        """Answers the fetches whose records are there or whose wait is over, or all of them."""
        core = self.core
        for replica, (ticket, call, arrived_at) in list(self.pending_fetches.items()):
            if (
                everyone
                or self._has_records_for(call, arrived_at=arrived_at)
                or core.now - arrived_at >= core.timings.fetch_max_wait
            ):
                del self.pending_fetches[replica]
                if call.fetch_offset < core.begin_offset:
                    # The begin offset rose while the fetch was pending: the next fetch is sent to the checkpoint.
                    core.answer(ticket, self._answer_without_records())
                else:
                    self._answer_fetch(ticket, call, waited=core.now - arrived_at)

    def advance(self) -> None:
        """Raises the high watermark to what a majority of every voter set has synced."""
        core = self.core
        if core.role != LEADER:
            return
        least = min(self._synced_by_majority(voters) for voters in core.voter_sets())
        # Only a record of this epoch commits by counting; older ones commit beneath it.
        if least > core.high_watermark and least >= self.epoch_began:
            core.high_watermark = least
            core.applying.apply_committed()
            core.reads.confirm()

    def _synced_by_majority(self, voters: dict[int, str]) -> int:
        """The highest offset that a majority of these voters has synced."""
        core = self.core
        own_key = core.key
        offsets = []
        for key in voters.items():
            if key == own_key:
                offsets.append(core.durable)
            else:
                progress = self.progress.get(key)
                offsets.append(progress.offset if progress is not None and progress.complete else -1)
        return sorted(offsets, reverse=True)[len(offsets) // 2]
