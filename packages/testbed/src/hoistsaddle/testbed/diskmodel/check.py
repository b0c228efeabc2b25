"""Plays a data folder's life, loses the power at every moment of it in every mix, and boots what is left.

What a call wrote before it returned must be there; what a call was at may be there or not, but nothing between. A
blank folder is right only before the first start has told its incarnation.
"""

import hashlib
import itertools
import random
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Boot
from hoistsaddle.raft.files import Files
from hoistsaddle.testbed.diskmodel.model import MAX_FOLDER_STATES, FolderModel, FolderState, lay_out
from hoistsaddle.testbed.diskmodel.operations import FileSynced, FolderSynced, Operation, Returned
from hoistsaddle.testbed.diskmodel.recorder import Recorder

REPLICA = 1
# Small, so that moving pages into the database happens often in a short life.
WRITE_AHEAD_PAGES = 6


class Broken(NamedTuple):
    """A mix that booted into what never was."""

    crash_point: int
    after: str
    files: tuple[tuple[str, int], ...]
    problem: str


class Findings(NamedTuple):
    crash_points: int
    folder_states: int
    broken: tuple[Broken, ...]


class RecordedDisk:
    """Lives the life that is recorded: a disk and the moments at which its calls returned."""

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

    def do(self, name: str, *arguments, **named):
        result = getattr(self.disk, name)(*arguments, **named)
        self.recorder.returned(name)
        return result

    def start_again(self, *, cleanly: bool) -> Boot:
        if cleanly:
            self.do("close")
        self.disk = self._new_disk()
        return self.do("boot")


def record(
    scenario: Callable[[RecordedDisk], None], *, folder: Path, seed: int, start: FolderState | None = None, **how
) -> list[Operation]:
    """What a life did to its folder; how: a recorder or a synchronisation with a fault in it."""
    lay_out(start or {}, folder)
    player = RecordedDisk(folder=folder, seed=seed, **how)
    with player.recorder.recording():
        scenario(player)
        operations = list(player.recorder.operations)
        player.disk.close()
    return operations


class _NoSync(Files):
    """For a start that is only looked at: its own syncs would take most of the time."""

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
    # What is pending only grows between two syncs, and any part of it may be missing: the moments before a sync, and
    # those at which a call returned, hold all others.
    for place, operation in enumerate(operations):
        if isinstance(operation, FileSynced | FolderSynced | Returned):
            yield place
    yield len(operations)


def _digest(folder_state: FolderState) -> str:
    digest = hashlib.sha256()
    for name, content in folder_state.items():
        digest.update(f"{name}:{-1 if content is None else len(content)}:".encode())
        digest.update(content or b"")
    return digest.hexdigest()


class _Milestones:
    """The states that a start has to find: one for each call that returned."""

    def __init__(self, *, operations: list[Operation], start: FolderState, folder: Path) -> None:
        model = FolderModel(files={name: content for name, content in start.items() if content is not None})
        self.places = [0]
        self.calls = ["nothing"]
        self.boots = [_boot(start, folder / "milestone")]
        for place, operation in enumerate(operations):
            model.do(operation)
            if isinstance(operation, Returned):
                self.places.append(place + 1)
                self.calls.append(operation.call)
                self.boots.append(_boot(model.fully_written(), folder / "milestone"))

    def at(self, crash_point: int) -> tuple[str, list[Boot]]:
        """The last call that had returned, and what may be booted: what it left, or what the next one would."""
        last = max(place for place, each in enumerate(self.places) if each <= crash_point)
        return self.calls[last], self.boots[last : last + 2]

    def founded(self, crash_point: int) -> bool:
        """Whether a blank folder would be a loss by now."""
        return any(boot.mesh for place, boot in zip(self.places, self.boots, strict=True) if place <= crash_point)


def check(
    operations: list[Operation],
    *,
    folder: Path,
    seed: int,
    start: FolderState | None = None,
    most: int = MAX_FOLDER_STATES,
    max_broken: int = 0,
) -> Findings:
    """Boots every mix of every moment, or where there are more than the most of one moment, a part of them.

    enough: so many broken ones end it; 0 goes on to the end.
    """
    chance = random.Random(seed)
    milestones = _Milestones(operations=operations, start=start or {}, folder=folder)
    model = FolderModel(files={name: content for name, content in (start or {}).items() if content is not None})
    seen: set[tuple[int, str]] = set()
    broken: list[Broken] = []
    done = crash_points = 0
    for crash_point in _crash_points(operations):
        for operation in operations[done:crash_point]:
            model.do(operation)
        done = crash_point
        crash_points += 1
        if max_broken and len(broken) >= max_broken:
            break
        after, allowed = milestones.at(crash_point)
        acknowledged = after != "nothing"
        founded = milestones.founded(crash_point)
        for folder_state in model.folder_states(seed=chance, most=most):
            key = (id(allowed[0]), _digest(folder_state))
            if key in seen:
                continue
            seen.add(key)
            problem = _problem(folder_state, folder / "mix", allowed, acknowledged, founded)
            if problem:
                sizes = tuple((name, -1 if content is None else len(content)) for name, content in folder_state.items())
                broken.append(Broken(crash_point, after, sizes, problem))
    return Findings(crash_points, len(seen), tuple(broken))


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
    return f"a state that never was: {summary(found)}; right were {[summary(each) for each in allowed]}"


def _unsound(boot: Boot) -> str:
    """What no start may ever find, whatever was written before."""
    if boot.state is None:
        return ""
    epochs = [boot.begin.epoch, *(each.epoch for each in boot.records)]
    if epochs != sorted(epochs):
        return "a log with an older epoch above a newer one"
    for place, each in enumerate(boot.records, start=1):
        if each.offset != boot.begin.offset + place:
            return "a log with a gap"
        if each.offset == boot.checkpoint.offset and each.epoch != boot.checkpoint.epoch:
            return "a log that parts from its checkpoint"
    if boot.checkpoint.offset < boot.begin.offset or boot.checkpoint.offset > boot.begin.offset + len(boot.records):
        return "a checkpoint beside a log that doesn't reach it"
    return ""


def folder_states_of(operations: list[Operation], *, seed: int) -> Iterator[FolderState]:
    """One drawn mix for each moment, to go on from."""
    chance = random.Random(seed)
    model = FolderModel()
    done = 0
    for crash_point in _crash_points(operations):
        for operation in operations[done:crash_point]:
            model.do(operation)
        done = crash_point
        yield chance.choice(list(model.folder_states(seed=chance, most=1)))


def summary(boot: Boot) -> tuple:
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
