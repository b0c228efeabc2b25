"""What a core machine's folder is after a loss of power: names that no sync of their folder covers are kept or lost.

Each file made, renamed or removed since the last sync of its folder goes its own way, drawn by lot. What a file holds
is kept as it was written: the simulated disk worker does a job only once its sync is over.
"""

import os
import random
import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

# sqlite3 syncs its folder by itself once a new write-ahead file holds something; its index of that file it makes anew.
INDEX_SUFFIX = "-shm"


class FolderMemory:
    """One machine's folders as they were last synced, held by hard links in a folder beside them."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.kept = folder.with_name(f"{folder.name}.synced")
        # By folder: the names that a sync covered, and the file each stood for.
        self.synced: dict[Path, dict[str, int]] = {}

    def folder_synced(self, folder: Path) -> None:
        names: dict[str, int] = {}
        self.kept.mkdir(parents=True, exist_ok=True)
        for path in sorted(folder.iterdir()):
            if path.is_dir() or "sqlite3" in path.name:
                continue
            number = path.stat().st_ino
            names[path.name] = number
            link = self.kept / str(number)
            if not link.exists():
                os.link(path, link)
        self.synced[folder] = names
        self._forget()

    def _forget(self) -> None:
        needed = {str(number) for names in self.synced.values() for number in names.values()}
        for link in self.kept.iterdir():
            if link.name not in needed:
                link.unlink()

    def lose_power(self, draw: random.Random) -> None:
        """Every name that changed since its folder was synced is as it is now or as it was, each by itself."""
        for folder, before in self.synced.items():
            if not folder.exists():
                continue
            now = {
                path.name: path.stat().st_ino
                for path in folder.iterdir()
                if not path.is_dir() and "sqlite3" not in path.name
            }
            # In the order of their names: the same seed loses the same files.
            for name in sorted(now.keys() | before.keys()):
                if now.get(name) == before.get(name) or draw.random() < 0.5:
                    continue
                path = folder / name
                path.unlink(missing_ok=True)
                if name in before:
                    shutil.copyfile(self.kept / str(before[name]), path)
        self.forget_all()

    def forget_all(self) -> None:
        self.synced.clear()
        shutil.rmtree(self.kept, ignore_errors=True)


class Disks:
    """The folders of all core machines of a day."""

    def __init__(self, *, draw: random.Random) -> None:
        self.draw = draw
        self.memories: dict[Path, FolderMemory] = {}

    def add(self, folder: Path) -> None:
        self.memories.setdefault(folder, FolderMemory(folder=folder))

    def _synced(self, descriptor: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if not path.is_dir():
            return
        for folder, memory in self.memories.items():
            if path == folder or folder in path.parents:
                memory.folder_synced(path)

    @contextmanager
    def watched(self) -> Iterator[None]:
        """While this lasts, syncs are noted instead of done: the simulated disk takes its time elsewhere."""
        with mock.patch.object(os, "fsync", self._synced):
            yield

    def lose_power(self, folder: Path, ledger: dict[Path, bytes]) -> None:
        """`ledger`: the database's files as they were when the power went, before anything was closed."""
        for path, data in ledger.items():
            if path.name.endswith(INDEX_SUFFIX) and self.draw.random() < 0.5:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(data)
        if folder in self.memories:
            self.memories[folder].lose_power(self.draw)

    def wipe(self, folder: Path) -> None:
        if folder in self.memories:
            self.memories[folder].forget_all()


def ledger_files(folder: Path) -> dict[Path, bytes]:
    """The database's files as they are on the disk now."""
    return {path: path.read_bytes() for path in sorted(folder.glob("*.sqlite3*")) if ".aside-" not in path.name}
