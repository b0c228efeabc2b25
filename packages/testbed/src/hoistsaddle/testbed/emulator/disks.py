"""What a core machine's folder holds after a loss of power: names that no sync of their folder covers may be lost.

The simulated disk worker does a job once its sync is over, so a machine that is killed between two jobs has complete
ones only. Power, though, may be lost during a job: then the job is done up to one of its syncs, and each file that was
created, renamed or removed since the last sync of its folder is kept or lost at random, independently of the others.
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

# Part of the database's file names. sqlite3 syncs its folder itself once a new write-ahead log holds something.
DATABASE = "sqlite3"
# The database's index of its write-ahead log, which it can make anew.
INDEX_SUFFIX = "-shm"
# How often a job in progress has reached the disk in part when the power is lost.
JOB_BEGUN_PROBABILITY = 0.7
# No job of a disk syncs more often than this.
MAX_SYNCS_PER_JOB = 3


class PowerLostError(Exception):
    """The power was lost at this sync: nothing after it happened."""


def _files(folder: Path) -> dict[str, int]:
    """Names with the inodes they stand for, without the database's files."""
    found = [path for path in sorted(folder.iterdir()) if not path.is_dir() and DATABASE not in path.name]
    return {path.name: path.stat().st_ino for path in found}


class SyncedFolder:
    """One machine's folders as they were last synced, held by hard links in a folder beside them."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.links = folder.with_name(f"{folder.name}.synced")
        # By folder: the names that a sync covered, and the file each stood for.
        self.synced: dict[Path, dict[str, int]] = {}
        # Files whose content was being synced when the power went.
        self.torn: set[Path] = set()

    def record_sync(self, folder: Path) -> None:
        """All names in the folder are on the disk now."""
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
        """Each name that changed since its folder was synced stays as it is or becomes as it was, at random."""
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
                    shutil.copyfile(self.links / str(before[name]), path)
            # What is there after the loss is on the disk.
            self.record_sync(folder)
        self.torn.clear()

    def forget(self) -> None:
        """Drops all copies: the folder was wiped."""
        self.synced.clear()
        shutil.rmtree(self.links, ignore_errors=True)


class EmulatedDiskWorker(SimulatedDiskWorker):
    """Calls `on_snapshot` when a snapshot is about to be written, so that a fault can strike right then."""

    def __init__(self, *, on_snapshot: Callable[[], None], **arguments: Any) -> None:
        super().__init__(**arguments)
        self.on_snapshot = on_snapshot

    def put(self, job: tuple) -> None:
        """Queues a job, as the worker of a real disk does."""
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
        """Watches the folder of one more machine."""
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
        """Within this context `os.fsync` is recorded instead of done; the simulated worker takes its time."""
        with mock.patch.object(os, "fsync", self._sync):
            yield

    def tear(self, worker: SimulatedDiskWorker) -> None:
        """The worker's jobs in progress at a loss of power may be done, completely or up to one of their syncs."""
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
        """Leaves of a folder what is on the disk, and its database as it was before anything was closed."""
        for path, data in database.items():
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
