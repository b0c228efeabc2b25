"""Checkpoints after KIP-630: retention, trimming the log below them, serving them to other replicas."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.raft.events import DropCheckpoints, OffsetAndEpoch, ReadChunk
from hoistsaddle.raft.replica import LEADER, NOT_LEADER_FOR_PARTITION, StoredCheckpoint
from hoistsaddle.raft.replication import Progress
from hoistsaddle.rpc.messages import FetchSnapshotAnswer, FetchSnapshotCall

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore


class SnapshotFetch(NamedTuple):
    """The checkpoint that a replica is fetching from the leader, and when it last requested a chunk."""

    checkpoint_id: OffsetAndEpoch
    asked_at: timedelta


class SnapshotServer:
    """Manages the checkpoints on this replica's disk, and serves them while it leads."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without any checkpoint being fetched."""
        self.core = core
        # Keyed by the replica's number.
        self.fetches: dict[int, SnapshotFetch] = {}
        # Checkpoints below the begin offset, kept only because a replica is fetching them.
        self.retained: tuple[OffsetAndEpoch, ...] = ()

    def checkpoint_stored(self, checkpoint_id: OffsetAndEpoch) -> None:
        """Registers a captured checkpoint that is now on the disk."""
        core = self.core
        core.applying.capturing = None
        # A follower that has loaded a newer checkpoint meanwhile has no use for the captured one.
        if core.complete and checkpoint_id.offset >= core.begin.offset:
            core.checkpoints.append(StoredCheckpoint(checkpoint_id, core.now))
            core.checkpoint = max((each.checkpoint_id for each in core.checkpoints), key=lambda each: each.offset)
            self.raise_begin_offset()

    def raise_begin_offset(self) -> None:
        """Leader: raises the begin offset as KIP-630 allows."""
        core = self.core
        if core.role != LEADER:
            return
        self._drop_retained()
        live = [
            progress
            for progress in core.replication.progress.values()
            if core.now - progress.last_fetch_at < core.timings.liveness_timeout
        ]
        for checkpoint_id, stored_at in sorted(core.checkpoints, reverse=True):
            if checkpoint_id.offset <= core.begin.offset:
                return
            replicated = all(progress.complete and progress.offset >= checkpoint_id.offset for progress in live)
            if replicated or core.now - stored_at >= core.timings.lag_wait:
                self.trim_log(checkpoint_id.offset)
                return

    def trim_log(self, offset: int) -> None:
        """Makes offset + 1 the begin offset; checkpoints below the offset are removed."""
        core = self.core
        epoch = core.epoch_at(offset)
        if epoch is None or offset <= core.begin.offset:
            return
        core.log = core.log[offset + 1 - core.begin_offset :]
        core.begin = OffsetAndEpoch(offset, epoch)
        core.checkpoints = [each for each in core.checkpoints if each.checkpoint_id.offset >= offset]
        core.persist()
        self.retained = tuple(each for each in self._being_fetched() if each.offset < offset)
        core.commands.append(DropCheckpoints(offset, self.retained))
        core.announce("log trimmed", begin_offset=core.begin_offset)

    def _being_fetched(self) -> list[OffsetAndEpoch]:
        """Leader: the checkpoints that live replicas are fetching, at most one per replica."""
        core = self.core
        if core.role != LEADER:
            return []
        # After loading its checkpoint a replica sends its log fetches with complete set.
        latest: dict[int, Progress] = {}
        for (replica, _), progress in sorted(core.replication.progress.items(), key=lambda each: each[1].last_fetch_at):
            latest[replica] = progress
        done = {replica for replica, progress in latest.items() if progress.complete}
        self.fetches = {
            replica: fetch
            for replica, fetch in self.fetches.items()
            if core.now - fetch.asked_at < core.timings.liveness_timeout and replica not in done
        }
        return sorted({fetch.checkpoint_id for fetch in self.fetches.values()})

    def _drop_retained(self) -> None:
        """Removes retained checkpoints whose fetches have ended."""
        if not self.retained:
            return
        still_fetched = tuple(each for each in self._being_fetched() if each in self.retained)
        if still_fetched != self.retained:
            self.retained = still_fetched
            self.core.commands.append(DropCheckpoints(self.core.begin.offset, still_fetched))

    def fetch_snapshot_call(self, ticket: int, call: FetchSnapshotCall) -> None:
        """Handles a replica's request for a chunk of a checkpoint."""
        core = self.core
        checkpoint_id = OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch)
        if core.role != LEADER or call.epoch != core.epoch:
            return core.answer(ticket, FetchSnapshotAnswer(NOT_LEADER_FOR_PARTITION, core.epoch, *checkpoint_id))
        self.fetches[call.replica] = SnapshotFetch(checkpoint_id, core.now)
        core.commands.append(ReadChunk(ticket, core.epoch, call, min(call.max_bytes, core.timings.chunk_bytes)))
