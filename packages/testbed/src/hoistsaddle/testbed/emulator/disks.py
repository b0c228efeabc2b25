"""What a core machine's folder is after a loss of power: names that no sync of their folder covers are kept or lost.

The simulated disk worker does a job once its sync is over, so a machine that is killed between two jobs has whole ones
only. Power, though, may go in the midst of a job: then the job is done up to one of its syncs, and each file made,
renamed or removed since the last sync of its folder goes its own way, drawn by lot.
"""

import os
import random
import shutil
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

from hoistsaddle.raft.events import Capture, StoreChunk
from hoistsaddle.testbed.simulation.world import SimulatedDiskWorker

# sqlite3 syncs its folder by itself once a new write-ahead file holds something; its index of that file it makes anew.
DATABASE = "sqlite3"
INDEX_SUFFIX = "-shm"
# A job under way when the power goes is begun this often; the other times nothing of it had reached the disk.
JOB_BEGUN_PROBABILITY = 0.7
# No job of a disk syncs more often than this.
MAX_SYNCS_PER_JOB = 3


class PowerLostError(Exception):
    """The power went at this sync: nothing behind it happened."""


def _files(folder: Path) -> dict[str, int]:
    """Names and the files they stand for; the database looks after its own."""
    found = [path for path in sorted(folder.iterdir()) if not path.is_dir() and DATABASE not in path.name]
    return {path.name: path.stat().st_ino for path in found}


class SyncedFolder:
    """One machine's folders as they were last synced, held by hard links in a folder beside them."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.kept = folder.with_name(f"{folder.name}.synced")
        # By folder: the names that a sync covered, and the file each stood for.
        self.synced: dict[Path, dict[str, int]] = {}
        # Files whose content was being synced when the power went.
        self.torn: set[Path] = set()

    def folder_synced(self, folder: Path) -> None:
        self.kept.mkdir(parents=True, exist_ok=True)
        names = self.synced[folder] = _files(folder)
        for name, number in names.items():
            link = self.kept / str(number)
            if not link.exists():
                os.link(folder / name, link)
        needed = {str(number) for each in self.synced.values() for number in each.values()}
        for link in self.kept.iterdir():
            if link.name not in needed:
                link.unlink()

    def lose_power(self, rng: random.Random) -> None:
        """Every name that changed since its folder was synced is as it is now or as it was, each by itself."""
        folders = [self.folder, *(path for path in sorted(self.folder.iterdir()) if path.is_dir())]
        for path in sorted(self.torn):
            if path.exists() and rng.random() < 0.5:
                os.truncate(path, rng.randrange(path.stat().st_size + 1))
        for folder in folders:
            before, now = self.synced.get(folder, {}), _files(folder)
            # In the order of their names: the same seed loses the same files.
            for name in sorted(now.keys() | before.keys()):
                if now.get(name) == before.get(name) or rng.random() < 0.5:
                    continue
                path = folder / name
                path.unlink(missing_ok=True)
                if name in before:
                    shutil.copyfile(self.kept / str(before[name]), path)
            # What is there after the loss is on the disk.
            self.folder_synced(folder)
        self.torn.clear()

    def forget(self) -> None:
        self.synced.clear()
        shutil.rmtree(self.kept, ignore_errors=True)


class EmulatedDiskWorker(SimulatedDiskWorker):
    """Says when it is about to write a snapshot, so that a fault can strike right then."""

    def __init__(self, *, snapshot: Callable[[], None], **needs: Any) -> None:
        super().__init__(**needs)
        self.snapshot = snapshot

    def put(self, job: tuple) -> None:
        super().put(job)
        if isinstance(job, Capture | StoreChunk):
            self.snapshot()


class Disks:
    """The folders of all core machines of a day."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.synced_folders: dict[Path, SyncedFolder] = {}
        # Syncs that are left until the power goes; None is no loss of power.
        self.syncs_until_power_loss: int | None = None

    def add(self, folder: Path) -> None:
        folder = folder.resolve()
        self.synced_folders.setdefault(folder, SyncedFolder(folder=folder))

    def _sync(self, descriptor: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        synced_folder = next(
            (synced_folder for folder, synced_folder in self.synced_folders.items() if path.is_relative_to(folder)),
            None,
        )
        if synced_folder is None:
            return
        if self.syncs_until_power_loss == 0:
            if not path.is_dir():
                synced_folder.torn.add(path)
            raise PowerLostError(str(path))
        if self.syncs_until_power_loss is not None:
            self.syncs_until_power_loss -= 1
        if path.is_dir():
            synced_folder.folder_synced(path)

    @contextmanager
    def watched(self) -> Iterator[None]:
        """While this lasts, syncs are noted instead of done: the simulated disk takes its time elsewhere."""
        with mock.patch.object(os, "fsync", self._sync):
            yield

    def tear(self, worker: SimulatedDiskWorker) -> None:
        """What the worker was at when the power went may be on the disk, whole or up to one of its syncs."""
        if not worker.busy or self.rng.random() >= JOB_BEGUN_PROBABILITY:
            return
        self.syncs_until_power_loss = self.rng.randrange(MAX_SYNCS_PER_JOB)
        jobs = deque(worker.waiting)
        try:
            while jobs:
                worker.jobs.do_next(jobs)
        except PowerLostError:
            pass
        finally:
            self.syncs_until_power_loss = None

    def lose_power(self, folder: Path, ledger: dict[Path, bytes]) -> None:
        """`ledger`: the database's files as they were when the power went, before anything was closed."""
        for path, data in ledger.items():
            if path.name.endswith(INDEX_SUFFIX) and self.rng.random() < 0.5:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(data)
        synced_folder = self.synced_folders.get(folder.resolve())
        if synced_folder is not None:
            synced_folder.lose_power(self.rng)

    def forget(self, folder: Path) -> None:
        """The folder was wiped."""
        synced_folder = self.synced_folders.get(folder.resolve())
        if synced_folder is not None:
            synced_folder.forget()


def database_files(folder: Path) -> dict[Path, bytes]:
    """The database's files as they are on the disk now."""
    return {path: path.read_bytes() for path in sorted(folder.glob(f"*.{DATABASE}*")) if ".aside-" not in path.name}
