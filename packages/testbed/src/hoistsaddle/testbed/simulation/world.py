"""The simulated world around the nodes: a network that loses, delays, repeats and is cut, and disks that forget."""

import asyncio
import random
import shutil
import sqlite3
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from returns.result import Failure, Result, Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import DISK_RETRY, DiskJobs
from hoistsaddle.rpc.client import CONNECT_TIMEOUT
from hoistsaddle.rpc.messages import (
    BeginEpochCall,
    BundleForwardCall,
    FetchCall,
    FetchSnapshotCall,
    VoteCall,
    WriteCall,
)
from hoistsaddle.rpc.server import Handler
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess, SimulatedTimeLoop

NO_CONNECTION = Failure(MeshError(ErrorKind.UNREACHABLE, "no connection", "simulated"))
NO_ANSWER = Failure(MeshError(ErrorKind.SILENT, "no answer", "simulated"))
# These may reach their target twice: their receivers claim to know a copy when they see one.
_DUPLICABLE_CALLS = (FetchCall, FetchSnapshotCall, VoteCall, BeginEpochCall, BundleForwardCall, WriteCall)


# How a disk may fail: it does nothing, or has no room for more.
DISK_STALLED, DISK_FULL = "stalled", "full"


class World:
    """The network between simulated processes and the disks below them, as scenarios set them.

    Attributes:
        listeners: who listens at an address, and the handler of calls.
        cuts: pairs (from, to) of process names between which nothing passes.
        loss_probability: how often a call, or an answer, never arrives.
        duplicate_probability: how often a call that may arrive twice does.
        delay_probability: how often a message takes long enough to arrive after later ones.
        on_call: told of each call as it is sent.
        disk_faults: DISK_STALLED or DISK_FULL by the name of the process.
        sync_seconds: shortest and longest time that a sync of a disk takes.
    """

    def __init__(self, *, loop: SimulatedTimeLoop, seed: int, folder: Path) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.folder = folder
        self.listeners: dict[str, tuple[SimulatedProcess, Handler]] = {}
        # Pairs (from, to) of process names between which nothing passes.
        self.cuts: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.01
        self.delay_probability = 0.01
        # In the order of their calls: a set of futures would be walked in a random one.
        self.pending: dict[SimulatedProcess, dict[asyncio.Future, None]] = {}
        self.on_call: Callable[[SimulatedProcess, str, tuple], None] = lambda process, address, message: None
        self.disk_faults: dict[str, str] = {}
        self.sync_seconds = (0.0005, 0.004)

    def latency(self) -> float:
        """Draws how many seconds one message is under way."""
        # Mostly fast; now and then a message takes long enough to arrive after later ones.
        if self.random.random() < self.delay_probability:
            return self.random.uniform(0.02, 0.25)
        return self.random.uniform(0.0002, 0.002)

    def cut_off(self, sender: str, receiver: str) -> bool:
        """Whether messages from the sender to the receiver are cut off."""
        return (sender, receiver) in self.cuts

    def cut(self, one_side: list[str], other_side: list[str], *, one_way: bool = False) -> None:
        """From now on nothing passes between two sides, or, one way, nothing from the first to the second."""
        for one in one_side:
            for other in other_side:
                if one != other:
                    self.cuts.add((one, other))
                    if not one_way:
                        self.cuts.add((other, one))

    def heal(self) -> None:
        """Everything passes again."""
        self.cuts.clear()

    def kill(self, process: SimulatedProcess) -> None:
        """Ends a process; whoever waits for its answer sees the connection break."""
        process.kill()
        for address in [address for address, (owner, _) in self.listeners.items() if owner is process]:
            del self.listeners[address]
        # Whoever waited for an answer sees its connection break.
        for future in self.pending.pop(process, {}):
            self.loop.call_later(self.latency(), self._settle, future, NO_ANSWER)

    @staticmethod
    def _settle(future: asyncio.Future, result) -> None:
        if not future.done():
            future.set_result(result)

    def start_call(
        self,
        process: SimulatedProcess,
        address: str,
        message: tuple,
        future: asyncio.Future,
        within: float,
        *,
        rate: int = 0,
    ) -> None:
        """Takes a call under way; the future gets the answer or the error, or nothing if the call is lost.

        `rate`, the bytes a second at which it is sent, counts only where links have a bandwidth.
        """
        caller = process.context

        def settle(result) -> None:
            self.loop.call_later(self.latency(), self._settle, future, result, context=caller)

        listener = self.listeners.get(address)
        if listener is None:
            return settle(NO_CONNECTION)
        target, handler = listener
        if self.cut_off(process.name, target.name):
            # Half the time the connection stood already: then the bytes wait, and may arrive once the cut heals.
            if self.random.random() < 0.5:
                wait = min(within * 0.98, CONNECT_TIMEOUT.total_seconds())
                self.loop.call_later(wait, self._settle, future, NO_CONNECTION, context=caller)
            else:
                self._arrive_late(process, address, message, until=self.loop.time() + 4)
            return None
        if self.random.random() < self.loss_probability:
            return None
        self.pending.setdefault(target, {})[future] = None
        future.add_done_callback(lambda done: self.pending.get(target, {}).pop(done, None))
        copies = (
            2 if isinstance(message, _DUPLICABLE_CALLS) and self.random.random() < self.duplicate_probability else 1
        )
        for copy in range(copies):
            self.loop.call_later(
                self.latency() * (1 + copy * 5),
                self._deliver,
                process,
                target,
                handler,
                message,
                settle if copy == 0 else None,
                context=target.context,
            )

    def _arrive_late(self, process: SimulatedProcess, address: str, message: tuple, *, until: float) -> None:
        listener = self.listeners.get(address)
        if listener is None or self.loop.time() > until:
            return
        target, handler = listener
        if self.cut_off(process.name, target.name):
            self.loop.call_later(0.05, lambda: self._arrive_late(process, address, message, until=until))
            return
        self.loop.call_later(
            self.latency(), self._deliver, process, target, handler, message, None, context=target.context
        )

    def _deliver(
        self, caller: SimulatedProcess, target: SimulatedProcess, handler: Handler, message: tuple, settle
    ) -> None:
        async def carry() -> None:
            answer = await handler(message)
            # The way back has cuts and losses of its own.
            if (
                settle is not None
                and answer is not None
                and not self.cut_off(target.name, caller.name)
                and self.random.random() >= self.loss_probability
            ):
                settle(Success(answer))

        target.spawn(carry())


