"""Data folders that release 9c419a2 left on disk: this release reads them, writes the same bytes and continues in them.

fixtures/release-9c419a2/made.txt says how the folders were made. The JSON file beside each folder records what that
release read back from it, in encoded form, so that no name of a class or an attribute is part of the comparison.
"""

import asyncio
import contextlib
import hashlib
import json
import random
import shutil
import sqlite3
import tempfile
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.config.items import SERVICE, ItemUpsert, Patch, pack_patch
from hoistsaddle.raft.checkpoint import checkpoint_file_name, pack_checkpoint
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import DiskJobs
from hoistsaddle.raft.events import Boot, RaftTimings
from hoistsaddle.raft.runner import TICK, RaftRunner
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import LEVEL, ClaimKey, CompleteKey, Outcome, PatchItems
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import COMMANDS, pack_command, unpack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

FIXTURES = Path(__file__).parent / "fixtures" / "release-9c419a2"
CONTROLLERS = ("controller", "checkpointed", "first-level")
FOLDERS = (*CONTROLLERS, "voters")
INCARNATION = "0123456789abcdef"
# Limit in simulated time.
MAX_SECONDS = 30.0
Write = Callable[[Any], Awaitable[Outcome]]
# Parts that a state has from release level 4 on; the checkpoint of the folder "checkpointed" is of that level.
NEWEST_PARTS = {"memories", "refusals"}


def recorded(name: str) -> dict[str, Any]:
    """What the former release read back from a folder."""
    return json.loads((FIXTURES / f"{name}.json").read_text())


def to_plain(value: Any) -> Any:
    """Encoded values as JSON has them: bytes in hexadecimal, keys as text."""
    match value:
        case bytes():
            return value.hex()
        case dict():
            return {key.hex() if isinstance(key, bytes) else str(key): to_plain(each) for key, each in value.items()}
        case list() | tuple():
            return [to_plain(each) for each in value]
    return value


def content_of(state: State) -> dict[str, Any]:
    """A state as it is encoded, and the items of it that are distributed to the data plane."""
    packed = pack_state(state)
    distributed = data_plane_items(state)
    return {
        "sha256": hashlib.sha256(packed).hexdigest(),
        "parts": to_plain(msgspec.msgpack.decode(packed)),
        "distributed": {
            key: [offset, hashlib.sha256(value).hexdigest()] for key, (offset, value) in distributed.items()
        },
        "distributed_digests": list(digests_of(distributed)),
    }


def replay(boot: Boot) -> tuple[State, list[list]]:
    """The state after the whole log is applied, and a list of each record's offset followed by its outcome."""
    state, outcomes = boot.state, []
    for record in boot.records:
        if record.offset > state.offset:
            state, outcome = apply(
                state, offset=record.offset, epoch=record.epoch, stamp=record.stamp, payload=record.payload
            )
            outcomes.append([record.offset, *to_plain(outcome)])
    return state, outcomes


def layout_of(folder: Path) -> dict[str, list]:
    """The files of the folder, the SQL of the database's tables, and the names of the stored facts."""
    files = sorted(path.name for path in folder.iterdir() if path.is_file())
    with contextlib.closing(sqlite3.connect(folder / files[0])) as connection:
        tables = connection.execute("SELECT sql FROM sqlite_master WHERE type = 'table' ORDER BY name").fetchall()
        facts = connection.execute("SELECT name FROM facts ORDER BY name").fetchall()
    return {"files": files, "tables": tables, "facts": facts}


class FolderCase(TestCase):
    """Works on copies of the former release's folders, so that the fixture stays unchanged."""

    def copy(self, name: str) -> Path:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        return Path(shutil.copytree(FIXTURES / name, Path(temporary.name) / name))

    def boot(self, name: str) -> Boot:
        disk = Disk(folder=self.copy(name), replica=recorded(name)["replica"])
        self.addCleanup(disk.close)
        boot = disk.boot()
        self.assertThat(disk.remarks, Equals([]))
        return boot


