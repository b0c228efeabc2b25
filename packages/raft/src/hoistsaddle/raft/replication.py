"""The leader's part of replication: proposals, answers to fetches, the high watermark."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import Rounds
from hoistsaddle.raft.events import Answer, ProposalResult
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, RELEASE_OLD, WRONG_MESH
from hoistsaddle.raft.voters import ReplicaKey
from hoistsaddle.rpc.messages import LEAVE_ALLOWED, LEAVE_UNANSWERED, UNSET, FetchAnswer, FetchCall, Record
from hoistsaddle.statemachine.commands import Outcome, RaiseLevel
from hoistsaddle.statemachine.encoding import pack_command

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# An answer to a fetch begins a new round once the newest round is older than fetch_max_wait divided by this.
ROUNDS_IN_FETCH_WAIT = 4


class Progress:
    """What the leader knows of one replica from its fetches."""

    def __init__(self) -> None:
        """Starts with the values of a replica that has not fetched yet."""
        # The last offset that the replica has synced.
        self.offset = -1
        # Whether the replica has a complete state, so that its log counts towards commits.
        self.complete = False
        self.last_fetch_at = ZERO
        # When it was last sent records, or an answer that there are none.
        self.answered_at = ZERO
        self.round = -1
        self.level = 1
        # The high watermark at its last fetch. A replica that has reached it by its next fetch keeps up, however fast
        # the log grows.
        self.high_watermark_at_fetch: int | None = None
        self.keeps_up = False
        self.leaving = False
        # The leader has allowed the replica to leave.
        self.leave_granted = False


class PendingFetch(NamedTuple):
    """A fetch that waits for records."""

    ticket: int
    call: FetchCall
    arrived_at: timedelta


class PendingProposal:
    """A proposal whose records have not all been applied yet."""

    def __init__(self, *, size: int) -> None:
        """Expects one outcome for each of the proposal's records."""
        self.size = size
        self.outcomes: list[Outcome] = []


