"""The simulated network and disks of the nodes, with injected faults.

The network loses, delays and duplicates messages and can be partitioned; a disk loses what was not synced.
"""

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
# Calls of these classes may be delivered twice: their receivers must detect duplicates.
_DUPLICABLE_CALLS = (FetchCall, FetchSnapshotCall, VoteCall, BeginEpochCall, BundleForwardCall, WriteCall)

# Disk faults: no job completes, or every job fails with ENOSPC.
DISK_STALLED, DISK_FULL = "stalled", "full"


class World:
    """The network between simulated processes and their disks, with the faults that the scenarios set.

    Attributes:
        listeners: by address, the process that listens there and its handler of calls.
        cuts: pairs (from, to) of process names between which no message is delivered.
        loss_probability: the probability that a call, or an answer, is lost.
        duplicate_probability: the probability that a call of a duplicable class is delivered twice.
        delay_probability: the probability that a message is delayed so long that later ones overtake it.
        on_call: a callback invoked with each call as it is sent.
        disk_faults: DISK_STALLED or DISK_FULL by the name of the process.
        sync_seconds: shortest and longest time that a sync of a disk takes.
    """

    def __init__(self, *, loop: SimulatedTimeLoop, seed: int, folder: Path) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.folder = folder
        self.listeners: dict[str, tuple[SimulatedProcess, Handler]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.01
        self.delay_probability = 0.01
        # A dict keeps the order of the calls: the iteration order of a set would differ from run to run.
        self.pending: dict[SimulatedProcess, dict[asyncio.Future, None]] = {}
        self.on_call: Callable[[SimulatedProcess, str, tuple], None] = lambda process, address, message: None
        self.disk_faults: dict[str, str] = {}
        self.sync_seconds = (0.0005, 0.004)

    def latency(self) -> float:
        """Draws the latency of one message in seconds."""
        # Most messages are fast; some are delayed so long that later ones overtake them.
        if self.random.random() < self.delay_probability:
            return self.random.uniform(0.02, 0.25)
        return self.random.uniform(0.0002, 0.002)

    def cut_off(self, sender: str, receiver: str) -> bool:
        """Returns whether messages from the sender to the receiver are dropped by a partition."""
        return (sender, receiver) in self.cuts

    def cut(self, one_side: list[str], other_side: list[str], *, one_way: bool = False) -> None:
        """Partitions two sides from each other or, with `one_way`, drops only messages from the first to the second."""
        for one in one_side:
            for other in other_side:
                if one != other:
                    self.cuts.add((one, other))
                    if not one_way:
                        self.cuts.add((other, one))

    def heal(self) -> None:
        """Ends all partitions."""
        self.cuts.clear()

    def kill(self, process: SimulatedProcess) -> None:
        """Kills a process; calls that wait for its answer fail as their connections break."""
        process.kill()
        for address in [address for address, (owner, _) in self.listeners.items() if owner is process]:
            del self.listeners[address]
        # The callers that wait for an answer see their connections break.
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
        """Sends a call; the future gets the answer or the error, and is never resolved if the call is lost.

        `rate`, in bytes per second, has an effect only where links have a bandwidth.
        """
        caller = process.context

        def settle(result) -> None:
            self.loop.call_later(self.latency(), self._settle, future, result, context=caller)

        listener = self.listeners.get(address)
        if listener is None:
            return settle(NO_CONNECTION)
        target, handler = listener
        if self.cut_off(process.name, target.name):
            # In half of the cases the connection was already established: then the bytes stay queued, and may arrive
            # after the partition.
            if self.random.random() < 0.5:
                wait = min(within * 0.98, CONNECT_TIMEOUT.total_seconds())
                self.loop.call_later(wait, self._settle, future, NO_CONNECTION, context=caller)
            else:
                self._deliver_after_heal(process, address, message, until=self.loop.time() + 4)
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

    def _deliver_after_heal(self, process: SimulatedProcess, address: str, message: tuple, *, until: float) -> None:
        listener = self.listeners.get(address)
        if listener is None or self.loop.time() > until:
            return
        target, handler = listener
        if self.cut_off(process.name, target.name):
            self.loop.call_later(0.05, lambda: self._deliver_after_heal(process, address, message, until=until))
            return
        self.loop.call_later(
            self.latency(), self._deliver, process, target, handler, message, None, context=target.context
        )

    def _deliver(
        self, caller: SimulatedProcess, target: SimulatedProcess, handler: Handler, message: tuple, settle
    ) -> None:
        async def handle() -> None:
            answer = await handler(message)
            # The answer is subject to partitions and losses of its own direction.
            if (
                settle is not None
                and answer is not None
                and not self.cut_off(target.name, caller.name)
                and self.random.random() >= self.loss_probability
            ):
                settle(Success(answer))

        target.spawn(handle())


class SimulatedRpcClient:
    """Sends the calls of one process to others."""

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
        """Makes a call and returns its answer, or an error of kind UNREACHABLE or SILENT.

        Args:
            address: the address at which the other process listens.
            message: the call.
            within: how long to wait for the answer.
            still: called once the connection is established; the call is dropped if it returns False.
            rate: the bytes per second at which the call is sent; 0 for no limit.
        """
        # Stands for establishing the connection, during which the process may be frozen.
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
        """Does nothing: a simulated client holds no open connections."""


class _SimulatedListener:
    """A listener with the `stop` of the rpc package's server."""

    def __init__(self, *, world: World, address: str) -> None:
        self.world = world
        self.address = address

    async def stop(self) -> None:
        self.world.listeners.pop(self.address, None)


class SimulatedRuntime:
    """The runtime that a node is given: time, random numbers, an RPC client and a listener."""

    def __init__(self, *, world: World, process: SimulatedProcess) -> None:
        self.world = world
        self.process = process
        self.random = random.Random(world.random.random())
        self.rpc_client = SimulatedRpcClient(world=world, process=process)

    def now(self) -> timedelta:
        """Returns the simulated time."""
        return self.world.loop.now()

    def token(self, size: int) -> str:
        """Returns `size` random bytes in hexadecimal."""
        return self.random.randbytes(size).hex()

    async def serve(self, address: str, handler: Handler) -> _SimulatedListener:
        """Listens for calls at an address until the process ends or the listener is stopped."""
        self.world.listeners[address] = (self.process, handler)
        return _SimulatedListener(world=self.world, address=address)


class SimulatedDiskWorker:
    """Runs the disk's jobs after simulated syncs. Jobs that a killed process had not synced are lost."""

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
        """Queues a job; it is run at the end of the next sync that begins."""
        self.waiting.append(job)
        if not self.busy:
            self._begin_sync()

    def _begin_sync(self) -> None:
        self.busy = True
        self.jobs_in_sync = len(self.waiting)
        self.world.loop.call_later(
            self.world.random.uniform(*self.world.sync_seconds), self._end_sync, context=self.process.context
        )

    def _end_sync(self) -> None:
        fault = self.world.disk_faults.get(self.process.name, "")
        if fault == DISK_STALLED:
            self.world.loop.call_later(0.05, self._end_sync, context=self.process.context)
            return
        # A sync covers only the jobs that were queued when it began.
        batch = deque(self.waiting.popleft() for _ in range(min(self.jobs_in_sync, len(self.waiting))))
        while batch:
            try:
                if fault == DISK_FULL:
                    raise OSError(28, "no space left on device (simulated)")
                report = self.jobs.do_next(batch)
            except (OSError, sqlite3.Error):
                self.waiting.extendleft(reversed(batch))
                self.jobs_in_sync = len(self.waiting)
                self.world.loop.call_later(DISK_RETRY.total_seconds(), self._end_sync, context=self.process.context)
                return
            if report is not None:
                self.report(report)
        self.busy = False
        if self.waiting:
            self._begin_sync()

    def stop(self) -> bool:
        """Drops all queued jobs."""
        self.waiting.clear()
        return True


def wipe(folder: Path) -> None:
    """Removes a folder and its contents."""
    shutil.rmtree(folder, ignore_errors=True)
