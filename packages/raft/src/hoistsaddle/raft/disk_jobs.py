"""The disk's jobs in order, and the one thread beside the loop that does them."""

import queue
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

from hoistsaddle.common.counters import Counters
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import (
    Boot,
    Capture,
    CheckpointFailed,
    CheckpointLoaded,
    CheckpointStored,
    DropCheckpoints,
    OffsetAndEpoch,
    ReadChunk,
    StoreChunk,
    Synced,
    Write,
)
from hoistsaddle.rpc.messages import FetchSnapshotAnswer

DISK_RETRY = timedelta(milliseconds=200)
# How long the end waits for the thread's last write: part of what the hand-over leaves of the grace.
STOP_TIMEOUT = timedelta(seconds=1)


class BootstrapMesh(NamedTuple):
    mesh: str
    voters: dict[int, str]
    operators: dict[str, str]
    level: int = 1


class MeshBootstrapped(NamedTuple):
    """boot is None when the disk refused."""

    boot: Boot | None


class ChunkRead(NamedTuple):
    ticket: int
    answer: FetchSnapshotAnswer


class DiskWorker(Protocol):
    def put(self, job: tuple) -> None: ...

    def stop(self) -> bool:
        """Whether it has ended: only then may the disk be closed."""
        ...


class DiskJobs:
    def __init__(self, *, disk: Disk, counters: Counters) -> None:
        self.disk = disk
        self.counters = counters

    def do_next(self, jobs: deque) -> tuple | None:
        """Does the first job and gives its report. A write that can't last raises and stays where it was."""
        match jobs[0]:
            case Write():
                # Everything queued while the last sync ran goes into this one.
                writes = []
                for job in jobs:
                    if not isinstance(job, Write):
                        break
                    writes.append(job)
                began = time.monotonic()
                self.disk.write(writes)
                for _ in writes:
                    jobs.popleft()
                self.counters.add("disk.syncs")
                self.counters.add("disk.records", sum(len(write.records) for write in writes))
                self.counters.gauge("disk.sync_milliseconds", (time.monotonic() - began) * 1000)
                return Synced(writes[-1].sequence)
            case job:
                jobs.popleft()
                try:
                    return self._do(job)
                except (OSError, sqlite3.Error):
                    self.counters.add("disk.mishaps")
                    return self._report_error(job)

    def _do(self, job: tuple) -> tuple | None:
        began = time.monotonic()
        match job:
            case Capture(checkpoint_id=checkpoint_id, state=state):
                size = self.disk.store_checkpoint(checkpoint_id=checkpoint_id, state=state)
                self.counters.add("checkpoint.generated")
                self.counters.gauge("checkpoint.generate_milliseconds", (time.monotonic() - began) * 1000)
                self.counters.gauge("checkpoint.size_bytes", size)
                return CheckpointStored(checkpoint_id, size)
            case StoreChunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last):
                state = self.disk.store_chunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last)
                if not last:
                    return None
                self.counters.add("checkpoint.pulled")
                self.counters.gauge("checkpoint.load_milliseconds", (time.monotonic() - began) * 1000)
                return CheckpointLoaded(checkpoint_id, state)
            case ReadChunk(ticket=ticket, epoch=epoch, call=call, max_bytes=max_bytes):
                checkpoint_id = OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch)
                error, data, continues = self.disk.read_chunk(
                    checkpoint_id=checkpoint_id, position=call.position, max_bytes=max_bytes
                )
                self.counters.add("checkpoint.chunks_served")
                return ChunkRead(
                    ticket, FetchSnapshotAnswer(error, epoch, *checkpoint_id, call.position, data, continues)
                )
            case BootstrapMesh(mesh=mesh, voters=voters, operators=operators, level=level):
                self.disk.found(mesh=mesh, voters=voters, operators=operators, level=level)
                return MeshBootstrapped(self.disk.boot())
            case DropCheckpoints(below=below, keep=keep):
                self.disk.drop_checkpoints(below=below, keep=keep)
        return None

    @staticmethod
    def _report_error(job: tuple) -> tuple | None:
        match job:
            case Capture(checkpoint_id=checkpoint_id):
                return CheckpointFailed(checkpoint_id)
            case StoreChunk(checkpoint_id=checkpoint_id):
                return CheckpointLoaded(checkpoint_id, None)
            case BootstrapMesh():
                return MeshBootstrapped(None)
        return None


class DiskThread:
    """The one thread beside the loop: disks stall, and the loop must not."""

    def __init__(self, *, disk: Disk, report: Callable[[tuple], None], counters: Counters) -> None:
        self.jobs = DiskJobs(disk=disk, counters=counters)
        self.report = report
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.thread.start()

    def put(self, job: tuple) -> None:
        self.queue.put(job)

    def _run(self) -> None:
        waiting: deque = deque()
        while True:
            if not waiting:
                waiting.append(self.queue.get())
            while not self.queue.empty():
                waiting.append(self.queue.get())
            if waiting[0] is None:
                return
            try:
                report = self.jobs.do_next(waiting)
            except (sqlite3.Error, OSError):
                # A write is tried until it lasts: the core sees the wait and steps down if it must.
                self.jobs.counters.add("disk.mishaps")
                if self.stopped.wait(DISK_RETRY.total_seconds()):
                    return
                continue
            if report is not None:
                self.report(report)

    def stop(self) -> bool:
        self.stopped.set()
        self.queue.put(None)
        self.thread.join(STOP_TIMEOUT.total_seconds())
        return not self.thread.is_alive()
