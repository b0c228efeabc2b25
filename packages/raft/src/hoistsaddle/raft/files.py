"""The calls by which a data folder changes, in one place: a model of power losses records them.

A file's content lasts once the file was synced. A name that was made, changed or removed lasts once its folder was
synced; until then each name is kept or lost by itself.
"""

import os
from pathlib import Path

# Damaged files are kept for whoever looks into them, but only so many: a small disk must not fill up with them.
MOST_ASIDE = 8
ASIDE = ".aside-"


class Files:
    """Changes of files and folders on the real disk."""

    def make_folder(self, folder: Path) -> None:
        """Makes the folder and those above it; each lasts when this returns."""
        missing = []
        while not folder.is_dir():
            missing.append(folder)
            folder = folder.parent
        for each in reversed(missing):
            each.mkdir(exist_ok=True)
            self.sync_folder(each.parent)

    def sync_folder(self, folder: Path) -> None:
        """Makes the names in the folder last."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def write(self, path: Path, data: bytes, *, position: int = 0) -> None:
        """Puts data at the position and ends the file behind it; nothing of it lasts yet."""
        with path.open("r+b" if position else "wb") as file:
            file.seek(position)
            file.write(data)
            file.truncate()

    def sync(self, path: Path) -> None:
        """Makes the file's content last."""
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, path: Path, new: Path) -> None:
        """Renames the file, over one of the new name if there is one."""
        path.rename(new)

    def remove(self, path: Path) -> None:
        """Removes the file, if it is there."""
        path.unlink(missing_ok=True)


def set_aside(files: Files, path: Path) -> None:
    """Moves a damaged file out of the way; the oldest of such files go first when there are too many."""
    found = sorted(path.parent.glob(f"*{ASIDE}*"), key=_aside_number)
    number = _aside_number(found[-1]) + 1 if found else 1
    for old in found[: max(0, len(found) - MOST_ASIDE + 1)]:
        files.remove(old)
    files.rename(path, path.with_name(f"{path.name}{ASIDE}{number}"))


def _aside_number(path: Path) -> int:
    return int(path.name.rpartition("-")[2])
