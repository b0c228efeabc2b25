"""The leader's side of the log: proposals, answers to fetches, the high-watermark."""

from datetime import timedelta
from typing import Any

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import ProposalResult
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, RELEASE_OLD, WRONG_MESH, Progress, Replica
from hoistsaddle.rpc.messages import LEAVE_GO, LEAVE_UNANSWERED, UNSET, FetchAnswer, FetchCall, Record
from hoistsaddle.statemachine.commands import RaiseLevel
from hoistsaddle.statemachine.encoding import pack_command


class Replication(Replica):
    """The leader's side of the log: proposals, answers to fetches, the high-watermark."""

    def mesh_time(self) -> timedelta:
        """The leader's stamp for this moment: its first stamp plus its own monotonic time since."""
        return self.base_stamp + (self.now - self.lead_since)

    def _record(self, payload: bytes) -> Record:
        return Record(self.last.offset + 1, self.epoch, self.mesh_time(), payload)

    def _propose(self, ticket: int, payloads: tuple[bytes, ...]) -> None:
        if self.role != LEADER or self.handing_since is not None:
            # A leader that leaves takes nothing more: its successor will in a moment.
            leader = UNSET if self.role == LEADER else self.leader
            self._out.append(ProposalResult(ticket, str(ErrorKind.NOT_LEADER), leader, UNSET, ()))
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
        self._answer_pending_fetches()
        self._advance()

    def _raise(self, ticket: int, level: int) -> None:
        """Logs a higher release level, once every voter is seen to support it. Nodes are the asker's affair."""
        if self.role != LEADER:
            self._out.append(ProposalResult(ticket, str(ErrorKind.NOT_LEADER), self.leader, UNSET, ()))
            return
        recent = {
            key: each.level
            for key, each in self.progress.items()
            if self.now - each.heard < self.timings.liveness_timeout
        }
        recent[(self.replica, self.incarnation)] = self.level
        levels = [recent.get(voter, 0) for voters in self.voter_sets() for voter in voters.items()]
        if min(levels) < level or self.high_watermark < self.epoch_began:
            self._out.append(ProposalResult(ticket, str(ErrorKind.RELEASE_LEVEL), self.replica, UNSET, ()))
            return
        if self.state.level >= level:
            self._out.append(ProposalResult(ticket, "", self.replica, self.state.offset, ()))
            return
        self.raising = level
        self._propose(ticket, (pack_command(RaiseLevel(level)),))

    def _fetch_call(self, ticket: int, call: FetchCall) -> None:
        if call.mesh and self.mesh and call.mesh != self.mesh:
            return self._answer(ticket, FetchAnswer(WRONG_MESH, self.epoch, self.leader))
        if call.epoch > self.epoch and self.is_voter():
            self._step_down(call.epoch, UNSET)
        if self.role != LEADER or call.epoch != self.epoch:
            return self._answer(ticket, FetchAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, self.leader))
        # A former release passes over records it doesn't know, so it must not get any that came later.
        if call.level < max(self.state.level, self.raising):
            return self._answer(ticket, FetchAnswer(RELEASE_OLD, self.epoch, self.leader))
        key = (call.replica, call.incarnation)
        progress = self.progress.setdefault(key, Progress())
        progress.heard = self.now
        progress.level = call.level
        progress.round = max(progress.round, call.round)
        progress.leaving = call.leaving
        progress.gone = False
        answer = FetchAnswer("", self.epoch, self.replica, self.high_watermark, self.begin_offset, round=self.round)
        if call.fetch_offset < self.begin_offset:
            # KIP-630: below the begin offset the answer is the latest checkpoint and where the log goes on after it.
            return self._answer(ticket, self._to_checkpoint(answer, progress))
        known = self.epoch_at(call.fetch_offset - 1)
        if known != call.fetch_epoch:
            # KIP-595: the follower's log parts from ours; name the end of the newest epoch that both may share.
            offset = min(call.fetch_offset - 1, self.last.offset)
            while offset > self.begin.offset and self.epoch_at(offset) > call.fetch_epoch:
                offset -= 1
            if self.epoch_at(offset) > call.fetch_epoch:
                # They part below the begin offset, where this log knows nothing to name.
                return self._answer(ticket, self._to_checkpoint(answer, progress))
            return self._answer(ticket, answer._replace(diverging_offset=offset, diverging_epoch=self.epoch_at(offset)))
        # Records above a checkpoint still being pulled don't count: without what lies below they save nothing.
        progress.complete = call.complete
        progress.offset = call.fetch_offset - 1
        reached = self.high_watermark if progress.committed is None else progress.committed
        progress.keeps_up = call.complete and progress.offset >= reached
        progress.committed = self.high_watermark
        old = self.held.pop(call.replica, None)
        if old is not None:
            self._answer(old[0], answer)
        self._advance()
        may_leave = call.leaving and self._leave_word((call.replica, call.incarnation)) == LEAVE_GO
        # Only a read hurries: the rounds that date this leader's contact go along with what is sent anyway.
        hurries = any(call.round < number for _, number in self.reads)
        if hurries or may_leave or self._has_records_for(call, arrived=self.now):
            self._answer_fetch(ticket, call)
        else:
            self.held[call.replica] = (ticket, call, self.now)
        self._confirm_reads()

    def _has_records_for(self, call: FetchCall, *, arrived: timedelta) -> bool:
        """Whether the fetch that arrived then is answered with records now."""
        lacking = self.last.offset - call.fetch_offset + 1
        if lacking <= 0:
            return False
        if lacking >= self.timings.fetch_records:
            return True
        life = (call.replica, call.incarnation)
        if any(life in voters.items() for voters in self.voter_sets()):
            return self.now - self.progress[life].answered >= self.timings.voter_batch_interval
        return self.now - arrived >= self.timings.observer_batch_delay

    def _to_checkpoint(self, answer: FetchAnswer, progress: Progress) -> FetchAnswer:
        progress.complete = progress.keeps_up = False
        progress.committed = None
        checkpoint_id = self.checkpoint
        return answer._replace(
            checkpoint_offset=checkpoint_id.offset,
            checkpoint_epoch=checkpoint_id.epoch,
            next_offset=checkpoint_id.offset + 1,
        )

    def _answer_fetch(self, ticket: int, call: FetchCall, *, held: timedelta = ZERO) -> None:
        self.progress[(call.replica, call.incarnation)].answered = self.now
        age = self._contact_age()
        if self.now - self.rounds.latest() >= self.timings.fetch_max_wait / 4:
            # The fetch that follows this answer proves that the follower still followed at this moment.
            self.rounds.begin(now=self.now)
        records = []
        size = 0
        place = max(0, call.fetch_offset - self.begin_offset)
        for record in self.log[place : place + self.timings.fetch_records]:
            records.append(record)
            size += len(record.payload)
            if size >= self.timings.fetch_bytes:
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
                leave=self._tell_leaving(call) if call.leaving else LEAVE_UNANSWERED,
                # The follower counts from when it sent the fetch: it was here for that long already.
                contact_age=age - held,
            ),
        )
        # A leader's answer carries records it may not have synced itself: only its own count waits for that.
        answer: Any = self._out.pop()
        self._out.append(answer._replace(after=0))

    def _answer_pending_fetches(self, *, everyone: bool = False) -> None:
        for replica, (ticket, call, arrived) in list(self.held.items()):
            if (
                everyone
                or self._has_records_for(call, arrived=arrived)
                or self.now - arrived >= self.timings.fetch_max_wait
            ):
                del self.held[replica]
                if call.fetch_offset < self.begin_offset:
                    # The begin offset rose while the fetch was held: the next fetch is sent to the checkpoint.
                    self._answer(
                        ticket,
                        FetchAnswer(
                            "", self.epoch, self.replica, self.high_watermark, self.begin_offset, round=self.round
                        ),
                    )
                else:
                    self._answer_fetch(ticket, call, held=self.now - arrived)

    def _advance(self) -> None:
        """Raises the high-watermark to what a majority of every voter set has synced."""
        if self.role != LEADER:
            return
        least = None
        for voters in self.voter_sets():
            offsets = []
            for key in voters.items():
                if key == (self.replica, self.incarnation):
                    offsets.append(self.durable)
                else:
                    progress = self.progress.get(key)
                    offsets.append(progress.offset if progress is not None and progress.complete else -1)
            agreed = sorted(offsets, reverse=True)[len(offsets) // 2]
            least = agreed if least is None else min(least, agreed)
        # Only a record of this epoch commits by counting; older ones commit beneath it.
        if least is not None and least > self.high_watermark and least >= self.epoch_began:
            self.high_watermark = least
            self._apply()
            self._confirm_reads()