class Reading(FolderCase):
    def test_identity_vote_and_voters_are_read_as_they_were_left(self) -> None:
        for name in FOLDERS:
            boot, former = self.boot(name), recorded(name)
            read = {
                "replica": boot.replica,
                "incarnation": boot.incarnation,
                "epoch": boot.epoch,
                "vote": boot.vote,
                "voters": boot.voters,
                "mesh": boot.mesh,
                "begin": boot.begin,
                "checkpoint": boot.checkpoint,
                "committed": boot.committed,
            }
            self.assertThat(to_plain(read), Equals({key: former[key] for key in read}), name)
            self.assertThat(boot.catching, Equals(False), name)

    def test_every_record_of_the_log_is_there(self) -> None:
        for name in FOLDERS:
            rows = [
                [
                    record.offset,
                    record.epoch,
                    to_microseconds(record.stamp),
                    msgspec.msgpack.decode(record.payload)[0],
                    hashlib.sha256(record.payload).hexdigest(),
                ]
                for record in self.boot(name).records
            ]
            self.assertThat(rows, Equals(recorded(name)["records"]), name)

    def test_each_checkpoint_holds_the_former_releases_state(self) -> None:
        for name in FOLDERS:
            self.assertThat(content_of(self.boot(name).state), Equals(recorded(name)["checkpoint_state"]), name)
        # Otherwise no checkpoint of the newest level would be covered here.
        self.assertThat(NEWEST_PARTS - set(recorded("checkpointed")["checkpoint_state"]["parts"]), Equals(set()))

    def test_every_record_has_the_former_releases_outcome_and_state(self) -> None:
        for name in FOLDERS:
            state, outcomes = replay(self.boot(name))
            former = recorded(name)
            self.assertThat(outcomes, Equals(former["outcomes"]), name)
            self.assertThat(content_of(state), Equals(former["last_state"]), name)
        self.assertThat(replay(self.boot("controller"))[0], Equals(replay(self.boot("checkpointed"))[0]))


class Writing(FolderCase):
    def test_every_kind_of_command_is_encoded_in_the_same_bytes(self) -> None:
        seen = set()
        for name in FOLDERS:
            for record in self.boot(name).records:
                command = unpack_command(record.payload)
                seen.add(msgspec.msgpack.decode(record.payload)[0])
                self.assertThat(pack_command(command), Equals(record.payload), f"{name} {record.offset}")
        self.assertThat(seen, Equals(set(COMMANDS)))

    def test_every_checkpoint_is_written_in_the_same_bytes_under_the_same_name(self) -> None:
        for name in FOLDERS:
            boot = self.boot(name)
            data = pack_checkpoint(checkpoint_id=boot.checkpoint, state=boot.state)
            self.assertThat(
                {checkpoint_file_name(boot.checkpoint): hashlib.sha256(data).hexdigest()},
                Equals(recorded(name)["checkpoint_files"]),
                name,
            )

    def test_a_state_that_was_read_is_the_state_that_was_packed(self) -> None:
        for name in FOLDERS:
            state, _ = replay(self.boot(name))
            self.assertThat(unpack_state(pack_state(state)), Equals(state), name)


class ImmediateDiskWorker:
    """Does the disk's jobs on the event loop, as simulated time would run ahead of a separate thread."""

    def __init__(self, *, disk: Disk, report: Callable[[tuple], None], counters: Counters) -> None:
        self.jobs = DiskJobs(disk=disk, counters=counters)
        self.report = report
        self.waiting: deque[tuple] = deque()

    def put(self, job: tuple) -> None:
        self.waiting.append(job)
        asyncio.get_running_loop().call_soon(self._work)

    def _work(self) -> None:
        if self.waiting and (report := self.jobs.do_next(self.waiting)) is not None:
            self.report(report)

    def stop(self) -> bool:
        while self.waiting:
            self.jobs.do_next(self.waiting)
        return True


