"""The disk's jobs, and the thread that executes them in order beside the event loop."""

import queue
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

from loguru import logger

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

# The delay before a failed write is retried.
DISK_RETRY = timedelta(milliseconds=200)
# How long stopping waits for the thread's last write; part of the grace period that the hand-over leaves.
STOP_TIMEOUT = timedelta(seconds=1)


class BootstrapMesh(NamedTuple):
    """Job: bootstrap a mesh on this disk."""

    mesh: str
    voters: dict[int, str]
    operators: dict[str, str]
    level: int = 1


class LeaveMesh(NamedTuple):
    """Job: make the disk blank again; its incarnation stays."""


class MeshChanged(NamedTuple):
    """Report: the disk's content after it bootstrapped or left a mesh; boot is None if that failed."""

    boot: Boot | None


class ChunkRead(NamedTuple):
    """Report: the answer to the call that requested a chunk."""

    ticket: int
    answer: FetchSnapshotAnswer


class DiskWorker(Protocol):
    """Executes a replica's disk jobs in order, beside the event loop, and reports their results."""

    def put(self, job: tuple) -> None:
        """Queues a job."""
        ...

    def stop(self) -> bool:
        """Stops the worker; returns whether it has ended, since the disk may be closed only then."""
        ...


class DiskJobs:
    """Executes single jobs on the disk and creates their reports."""

    def __init__(self, *, disk: Disk, counters: Counters) -> None:
        """Uses a disk that is open already."""
        self.disk = disk
        self.counters = counters

    def do_next(self, jobs: deque) -> tuple | None:
        """Executes the first job and returns its report, if it has one.

        Raises:
            OSError, sqlite3.Error: A write failed; it stays the first job, to be retried.
        """
        if isinstance(jobs[0], Write):
            return self._do_writes(jobs)
        job = jobs.popleft()
        try:
            return self._do(job)
        except Exception as problem:
            if not isinstance(problem, sqlite3.Error | OSError):
                logger.opt(exception=problem).error("a job of the disk failed")
            self.counters.add("disk.mishaps")
            return self._report_failure(job)

    def _do_writes(self, jobs: deque) -> Synced:
        """Executes all writes at the head of the queue in one transaction with one sync."""
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
        self._gauge_milliseconds("disk.sync_milliseconds", began)
        return Synced(writes[-1].sequence)

    def _do(self, job: tuple) -> tuple | None:
        match job:
            case Capture():
                return self._capture(job)
            case StoreChunk():
                return self._store_chunk(job)
            case ReadChunk():
                return self._read_chunk(job)
            case BootstrapMesh(mesh=mesh, voters=voters, operators=operators, level=level):
                self.disk.bootstrap(mesh=mesh, voters=voters, operators=operators, level=level)
                return MeshChanged(self.disk.boot())
            case LeaveMesh():
                self.disk.leave_mesh()
                return MeshChanged(self.disk.boot())
            case DropCheckpoints(below=below, keep=keep):
                self.disk.drop_checkpoints(below=below, keep=keep)
        return None

    def _capture(self, job: Capture) -> CheckpointStored:
        began = time.monotonic()
        size = self.disk.store_checkpoint(checkpoint_id=job.checkpoint_id, state=job.state)
        self.counters.add("checkpoint.generated")
        self._gauge_milliseconds("checkpoint.generate_milliseconds", began)
        self.counters.gauge("checkpoint.size_bytes", size)
        return CheckpointStored(job.checkpoint_id, size)

    def _store_chunk(self, job: StoreChunk) -> CheckpointLoaded | None:
        began = time.monotonic()
        state = self.disk.store_chunk(
            checkpoint_id=job.checkpoint_id, position=job.position, data=job.data, last=job.last
        )
        if not job.last:
            return None
        self.counters.add("checkpoint.pulled")
        self._gauge_milliseconds("checkpoint.load_milliseconds", began)
        return CheckpointLoaded(job.checkpoint_id, state)

    def _read_chunk(self, job: ReadChunk) -> ChunkRead:
        call = job.call
        checkpoint_id = OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch)
        chunk = self.disk.read_chunk(checkpoint_id=checkpoint_id, position=call.position, max_bytes=job.max_bytes)
        self.counters.add("checkpoint.chunks_served")
        return ChunkRead(
            job.ticket,
            FetchSnapshotAnswer(chunk.error, job.epoch, *checkpoint_id, call.position, chunk.data, chunk.continues),
        )

    def _gauge_milliseconds(self, name: str, began: float) -> None:
        self.counters.gauge(name, (time.monotonic() - began) * 1000)

    @staticmethod
    def _report_failure(job: tuple) -> tuple | None:
        match job:
            case Capture(checkpoint_id=checkpoint_id):
                return CheckpointFailed(checkpoint_id)
            case StoreChunk(checkpoint_id=checkpoint_id):
                return CheckpointLoaded(checkpoint_id, None)
            case BootstrapMesh() | LeaveMesh():
                return MeshChanged(None)
        return None


class DiskThread:
    """Executes disk jobs in a thread, so that a stalled disk does not block the event loop."""

    def __init__(self, *, disk: Disk, report: Callable[[tuple], None], counters: Counters) -> None:
        """Starts the thread.

        Args:
            disk: An opened disk; only the thread uses it from here on.
            report: Called with each job's report, on this thread.
            counters: Counts syncs, checkpoints and failures.
        """
        self.jobs = DiskJobs(disk=disk, counters=counters)
        self.report = report
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.thread.start()

    def put(self, job: tuple) -> None:
        """Queues a job."""
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
            except Exception as problem:
                # A write is retried until it succeeds; the core sees the delay and steps down if it is too long. The
                # thread must live as long as its process, so it goes on after any error.
                if not isinstance(problem, sqlite3.Error | OSError):
                    logger.opt(exception=problem).error("a write to the disk failed and is retried")
                self.jobs.counters.add("disk.mishaps")
                if self.stopped.wait(DISK_RETRY.total_seconds()):
                    return
                continue
            if report is not None:
                self.report(report)

    def stop(self) -> bool:
        """Ends the thread after the jobs queued so far; false if a disk call in it has not returned."""
        self.stopped.set()
        self.queue.put(None)
        self.thread.join(STOP_TIMEOUT.total_seconds())
        return not self.thread.is_alive()
