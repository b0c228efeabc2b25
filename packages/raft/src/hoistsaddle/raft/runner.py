"""Sockets, schedule and disk thread round one ledger core."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import BootstrapMesh, ChunkRead, DiskThread, DiskWorker, MeshBootstrapped
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
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import LEVEL

TICK = timedelta(milliseconds=15)
CALL_TIMEOUT = timedelta(milliseconds=900)


class RaftRunner:
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
    ) -> None:
        self.wanted_voters = wanted_voters
        self.disk = disk
        self.addresses = addresses
        self.timings = timings
        self.counters = counters
        self.runtime = runtime
        self.make_worker = make_worker
        self.level = level
        self.synced = 0
        self.waiting: list[tuple[int, tuple]] = []
        self.answers: dict[int, asyncio.Future] = {}
        self.tickets = 0
        self.tasks: set[asyncio.Task] = set()
        self.core: RaftCore | None = None
        self.founding: asyncio.Future | None = None
        self.ended = asyncio.Event()
        self.worker: DiskWorker | None = None
        self.loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        began = time.monotonic()
        boot = self.disk.boot()
        self.counters.gauge("checkpoint.load_milliseconds", (time.monotonic() - began) * 1000)
        for remark in self.disk.remarks:
            self.counters.record_event("disk remark", remark=remark)
        self.disk.remarks.clear()
        self.synced = 0
        self.core = self._core_of(boot)
        self.worker = self.make_worker(disk=self.disk, report=self._report, counters=self.counters)
        self._spawn(self._ticks())

    def _core_of(self, boot: Boot) -> RaftCore:
        return RaftCore(
            boot=boot,
            replicas=tuple(self.addresses),
            timings=self.timings,
            seed=self.runtime.random,
            now=self.runtime.now(),
            level=self.level,
            wanted_voters=self.wanted_voters,
        )

    def apply_settings(
        self, *, wanted_voters: int, replacement_timeout: timedelta, lag_wait: timedelta, seeds: tuple[int, ...]
    ) -> None:
        self.wanted_voters = wanted_voters
        self.timings = self.timings._replace(replacement_timeout=replacement_timeout, lag_wait=lag_wait)
        if self.core is not None:
            self.core.wanted_voters = wanted_voters
            self.core.timings = self.timings
            self.core.seeds = tuple(dict.fromkeys((*seeds, *self.core.seeds)))

    async def found(self, *, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> bool:
        """Called while nothing is founded: the core starts over from what founding wrote."""
        # Until the disk thread is done, nothing the unfounded core does may be written over the founding.
        self.founding = self.loop.create_future()
        self.worker.put(BootstrapMesh(mesh, voters, operators, level))
        boot = await self.founding
        self.founding = None
        if boot is None:
            return False
        self.core = self._core_of(boot)
        self.synced = 0
        self.waiting = []
        return True

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _report(self, event: tuple) -> None:
        self.loop.call_soon_threadsafe(self.feed, event)

    async def _ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            self.feed(Ticked())

    def feed(self, event: tuple) -> None:
        if self.founding is not None:
            if isinstance(event, MeshBootstrapped):
                self.founding.set_result(event.boot)
            return
        if isinstance(event, ChunkRead):
            self._settle(event.ticket, event.answer)
            return
        if isinstance(event, Synced):
            self.synced = max(self.synced, event.sequence)
        for command in self.core.handle(event, now=self.runtime.now()):
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
                self._settle(ticket, message)
            case Write() | Capture() | StoreChunk() | DropCheckpoints() | ReadChunk():
                self.worker.put(command)
            case ProposalResult(ticket=ticket) | ReadResult(ticket=ticket):
                self._settle(ticket, command)
            case Announce(kind=kind, detail=detail):
                self.counters.record_event(kind, **detail)
            case Ended():
                self.ended.set()

    def _settle(self, ticket: int, message: tuple) -> None:
        future = self.answers.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def _call(self, send: Send) -> None:
        self.counters.add(f"sends.{type(send.message).__name__}")
        match await self.runtime.rpc_client.call(self.addresses[send.replica], send.message, within=CALL_TIMEOUT):
            case Success(message):
                self.feed(AnswerArrived(send.number, send.replica, message))
            case result:
                self.counters.add("sends.mishaps")
                if result.failure().kind == ErrorKind.UNREACHABLE:
                    self.feed(CallRefused(send.replica))

    async def ask(self, make: Callable[[int], tuple]) -> tuple:
        """Feeds the event made for a fresh ticket and waits for what the core has to say to it."""
        self.tickets += 1
        future = self.answers[self.tickets] = self.loop.create_future()
        ticket = self.tickets
        self.feed(make(ticket))
        try:
            return await future
        finally:
            self.answers.pop(ticket, None)

    async def call(self, message: tuple) -> tuple:
        return await self.ask(lambda ticket: CallArrived(ticket, message))

    async def propose(self, payloads: tuple[bytes, ...]) -> ProposalResult:
        return await self.ask(lambda ticket: ProposalArrived(ticket, payloads))

    async def raise_level(self, level: int) -> ProposalResult:
        return await self.ask(lambda ticket: RaiseArrived(ticket, level))

    async def read(self) -> ReadResult:
        return await self.ask(lambda ticket: ReadArrived(ticket))

    async def stop(self, *, within: timedelta = timedelta()) -> None:
        """Ends the replica. Within the span it hands over what would hang on fewer disks without it."""
        self.feed(StopRequested(within))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), within.total_seconds())
        # The last words are on their way; they get a moment to leave, no more.
        await asyncio.sleep(milliseconds(100).total_seconds())
        for task in list(self.tasks):
            task.cancel()
        if self.worker.stop():
            self.disk.close()
        else:
            # Closing would wait on this loop for the call that hangs in the thread.
            self.counters.record_event("disk left open", why="it still hangs in a call")
