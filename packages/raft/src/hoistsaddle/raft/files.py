"""All file operations that change a data folder, in one class that a model of power losses replaces to record them.

A file's content is durable once the file is synced. The creation, renaming or removal of a file is durable once its
folder is synced; until then a power loss may undo each of these changes independently.
"""

import os
from pathlib import Path

# The number of damaged files kept for investigation, limited so that they don't fill up a small disk.
MAX_SET_ASIDE = 8
SET_ASIDE_MARKER = ".aside-"


class Files:
    """Changes of files and folders on the real disk."""

    def make_folder(self, folder: Path) -> None:
        """Creates the folder and its parents durably."""
        missing = []
        while not folder.is_dir():
            missing.append(folder)
            folder = folder.parent
        for each in reversed(missing):
            each.mkdir(exist_ok=True)
            self.sync_folder(each.parent)

    def sync_folder(self, folder: Path) -> None:
        """Makes changes to the folder's entries durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def write(self, path: Path, data: bytes, *, position: int = 0) -> None:
        """Writes data at the position and truncates the file after it; not durable until the file is synced."""
        with path.open("r+b" if position else "wb") as file:
            file.seek(position)
            file.write(data)
            file.truncate()

    def sync(self, path: Path) -> None:
        """Makes the file's content durable."""
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, path: Path, new: Path) -> None:
        """Renames the file, replacing any file of the new name."""
        path.rename(new)

    def remove(self, path: Path) -> None:
        """Removes the file if it exists."""
        path.unlink(missing_ok=True)


def set_aside(files: Files, path: Path) -> None:
    """Renames a damaged file; the oldest files set aside before are removed if there are too many."""
    found = sorted(path.parent.glob(f"*{SET_ASIDE_MARKER}*"), key=_aside_number)
    number = _aside_number(found[-1]) + 1 if found else 1
    for old in found[: max(0, len(found) - MAX_SET_ASIDE + 1)]:
        files.remove(old)
    files.rename(path, path.with_name(f"{path.name}{SET_ASIDE_MARKER}{number}"))


def _aside_number(path: Path) -> int:
    return int(path.name.rpartition("-")[2])
