"""The store: one ledger replica behind its mesh address."""

import asyncio
import errno
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec
from aiomisc import Service

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MishapKind
from hoistsaddle.common.pause import GrowingPause
from hoistsaddle.common.settings import StoreParams
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Pace
from hoistsaddle.raft.jobs import DiskThread, DiskWorker
from hoistsaddle.raft.shell import RaftShell
from hoistsaddle.rpc.messages import (
    UNSET,
    BallotCall,
    FetchCall,
    FoundAnswer,
    FoundCall,
    LeadCall,
    LookAnswer,
    LookCall,
    PullCall,
    RaiseAnswer,
    RaiseCall,
    ReadAnswer,
    ReadCall,
    ResignCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import RealRuntime, Runtime
from hoistsaddle.statemachine.commands import LEVEL, pack_outcome
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.readback import holds_of, items_of, people_of, read_back
from hoistsaddle.statemachine.state import State, news_of

# Of the grace: closing the files and the doors needs the rest, on a slow processor too.
HAND_OVER_SHARE = 0.5
# Between two tries to start on a disk that refuses.
PASSING_ERRORS = (errno.EIO, errno.ENOSPC)
START_PAUSE_LEAST = milliseconds(100)
START_PAUSE_MOST = timedelta(seconds=1)


def pace_of(params: StoreParams) -> Pace:
    return Pace(
        checkpoint_records=params.checkpoint_records,
        chunk_bytes=params.chunk_bytes,
        lag_wait=timedelta(seconds=params.lag_wait_seconds),
        disk_stall=timedelta(seconds=params.disk_stall_seconds),
    )


class Store:
    """One ledger replica and what it answers."""

    def __init__(
        self,
        *,
        params: StoreParams,
        runtime: Runtime,
        disk: Disk,
        make_worker: Callable[..., DiskWorker] = DiskThread,
        addresses: dict[int, str] | None = None,
        pace: Pace | None = None,
        wanted_voters: int = 0,
    ) -> None:
        self.params = params
        self.runtime = runtime
        self.counters = Counters(owner=f"warehouse-{params.replica}")
        if addresses is None:
            addresses = {machine.replica: machine.warehouse for machine in params.core}
        self.shell = RaftShell(
            disk=disk,
            addresses=addresses,
            pace=pace or pace_of(params),
            counters=self.counters,
            runtime=runtime,
            make_worker=make_worker,
            level=params.release_level or LEVEL,
            wanted_voters=wanted_voters,
        )
        # Of the newest news, so that a read costs no digests while nothing changes.
        self.vouched: tuple[int, tuple[int, ...]] = (UNSET, ())

    async def _start_shell(self) -> None:
        """Starts the replica once its disk can be read: one that is full lets go again, and the votes on it remain."""
        pause = GrowingPause(least=START_PAUSE_LEAST, most=START_PAUSE_MOST)
        while True:
            try:
                return self.shell.start()
            except OSError as problem:
                if problem.errno not in PASSING_ERRORS:
                    raise
                if not pause.failing:
                    self.counters.happen("disk refuses the start", why=str(problem), remedy="Make room, or mend it.")
                self.counters.add("disk.starts_refused")
                pause.failed(now=self.runtime.now())
                await asyncio.sleep(pause.span.total_seconds())

    async def start(self) -> None:
        await self._start_shell()
        self.server = await self.runtime.serve(self.params.listen, self.answer)
        self.counters.happen(
            "warehouse up",
            replica=self.params.replica,
            incarnation=self.shell.core.incarnation,
            mesh=self.shell.core.mesh,
        )

    async def stop(self) -> None:
        await self.shell.stop(within=timedelta(seconds=self.params.grace_seconds * HAND_OVER_SHARE))
        await self.server.stop()
        self.runtime.lines.close()

    async def answer(self, message: tuple) -> tuple | None:
        self.counters.add(f"calls.{type(message).__name__}")
        match message:
            case FetchCall() | PullCall() | BallotCall() | LeadCall() | ResignCall():
                return await self.shell.call(message)
            case WriteCall(payloads=payloads):
                concluded = await self.shell.propose(payloads)
                return WriteAnswer(
                    concluded.mishap,
                    concluded.leader,
                    tuple(pack_outcome(outcome) for outcome in concluded.outcomes),
                    concluded.offset,
                )
            case ReadCall(part=part, known_revision=known):
                ready = await self.shell.read()
                if ready.mishap:
                    return ReadAnswer(ready.mishap, ready.leader)
                return self._read(part, known, ready.leader, ready.state)
            case RaiseCall(level=level):
                concluded = await self.shell.raise_level(level)
                return RaiseAnswer(concluded.mishap, "")
            case LookCall(after=after):
                return self._look(after)
            case FoundCall():
                return await self._found(message)
        return None

    def _read(self, part: str, known: int, leader: int, state: State) -> ReadAnswer:
        content = b""
        digests: tuple[int, ...] = ()
        if part == "news":
            if self.vouched[0] != state.news:
                self.vouched = (state.news, digests_of(news_of(state)))
            digests = self.vouched[1]
        if part == "news" and state.news > known:
            content = msgspec.msgpack.encode([state.mesh, news_of(state)])
        elif part == "setup":
            content = msgspec.json.encode(read_back(state))
        elif part == "operators":
            content = msgspec.json.encode(dict(state.operators))
        elif part == "changes":
            content = msgspec.json.encode(people_of(state))
        elif part == "standing":
            content = msgspec.json.encode(items_of(state))
        elif part == "items":
            content = msgspec.msgpack.encode(
                [
                    (*key.split(":", 1), entry.revision, entry.said)
                    for key, entry in sorted(state.items.items())
                    if not entry.dropped
                ]
            )
        elif part == "holds":
            content = msgspec.json.encode(holds_of(state))
        return ReadAnswer("", leader, state.news, state.offset, content, digests, state.epoch)

    def _look(self, after: int) -> LookAnswer:
        core = self.shell.core
        self.counters.gauge("ledger.epoch", core.epoch)
        self.counters.gauge("ledger.last_offset", core.last.offset)
        self.counters.gauge("ledger.high_watermark", core.high_watermark)
        self.counters.gauge("ledger.begin_offset", core.begin_offset)
        self.counters.gauge("ledger.holds", len(core.state.holds))
        # A vote that only an open change gives counts for nothing yet: with a majority gone it never may.
        votes = core.is_voter() and core.state.voters.get(core.replica) == core.incarnation
        standing = core.standing if votes else "observer"
        if not core.whole:
            standing = "catching up" if core.mesh or core.pulling else "blank"
        if core.halted:
            standing = "halted"
        return LookAnswer(
            core.mesh,
            core.replica,
            core.incarnation,
            core.epoch,
            core.leader if core.leader is not None else UNSET,
            standing,
            core.last.offset,
            core.high_watermark,
            core.begin_offset,
            msgspec.json.encode(self.counters.read()),
            msgspec.json.encode(self.counters.happenings(after=after)),
            core.level,
            core.halted,
            core.now - core.unsynced[0][2] if core.unsynced else timedelta(),
        )

    async def _found(self, call: FoundCall) -> FoundAnswer:
        core = self.shell.core
        if core.mesh:
            # The same founding repeated is no mishap; another one is.
            mishap = "" if core.mesh == call.mesh else str(MishapKind.ALREADY_FOUNDED)
            return FoundAnswer(mishap, core.mesh, core.incarnation)
        if call.voters.get(core.replica) != core.incarnation:
            return FoundAnswer(str(MishapKind.WRONG_MESH), core.mesh, core.incarnation)
        if not await self.shell.found(
            mesh=call.mesh, voters=call.voters, operators=call.operators, level=min(call.level, core.level)
        ):
            return FoundAnswer(str(MishapKind.DISK), "", core.incarnation)
        self.counters.happen("founded", mesh=call.mesh)
        return FoundAnswer("", call.mesh, core.incarnation)


class StoreService(Service):
    def __init__(self, *, params: StoreParams) -> None:
        super().__init__()
        self.warehouse_params = params

    async def start(self) -> None:
        params = self.warehouse_params
        self.node = Store(
            params=params,
            runtime=RealRuntime(line_faults=params.line_faults),
            disk=Disk(folder=Path(params.data_folder), replica=params.replica),
        )
        await self.node.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.node.stop()
