"""Runs one Raft core with its calls, its timer and its disk thread."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.lifelong_tasks import LifelongTasks
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import BootstrapMesh, ChunkRead, DiskThread, DiskWorker, LeaveMesh, MeshChanged
from hoistsaddle.raft.errors import NotStarted
from hoistsaddle.raft.events import (
    Announce,
    Answer,
    AnswerArrived,
    Boot,
    CallArrived,
    CallRefused,
    Capture,
    DropCheckpoints,
    Ended,
    ProposalArrived,
    ProposalResult,
    RaftTimings,
    RaiseArrived,
    ReadArrived,
    ReadChunk,
    ReadResult,
    Send,
    StopRequested,
    StoreChunk,
    Synced,
    Ticked,
    Write,
)
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.rpc.message_names import counted_name
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.encoding import tag_in

TICK = timedelta(milliseconds=15)
CALL_TIMEOUT = timedelta(milliseconds=900)
# How long a stopping replica waits for its last messages to be sent.
FINAL_SEND_DELAY = milliseconds(100)


class RaftRunner:
    """Feeds a core with events and executes its commands."""

    def __init__(
        self,
        *,
        disk: Disk,
        addresses: dict[int, str],
        timings: RaftTimings,
        counters: Counters,
        runtime: Runtime,
        make_worker: Callable[..., DiskWorker] = DiskThread,
        level: int = LEVEL,
        wanted_voters: int = 0,
        placement: VoterPlacement | None = None,
    ) -> None:
        """Keeps the replica's parameters; `start` reads the disk and creates the core.

        Args:
            disk: The replica's data folder.
            addresses: The address of each replica, by number.
            timings: The core's timeouts, intervals and batch sizes.
            counters: Counts calls and records events.
            runtime: Clock, random numbers and connections.
            make_worker: Creates the worker that executes the disk's jobs.
            level: The highest release level that the replica supports.
            wanted_voters: How many voters the configured losses require; 0 if the bootstrap fixed the voters.
            placement: Where the voters should be; None if the bootstrap fixed the voters.
        """
        self.wanted_voters = wanted_voters
        self.placement = placement
        self.disk = disk
        self.addresses = addresses
        self.timings = timings
        self.counters = counters
        self.runtime = runtime
        self.make_worker = make_worker
        self.level = level
        # None until the start.
        self.core: RaftCore | None = None
        self.worker: DiskWorker | None = None
        # The sequence number of the newest durable write, and the commands that wait for a write, each with its number.
        self.synced = 0
        self.waiting: list[tuple[int, tuple]] = []
        # The future that waits for each answer of the core, by ticket.
        self.answers: dict[int, asyncio.Future] = {}
        self.tickets = 0
        self.tasks: set[asyncio.Task] = set()
        self.lifelong_tasks = LifelongTasks(counters=counters, now=runtime.now)
        # Set while the disk bootstraps or leaves a mesh; the caller runs only one such change at a time.
        self.mesh_change: asyncio.Future | None = None
        self.ended = asyncio.Event()

    # -- start and settings ------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Reads the disk, creates the core and starts the timer.

        Raises:
            OSError: The disk can't be used at present, or contains another release's data.
        """
        loop = asyncio.get_running_loop()
        began = time.monotonic()
        boot = self.disk.boot()
        self.counters.gauge("checkpoint.load_milliseconds", (time.monotonic() - began) * 1000)
        for remark in self.disk.remarks:
            self.counters.record_event("disk remark", remark=remark)
        self.disk.remarks.clear()
        self.synced = 0
        self.core = self._core_of(boot)
        self.worker = self.make_worker(
            disk=self.disk,
            report=lambda event: loop.call_soon_threadsafe(self.feed, event),
            counters=self.counters,
        )
        self.lifelong_tasks.start("log ticks", self._ticks)

    def _core_of(self, boot: Boot) -> RaftCore:
        return RaftCore(
            boot=boot,
            replicas=tuple(self.addresses),
            timings=self.timings,
            seed=self.runtime.random,
            now=self.runtime.now(),
            level=self.level,
            wanted_voters=self.wanted_voters,
            placement=self.placement,
        )

    def started_core(self) -> RaftCore:
        """The core.

        Raises:
            NotStarted: `start` has not created it yet.
        """
        if self.core is None:
            raise NotStarted("the replica is not started")
        return self.core

    def _started_worker(self) -> DiskWorker:
        if self.worker is None:
            raise NotStarted("the replica is not started")
        return self.worker

    def apply_settings(
        self,
        *,
        placement: VoterPlacement,
        replacement_timeout: timedelta,
        lag_wait: timedelta,
        seeds: tuple[int, ...],
    ) -> None:
        """Applies settings that changed while the replica runs; seeds are called in addition to the known replicas."""
        self.wanted_voters = placement.tolerated.fewest_voters
        self.placement = placement
        self.timings = self.timings._replace(replacement_timeout=replacement_timeout, lag_wait=lag_wait)
        if self.core is not None:
            self.core.wanted_voters = self.wanted_voters
            self.core.placement = placement
            self.core.timings = self.timings
            self.core.seeds = tuple(dict.fromkeys((*seeds, *self.core.seeds)))

    async def bootstrap(self, *, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> bool:
        """Bootstraps a mesh on a blank disk and creates a new core from the result.

        Returns:
            Whether the disk could do so.
        """
        return await self._change_mesh(BootstrapMesh(mesh, voters, operators, level))

    async def leave_mesh(self) -> bool:
        """Makes the disk blank again under its incarnation; allowed only if it has acknowledged nothing that may count.

        Returns:
            Whether the disk could do so.
        """
        return await self._change_mesh(LeaveMesh())

    async def _change_mesh(self, job: BootstrapMesh | LeaveMesh) -> bool:
        # Until the disk thread has finished, no command of the present core may overwrite the result.
        self.mesh_change = asyncio.get_running_loop().create_future()
        self._started_worker().put(job)
        boot = await self.mesh_change
        self.mesh_change = None
        if boot is None:
            return False
        self.core = self._core_of(boot)
        self.synced = 0
        self.waiting = []
        return True

    # -- events and commands -----------------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ticks(self) -> None:
        while True:
            due = self.runtime.now() + TICK
            await asyncio.sleep(TICK.total_seconds())
            self._count_lateness(self.runtime.now() - due)
            self.feed(Ticked())

    def _count_lateness(self, late: timedelta) -> None:
        """Counts how late the timer fired: a busy event loop handles calls and heartbeats just as late."""
        self.counters.add("loop.ticks")
        self.counters.add("loop.late_milliseconds", max(0.0, late / milliseconds(1)))

    def feed(self, event: tuple) -> None:
        """Passes an event to the core and executes the resulting commands; a chunk that was read answers its call."""
        if self.mesh_change is not None:
            if isinstance(event, MeshChanged):
                self.mesh_change.set_result(event.boot)
            return
        if isinstance(event, ChunkRead):
            self._resolve(event.ticket, event.answer)
            return
        if isinstance(event, Synced):
            self.synced = max(self.synced, event.sequence)
        for command in self.started_core().handle(event, now=self.runtime.now()):
            self._carry_out(command)
        if isinstance(event, Synced):
            ready = [command for after, command in self.waiting if after <= self.synced]
            self.waiting = [(after, command) for after, command in self.waiting if after > self.synced]
            for command in ready:
                self._carry_out(command)

    def _carry_out(self, command: tuple) -> None:
        match command:
            case Send(after=after) | Answer(after=after) if after > self.synced:
                self.waiting.append((after, command))
            case Send():
                self._spawn(self._call(command))
            case Answer(ticket=ticket, message=message):
                self._resolve(ticket, message)
            case Write() | Capture() | StoreChunk() | DropCheckpoints() | ReadChunk():
                self._started_worker().put(command)
            case ProposalResult(ticket=ticket) | ReadResult(ticket=ticket):
                self._resolve(ticket, command)
            case Announce(kind=kind, detail=detail):
                self.counters.record_event(kind, **detail)
            case Ended():
                self.ended.set()

    def _resolve(self, ticket: int, message: tuple) -> None:
        future = self.answers.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def _call(self, send: Send) -> None:
        self.counters.add(f"sends.{counted_name(send.message)}")
        caller = self.core
        result = await self.runtime.rpc_client.call(self.addresses[send.replica], send.message, within=CALL_TIMEOUT)
        if self.core is not caller:
            # The disk bootstrapped or left a mesh meanwhile, and the new core numbers its calls from one again.
            return
        match result:
            case Success(message):
                self.feed(AnswerArrived(send.number, send.replica, message))
            case Failure():
                self.counters.add("sends.mishaps")
                if result.failure().kind == ErrorKind.UNREACHABLE:
                    self.feed(CallRefused(send.replica))

    # -- requests to the core ----------------------------------------------------------------------------------------

    async def _request(self, make_event: Callable[[int], tuple]) -> Any:
        """Feeds an event with a new ticket to the core and waits for the answer."""
        self.tickets += 1
        ticket = self.tickets
        future = self.answers[ticket] = asyncio.get_running_loop().create_future()
        self.feed(make_event(ticket))
        try:
            return await future
        finally:
            self.answers.pop(ticket, None)

    async def call(self, message: tuple) -> tuple:
        """The core's answer to another replica's call."""
        return await self._request(lambda ticket: CallArrived(ticket, message))

    async def propose(self, payloads: tuple[bytes, ...]) -> ProposalResult:
        """Appends the payloads to the log; returns once they are applied or rejected."""
        result = await self._request(lambda ticket: ProposalArrived(ticket, payloads))
        if not result.error:
            for payload in payloads:
                self.counters.add(f"committed.{tag_in(payload)}")
        return result

    async def raise_level(self, level: int) -> ProposalResult:
        """Raises the release level of the log."""
        return await self._request(lambda ticket: RaiseArrived(ticket, level))

    async def read(self) -> ReadResult:
        """The newest state, confirmed by a majority."""
        return await self._request(lambda ticket: ReadArrived(ticket))

    async def stop(self, *, within: timedelta = timedelta()) -> None:
        """Stops the replica; within that time it hands over what must be on a majority of disks without it."""
        self.feed(StopRequested(within))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), within.total_seconds())
        await asyncio.sleep(FINAL_SEND_DELAY.total_seconds())
        self.lifelong_tasks.cancel()
        for task in list(self.tasks):
            task.cancel()
        if self._started_worker().stop():
            self.disk.close()
        else:
            # close() would block the event loop until the call that hangs in the disk thread returns.
            self.counters.record_event("disk left open", why="a disk call has not returned")
