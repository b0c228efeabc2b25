"""A modelled disk: the synced content of a replica's data folder, and the queue of jobs not done yet.

It mirrors raft/disk.py and raft/jobs.py without files; a test runs the same jobs on both and compares the boots.
"""

from collections import deque
from typing import NamedTuple

from returns.result import Success

from hoistsaddle.raft.checkpoint import pack_checkpoint, unpack_checkpoint
from hoistsaddle.raft.core import OFFSET_OUT_OF_RANGE, SNAPSHOT_NOT_FOUND
from hoistsaddle.raft.events import (
    Boot,
    Capture,
    CheckpointLoaded,
    CheckpointStored,
    DropCheckpoints,
    OffsetAndEpoch,
    ReadChunk,
    StoreChunk,
    Synced,
    Write,
)
from hoistsaddle.rpc.messages import FetchSnapshotAnswer, Record
from hoistsaddle.statemachine.state import State

# Fields that a boot copies from the newest write under the same name; records are stored separately.
_BOOT_FIELDS = tuple(name for name in Write._fields if name in Boot._fields and name != "records")


class ChunkRead(NamedTuple):
    """A chunk of a checkpoint, read for the call with this ticket."""

    ticket: int
    answer: FetchSnapshotAnswer


class ModelDisk:
    """One incarnation of a machine's disk."""

    def __init__(self, *, replica: int, incarnation: str) -> None:
        self.replica = replica
        self.incarnation = incarnation
        self.newest: Write | None = None
        self.bootstrap_facts: dict | None = None
        self.log: dict[int, Record] = {}
        self.checkpoints: dict[OffsetAndEpoch, bytes] = {}
        self.fetched: dict[OffsetAndEpoch, bytes] = {}
        self.jobs: deque = deque()
        # All records and votes that this incarnation ever synced; a truncation removes nothing here.
        self.ever_held: set[tuple[int, int]] = set()
        self.ever_voted: set[tuple[int, tuple[int, str] | None]] = set()
        self.covered = 0

    def copy(self) -> "ModelDisk":
        """A copy of the disk, to continue on another path."""
        copied = ModelDisk(replica=self.replica, incarnation=self.incarnation)
        copied.newest, copied.bootstrap_facts, copied.covered = self.newest, self.bootstrap_facts, self.covered
        copied.log, copied.checkpoints, copied.fetched = dict(self.log), dict(self.checkpoints), dict(self.fetched)
        copied.jobs = deque(self.jobs)
        copied.ever_held, copied.ever_voted = set(self.ever_held), set(self.ever_voted)
        return copied

    def bootstrap(self, *, mesh: str, voters: tuple[tuple[int, str], ...], state: State) -> None:
        """Writes what a bootstrap stores: the first checkpoint, the mesh and its voters."""
        self.checkpoints[OffsetAndEpoch(0, 0)] = pack_checkpoint(checkpoint_id=OffsetAndEpoch(0, 0), state=state)
        self.bootstrap_facts = {"mesh": mesh, "voters": voters}

    # -- reading -----------------------------------------------------------------------------------------------------

    def boot(self) -> Boot | None:
        """The data that a start reads; None if the folder must be replaced by a new incarnation."""
        facts = (
            {name: getattr(self.newest, name) for name in _BOOT_FIELDS} if self.newest else self.bootstrap_facts or {}
        )
        known = Boot(replica=self.replica, incarnation=self.incarnation, **facts)
        if not known.mesh or known.catching:
            return known
        records = tuple(self.log[offset] for offset in sorted(self.log) if offset > known.begin.offset)
        found = self._newest_checkpoint(min_offset=known.begin.offset)
        if found is None:
            return None
        checkpoint_id, state = found
        begin = known.begin
        if checkpoint_id.offset > (records[-1].offset if records else begin.offset):
            records, begin = (), checkpoint_id
        return known._replace(begin=begin, records=records, checkpoint=checkpoint_id, state=state)

    def _newest_checkpoint(self, *, min_offset: int) -> tuple[OffsetAndEpoch, State] | None:
        for checkpoint_id in sorted(self.checkpoints, reverse=True):
            if checkpoint_id.offset < min_offset:
                break
            match unpack_checkpoint(checkpoint_id=checkpoint_id, data=self.checkpoints[checkpoint_id]):
                case Success(state):
                    return checkpoint_id, state
        return None

    def has_synced(self, offset: int, epoch: int) -> bool:
        """Whether this record, or a checkpoint that covers it, was ever synced here."""
        return offset <= self.covered or (offset, epoch) in self.ever_held

    def can_restore(self, offset: int) -> bool:
        """Whether a start from the synced data would restore everything up to this offset."""
        if self.newest is None or self.newest.catching:
            return offset <= 0
        last = max(self.log, default=self.newest.begin.offset)
        return offset <= max(
            last, self.newest.begin.offset, *(checkpoint_id.offset for checkpoint_id in self.checkpoints), 0
        )

    # -- jobs --------------------------------------------------------------------------------------------------------

    def do_next(self) -> tuple | None:
        """Executes the first job, or all consecutive writes at once, and returns the report."""
        if not isinstance(self.jobs[0], Write):
            return self._do(self.jobs.popleft())
        while self.jobs and isinstance(self.jobs[0], Write):
            write = self.jobs.popleft()
            self._write(write)
        return Synced(write.sequence)

    def lose_power(self, *, kept: int) -> None:
        """Executes the first `kept` of the queued jobs and loses the rest."""
        for job in list(self.jobs)[:kept]:
            self._write(job) if isinstance(job, Write) else self._do(job)
        self.jobs.clear()
        self.fetched.clear()

    def tear(self) -> None:
        """Truncates the newest checkpoint, so that the next start finds it torn."""
        if self.checkpoints:
            checkpoint_id = max(self.checkpoints)
            self.checkpoints[checkpoint_id] = self.checkpoints[checkpoint_id][:-1]

    def _write(self, write: Write) -> None:
        if write.clear:
            self.log.clear()
        if write.truncate_from >= 0:
            self.log = {offset: record for offset, record in self.log.items() if offset < write.truncate_from}
        for record in write.records:
            self.log[record.offset] = record
        if not write.catching:
            # Records above a checkpoint that is still being fetched can't be restored, so they count only afterwards.
            newly_held = self.log.values() if self.newest is not None and self.newest.catching else write.records
            self.ever_held.update((record.offset, record.epoch) for record in newly_held)
        if any(offset <= write.begin.offset for offset in self.log):
            self.log = {offset: record for offset, record in self.log.items() if offset > write.begin.offset}
        self.newest = write
        self.ever_voted.add((write.epoch, write.vote))
        if not write.catching:
            self.covered = max(self.covered, write.begin.offset)

    def _do(self, job: tuple) -> tuple | None:
        match job:
            case Capture(checkpoint_id=checkpoint_id, state=state):
                self.checkpoints[checkpoint_id] = pack_checkpoint(checkpoint_id=checkpoint_id, state=state)
                return CheckpointStored(checkpoint_id, len(self.checkpoints[checkpoint_id]))
            case StoreChunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last):
                self.fetched[checkpoint_id] = self.fetched.get(checkpoint_id, b"")[:position] + data
                if not last:
                    return None
                complete = self.fetched.pop(checkpoint_id)
                match unpack_checkpoint(checkpoint_id=checkpoint_id, data=complete):
                    case Success(state):
                        self.checkpoints[checkpoint_id] = complete
                        return CheckpointLoaded(checkpoint_id, state)
                return CheckpointLoaded(checkpoint_id, None)
            case ReadChunk(ticket=ticket, epoch=epoch, call=call, max_bytes=limit):
                checkpoint_id = OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch)
                error, data, continues = self._read_chunk(checkpoint_id, call.position, limit)
                return ChunkRead(
                    ticket, FetchSnapshotAnswer(error, epoch, *checkpoint_id, call.position, data, continues)
                )
            case DropCheckpoints(below=below):
                retained = getattr(job, "keep", ())
                for files in (self.checkpoints, self.fetched):
                    for checkpoint_id in [each for each in files if each.offset < below and each not in retained]:
                        del files[checkpoint_id]
        return None

    def _read_chunk(self, checkpoint_id: OffsetAndEpoch, position: int, limit: int) -> tuple[str, bytes, bool]:
        if checkpoint_id not in self.checkpoints:
            return SNAPSHOT_NOT_FOUND, b"", False
        data = self.checkpoints[checkpoint_id]
        if not 0 <= position <= len(data):
            return OFFSET_OUT_OF_RANGE, b"", False
        chunk = data[position : position + limit]
        return "", chunk, position + len(chunk) < len(data)
