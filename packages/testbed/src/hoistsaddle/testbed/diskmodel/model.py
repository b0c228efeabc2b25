"""What may be left of a data folder after a loss of power, from the operations done to it before.

A file holds what its last sync covered, and each later write is there, missing or torn, independently of the others. A
name that was created, changed or removed is durable once its folder was synced; until then each is kept or lost.
"""

import itertools
import random
from collections.abc import Iterator
from pathlib import Path

from hoistsaddle.testbed.diskmodel.operations import (
    Created,
    FileSynced,
    FolderMade,
    FolderSynced,
    Operation,
    Removed,
    Renamed,
    Returned,
    Shortened,
    Written,
)

# Up to so many writes after a file's last sync, every subset of them is tried; above, about so many prefixes, and all
# writes but one.
MAX_WRITES_FOR_SUBSETS, MAX_PREFIXES = 5, 12
# The most states of one crash point; where there are more, some chosen ones and a drawn part of the others.
MAX_FOLDER_STATES = 220
# Stands for a folder where a name leads to a file's number.
FOLDER = -1

# Names with contents; None is a folder.
FolderState = dict[str, bytes | None]


class _File:
    def __init__(self) -> None:
        self.durable = b""
        self.pending: list[Written | Shortened] = []


def _apply(content: bytes, change: Written | Shortened, *, torn: bool = False) -> bytes:
    if isinstance(change, Shortened):
        return content[: change.size].ljust(change.size, b"\0")
    data = change.data[: len(change.data) // 2] if torn else change.data
    content = content.ljust(change.position, b"\0")
    return content[: change.position] + data + content[change.position + len(data) :]


def _contents(file: _File) -> list[bytes]:
    """Every content that the file may be left with, the complete one first and the durable one second."""
    count = len(file.pending)
    everything = frozenset(range(count))
    if count <= MAX_WRITES_FOR_SUBSETS:
        chosen = [
            frozenset(subset) for size in range(count + 1) for subset in itertools.combinations(range(count), size)
        ]
    else:
        chosen = [frozenset(range(end)) for end in range(0, count, max(1, count // MAX_PREFIXES))]
        chosen += [everything - {number} for number in range(0, count, max(1, count // MAX_PREFIXES))]
    found: dict[bytes, None] = {}
    for subset in [everything, frozenset(), *chosen]:
        for torn in [None, *(sorted(subset)[-2:] if count > MAX_WRITES_FOR_SUBSETS else sorted(subset))]:
            content = file.durable
            for number in sorted(subset):
                content = _apply(content, file.pending[number], torn=number == torn)
            found[content] = None
            if torn is None and subset == everything:
                found.setdefault(file.durable)
    return list(found)


class FolderModel:
    """A folder as operations change it, and what of it is durable."""

    def __init__(self, *, files: dict[str, bytes] | None = None) -> None:
        self.files: dict[int, _File] = {}
        self.numbers = itertools.count()
        self.names: dict[str, int | None] = {}
        # By name: the file that it durably leads to, and those that it led to since.
        self.durable: dict[str, int | None] = {}
        self.since: dict[str, list[int | None]] = {}
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
        self.since.setdefault(name, []).append(number)

    def do(self, operation: Operation) -> None:
        """Carries out one operation."""
        match operation:
            case Created(name=name):
                if self.names.get(name) is None:
                    self._set(name, self._new_file())
                else:
                    self.files[self.names[name]].pending.append(Shortened(name, 0))
            case FolderMade(name=name):
                self._set(name, FOLDER)
            case Written(name=name) | Shortened(name=name):
                self.files[self.names[name]].pending.append(operation)
            case FileSynced(name=name):
                file = self.files[self.names[name]]
                for change in file.pending:
                    file.durable = _apply(file.durable, change)
                file.pending = []
            case FolderSynced(name=folder):
                for name in [changed for changed in self.since if _folder_of(changed) == folder]:
                    self.durable[name] = self.names[name]
                    del self.since[name]
            case Renamed(name=name, new=new):
                number = self.names[name]
                self._set(name, None)
                self._set(new, number)
            case Removed(name=name):
                self._set(name, None)
            case Returned():
                pass

    def fully_written(self) -> FolderState:
        """The folder with everything kept, as when only the process died."""
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
        """What a loss of power may leave now: every state where these are few, else single changes and a drawn part."""
        names = sorted(set(self.names) | set(self.durable))
        name_choices = [
            list(dict.fromkeys((self.names.get(name), self.durable.get(name), *self.since.get(name, ()))))
            for name in names
        ]
        numbers = sorted(self.files)
        content_choices = [_contents(self.files[number]) for number in numbers]
        choices: list[list] = [*name_choices, *content_choices]
        total = 1
        for options in choices:
            total *= len(options)
        if total <= most:
            picks: Iterator[tuple] = itertools.product(*choices)
        else:
            picks = iter(self._some(choices, seed, most))
        for pick in picks:
            yield self._folder_state(
                dict(zip(names, pick[: len(names)], strict=True)),
                dict(zip(numbers, pick[len(names) :], strict=True)),
            )

    @staticmethod
    def _some(choices: list[list], seed: random.Random, most: int) -> list[tuple]:
        """Each single option with all else newest and with all else durable, and so many drawn ones."""
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


def lay_out(folder_state: FolderState, folder: Path) -> None:
    """Writes the state into a real folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, content in sorted(folder_state.items()):
        if content is None:
            (folder / name).mkdir(exist_ok=True)
        else:
            (folder / name).write_bytes(content)
