"""Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

from hoistsaddle.common.errors import MishapKind
from hoistsaddle.raft.events import DropCheckpoints, Mark, ReadChunk, StoreChunk
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, Replica
from hoistsaddle.raft.voters import change_in
from hoistsaddle.rpc.messages import FetchAnswer, PullAnswer, PullCall
from hoistsaddle.statemachine.state import State


class Snapshots(Replica):
    """Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

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

    def _discard(self, answer: FetchAnswer) -> None:
        """KIP-630: throw log and checkpoints away, then pull the leader's checkpoint and its log side by side."""
        self.known_voters = tuple(sorted(self.state.voters.items())) if self.whole else self.known_voters
        self.whole = False
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
        self.swaps = [(record.offset, swap) for record in self.log if (swap := change_in(record.payload))]
        self._write()
        self._announce("caught up", checkpoint=mark.offset, log_end=self.last.offset)
        self._fetch()
