"""Records a scenario on a data folder, loses the power at every point of it, and boots every state that may be left.

What a call wrote before it returned must be there; what a call in progress writes may be there or not, but not in part.
A blank folder is right only before the first start has told its incarnation to the other replicas.
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
from hoistsaddle.testbed.diskmodel.model import MAX_FOLDER_STATES, FolderModel, FolderState, lay_out
from hoistsaddle.testbed.diskmodel.operations import FileSynced, FolderSynced, Operation, Returned
from hoistsaddle.testbed.diskmodel.recorder import Recorder

REPLICA = 1
# Small, so that write-ahead pages are moved into the database often in a short scenario.
WRITE_AHEAD_PAGES = 6
# Stands for the call before the first one.
NO_CALL = "nothing"


class Broken(NamedTuple):
    """A folder state that boots into a state that never was; files with their sizes, -1 for a folder."""

    crash_point: int
    after: str
    files: tuple[tuple[str, int], ...]
    problem: str


class Findings(NamedTuple):
    """How many crash points and folder states were checked, and the broken ones."""

    crash_points: int
    folder_states: int
    broken: tuple[Broken, ...]


class RecordedDisk:
    """A replica's disk whose calls are recorded, with the points at which they returned."""

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
        """Boots a new disk on the folder; cleanly closes the former one first."""
        if cleanly:
            self.do("close")
        self.disk = self._new_disk()
        return self.do("boot")


def record(
    scenario: Callable[[RecordedDisk], None], *, folder: Path, seed: int, start: FolderState | None = None, **how: Any
) -> list[Operation]:
    """What a scenario does to its folder; how: another recorder or synchronous mode, to inject a fault."""
    lay_out(start or {}, folder)
    recorded = RecordedDisk(folder=folder, seed=seed, **how)
    with recorded.recorder.recording():
        scenario(recorded)
        operations = list(recorded.recorder.operations)
        recorded.disk.close()
    return operations


class _NoSync(Files):
    """For a boot that is only inspected: its own syncs would take most of the time."""

    def sync(self, path: Path) -> None:
        pass

    def sync_folder(self, folder: Path) -> None:
        pass


def _boot(folder_state: FolderState, folder: Path) -> Boot:
    lay_out(folder_state, folder)
    disk = Disk(folder=folder, replica=REPLICA, token=lambda size: "blank", synchronous="OFF", files=_NoSync())
    try:
        return disk.boot()
    finally:
        disk.close()
        shutil.rmtree(folder)


def _crash_points(operations: list[Operation]) -> Iterator[int]:
    # What is pending only grows between two syncs, and any part of it may be missing: the points before a sync, and
    # those at which a call returned, cover all others.
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


class _Milestones:
    """The states that a boot has to find: one for each call that returned."""

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
        """The last call that had returned, and what may be booted: its state, or that after the next call."""
        last = max(number for number, position in enumerate(self.positions) if position <= crash_point)
        return self.calls[last], self.boots[last : last + 2]

    def founded(self, crash_point: int) -> bool:
        """Whether a blank folder would be a loss of data by now."""
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
        operations: what was done to the folder.
        folder: where the states are laid out.
        seed: of the draw where a crash point has more states than `most`.
        start: the folder before the operations.
        most: the most folder states of one crash point; where there are more, a part of them is drawn.
        max_broken: the check ends after so many broken states; 0 goes on to the end.
    """
    rng = random.Random(seed)
    milestones = _Milestones(operations=operations, start=start or {}, folder=folder)
    model = _model_of(start or {})
    seen: set[tuple[int, str]] = set()
    broken: list[Broken] = []
    applied = crash_points = 0
    for crash_point in _crash_points(operations):
        for operation in operations[applied:crash_point]:
            model.do(operation)
        applied = crash_point
        crash_points += 1
        if max_broken and len(broken) >= max_broken:
            break
        after, allowed = milestones.at(crash_point)
        acknowledged = after != NO_CALL
        founded = milestones.founded(crash_point)
        for folder_state in model.folder_states(seed=rng, most=most):
            key = (id(allowed[0]), _digest(folder_state))
            if key in seen:
                continue
            seen.add(key)
            problem = _problem(folder_state, folder / "mix", allowed, acknowledged, founded)
            if problem:
                broken.append(Broken(crash_point, after, _sizes(folder_state), problem))
    return Findings(crash_points, len(seen), tuple(broken))


def _model_of(folder_state: FolderState) -> FolderModel:
    return FolderModel(files={name: content for name, content in folder_state.items() if content is not None})


def _sizes(folder_state: FolderState) -> tuple[tuple[str, int], ...]:
    return tuple((name, -1 if content is None else len(content)) for name, content in folder_state.items())


def _problem(folder_state: FolderState, folder: Path, allowed: list[Boot], acknowledged: bool, founded: bool) -> str:
    try:
        found = _boot(folder_state, folder)
    except Exception as error:  # noqa: BLE001
        shutil.rmtree(folder, ignore_errors=True)
        return f"it does not start: {error!r}"
    if unsound := _unsound(found):
        return f"{unsound}: {summary(found)}"
    if not found.mesh and (founded or (acknowledged and found not in allowed)):
        return "a blank folder, though its incarnation was told"
    if found in allowed or not found.mesh:
        return ""
    return f"a state that never was: {summary(found)}; right were {[summary(boot) for boot in allowed]}"


def _unsound(boot: Boot) -> str:
    """What no boot may ever find, whatever was written before."""
    if boot.state is None:
        return ""
    epochs = [boot.begin.epoch, *(record.epoch for record in boot.records)]
    if epochs != sorted(epochs):
        return "a log with an older epoch above a newer one"
    for number, stored in enumerate(boot.records, start=1):
        if stored.offset != boot.begin.offset + number:
            return "a log with a gap"
        if stored.offset == boot.checkpoint.offset and stored.epoch != boot.checkpoint.epoch:
            return "a log that parts from its checkpoint"
    if boot.checkpoint.offset < boot.begin.offset or boot.checkpoint.offset > boot.begin.offset + len(boot.records):
        return "a checkpoint beside a log that doesn't reach it"
    return ""


def folder_states_of(operations: list[Operation], *, seed: int) -> Iterator[FolderState]:
    """One drawn folder state for each crash point, to go on from."""
    rng = random.Random(seed)
    model = FolderModel()
    applied = 0
    for crash_point in _crash_points(operations):
        for operation in operations[applied:crash_point]:
            model.do(operation)
        applied = crash_point
        yield rng.choice(list(model.folder_states(seed=rng, most=1)))


def summary(boot: Boot) -> tuple:
    """What of a boot is worth printing."""
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
