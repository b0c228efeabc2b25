"""The content of a core machine's folder after a loss of power: directory entries that were not synced may be lost.

The simulated disk worker executes a job when its sync time is over, so a machine that is killed between two jobs has
only complete ones. Power may be lost during a job, though: then the job is executed up to one of its syncs, and each
file that was created, renamed or removed since the last sync of its folder is kept or lost at random, independently of
the others.
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

# Part of the database's file names. sqlite3 itself syncs the folder once a new write-ahead log has content.
DATABASE = "sqlite3"
# The database's index of its write-ahead log, which it can rebuild.
INDEX_SUFFIX = "-shm"
# The probability that a job in progress has partly reached the disk when power is lost.
JOB_BEGUN_PROBABILITY = 0.7
# No job of a disk syncs more often than this.
MAX_SYNCS_PER_JOB = 3


class PowerLostError(Exception):
    """Power was lost at this sync; nothing after it was executed."""


def _files(folder: Path) -> dict[str, int]:
    """File names with their inode numbers, without the database's files."""
    found = [path for path in sorted(folder.iterdir()) if not path.is_dir() and DATABASE not in path.name]
    return {path.name: path.stat().st_ino for path in found}


class SyncedFolder:
    """The last synced state of one machine's folders, preserved by hard links in a sibling folder."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.links = folder.with_name(f"{folder.name}.synced")
        # By folder: the names at its last sync, with their inode numbers.
        self.synced: dict[Path, dict[str, int]] = {}
        # Files whose content was being synced when power was lost.
        self.torn: set[Path] = set()

    def record_sync(self, folder: Path) -> None:
        """Records that all current names in the folder are durable."""
        self.links.mkdir(parents=True, exist_ok=True)
        names = self.synced[folder] = _files(folder)
        for name, number in names.items():
            link = self.links / str(number)
            if not link.exists():
                os.link(folder / name, link)
        needed = {str(number) for names in self.synced.values() for number in names.values()}
        for link in self.links.iterdir():
            if link.name not in needed:
                link.unlink()

    def lose_power(self, rng: random.Random) -> None:
        """Keeps or reverts, at random, each name that changed since the last sync of its folder."""
        folders = [self.folder, *(path for path in sorted(self.folder.iterdir()) if path.is_dir())]
        for path in sorted(self.torn):
            if path.exists() and rng.random() < 0.5:
                os.truncate(path, rng.randrange(path.stat().st_size + 1))
        for folder in folders:
            before, now = self.synced.get(folder, {}), _files(folder)
            # Sorted, so that the same seed loses the same files.
            for name in sorted(now.keys() | before.keys()):
                if now.get(name) == before.get(name) or rng.random() < 0.5:
                    continue
                path = folder / name
                path.unlink(missing_ok=True)
                if name in before:
                    shutil.copyfile(self.links / str(before[name]), path)
            # What remains after the loss is durable.
            self.record_sync(folder)
        self.torn.clear()

    def forget(self) -> None:
        """Drops the preserved state after the folder was wiped."""
        self.synced.clear()
        shutil.rmtree(self.links, ignore_errors=True)


class EmulatedDiskWorker(SimulatedDiskWorker):
    """Calls `on_snapshot` when a snapshot is about to be written, so that a fault can be injected at that moment."""

    def __init__(self, *, on_snapshot: Callable[[], None], **arguments: Any) -> None:
        super().__init__(**arguments)
        self.on_snapshot = on_snapshot

    def put(self, job: tuple) -> None:
        """Queues a job, like the worker of a real disk."""
        super().put(job)
        if isinstance(job, Capture | StoreChunk):
            self.on_snapshot()


class Disks:
    """The folders of all core machines of a day."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.synced_folders: dict[Path, SyncedFolder] = {}
        # Syncs left until the power is lost; None while no loss is simulated.
        self.syncs_until_power_loss: int | None = None

    def add(self, folder: Path) -> None:
        """Starts to track the folder of a machine."""
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
            synced_folder.record_sync(path)

    @contextmanager
    def intercept_syncs(self) -> Iterator[None]:
        """Records calls of `os.fsync` instead of executing them; the simulated worker models their duration."""
        with mock.patch.object(os, "fsync", self._sync):
            yield

    def tear(self, worker: SimulatedDiskWorker) -> None:
        """At a loss of power, may execute the worker's jobs in progress, completely or up to one of their syncs."""
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

    def lose_power(self, folder: Path, database: dict[Path, bytes]) -> None:
        """Reverts a folder to its durable state, and its database to the given content from before it was closed."""
        for path, data in database.items():
            if path.name.endswith(INDEX_SUFFIX) and self.rng.random() < 0.5:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(data)
        synced_folder = self.synced_folders.get(folder.resolve())
        if synced_folder is not None:
            synced_folder.lose_power(self.rng)

    def forget(self, folder: Path) -> None:
        """Drops the preserved state of a folder after it was wiped."""
        synced_folder = self.synced_folders.get(folder.resolve())
        if synced_folder is not None:
            synced_folder.forget()


def database_files(folder: Path) -> dict[Path, bytes]:
    """The current content of the database's files."""
    return {path: path.read_bytes() for path in sorted(folder.glob(f"*.{DATABASE}*")) if ".aside-" not in path.name}
