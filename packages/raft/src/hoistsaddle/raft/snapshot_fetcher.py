"""The follower's side of checkpoints after KIP-630: fetching the leader's, and loading it."""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import DropCheckpoints, OffsetAndEpoch, StoreChunk
from hoistsaddle.raft.replica import LEADER, StoredCheckpoint
from hoistsaddle.rpc.messages import UNSET, FetchAnswer, FetchSnapshotAnswer, FetchSnapshotCall, Record
from hoistsaddle.statemachine.state import State

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# A chunk that got no answer for so many of a fetch's time-outs is asked for again.
CHUNK_TIMEOUTS = 2


class SnapshotFetcher:
    """Fetches the leader's checkpoint and the log above it, beside what is held here already."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a fetch under way."""
        self.core = core
        # The checkpoint that is being fetched; None while none is.
        self.checkpoint_id: OffsetAndEpoch | None = None
        # The log above that checkpoint; log and state stay what they were until it is loaded.
        self.staged: list[Record] = []
        # After a failed fetch the leader is asked anew where to begin, whatever is held here.
        self.starting_over = False
        # The newest chunk's call, and when it was sent; None while no answer is awaited.
        self.call_number = 0
        self.call_sent_at: timedelta | None = None
        # Bytes fetched so far.
        self.position = 0
        # Whether all chunks are there, and the disk checks the whole file.
        self.loading = False

    @property
    def log_end(self) -> OffsetAndEpoch | None:
        """Where the log above the checkpoint ends so far; None while no checkpoint is being fetched."""
        if self.checkpoint_id is None or not self.staged:
            return self.checkpoint_id
        return OffsetAndEpoch(self.staged[-1].offset, self.staged[-1].epoch)

    def tick(self) -> None:
        """Asks again for a chunk whose answer stays away."""
        core = self.core
        if self.checkpoint_id is None or self.loading:
            return
        if self.call_sent_at is None or core.now - self.call_sent_at > core.timings.fetch_timeout * CHUNK_TIMEOUTS:
            self._fetch_chunk()

    def begin(self, answer: FetchAnswer) -> None:
        """Fetches the leader's checkpoint and its log side by side.

        KIP-630 throws log and checkpoints away first. Here both stay until the fetched one is complete and on the disk:
        a replica that was sent to a checkpoint still holds all that it ever acknowledged, whatever happens meanwhile.
        """
        self.starting_over = False
        if self.checkpoint_id is not None:
            # Silent for so long that the leader no longer has the log after what was staged here.
            self.abandon("the leader's log goes on above it")
        self.checkpoint_id = OffsetAndEpoch(answer.checkpoint_offset, answer.checkpoint_epoch)
        self.staged = []
        self.position = 0
        self.loading = False
        self.core.announce("catching up", checkpoint=answer.checkpoint_offset)
        self._fetch_chunk()

    def abandon(self, why: str) -> None:
        """Drops what was fetched so far, if anything; without a reason nothing is announced."""
        if self.checkpoint_id is not None and why:
            self.core.announce("catch-up restarts", mishap=why)
        self.checkpoint_id = None
        self.staged = []
        self.loading = False
        self.starting_over = False

    def stage(self, records: tuple[Record, ...]) -> None:
        """Keeps records of the log above the checkpoint."""
        self.staged.extend(records)

    def _fetch_chunk(self) -> None:
        """Asks the leader for the next chunk."""
        core = self.core
        if self.checkpoint_id is None:
            return
        if core.leader in (UNSET, core.replica):
            # Nobody leads at present: the next chunk is asked for once somebody does.
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
        """Stores the chunk if it is the one that was asked for last, and asks for the next."""
        if number != self.call_number:
            return
        self.call_sent_at = None
        if self.checkpoint_id is None or self.loading or self.core.role == LEADER:
            return
        if answer.error:
            # KIP-630: on any of the three errors ask again from offset and epoch zero.
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
        """The disk has checked the whole file; state is None if the check failed."""
        core = self.core
        if self.checkpoint_id != checkpoint_id or not self.loading:
            return
        if core.role == LEADER:
            # Elected meanwhile by those who hold no more than it does: its own log is the log now.
            self.abandon("")
            return
        staged = self.staged
        refused = self._why_not_load(state)
        self.abandon(refused)
        if refused or state is None:
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
        # The fetched file lasts already. With this one write the log above it takes the old log's place; only after it
        # may the old checkpoints go.
        core.persist(records=tuple(staged), clear=True)
        core.commands.append(DropCheckpoints(checkpoint_id.offset))
        core.announce("caught up", checkpoint=checkpoint_id.offset, log_end=core.last.offset)
        core.log_fetcher.fetch()

    def _why_not_load(self, state: State | None) -> str:
        """Why the fetched state isn't taken; empty if it is."""
        core = self.core
        if state is None:
            return str(ErrorKind.CHECKPOINT_TORN)
        if core.mesh and state.mesh != core.mesh:
            return str(ErrorKind.WRONG_MESH)
        # What was applied here was agreed, and every later leader holds it.
        return "it is older than the state held here" if state.offset < core.state.offset else ""