class GoingOn(FolderCase):
    """A folder's only voter becomes leader, writes, takes a checkpoint, stops, and is started once more."""

    def run_replica(self, folder: Path, work: Callable[[RaftRunner, Write], Awaitable[State]]) -> State:
        """Starts the replica in simulated time; once it leads, calls `work` with it and a function to write to it."""
        loop = SimulatedTimeLoop()
        runner = RaftRunner(
            disk=Disk(folder=folder, replica=1),
            addresses={1: "at-1"},
            timings=RaftTimings(checkpoint_records=4),
            counters=Counters(owner="former"),
            runtime=SimpleNamespace(now=loop.now, random=random.Random(1), rpc_client=None),
            make_worker=ImmediateDiskWorker,
        )

        async def write(command: Any) -> Outcome:
            result = await runner.propose((pack_command(command),))
            self.assertThat(result.error, Equals(""))
            return result.outcomes[0]

        async def run() -> State:
            runner.start()
            while runner.core.role != "leader":
                await asyncio.sleep(TICK.total_seconds())
            # A read is answered once all that was committed before is applied.
            self.assertThat((await runner.read()).error, Equals(""))
            try:
                return await work(runner, write)
            finally:
                await runner.stop()

        async def run_in_time() -> State:
            # A replica that can't apply its log never answers, so the run has a time limit.
            async with asyncio.timeout(MAX_SECONDS):
                return await run()

        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(run_in_time())
        finally:
            loop.close()
            asyncio.set_event_loop(None)

    def test_replica_writes_more_and_restarts(self) -> None:
        for name in CONTROLLERS:
            folder, former = self.copy(name), recorded(name)
            layout = layout_of(folder)
            before = former["last_state"]["parts"]

            async def write_commands(runner: RaftRunner, write: Write, before: dict = before) -> State:
                state = runner.core.state
                self.assertThat((state.mesh, runner.core.incarnation), Equals((before["mesh"], INCARNATION)))
                self.assertThat(state.offset, GreaterThan(before["offset"] - 1))
                while runner.core.state.level < LEVEL:
                    result = await runner.raise_level(runner.core.state.level + 1)
                    self.assertThat(result.error, Equals(""))
                offset = runner.core.state.offset
                patch = pack_patch(Patch([ItemUpsert(SERVICE, 9, {"name": "added"}, b"as said")], []))
                outcome = await write(PatchItems("after-1", "desk", "standing", patch, 600, offset))
                self.assertThat((outcome.error, outcome.detail["changed"]), Equals(("", ["service:added"])))
                claim = ClaimKey("scope", "claim", "proxy-1", "body", "bucket-9", "credentials", "who", "pay", 300)
                scope = (await write(claim)).detail["scope"]
                self.assertThat((await write(CompleteKey(scope, "claim", 200, {}, b"new", True))).error, Equals(""))
                for number in range(8):
                    await write(claim._replace(claim=f"claim-{number}", bucket=f"bucket-{number}"))
                return runner.core.state

            async def read_state(runner: RaftRunner, write: Write) -> State:
                return runner.core.state

            written = self.run_replica(folder, write_commands)
            self.assertThat(layout_of(folder), Equals(layout), name)
            newest = max(path.name for path in (folder / "checkpoints").iterdir())
            self.assertThat(newest, GreaterThan(max(former["checkpoint_files"])), name)
            reopened = self.run_replica(folder, read_state)
            self.assertThat(
                (reopened.offset >= written.offset, reopened.epoch > written.epoch, reopened.level),
                Equals((True, True, LEVEL)),
                name,
            )
            # Only the leader's own note was appended since.
            reopened_parts, written_parts = (content_of(each)["parts"] for each in (reopened, written))
            for changed_part in ("offset", "epoch", "stamp", "swept"):
                del reopened_parts[changed_part], written_parts[changed_part]
            self.assertThat(reopened_parts, Equals(written_parts), name)
            self.assertThat([key for key, _ in reopened_parts["items"]], Contains("service:added"), name)
            self.assertThat(reopened_parts["voters"], Equals([[1, INCARNATION]]), name)
            for unchanged_part in ("servers", "nodes", "bundles", "operators"):
                self.assertThat(
                    [key for key, _ in reopened_parts[unchanged_part]],
                    Equals([key for key, _ in before[unchanged_part]]),
                    f"{name} {unchanged_part}",
                )
