"""The follower's part of checkpoints after KIP-630: fetching the leader's checkpoint and loading it."""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import DropCheckpoints, OffsetAndEpoch, StoreChunk
from hoistsaddle.raft.replica import LEADER, StoredCheckpoint
from hoistsaddle.rpc.messages import UNSET, FetchAnswer, FetchSnapshotAnswer, FetchSnapshotCall, Record
from hoistsaddle.statemachine.state import State

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# A chunk that got no answer for so many fetch timeouts is requested again.
CHUNK_TIMEOUTS = 2


class SnapshotFetcher:
    """Fetches the leader's checkpoint and the log above it; the replica's own log and state stay meanwhile."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a fetch in progress."""
        self.core = core
        # The checkpoint that is being fetched; None while none is.
        self.checkpoint_id: OffsetAndEpoch | None = None
        # The log above that checkpoint; the replica's log and state stay unchanged until the checkpoint is loaded.
        self.staged: list[Record] = []
        # Set after a failed fetch: the next log fetch asks the leader where to begin, whatever this replica has.
        self.starting_over = False
        # The number of the newest chunk's call, and when it was sent; None while no answer is awaited.
        self.call_number = 0
        self.call_sent_at: timedelta | None = None
        # The number of bytes fetched so far.
        self.position = 0
        # Whether all chunks have arrived and the disk is verifying the whole file.
        self.loading = False

    @property
    def log_end(self) -> OffsetAndEpoch | None:
        """Where the log above the checkpoint ends so far; None while no checkpoint is being fetched."""
        if self.checkpoint_id is None or not self.staged:
            return self.checkpoint_id
        return OffsetAndEpoch(self.staged[-1].offset, self.staged[-1].epoch)

    def tick(self) -> None:
        """Requests a chunk again if its answer has not arrived in time."""
        core = self.core
        if self.checkpoint_id is None or self.loading:
            return
        if self.call_sent_at is None or core.now - self.call_sent_at > core.timings.fetch_timeout * CHUNK_TIMEOUTS:
            self._fetch_chunk()

    def begin(self, answer: FetchAnswer) -> None:
        """Begins to fetch the leader's checkpoint, in parallel with the log above it.

        KIP-630 deletes log and checkpoints first. Here both stay until the fetched checkpoint is complete and on the
        disk, so that the replica keeps everything that it has acknowledged if the fetch is interrupted.
        """
        self.starting_over = False
        if self.checkpoint_id is not None:
            # This replica did not fetch for so long that the leader has trimmed the log after the staged records.
            self.abandon("the leader's log begins above it")
        self.checkpoint_id = OffsetAndEpoch(answer.checkpoint_offset, answer.checkpoint_epoch)
        self.staged = []
        self.position = 0
        self.loading = False
        self.core.announce("catching up", checkpoint=answer.checkpoint_offset)
        self._fetch_chunk()

    def abandon(self, why: str) -> None:
        """Discards what has been fetched so far; announced only with a reason."""
        if self.checkpoint_id is not None and why:
            self.core.announce("catch-up restarts", mishap=why)
        self.checkpoint_id = None
        self.staged = []
        self.loading = False
        self.starting_over = False

    def stage(self, records: tuple[Record, ...]) -> None:
        """Stages records of the log above the checkpoint."""
        self.staged.extend(records)

    def _fetch_chunk(self) -> None:
        """Requests the next chunk from the leader."""
        core = self.core
        if self.checkpoint_id is None:
            return
        if core.leader in (UNSET, core.replica):
            # No leader is known: the next chunk is requested once there is one.
            self.call_sent_at = None
            return
        self.call_sent_at = core.now
        self.call_number = core.send(
            core.leader,
            FetchSnapshotCall(
                core.replica,
                core.epoch,
                self.checkpoint_id.offset,
                self.checkpoint_id.epoch,
                self.position,
                core.timings.chunk_bytes,
            ),
        )

    def chunk_answer(self, number: int, answer: FetchSnapshotAnswer) -> None:
        """Stores the chunk if it is the one last requested, and requests the next."""
        if number != self.call_number:
            return
        self.call_sent_at = None
        if self.checkpoint_id is None or self.loading or self.core.role == LEADER:
            return
        if answer.error:
            # KIP-630: after any of the three errors, fetch again from offset and epoch zero.
            self.abandon(answer.error)
            self.starting_over = True
            return
        if (answer.checkpoint_offset, answer.checkpoint_epoch) != self.checkpoint_id:
            return
        if answer.position != self.position:
            return
        self.position += len(answer.data)
        chunk = StoreChunk(self.checkpoint_id, answer.position, answer.data, not answer.continues)
        self.core.commands.append(chunk)
        if answer.continues:
            self._fetch_chunk()
        else:
            self.loading = True

    def loaded(self, checkpoint_id: OffsetAndEpoch, state: State | None) -> None:
        """Takes over the verified checkpoint and the log above it; state is None if the verification failed."""
        core = self.core
        if self.checkpoint_id != checkpoint_id or not self.loading:
            return
        if core.role == LEADER:
            # This replica was elected meanwhile, by replicas whose logs are not ahead of its own: its log prevails.
            self.abandon("")
            return
        staged = self.staged
        load_error = self._load_error(state)
        self.abandon(load_error)
        if load_error or state is None:
            self.starting_over = True
            return
        core.state = state
        core.mesh = state.mesh
        core.complete = True
        core.begin = checkpoint_id
        core.log = staged
        core.checkpoint = checkpoint_id
        core.checkpoints = [StoredCheckpoint(checkpoint_id, core.now)]
        core.high_watermark = checkpoint_id.offset
        core.durable = checkpoint_id.offset
        core.unsynced = [write._replace(log_end=checkpoint_id.offset) for write in core.unsynced]
        core.check_level()
        core.find_voter_changes()
        # The fetched file is durable already. This one write replaces the old log by the log above the checkpoint; the
        # old checkpoints may be removed only after it.
        core.persist(records=tuple(staged), clear=True)
        core.commands.append(DropCheckpoints(checkpoint_id.offset))
        core.announce("caught up", checkpoint=checkpoint_id.offset, log_end=core.last.offset)
        core.log_fetcher.fetch()

    def _load_error(self, state: State | None) -> str:
        """Why the fetched state is rejected; empty if it is accepted."""
        core = self.core
        if state is None:
            return str(ErrorKind.CHECKPOINT_TORN)
        if core.mesh and state.mesh != core.mesh:
            return str(ErrorKind.WRONG_MESH)
        # The records applied here were committed, so every later leader has them.
        return "it is older than this replica's state" if state.offset < core.state.offset else ""
