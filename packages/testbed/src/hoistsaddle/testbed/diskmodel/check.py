"""Records a scenario on a data folder, and boots every folder state that a power loss at any point may leave.

The writes of a call that returned must be kept; those of a call in progress may be kept or lost, but only as a whole.
A blank folder is allowed only until the first start has announced its incarnation to the other replicas.
"""

import hashlib
import itertools
import random
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Boot
from hoistsaddle.raft.files import Files
from hoistsaddle.testbed.diskmodel.model import MAX_FOLDER_STATES, FolderModel, FolderState, write_folder_state
from hoistsaddle.testbed.diskmodel.operations import FileSynced, FolderSynced, Operation, Returned
from hoistsaddle.testbed.diskmodel.recorder import Recorder

REPLICA = 1
# Small, so that sqlite3 checkpoints its write-ahead log often even in a short scenario.
WRITE_AHEAD_PAGES = 6
# The name of the last returned call while no call has returned.
NO_CALL = "nothing"


class BrokenState(NamedTuple):
    """A folder state that doesn't boot correctly; `files` has the size of each file, -1 for a folder."""

    crash_point: int
    after: str
    files: tuple[tuple[str, int], ...]
    problem: str


class Findings(NamedTuple):
    """The numbers of crash points and folder states that were checked, and the broken states."""

    crash_points: int
    folder_states: int
    broken: tuple[BrokenState, ...]


class RecordedDisk:
    """A replica's disk whose file operations are recorded, with the points at which its methods returned."""

    def __init__(
        self,
        *,
        folder: Path,
        seed: int,
        make_recorder: Callable[..., Recorder] = Recorder,
        synchronous: str = "FULL",
    ) -> None:
        self.folder = folder
        self.synchronous = synchronous
        self.recorder = make_recorder(folder=folder)
        self.tokens = (f"incarnation-{seed}-{number}" for number in itertools.count())
        self.disk = self._new_disk()

    def _new_disk(self) -> Disk:
        return Disk(
            folder=self.folder,
            replica=REPLICA,
            token=lambda size: next(self.tokens),
            synchronous=self.synchronous,
            files=self.recorder,
            write_ahead_pages=WRITE_AHEAD_PAGES,
        )

    def do(self, name: str, *arguments: Any, **named: Any) -> Any:
        """Calls a method of the disk and records that it returned."""
        result = getattr(self.disk, name)(*arguments, **named)
        self.recorder.returned(name)
        return result

    def start_again(self, *, cleanly: bool) -> Boot:
        """Boots a new disk on the folder; if `cleanly` is set, the former one is closed first."""
        if cleanly:
            self.do("close")
        self.disk = self._new_disk()
        return self.do("boot")


def record(
    scenario: Callable[[RecordedDisk], None],
    *,
    folder: Path,
    seed: int,
    start: FolderState | None = None,
    **options: Any,
) -> list[Operation]:
    """The operations of a scenario on its folder; `options` may set a recorder or synchronous mode with a fault."""
    write_folder_state(start or {}, folder)
    recorded = RecordedDisk(folder=folder, seed=seed, **options)
    with recorded.recorder.recording():
        scenario(recorded)
        operations = list(recorded.recorder.operations)
        recorded.disk.close()
    return operations


class _NoSync(Files):
    """Omits syncs for a boot that is only inspected, because they would take most of the time."""

    def sync(self, path: Path) -> None:
        pass

    def sync_folder(self, folder: Path) -> None:
        pass


def _boot(folder_state: FolderState, folder: Path) -> Boot:
    write_folder_state(folder_state, folder)
    disk = Disk(folder=folder, replica=REPLICA, token=lambda size: "blank", synchronous="OFF", files=_NoSync())
    try:
        return disk.boot()
    finally:
        disk.close()
        shutil.rmtree(folder)


def _crash_points(operations: list[Operation]) -> Iterator[int]:
    # Pending changes only grow between two syncs, and any subset of them may be lost, so the points before a sync and
    # those at which a call returned cover all others.
    for position, operation in enumerate(operations):
        if isinstance(operation, FileSynced | FolderSynced | Returned):
            yield position
    yield len(operations)


def _digest(folder_state: FolderState) -> str:
    digest = hashlib.sha256()
    for name, content in folder_state.items():
        digest.update(f"{name}:{-1 if content is None else len(content)}:".encode())
        digest.update(content or b"")
    return digest.hexdigest()