class Replication:
    """Replicates the log as leader; the fields are valid only while this replica leads."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins with this replica not leading."""
        self.core = core
        self.progress: dict[ReplicaKey, Progress] = {}
        # Keyed by the replica's number.
        self.pending_fetches: dict[int, PendingFetch] = {}
        # The pending proposals by ticket, and the ticket that each of their records belongs to, by offset.
        self.proposals: dict[int, PendingProposal] = {}
        self.ticket_of: dict[int, int] = {}
        self.leader_since = ZERO
        # When this leader last announced itself to the others.
        self.begin_epoch_sent_at = ZERO
        # Mesh time when this leader's term began.
        self.base_stamp = ZERO
        # The offset of the first record of this leader's epoch.
        self.epoch_start_offset = 0
        self.rounds = Rounds(now=ZERO)
        # A release level that is logged but not yet committed already restricts which replicas may fetch.
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
        # Mesh time continues from the newest stamp in the log: it does not advance without a leader.
        self.base_stamp = max(core.log[-1].stamp if core.log else ZERO, core.state.mesh_time)
        self.epoch_start_offset = core.last.offset + 1

    def has_committed(self) -> bool:
        """Whether a record of this leader's epoch is committed."""
        return self.core.high_watermark >= self.epoch_start_offset

    def mesh_time(self) -> timedelta:
        """The leader's stamp for the present time: its first stamp plus its own monotonic time since."""
        return self.base_stamp + (self.core.now - self.leader_since)

    # -- proposals ---------------------------------------------------------------------------------------------------

    def new_record(self, payload: bytes) -> Record:
        """A new record for the end of the log."""
        core = self.core
        return Record(core.last.offset + 1, core.epoch, self.mesh_time(), payload)

    def propose(self, ticket: int, payloads: tuple[bytes, ...]) -> None:
        """Appends the payloads to the log if this replica leads; the result follows once all are applied."""
        core = self.core
        if core.role != LEADER or core.leaving.transfer_since is not None:
            # A leader that is transferring its leadership accepts no more proposals: its successor soon will.
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
        """Adds a record's outcome to its proposal, and answers the proposal once all outcomes are known."""
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
        """Logs a higher release level if every voter supports it; the caller checks that the nodes support it."""
        core = self.core
        if core.role != LEADER:
            core.commands.append(ProposalResult(ticket, str(ErrorKind.NOT_LEADER), core.leader, UNSET, ()))
            return
        levels = {
            key: progress.level
            for key, progress in self.progress.items()
            if core.now - progress.last_fetch_at < core.timings.liveness_timeout
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
        """Handles a fetch: notes how far the replica's log reaches, and answers with the records that follow."""
        core = self.core
        if error := self._fetch_error(call):
            return core.answer(ticket, FetchAnswer(error, core.epoch, core.leader))
        key = (call.replica, call.incarnation)
        progress = self.progress.setdefault(key, Progress())
        progress.last_fetch_at = core.now
        progress.level = call.level
        progress.round = max(progress.round, call.round)
        progress.leaving = call.leaving
        progress.leave_granted = False
        answer = self._answer_without_records()
        if call.fetch_offset < core.begin_offset:
            # KIP-630: below the begin offset the answer names the latest checkpoint and where the log continues.
            return core.answer(ticket, self._checkpoint_answer(answer, progress))
        if core.epoch_at(call.fetch_offset - 1) != call.fetch_epoch:
            return core.answer(ticket, self._diverging_answer(answer, call, progress))
        # Records above a checkpoint that is still being fetched don't count: they are useless without the state below.
        progress.complete = call.complete
        progress.offset = call.fetch_offset - 1
        required_offset = (
            core.high_watermark if progress.high_watermark_at_fetch is None else progress.high_watermark_at_fetch
        )
        progress.keeps_up = call.complete and progress.offset >= required_offset
        progress.high_watermark_at_fetch = core.high_watermark
        previous = self.pending_fetches.pop(call.replica, None)
        if previous is not None:
            core.answer(previous.ticket, answer)
        self.advance()
        may_leave = call.leaving and core.leaving.decide_leave(key) == LEAVE_ALLOWED
        # Only a read needs an answer at once; rounds that only date the leader's contact travel with other answers.
        read_is_waiting = any(call.round < read.round for read in core.reads.pending)
        if read_is_waiting or may_leave or self._has_records_for(call, arrived_at=core.now):
            self._answer_fetch(ticket, call)
        else:
            self.pending_fetches[call.replica] = PendingFetch(ticket, call, core.now)
        core.reads.confirm()

    def _fetch_error(self, call: FetchCall) -> str:
        """Why the fetch can't be answered here; empty if it can. Steps down if the fetch is of a newer epoch."""
        core = self.core
        if call.mesh and core.mesh and call.mesh != core.mesh:
            return WRONG_MESH
        if call.epoch > core.epoch and core.is_voter():
            core.elections.step_down(call.epoch, UNSET)
        if core.role != LEADER or call.epoch != core.epoch:
            return NOT_LEADER_FOR_PARTITION
        # An older release skips records that it doesn't know, so it must not receive records of a newer level.
        return RELEASE_OLD if call.level < max(core.state.level, self.level_being_raised) else ""

    def _answer_without_records(self) -> FetchAnswer:
        core = self.core
        return FetchAnswer("", core.epoch, core.replica, core.high_watermark, core.begin_offset, round=self.round)

    def _has_records_for(self, call: FetchCall, *, arrived_at: timedelta) -> bool:
        """Whether a fetch that arrived at that time is to be answered with records now."""
        core = self.core
        missing_records = core.last.offset - call.fetch_offset + 1
        if missing_records <= 0:
            return False
        if missing_records >= core.timings.fetch_records:
            return True
        key = (call.replica, call.incarnation)
        if any(key in voters.items() for voters in core.voter_sets()):
            return core.now - self.progress[key].answered_at >= core.timings.voter_batch_interval
        return core.now - arrived_at >= core.timings.observer_batch_delay

    def _diverging_answer(self, answer: FetchAnswer, call: FetchCall, progress: Progress) -> FetchAnswer:
        """KIP-595: the follower's log diverges; names the end of the newest epoch that both logs may share."""
        core = self.core
        offset = core.last_offset_of_epoch(call.fetch_epoch, at_most=call.fetch_offset - 1)
        epoch = core.epoch_at(offset)
        if epoch is None or epoch > call.fetch_epoch:
            # The logs diverge below the begin offset, where this log has no records left to compare.
            return self._checkpoint_answer(answer, progress)
        return answer._replace(diverging_offset=offset, diverging_epoch=epoch)

    def _checkpoint_answer(self, answer: FetchAnswer, progress: Progress) -> FetchAnswer:
        """Directs the follower to the newest checkpoint and the log after it."""
        progress.complete = progress.keeps_up = False
        progress.high_watermark_at_fetch = None
        checkpoint_id = self.core.checkpoint
        if checkpoint_id is None:
            raise LookupError("a leader has a complete state and so must have a checkpoint, but this one has none")
        return answer._replace(
            checkpoint_offset=checkpoint_id.offset,
            checkpoint_epoch=checkpoint_id.epoch,
            next_offset=checkpoint_id.offset + 1,
        )

    def _answer_fetch(self, ticket: int, call: FetchCall, *, waited: timedelta = ZERO) -> None:
        """Answers with the records that follow; waited is how long the fetch was pending here."""
        core = self.core
        self.progress[(call.replica, call.incarnation)].answered_at = core.now
        age = core.reads.contact_age()
        if core.now - self.rounds.latest() >= core.timings.fetch_max_wait / ROUNDS_IN_FETCH_WAIT:
            # The next fetch, sent after this answer, proves that the follower still followed at this time.
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
            # The follower adds the time since it sent the fetch, which includes the time it was pending here.
            contact_age=age - waited,
        )
        # Followers may receive records before the leader has synced them: only the leader's own acknowledgement waits.
        core.commands.append(Answer(ticket, answer, 0))

    def _records_from(self, offset: int) -> tuple[Record, ...]:
        """The records from the offset on that fit into one answer."""
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

    def answer_pending_fetches(self, *, all_pending: bool = False) -> None:
        """Answers the pending fetches that have records to return or have waited long enough, or all of them."""
        core = self.core
        for replica, (ticket, call, arrived_at) in list(self.pending_fetches.items()):
            if (
                all_pending
                or self._has_records_for(call, arrived_at=arrived_at)
                or core.now - arrived_at >= core.timings.fetch_max_wait
            ):
                del self.pending_fetches[replica]
                if call.fetch_offset < core.begin_offset:
                    # The begin offset rose while the fetch was pending: the next fetch is directed to the checkpoint.
                    core.answer(ticket, self._answer_without_records())
                else:
                    self._answer_fetch(ticket, call, waited=core.now - arrived_at)

    def advance(self) -> None:
        """Raises the high watermark to what a majority of every voter set has synced."""
        core = self.core
        if core.role != LEADER:
            return
        new_high_watermark = min(self._synced_by_majority(voters) for voters in core.voter_sets())
        # Raft: only records of the current epoch commit by counting replicas; older records commit along with them.
        if new_high_watermark > core.high_watermark and new_high_watermark >= self.epoch_start_offset:
            core.high_watermark = new_high_watermark
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
