"""The store: one ledger replica behind its mesh address."""

import asyncio
import errno
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec
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
from hoistsaddle.rpc.messages import (
    UNSET,
    BeginEpochCall,
    BootstrapAnswer,
    BootstrapCall,
    EndEpochCall,
    FetchCall,
    FetchSnapshotCall,
    RaiseLevelAnswer,
    RaiseLevelCall,
    ReadAnswer,
    ReadCall,
    StatusAnswer,
    StatusCall,
    VoteCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import RealRuntime, Runtime
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import pack_outcome
from hoistsaddle.statemachine.reports import holds_report, items_report, operators_report, state_report
from hoistsaddle.statemachine.state import State

# Of the grace: closing the files and the doors needs the rest, on a slow processor too.
HAND_OVER_SHARE = 0.5
# Between two tries to start on a disk that refuses.
PASSING_ERRORS = (errno.EIO, errno.ENOSPC)
START_PAUSE_LEAST = milliseconds(100)
START_PAUSE_MOST = timedelta(seconds=1)


def timings_of(settings: StoreSettings) -> RaftTimings:
    return RaftTimings(
        checkpoint_records=settings.checkpoint_records,
        chunk_bytes=settings.chunk_bytes,
        lag_wait=timedelta(seconds=settings.lag_wait_seconds),
        disk_stall_timeout=timedelta(seconds=settings.disk_stall_seconds),
    )


class Store:
    """One ledger replica and what it answers."""

    def __init__(
        self,
        *,
        settings: StoreSettings,
        runtime: Runtime,
        disk: Disk,
        make_worker: Callable[..., DiskWorker] = DiskThread,
        addresses: dict[int, str] | None = None,
        timings: RaftTimings | None = None,
        wanted_voters: int = 0,
    ) -> None:
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
            wanted_voters=wanted_voters,
        )
        # Of the newest news, so that a read costs no digests while nothing changes.
        self.expected_digests: tuple[int, tuple[int, ...]] = (UNSET, ())

    async def _start_runner(self) -> None:
        """Starts the replica once its disk can be read: one that is full lets go again, and the votes on it remain."""
        pause = ExponentialBackoff(least=START_PAUSE_LEAST, most=START_PAUSE_MOST)
        while True:
            try:
                return self.runner.start()
            except OSError as problem:
                if problem.errno not in PASSING_ERRORS:
                    raise
                if not pause.failing:
                    self.counters.record_event(
                        "disk refuses the start", why=str(problem), remedy="Make room, or mend it."
                    )
                self.counters.add("disk.starts_refused")
                pause.failed(now=self.runtime.now())
                await asyncio.sleep(pause.span.total_seconds())

    async def start(self) -> None:
        await self._start_runner()
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        self.counters.record_event(
            "store up",
            replica=self.settings.replica,
            incarnation=self.runner.core.incarnation,
            mesh=self.runner.core.mesh,
        )

    async def stop(self) -> None:
        await self.runner.stop(within=timedelta(seconds=self.settings.grace_seconds * HAND_OVER_SHARE))
        await self.server.stop()
        self.runtime.rpc_client.close()

    async def answer(self, message: tuple) -> tuple | None:
        self.counters.add(f"calls.{type(message).__name__}")
        match message:
            case FetchCall() | FetchSnapshotCall() | VoteCall() | BeginEpochCall() | EndEpochCall():
                return await self.runner.call(message)
            case WriteCall(payloads=payloads):
                concluded = await self.runner.propose(payloads)
                return WriteAnswer(
                    concluded.error,
                    concluded.leader,
                    tuple(pack_outcome(outcome) for outcome in concluded.outcomes),
                    concluded.offset,
                )
            case ReadCall(part=part, known_revision=known):
                ready = await self.runner.read()
                if ready.error:
                    return ReadAnswer(ready.error, ready.leader)
                return self._read(part, known, ready.leader, ready.state)
            case RaiseLevelCall(level=level):
                concluded = await self.runner.raise_level(level)
                return RaiseLevelAnswer(concluded.error, "")
            case StatusCall(after=after):
                return self._status(after)
            case BootstrapCall():
                return await self._found(message)
        return None

    def _read(self, part: str, known: int, leader: int, state: State) -> ReadAnswer:
        content = b""
        digests: tuple[int, ...] = ()
        if part == "news":
            if self.expected_digests[0] != state.data_plane_revision:
                self.expected_digests = (state.data_plane_revision, digests_of(data_plane_items(state)))
            digests = self.expected_digests[1]
        if part == "news" and state.data_plane_revision > known:
            content = msgspec.msgpack.encode([state.mesh, data_plane_items(state)])
        elif part == "setup":
            content = msgspec.json.encode(state_report(state))
        elif part == "operators":
            content = msgspec.json.encode(dict(state.operators))
        elif part == "changes":
            content = msgspec.json.encode(operators_report(state))
        elif part == "standing":
            content = msgspec.json.encode(items_report(state))
        elif part == "items":
            content = msgspec.msgpack.encode(
                [
                    (*key.split(":", 1), entry.revision, entry.source)
                    for key, entry in sorted(state.items.items())
                    if not entry.dropped
                ]
            )
        elif part == "holds":
            content = msgspec.json.encode(holds_report(state))
        return ReadAnswer("", leader, state.data_plane_revision, state.offset, content, digests, state.epoch)

    def _status(self, after: int) -> StatusAnswer:
        core = self.runner.core
        self.counters.gauge("ledger.epoch", core.epoch)
        self.counters.gauge("ledger.last_offset", core.last.offset)
        self.counters.gauge("ledger.high_watermark", core.high_watermark)
        self.counters.gauge("ledger.begin_offset", core.begin_offset)
        self.counters.gauge("ledger.holds", len(core.state.holds))
        # A vote that only an open change gives counts for nothing yet: with a majority gone it never may.
        votes = core.is_voter() and core.state.voters.get(core.replica) == core.incarnation
        role = core.role if votes else "observer"
        if not core.complete:
            role = "catching up" if core.mesh or core.fetching_snapshot else "blank"
        if core.halted:
            role = "halted"
        return StatusAnswer(
            core.mesh,
            core.replica,
            core.incarnation,
            core.epoch,
            core.leader if core.leader is not None else UNSET,
            role,
            core.last.offset,
            core.high_watermark,
            core.begin_offset,
            msgspec.json.encode(self.counters.read()),
            msgspec.json.encode(self.counters.events(after=after)),
            core.level,
            core.halted,
            core.now - core.unsynced[0][2] if core.unsynced else timedelta(),
        )

    async def _found(self, call: BootstrapCall) -> BootstrapAnswer:
        core = self.runner.core
        if core.mesh:
            # The same founding repeated is no error; another one is.
            error = "" if core.mesh == call.mesh else str(ErrorKind.ALREADY_FOUNDED)
            return BootstrapAnswer(error, core.mesh, core.incarnation)
        if call.voters.get(core.replica) != core.incarnation:
            return BootstrapAnswer(str(ErrorKind.WRONG_MESH), core.mesh, core.incarnation)
        if not await self.runner.found(
            mesh=call.mesh, voters=call.voters, operators=call.operators, level=min(call.level, core.level)
        ):
            return BootstrapAnswer(str(ErrorKind.DISK), "", core.incarnation)
        self.counters.record_event("founded", mesh=call.mesh)
        return BootstrapAnswer("", call.mesh, core.incarnation)


class StoreService(Service):
    def __init__(self, *, settings: StoreSettings) -> None:
        super().__init__()
        self.store_settings = settings

    async def start(self) -> None:
        settings = self.store_settings
        self.node = Store(
            settings=settings,
            runtime=RealRuntime(line_faults=settings.line_faults),
            disk=Disk(folder=Path(settings.data_folder), replica=settings.replica),
        )
        await self.node.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.node.stop()