class _AllowedBoots:
    """The states that a boot must find: one after each call that returned."""

    def __init__(self, *, operations: list[Operation], start: FolderState, folder: Path) -> None:
        model = _model_of(start)
        self.positions = [0]
        self.calls = [NO_CALL]
        self.boots = [_boot(start, folder / "milestone")]
        for position, operation in enumerate(operations, start=1):
            model.do(operation)
            if isinstance(operation, Returned):
                self.positions.append(position)
                self.calls.append(operation.call)
                self.boots.append(_boot(model.fully_written(), folder / "milestone"))

    def at(self, crash_point: int) -> tuple[str, list[Boot]]:
        """The last returned call, and the allowed boots: the state after it, or after the next call."""
        last = max(number for number, position in enumerate(self.positions) if position <= crash_point)
        return self.calls[last], self.boots[last : last + 2]

    def in_mesh(self, crash_point: int) -> bool:
        """Whether the folder belonged to a mesh by this point, so that a blank folder would be a loss of data."""
        return any(
            boot.mesh for position, boot in zip(self.positions, self.boots, strict=True) if position <= crash_point
        )


def check(
    operations: list[Operation],
    *,
    folder: Path,
    seed: int,
    start: FolderState | None = None,
    most: int = MAX_FOLDER_STATES,
    max_broken: int = 0,
) -> Findings:
    """Boots every folder state of every crash point.

    Args:
        operations: the recorded operations on the folder.
        folder: the parent folder for the states that are booted.
        seed: the seed for the sample where a crash point has more states than `most`.
        start: the folder before the operations.
        most: the number of folder states of one crash point above which they are sampled.
        max_broken: the check stops at the first crash point after this many broken states; 0 for no limit.
    """
    rng = random.Random(seed)
    allowed_boots = _AllowedBoots(operations=operations, start=start or {}, folder=folder)
    model = _model_of(start or {})
    seen: set[tuple[int, str]] = set()
    broken: list[BrokenState] = []
    applied = crash_points = 0
    for crash_point in _crash_points(operations):
        for operation in operations[applied:crash_point]:
            model.do(operation)
        applied = crash_point
        crash_points += 1
        if max_broken and len(broken) >= max_broken:
            break
        after, allowed = allowed_boots.at(crash_point)
        acknowledged = after != NO_CALL
        in_mesh = allowed_boots.in_mesh(crash_point)
        for folder_state in model.folder_states(seed=rng, most=most):
            key = (id(allowed[0]), _digest(folder_state))
            if key in seen:
                continue
            seen.add(key)
            problem = _problem(folder_state, folder / "mix", allowed, acknowledged, in_mesh)
            if problem:
                broken.append(BrokenState(crash_point, after, _sizes(folder_state), problem))
    return Findings(crash_points, len(seen), tuple(broken))


def _model_of(folder_state: FolderState) -> FolderModel:
    return FolderModel(files={name: content for name, content in folder_state.items() if content is not None})


def _sizes(folder_state: FolderState) -> tuple[tuple[str, int], ...]:
    return tuple((name, -1 if content is None else len(content)) for name, content in folder_state.items())


def _problem(folder_state: FolderState, folder: Path, allowed: list[Boot], acknowledged: bool, in_mesh: bool) -> str:
    try:
        found = _boot(folder_state, folder)
    except Exception as error:  # noqa: BLE001
        shutil.rmtree(folder, ignore_errors=True)
        return f"it does not start: {error!r}"
    if inconsistency := _inconsistency(found):
        return f"{inconsistency}: {summary(found)}"
    if not found.mesh and (in_mesh or (acknowledged and found not in allowed)):
        return "a blank folder, although its incarnation was announced"
    if found in allowed or not found.mesh:
        return ""
    return f"a state that never existed: {summary(found)}; allowed were {[summary(boot) for boot in allowed]}"


def _inconsistency(boot: Boot) -> str:
    """Describes a violation that no boot may have, independent of the operations; empty if there is none."""
    if boot.state is None:
        return ""
    epochs = [boot.begin.epoch, *(record.epoch for record in boot.records)]
    if epochs != sorted(epochs):
        return "a log with an older epoch above a newer one"
    for number, stored in enumerate(boot.records, start=1):
        if stored.offset != boot.begin.offset + number:
            return "a log with a gap"
        if stored.offset == boot.checkpoint.offset and stored.epoch != boot.checkpoint.epoch:
            return "a log that diverges from its checkpoint"
    if boot.checkpoint.offset < boot.begin.offset or boot.checkpoint.offset > boot.begin.offset + len(boot.records):
        return "a checkpoint outside the range of its log"
    return ""


def folder_states_of(operations: list[Operation], *, seed: int) -> Iterator[FolderState]:
    """One random folder state for each crash point, to start another scenario from."""
    rng = random.Random(seed)
    model = FolderModel()
    applied = 0
    for crash_point in _crash_points(operations):
        for operation in operations[applied:crash_point]:
            model.do(operation)
        applied = crash_point
        yield rng.choice(list(model.folder_states(seed=rng, most=1)))


def summary(boot: Boot) -> tuple:
    """The fields of a boot that are shown in reports."""
    offsets = [record.offset for record in boot.records]
    return (
        boot.incarnation,
        boot.epoch,
        boot.vote,
        boot.begin,
        boot.checkpoint,
        (offsets[0], offsets[-1]) if offsets else (),
        boot.catching,
        boot.committed,
    )
