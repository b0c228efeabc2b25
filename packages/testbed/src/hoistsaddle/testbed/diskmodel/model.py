"""The states of a data folder that a power loss can leave, derived from the operations before it.

A file keeps everything up to its last sync; each later write is kept, lost or torn, independently of the others. A
created, changed or removed name is durable once its folder is synced; until then each change is kept or lost.
"""

import itertools
import random
from collections.abc import Iterator
from pathlib import Path

from hoistsaddle.testbed.diskmodel.operations import (
    Created,
    FileSynced,
    FolderCreated,
    FolderSynced,
    Operation,
    Removed,
    Renamed,
    Resized,
    Returned,
    Written,
)

# Up to MAX_WRITES_FOR_SUBSETS writes since a file's last sync, every subset is tried; above that, about MAX_PREFIXES
# prefixes, and as many sets with a single write missing.
MAX_WRITES_FOR_SUBSETS, MAX_PREFIXES = 5, 12
# The number of states of one crash point up to which all are tried; above it, chosen ones and a random sample.
MAX_FOLDER_STATES = 220
# The value of a folder in the maps from names to file numbers.
FOLDER = -1

# The contents of files by name; None for a folder.
FolderState = dict[str, bytes | None]


class _File:
    def __init__(self) -> None:
        self.durable = b""
        self.pending: list[Written | Resized] = []


def _apply(content: bytes, change: Written | Resized, *, torn: bool = False) -> bytes:
    if isinstance(change, Resized):
        return content[: change.size].ljust(change.size, b"\0")
    data = change.data[: len(change.data) // 2] if torn else change.data
    content = content.ljust(change.position, b"\0")
    return content[: change.position] + data + content[change.position + len(data) :]


def _contents(file: _File) -> list[bytes]:
    """The contents that the file may have after a power loss, the complete one first and the durable one second."""
    count = len(file.pending)
    all_writes = frozenset(range(count))
    if count <= MAX_WRITES_FOR_SUBSETS:
        chosen = [
            frozenset(subset) for size in range(count + 1) for subset in itertools.combinations(range(count), size)
        ]
    else:
        chosen = [frozenset(range(end)) for end in range(0, count, max(1, count // MAX_PREFIXES))]
        chosen += [all_writes - {number} for number in range(0, count, max(1, count // MAX_PREFIXES))]
    found: dict[bytes, None] = {}
    for subset in [all_writes, frozenset(), *chosen]:
        for torn in [None, *(sorted(subset)[-2:] if count > MAX_WRITES_FOR_SUBSETS else sorted(subset))]:
            content = file.durable
            for number in sorted(subset):
                content = _apply(content, file.pending[number], torn=number == torn)
            found[content] = None
            if torn is None and subset == all_writes:
                found.setdefault(file.durable)
    return list(found)


class FolderModel:
    """A folder with all operations applied, and its durable part."""

    def __init__(self, *, files: dict[str, bytes] | None = None) -> None:
        self.files: dict[int, _File] = {}
        self.numbers = itertools.count()
        self.names: dict[str, int | None] = {}
        # By name: the durable file number, and the file numbers set since the last sync of the folder.
        self.durable: dict[str, int | None] = {}
        self.unsynced: dict[str, list[int | None]] = {}
        for name, content in (files or {}).items():
            number = self._new_file()
            self.files[number].durable = content
            self.names[name] = self.durable[name] = number
            for folder in Path(name).parents:
                if folder.as_posix() != ".":
                    self.names[folder.as_posix()] = self.durable[folder.as_posix()] = FOLDER

    def _new_file(self) -> int:
        number = next(self.numbers)
        self.files[number] = _File()
        return number

    def _set(self, name: str, number: int | None) -> None:
        self.names[name] = number
        self.unsynced.setdefault(name, []).append(number)

    def do(self, operation: Operation) -> None:
        """Applies one operation."""
        match operation:
            case Created(name=name):
                if self.names.get(name) is None:
                    self._set(name, self._new_file())
                else:
                    self.files[self.names[name]].pending.append(Resized(name, 0))
            case FolderCreated(name=name):
                self._set(name, FOLDER)
            case Written(name=name) | Resized(name=name):
                self.files[self.names[name]].pending.append(operation)
            case FileSynced(name=name):
                file = self.files[self.names[name]]
                for change in file.pending:
                    file.durable = _apply(file.durable, change)
                file.pending = []
            case FolderSynced(name=folder):
                for name in [changed for changed in self.unsynced if _folder_of(changed) == folder]:
                    self.durable[name] = self.names[name]
                    del self.unsynced[name]
            case Renamed(name=name, new=new):
                number = self.names[name]
                self._set(name, None)
                self._set(new, number)
            case Removed(name=name):
                self._set(name, None)
            case Returned():
                pass

    def fully_written(self) -> FolderState:
        """The folder with all operations kept, as after a crash of the process alone."""
        return self._folder_state(self.names, {number: _contents(file)[0] for number, file in self.files.items()})

    def _folder_state(self, names: dict[str, int | None], contents: dict[int, bytes]) -> FolderState:
        folder_state: FolderState = {}
        for name, number in sorted(names.items()):
            folder = _folder_of(name)
            if number is None or (folder and names.get(folder) != FOLDER):
                continue
            folder_state[name] = None if number == FOLDER else contents[number]
        return folder_state

    def folder_states(self, *, seed: random.Random, most: int = MAX_FOLDER_STATES) -> Iterator[FolderState]:
        """The states that a power loss may leave now: all if these are few, else single changes and a random sample."""
        names = sorted(set(self.names) | set(self.durable))
        name_choices = [
            list(dict.fromkeys((self.names.get(name), self.durable.get(name), *self.unsynced.get(name, ()))))
            for name in names
        ]
        numbers = sorted(self.files)
        content_choices = [_contents(self.files[number]) for number in numbers]
        choices: list[list] = [*name_choices, *content_choices]
        total = 1
        for options in choices:
            total *= len(options)
        if total <= most:
            combinations: Iterator[tuple] = itertools.product(*choices)
        else:
            combinations = iter(self._sample(choices, seed, most))
        for combination in combinations:
            yield self._folder_state(
                dict(zip(names, combination[: len(names)], strict=True)),
                dict(zip(numbers, combination[len(names) :], strict=True)),
            )

    @staticmethod
    def _sample(choices: list[list], seed: random.Random, most: int) -> list[tuple]:
        """Each option with all others newest and with all others durable, and up to `most` random combinations."""
        newest = tuple(options[0] for options in choices)
        durable = tuple(options[min(1, len(options) - 1)] for options in choices)
        found: dict[tuple, None] = {newest: None, durable: None}
        for position, options in enumerate(choices):
            for option in options:
                for base in (newest, durable):
                    found[(*base[:position], option, *base[position + 1 :])] = None
        for _ in range(most):
            found[tuple(seed.choice(options) for options in choices)] = None
        return list(found)


def _folder_of(name: str) -> str:
    folder = Path(name).parent.as_posix()
    return "" if folder == "." else folder


def write_folder_state(folder_state: FolderState, folder: Path) -> None:
    """Writes the state into a folder of the file system."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, content in sorted(folder_state.items()):
        if content is None:
            (folder / name).mkdir(exist_ok=True)
        else:
            (folder / name).write_bytes(content)
