"""Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

from hoistsaddle.common.errors import MishapKind
from hoistsaddle.raft.events import DropCheckpoints, Mark, ReadChunk, StoreChunk
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, Progress, Replica
from hoistsaddle.raft.voters import change_in
from hoistsaddle.rpc.messages import UNSET, FetchAnswer, PullAnswer, PullCall, Record
from hoistsaddle.statemachine.state import State


class Snapshots(Replica):
    """Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

    def _raise_begin(self) -> None:
        """Leader: raises the begin offset as KIP-630 allows."""
        if self.standing != LEADER:
            return
        self._drop_spared()
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
        self.spared = tuple(mark for mark in self._pulled_from_here() if mark.offset < offset)
        self._out.append(DropCheckpoints(offset, self.spared))
        self._announce("log trimmed", begin_offset=self.begin_offset)

    def _pulled_from_here(self) -> list[Mark]:
        """Leader: the checkpoints that live replicas are pulling, one each at the most."""
        if self.standing != LEADER:
            return []
        # A replica fetches as a whole one again once it has loaded what it pulled.
        latest: dict[int, Progress] = {}
        for (replica, _), progress in sorted(self.progress.items(), key=lambda each: each[1].heard):
            latest[replica] = progress
        done = {replica for replica, progress in latest.items() if progress.whole}
        self.pulls = {
            replica: (mark, asked)
            for replica, (mark, asked) in self.pulls.items()
            if self.now - asked < self.pace.alive_span and replica not in done
        }
        return sorted({mark for mark, _ in self.pulls.values()})

    def _drop_spared(self) -> None:
        """Removes what was left only for pulls that have ended since."""
        if not self.spared:
            return
        left = tuple(mark for mark in self._pulled_from_here() if mark in self.spared)
        if left != self.spared:
            self.spared = left
            self._out.append(DropCheckpoints(self.begin.offset, left))

    def _pull_call(self, ticket: int, call: PullCall) -> None:
        if self.standing != LEADER or call.epoch != self.epoch:
            return self._answer(
                ticket, PullAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, call.checkpoint_offset, call.checkpoint_epoch)
            )
        self.pulls[call.replica] = (Mark(call.checkpoint_offset, call.checkpoint_epoch), self.now)
        self._out.append(ReadChunk(ticket, self.epoch, call, min(call.max_bytes, self.pace.chunk_bytes)))

    def _begin_pull(self, answer: FetchAnswer) -> None:
        """Pulls the leader's checkpoint and its log side by side.

        KIP-630 throws log and checkpoints away first. Here both stay until the pulled one is whole and on the disk: a
        replica that was sent to a checkpoint still holds all that it ever acknowledged, whatever befalls it meanwhile.
        """
        mark = Mark(answer.checkpoint_offset, answer.checkpoint_epoch)
        self.starting_over = False
        if self.pulling is not None:
            # Silent for so long that the leader no longer has the log after what was staged here.
            self._give_up_pull("the leader's log goes on above it")
        self.pulling = mark
        self.staged = []
        self.pull_position = 0
        self.loading = False
        self._announce("catching up", checkpoint=mark.offset)
        self._pull()

    def _give_up_pull(self, why: str) -> None:
        if self.pulling is not None and why:
            self._announce("catch-up restarts", mishap=why)
        self.pulling = None
        self.staged = []
        self.loading = False
        self.starting_over = False

    def _stage(self, records: tuple[Record, ...]) -> None:
        self.staged.extend(records)

    def _pull(self) -> None:
        if self.leader in (UNSET, self.replica):
            # Nobody leads at this moment: the next piece is asked for once somebody does.
            self.pull_sent = None
            return
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
        if self.pulling is None or self.loading or self.standing == LEADER:
            return
        if answer.mishap:
            # KIP-630: on any of the three errors ask again from offset and epoch zero.
            self._give_up_pull(answer.mishap)
            self.starting_over = True
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
        if self.standing == LEADER:
            # Elected meanwhile by those who hold no more than it does: its own log is the log now.
            self._give_up_pull("")
            return
        staged = self.staged
        refused = self._why_not_load(state)
        self._give_up_pull(refused)
        if refused:
            self.starting_over = True
            return
        self.state = state
        self.mesh = state.mesh
        self.whole = True
        self.begin = mark
        self.log = staged
        self.checkpoint = mark
        self.checkpoints = [(mark, self.now)]
        self.high_watermark = mark.offset
        self.durable = mark.offset
        self.unsynced = [(sequence, mark.offset, moment) for sequence, _, moment in self.unsynced]
        self._check_level()
        self.swaps = [(record.offset, swap) for record in self.log if (swap := change_in(record.payload))]
        # The pulled file lasts already. With this one write the log above it takes the old log's place; only after it
        # may the old checkpoints go.
        self._write(records=tuple(staged), clear=True)
        self._out.append(DropCheckpoints(mark.offset))
        self._announce("caught up", checkpoint=mark.offset, log_end=self.last.offset)
        self._fetch()

    def _why_not_load(self, state: State | None) -> str:
        if state is None:
            return str(MishapKind.CHECKPOINT_TORN)
        if self.mesh and state.mesh != self.mesh:
            return str(MishapKind.WRONG_MESH)
        # What was applied here was agreed, and every later leader holds it.
        return "it is older than the state held here" if state.offset < self.state.offset else ""