class SimulatedRpcClient:
    """The calls of one process to others."""

    def __init__(self, *, world: World, process: SimulatedProcess) -> None:
        self.world = world
        self.process = process

    async def call(
        self,
        address: str,
        message: tuple,
        *,
        within: timedelta,
        still: Callable[[], bool] = lambda: True,
        rate: int = 0,
    ) -> Result[tuple, MeshError]:
        """Makes a call and gives its answer, or UNREACHABLE or SILENT.

        Args:
            address: where the other process listens.
            message: the call.
            within: how long to wait for the answer.
            still: whether the call is still wanted once there is a connection.
            rate: bytes a second at which it is sent; 0 for all at once.
        """
        # A connection may have to be made first, and a freeze may fall right there.
        await asyncio.sleep(self.world.latency())
        if not still():
            return NO_CONNECTION
        self.world.on_call(self.process, address, message)
        future = self.world.loop.create_future()
        self.world.start_call(self.process, address, message, future, within.total_seconds(), rate=rate)
        try:
            async with asyncio.timeout(within.total_seconds()):
                return await future
        except TimeoutError:
            return NO_ANSWER

    def close(self) -> None:
        """Nothing is open that would have to be closed."""


class _Serving:
    """A listener that can be stopped, as the rpc package's server can."""

    def __init__(self, *, world: World, address: str) -> None:
        self.world = world
        self.address = address

    async def stop(self) -> None:
        self.world.listeners.pop(self.address, None)


class SimulatedRuntime:
    """What a node gets from its surroundings: time, random numbers, calls and a listener."""

    def __init__(self, *, world: World, process: SimulatedProcess) -> None:
        self.world = world
        self.process = process
        self.random = random.Random(world.random.random())
        self.rpc_client = SimulatedRpcClient(world=world, process=process)

    def now(self) -> timedelta:
        """Simulated time."""
        return self.world.loop.now()

    def token(self, size: int) -> str:
        """So many random bytes in hexadecimal."""
        return self.random.randbytes(size).hex()

    async def serve(self, address: str, handler: Handler) -> _Serving:
        """Listens for calls at an address until the process ends or the listener is stopped."""
        self.world.listeners[address] = (self.process, handler)
        return _Serving(world=self.world, address=address)


class SimulatedDiskWorker:
    """Does the disk's jobs after simulated syncs. What a killed process had not synced is lost."""

    def __init__(
        self,
        *,
        disk: Disk,
        report: Callable[[tuple], None],
        counters: Counters,
        world: World,
        process: SimulatedProcess,
    ) -> None:
        self.jobs = DiskJobs(disk=disk, counters=counters)
        self.report = report
        self.world = world
        self.process = process
        self.waiting: deque = deque()
        self.busy = False

    def put(self, job: tuple) -> None:
        """Queues a job; it is done after the next sync that begins."""
        self.waiting.append(job)
        if not self.busy:
            self._begin()

    def _begin(self) -> None:
        self.busy = True
        self.taken = len(self.waiting)
        self.world.loop.call_later(
            self.world.random.uniform(*self.world.sync_seconds), self._end, context=self.process.context
        )

    def _end(self) -> None:
        fault = self.world.disk_faults.get(self.process.name, "")
        if fault == DISK_STALLED:
            self.world.loop.call_later(0.05, self._end, context=self.process.context)
            return
        # Only what was queued when the sync began is in it.
        batch = deque(self.waiting.popleft() for _ in range(min(self.taken, len(self.waiting))))
        while batch:
            try:
                if fault == DISK_FULL:
                    raise OSError(28, "no space left on device (simulated)")
                report = self.jobs.do_next(batch)
            except (OSError, sqlite3.Error):
                self.waiting.extendleft(reversed(batch))
                self.taken = len(self.waiting)
                self.world.loop.call_later(DISK_RETRY.total_seconds(), self._end, context=self.process.context)
                return
            if report is not None:
                self.report(report)
        self.busy = False
        if self.waiting:
            self._begin()

    def stop(self) -> bool:
        """Gives up all jobs that wait."""
        self.waiting.clear()
        return True


def wipe(folder: Path) -> None:
    """Removes a folder with all that is in it."""
    shutil.rmtree(folder, ignore_errors=True)
