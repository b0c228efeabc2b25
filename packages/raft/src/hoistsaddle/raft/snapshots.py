"""Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import DropCheckpoints, OffsetAndEpoch, ReadChunk, StoreChunk
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, Progress, Replica
from hoistsaddle.raft.voters import voter_change_in
from hoistsaddle.rpc.messages import UNSET, FetchAnswer, FetchSnapshotAnswer, FetchSnapshotCall, Record
from hoistsaddle.statemachine.state import State


class Snapshots(Replica):
    """Checkpoints after KIP-630: trimming the log, serving a checkpoint, pulling the leader's."""

    def _raise_begin(self) -> None:
        """Leader: raises the begin offset as KIP-630 allows."""
        if self.role != LEADER:
            return
        self._drop_spared()
        live = [
            progress for progress in self.progress.values() if self.now - progress.heard < self.timings.liveness_timeout
        ]
        for checkpoint_id, stored in sorted(self.checkpoints, reverse=True):
            if checkpoint_id.offset <= self.begin.offset:
                return
            replicated = all(progress.complete and progress.offset >= checkpoint_id.offset for progress in live)
            if replicated or self.now - stored >= self.timings.lag_wait:
                self._set_begin(checkpoint_id.offset)
                return

    def _set_begin(self, offset: int) -> None:
        """Makes offset + 1 the begin offset; checkpoints wholly below it go."""
        epoch = self.epoch_at(offset)
        if epoch is None or offset <= self.begin.offset:
            return
        self.log = self.log[offset + 1 - self.begin_offset :]
        self.begin = OffsetAndEpoch(offset, epoch)
        self.checkpoints = [
            (checkpoint_id, stored) for checkpoint_id, stored in self.checkpoints if checkpoint_id.offset >= offset
        ]
        self._write()
        self.spared = tuple(
            checkpoint_id for checkpoint_id in self._pulled_from_here() if checkpoint_id.offset < offset
        )
        self._out.append(DropCheckpoints(offset, self.spared))
        self._announce("log trimmed", begin_offset=self.begin_offset)

    def _pulled_from_here(self) -> list[OffsetAndEpoch]:
        """Leader: the checkpoints that live replicas are pulling, one each at the most."""
        if self.role != LEADER:
            return []
        # A replica fetches as a whole one again once it has loaded what it pulled.
        latest: dict[int, Progress] = {}
        for (replica, _), progress in sorted(self.progress.items(), key=lambda each: each[1].heard):
            latest[replica] = progress
        done = {replica for replica, progress in latest.items() if progress.complete}
        self.snapshot_fetches = {
            replica: (checkpoint_id, asked)
            for replica, (checkpoint_id, asked) in self.snapshot_fetches.items()
            if self.now - asked < self.timings.liveness_timeout and replica not in done
        }
        return sorted({checkpoint_id for checkpoint_id, _ in self.snapshot_fetches.values()})

    def _drop_spared(self) -> None:
        """Removes what was left only for pulls that have ended since."""
        if not self.spared:
            return
        left = tuple(checkpoint_id for checkpoint_id in self._pulled_from_here() if checkpoint_id in self.spared)
        if left != self.spared:
            self.spared = left
            self._out.append(DropCheckpoints(self.begin.offset, left))

    def _fetch_snapshot_call(self, ticket: int, call: FetchSnapshotCall) -> None:
        if self.role != LEADER or call.epoch != self.epoch:
            return self._answer(
                ticket,
                FetchSnapshotAnswer(
                    NOT_LEADER_FOR_PARTITION, self.epoch, call.checkpoint_offset, call.checkpoint_epoch
                ),
            )
        self.snapshot_fetches[call.replica] = (OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch), self.now)
        self._out.append(ReadChunk(ticket, self.epoch, call, min(call.max_bytes, self.timings.chunk_bytes)))

    def _begin_snapshot_fetch(self, answer: FetchAnswer) -> None:
        """Pulls the leader's checkpoint and its log side by side.

        KIP-630 throws log and checkpoints away first. Here both stay until the pulled one is whole and on the disk: a
        replica that was sent to a checkpoint still holds all that it ever acknowledged, whatever befalls it meanwhile.
        """
        checkpoint_id = OffsetAndEpoch(answer.checkpoint_offset, answer.checkpoint_epoch)
        self.starting_over = False
        if self.fetching_snapshot is not None:
            # Silent for so long that the leader no longer has the log after what was staged here.
            self._abandon_snapshot_fetch("the leader's log goes on above it")
        self.fetching_snapshot = checkpoint_id
        self.staged = []
        self.snapshot_position = 0
        self.loading = False
        self._announce("catching up", checkpoint=checkpoint_id.offset)
        self._fetch_snapshot()

    def _abandon_snapshot_fetch(self, why: str) -> None:
        if self.fetching_snapshot is not None and why:
            self._announce("catch-up restarts", error=why)
        self.fetching_snapshot = None
        self.staged = []
        self.loading = False
        self.starting_over = False

    def _stage(self, records: tuple[Record, ...]) -> None:
        self.staged.extend(records)

    def _fetch_snapshot(self) -> None:
        if self.leader in (UNSET, self.replica):
            # Nobody leads at this moment: the next piece is asked for once somebody does.
            self.snapshot_fetch_sent = None
            return
        self.snapshot_fetch_sent = self.now
        self.snapshot_fetch_number = self._send(
            self.leader,
            FetchSnapshotCall(
                self.replica,
                self.epoch,
                self.fetching_snapshot.offset,
                self.fetching_snapshot.epoch,
                self.snapshot_position,
                self.timings.chunk_bytes,
            ),
        )

    def _fetch_snapshot_answer(self, answer: FetchSnapshotAnswer) -> None:
        self.snapshot_fetch_sent = None
        if self.fetching_snapshot is None or self.loading or self.role == LEADER:
            return
        if answer.error:
            # KIP-630: on any of the three errors ask again from offset and epoch zero.
            self._abandon_snapshot_fetch(answer.error)
            self.starting_over = True
            return
        if (
            answer.checkpoint_offset,
            answer.checkpoint_epoch,
        ) != self.fetching_snapshot or answer.position != self.snapshot_position:
            return
        self.snapshot_position += len(answer.data)
        self._out.append(StoreChunk(self.fetching_snapshot, answer.position, answer.data, not answer.continues))
        if answer.continues:
            self._fetch_snapshot()
        else:
            self.loading = True

    def _loaded(self, checkpoint_id: OffsetAndEpoch, state: State | None) -> None:
        if self.fetching_snapshot != checkpoint_id or not self.loading:
            return
        if self.role == LEADER:
            # Elected meanwhile by those who hold no more than it does: its own log is the log now.
            self._abandon_snapshot_fetch("")
            return
        staged = self.staged
        refused = self._why_not_load(state)
        self._abandon_snapshot_fetch(refused)
        if refused:
            self.starting_over = True
            return
        self.state = state
        self.mesh = state.mesh
        self.complete = True
        self.begin = checkpoint_id
        self.log = staged
        self.checkpoint = checkpoint_id
        self.checkpoints = [(checkpoint_id, self.now)]
        self.high_watermark = checkpoint_id.offset
        self.durable = checkpoint_id.offset
        self.unsynced = [(sequence, checkpoint_id.offset, timestamp) for sequence, _, timestamp in self.unsynced]
        self._check_level()
        self.pending_voter_changes = [
            (record.offset, swap) for record in self.log if (swap := voter_change_in(record.payload))
        ]
        # The pulled file lasts already. With this one write the log above it takes the old log's place; only after it
        # may the old checkpoints go.
        self._write(records=tuple(staged), clear=True)
        self._out.append(DropCheckpoints(checkpoint_id.offset))
        self._announce("caught up", checkpoint=checkpoint_id.offset, log_end=self.last.offset)
        self._fetch()

    def _why_not_load(self, state: State | None) -> str:
        if state is None:
            return str(ErrorKind.CHECKPOINT_TORN)
        if self.mesh and state.mesh != self.mesh:
            return str(ErrorKind.WRONG_MESH)
        # What was applied here was agreed, and every later leader holds it.
        return "it is older than the state held here" if state.offset < self.state.offset else ""
