"""The store: serves one replica of the log at its mesh address."""

import asyncio
import errno
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from aiomisc import Service

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import StoreSettings
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import DiskThread, DiskWorker
from hoistsaddle.raft.events import RaftTimings
from hoistsaddle.raft.runner import RaftRunner
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.rpc.message_names import counted_name
from hoistsaddle.rpc.messages import (
    BeginEpochCall,
    BootstrapAnswer,
    BootstrapCall,
    EndEpochCall,
    FetchCall,
    FetchSnapshotCall,
    FoundingStatusAnswer,
    FoundingStatusCall,
    RaiseLevelAnswer,
    RaiseLevelCall,
    ReadAnswer,
    ReadCall,
    StatusCall,
    VoteCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import RealRuntime, Runtime, Serving
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.encoding import pack_outcome
from hoistsaddle.store.recorded_founding import recorded_founding
from hoistsaddle.store.state_parts import StateReader
from hoistsaddle.store.status import status_of

# The fraction of the grace period for handing over leadership and the voter role. The rest is for closing files and
# listeners, which takes time on a slow processor.
HANDOVER_FRACTION = 0.5
# Disk errors that may be transient: an I/O error, or no space left.
TRANSIENT_DISK_ERRORS = (errno.EIO, errno.ENOSPC)
# The bounds of the backoff between attempts to start on a disk with a transient error.
MIN_START_RETRY_DELAY = milliseconds(100)
MAX_START_RETRY_DELAY = timedelta(seconds=1)


def timings_of(settings: StoreSettings) -> RaftTimings:
    """Returns the timings of the replica, with the values that the settings specify."""
    return RaftTimings(
        checkpoint_records=settings.checkpoint_records,
        chunk_bytes=settings.chunk_bytes,
        lag_wait=timedelta(seconds=settings.lag_wait_seconds),
        disk_stall_timeout=timedelta(seconds=settings.disk_stall_seconds),
    )


class Store:
    """Serves one replica of the log: answers the calls of other processes."""

    def __init__(
        self,
        *,
        settings: StoreSettings,
        runtime: Runtime,
        disk: Disk,
        make_worker: Callable[..., DiskWorker] = DiskThread,
        addresses: dict[int, str] | None = None,
        timings: RaftTimings | None = None,
        placement: VoterPlacement | None = None,
    ) -> None:
        """Creates the replica without reading the disk; `start` reads it.

        Args:
            settings: The program's settings.
            runtime: The clock, the random numbers and the connections.
            disk: The replica's data folder.
            make_worker: Creates the worker that runs the disk's jobs.
            addresses: The address of each replica by its number; by default those of the settings' core.
            timings: The replica's timings; by default those of the settings.
            placement: The tolerated losses and where the voters should be; None if the bootstrap fixed the voters.
        """
        self.settings = settings
        self.runtime = runtime
        self.counters = Counters(owner=f"warehouse-{settings.replica}")
        if addresses is None:
            addresses = {machine.replica: machine.store for machine in settings.core}
        self.runner = RaftRunner(
            disk=disk,
            addresses=addresses,
            timings=timings or timings_of(settings),
            counters=self.counters,
            runtime=runtime,
            make_worker=make_worker,
            level=settings.release_level or LEVEL,
            wanted_voters=0 if placement is None else placement.tolerated.fewest_voters,
            placement=placement,
        )
        self.reader = StateReader()
        # Returns the controllers known to this process; a blank store reports them as seeds in its bootstrap status.
        self.known_controllers: Callable[[], tuple[int, ...]] = tuple
        self._mesh_lock = asyncio.Lock()
        # None until `start`.
        self.server: Serving | None = None

    async def _start_runner(self) -> None:
        """Starts the replica, retrying while its disk is full or fails: the votes stored on it must not be lost."""
        backoff = ExponentialBackoff(least=MIN_START_RETRY_DELAY, most=MAX_START_RETRY_DELAY)
        while True:
            try:
                return self.runner.start()
            except OSError as error:
                if error.errno not in TRANSIENT_DISK_ERRORS:
                    raise
                if not backoff.failing:
                    self.counters.record_event(
                        "disk refuses the start", why=str(error), remedy="Free disk space or repair the disk."
                    )
                self.counters.add("disk.starts_refused")
                backoff.failed(now=self.runtime.now())
                await asyncio.sleep(backoff.delay.total_seconds())

    async def start(self) -> None:
        """Starts the replica, then listens at the mesh address."""
        await self._start_runner()
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        core = self.runner.started_core()
        self.counters.record_event(
            "warehouse up", replica=self.settings.replica, incarnation=core.incarnation, mesh=core.mesh
        )

    async def stop(self) -> None:
        """Hands over within a fraction of the grace period, then closes the listener and the connections.

        A store whose disk could not be opened yet has nothing to hand over.
        """
        if self.runner.core is not None:
            await self.runner.stop(within=timedelta(seconds=self.settings.grace_seconds * HANDOVER_FRACTION))
        if self.server is not None:
            await self.server.stop()
        self.runtime.rpc_client.close()

    async def answer(self, message: tuple) -> tuple | None:
        """Answers a call of another process; returns None for a call that the store doesn't serve."""
        self.counters.add(f"calls.{counted_name(message)}")
        match message:
            case FetchCall() | FetchSnapshotCall() | VoteCall() | BeginEpochCall() | EndEpochCall():
                return await self.runner.call(message)
            case WriteCall(payloads=payloads):
                return await self._write(payloads)
            case ReadCall(part=part, known_revision=known_revision):
                return await self._read(part, known_revision)
            case RaiseLevelCall(level=level):
                result = await self.runner.raise_level(level)
                return RaiseLevelAnswer(result.error, "")
            case StatusCall(after=after):
                return status_of(self.runner.started_core(), counters=self.counters, after=after)
            case BootstrapCall():
                # Several processes may bootstrap concurrently, but the disk may begin only one mesh.
                async with self._mesh_lock:
                    return await self._bootstrap(message)
            case FoundingStatusCall():
                return self._founding_status()
        return None

    def _founding_status(self) -> FoundingStatusAnswer:
        core = self.runner.started_core()
        seeds = core.first_seeds or self.known_controllers()
        return FoundingStatusAnswer(
            core.mesh, core.replica, core.incarnation, seeds, bool(core.first_seeds), self.settings.zone
        )

    async def leave_founding(self, *, with_records: bool) -> bool:
        """Makes the replica blank again if it holds a bootstrap after which no record is known to be committed.

        Args:
            with_records: Whether the replica may hold records, because none of them can be committed.

        Returns:
            Whether the replica is blank now.
        """
        async with self._mesh_lock:
            core = self.runner.started_core()
            if recorded_founding(core) is None or (core.last.offset and not with_records):
                return False
            return await self.runner.leave_mesh()

    async def _write(self, payloads: tuple[bytes, ...]) -> WriteAnswer:
        result = await self.runner.propose(payloads)
        outcomes = tuple(pack_outcome(outcome) for outcome in result.outcomes)
        return WriteAnswer(result.error, result.leader, outcomes, result.offset)

    async def _read(self, part: str, known_revision: int) -> ReadAnswer:
        result = await self.runner.read()
        if result.error or result.state is None:
            return ReadAnswer(result.error, result.leader)
        return self.reader.read(part, known_revision=known_revision, leader=result.leader, state=result.state)

    async def _bootstrap(self, call: BootstrapCall) -> BootstrapAnswer:
        """Begins a mesh on a blank disk."""
        core = self.runner.started_core()
        if core.mesh:
            # Repeating the same bootstrap is not an error; a different bootstrap is.
            error = "" if core.mesh == call.mesh else str(ErrorKind.ALREADY_FOUNDED)
            return BootstrapAnswer(error, core.mesh, core.incarnation)
        if call.voters.get(core.replica) != core.incarnation:
            return BootstrapAnswer(str(ErrorKind.WRONG_MESH), core.mesh, core.incarnation)
        if not await self.runner.bootstrap(
            mesh=call.mesh, voters=call.voters, operators=call.operators, level=min(call.level, core.level)
        ):
            return BootstrapAnswer(str(ErrorKind.DISK), "", core.incarnation)
        self.counters.record_event("founded", mesh=call.mesh)
        return BootstrapAnswer("", call.mesh, core.incarnation)


class StoreService(Service):
    """Runs the store as a service of a program."""

    def __init__(self, *, settings: StoreSettings) -> None:
        """Stores the settings; `start` creates the store with real connections and a real disk."""
        super().__init__()
        self.store_settings = settings
        self.node: Store | None = None

    async def start(self) -> None:
        """Starts the store and signals that it is running."""
        settings = self.store_settings
        self.node = Store(
            settings=settings,
            runtime=RealRuntime(line_faults=settings.line_faults),
            disk=Disk(folder=Path(settings.data_folder), replica=settings.replica),
        )
        await self.node.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the store if it was started."""
        if self.node is not None:
            await self.node.stop()
